package order_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/order"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// cells owns every cell while its number is above zero.
type cells struct{ fence uint64 }

func (c *cells) Fence(string) (uint64, bool) { return c.fence, c.fence > 0 }

type rig struct {
	cells *cells
	m     *order.Machine
	now   time.Time
	// orders counts the orders by engine.
	orders map[string]int
	last   event.Order
}

func newRig(orders bool) *rig {
	r := &rig{cells: &cells{fence: 7}, now: time.Unix(1_800_000_000, 0), orders: map[string]int{}}
	r.m = order.New(r.cells, 1)
	r.do(event.Published{Document: &policy.Document{
		Version: 1,
		Service: []policy.Service{{Name: "s", Kind: policy.KindModel, Model: "new", Orders: orders}},
		Engines: []policy.Engine{
			{Name: "a", Service: "s", Cell: "c", Role: policy.RoleDecode},
			{Name: "b", Service: "s", Cell: "c", Role: policy.RoleDecode},
		},
	}})
	return r
}

func (r *rig) do(e event.Event) {
	for _, a := range r.m.Step(r.now, e, nil) {
		if o, ok := a.(event.Order); ok {
			r.orders[o.Engine]++
			r.last = o
		}
	}
}

func (r *rig) report(name, model string, busy uint32) {
	r.do(event.Reported{Engine: name, Report: &engine.Report{Engine: name, Model: model, Role: policy.RoleDecode, Busy: busy}})
}

// Guards against orders that the document does not allow, that another daemon
// must give, that cut off running requests, or that disturb the whole cell.
func TestOrders(t *testing.T) {
	cases := map[string]struct {
		allowed bool
		steps   func(r *rig)
		a, b    int
	}{
		"not allowed":    {false, func(r *rig) { r.report("a", "old", 0) }, 0, 0},
		"differs":        {true, func(r *rig) { r.report("a", "old", 0) }, 1, 0},
		"as wanted":      {true, func(r *rig) { r.report("a", "new", 0) }, 0, 0},
		"busy":           {true, func(r *rig) { r.report("a", "old", 3) }, 0, 0},
		"busy, then not": {true, func(r *rig) { r.report("a", "old", 3); r.report("a", "old", 0) }, 1, 0},
		"not the owner":  {true, func(r *rig) { r.cells.fence = 0; r.report("a", "old", 0) }, 0, 0},
		"one at a time":  {true, func(r *rig) { r.report("a", "old", 0); r.report("b", "old", 0) }, 1, 0},
		"next when loaded": {true, func(r *rig) {
			r.report("a", "old", 0)
			r.report("b", "old", 0)
			r.do(event.Ordered{Engine: "a", Accepted: true})
			r.report("a", "new", 0)
			r.report("b", "old", 0)
		}, 1, 1},
		"leaving": {true, func(r *rig) {
			r.do(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "a", State: "leaving"}}})
			r.report("a", "old", 0)
		}, 0, 0},
		"refused, not repeated at once": {true, func(r *rig) {
			r.report("a", "old", 0)
			r.do(event.Ordered{Engine: "a"})
			r.report("a", "old", 0)
		}, 1, 0},
		"refused, repeated later": {true, func(r *rig) {
			r.report("a", "old", 0)
			r.do(event.Ordered{Engine: "a"})
			r.now = r.m.Wake()
			r.do(event.Tick{})
		}, 2, 0},
		"no answer, repeated later": {true, func(r *rig) {
			r.report("a", "old", 0)
			r.now = r.m.Wake()
			r.do(event.Tick{})
			r.now = r.m.Wake()
			r.do(event.Tick{})
		}, 2, 0},
		"paused before the report": {true, func(r *rig) {
			r.report("a", "old", 3)
			r.do(event.Paused{Gap: time.Minute})
			r.do(event.Tick{})
		}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(c.allowed)
			c.steps(r)
			if r.orders["a"] != c.a || r.orders["b"] != c.b {
				t.Errorf("orders %v, want a: %d, b: %d", r.orders, c.a, c.b)
			}
			if c.a+c.b > 0 && (r.last.Fence != 7 || r.last.Model != "new") {
				t.Errorf("order %+v, want model new with fencing number 7", r.last)
			}
		})
	}
}
