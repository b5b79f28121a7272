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

// cells owns every cell while its fencing token is above zero.
type cells struct{ fence uint64 }

func (c *cells) Fence(string) (uint64, bool) { return c.fence, c.fence > 0 }

type fixture struct {
	cells   *cells
	machine *order.Machine
	now     time.Time
	// orders counts the orders by engine.
	orders map[string]int
	last   event.Order
}

func newFixture(orders bool) *fixture {
	f := &fixture{cells: &cells{fence: 7}, now: time.Unix(1_800_000_000, 0), orders: map[string]int{}}
	f.machine = order.New(f.cells, 1)
	f.step(event.Published{Document: &policy.Document{
		Version:  1,
		Services: []policy.Service{{Name: "s", Kind: policy.KindModel, Model: "new", AllowOrders: orders}},
		Engines: []policy.Engine{
			{Name: "a", Service: "s", Cell: "c", Role: policy.RoleDecode},
			{Name: "b", Service: "s", Cell: "c", Role: policy.RoleDecode},
		},
	}})
	return f
}

func (f *fixture) step(e event.Event) {
	for _, a := range f.machine.Step(f.now, e, nil) {
		if o, ok := a.(event.Order); ok {
			f.orders[o.Engine]++
			f.last = o
		}
	}
}

func (f *fixture) report(name, model string, busy uint32) {
	f.step(event.Reported{Engine: name, Report: &engine.Report{Engine: name, Model: model, Role: policy.RoleDecode, Busy: busy}})
}

// Guards against orders that the document doesn't allow, to engines of a cell that
// another daemon owns, that abort running requests, or that take several engines of
// a cell out of service together.
func TestOrders(t *testing.T) {
	cases := map[string]struct {
		allowed bool
		steps   func(f *fixture)
		a, b    int
	}{
		"not allowed":    {false, func(f *fixture) { f.report("a", "old", 0) }, 0, 0},
		"differs":        {true, func(f *fixture) { f.report("a", "old", 0) }, 1, 0},
		"as wanted":      {true, func(f *fixture) { f.report("a", "new", 0) }, 0, 0},
		"busy":           {true, func(f *fixture) { f.report("a", "old", 3) }, 0, 0},
		"busy, then not": {true, func(f *fixture) { f.report("a", "old", 3); f.report("a", "old", 0) }, 1, 0},
		"not the owner":  {true, func(f *fixture) { f.cells.fence = 0; f.report("a", "old", 0) }, 0, 0},
		"one at a time":  {true, func(f *fixture) { f.report("a", "old", 0); f.report("b", "old", 0) }, 1, 0},
		"next when loaded": {true, func(f *fixture) {
			f.report("a", "old", 0)
			f.report("b", "old", 0)
			f.step(event.Ordered{Engine: "a", Accepted: true})
			f.report("a", "new", 0)
			f.report("b", "old", 0)
		}, 1, 1},
		"leaving": {true, func(f *fixture) {
			f.step(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "a", State: "leaving"}}})
			f.report("a", "old", 0)
		}, 0, 0},
		"refused, not repeated at once": {true, func(f *fixture) {
			f.report("a", "old", 0)
			f.step(event.Ordered{Engine: "a"})
			f.report("a", "old", 0)
		}, 1, 0},
		"refused, repeated later": {true, func(f *fixture) {
			f.report("a", "old", 0)
			f.step(event.Ordered{Engine: "a"})
			f.now = f.machine.Wake()
			f.step(event.Tick{})
		}, 2, 0},
		"no answer, repeated later": {true, func(f *fixture) {
			f.report("a", "old", 0)
			f.now = f.machine.Wake()
			f.step(event.Tick{})
			f.now = f.machine.Wake()
			f.step(event.Tick{})
		}, 2, 0},
		"paused before the report": {true, func(f *fixture) {
			f.report("a", "old", 3)
			f.step(event.Paused{Gap: time.Minute})
			f.step(event.Tick{})
		}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.allowed)
			c.steps(f)
			if f.orders["a"] != c.a || f.orders["b"] != c.b {
				t.Errorf("orders %v, want a: %d, b: %d", f.orders, c.a, c.b)
			}
			if c.a+c.b > 0 && (f.last.Fence != 7 || f.last.Model != "new") {
				t.Errorf("order %+v, want model new with fencing token 7", f.last)
			}
		})
	}
}
