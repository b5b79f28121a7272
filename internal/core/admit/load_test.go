package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/peer"
)

// cluster is a model of six edges in front of four cells with three prefill
// engines each. A prefill of 2,000 tokens takes 100 ms.
type cluster struct {
	// strict owners refuse a request that would miss its target. Others refuse
	// nothing, so that admission alone keeps the queues short.
	strict bool
	asks   int
	rnd    *rand.Rand
	gates  []*Controller
	// free is when each engine of each cell is free.
	free map[string][]time.Time
}

const (
	loadEdges   = 6
	loadPrefill = 100 * time.Millisecond
	loadTarget  = 450 * time.Millisecond
)

func newCluster(seed uint64, strict bool) *cluster {
	c := &cluster{strict: strict, rnd: rand.New(rand.NewPCG(seed, 5)), free: map[string][]time.Time{}}
	d := &policy.Document{
		Tenants: []policy.Tenant{{Name: "free"}},
		Service: []policy.Service{{Name: "desk", Kind: policy.KindModel, First: policy.Duration(loadTarget)}},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.free[name] = []time.Time{start, start, start}
		for range 3 {
			d.Engines = append(d.Engines, policy.Engine{Service: "desk", Cell: name, Role: policy.RolePrefill})
		}
	}
	for i := range loadEdges {
		g := New(rand.New(rand.NewPCG(seed, uint64(i))))
		g.Publish(start, d)
		c.gates = append(c.gates, g)
	}
	return c
}

// run offers a multiple of the capacity for a minute and returns the requests
// that met their target in its worst ten seconds, and how many missed it.
func (c *cluster) run(multiple float64) (worst, late int) {
	const engines = 12
	gap := float64(loadPrefill) / engines / multiple
	met := make([]int, 6)
	for now := start; now.Before(start.Add(time.Minute)); {
		now = now.Add(time.Duration(c.rnd.ExpFloat64() * gap))
		g := c.gates[c.rnd.IntN(loadEdges)]
		r := &Request{Tenant: "free", Service: "desk", Tokens: 2000, Max: 100, Deadline: now.Add(time.Minute)}
		if g.Arrive(now, r).Next != Run {
			continue
		}
		first, ok := c.place(now, g, r)
		if ok && first <= loadTarget {
			met[min(int(now.Sub(start)/(10*time.Second)), 5)]++
		} else if ok {
			late++
		}
		g.Release(r)
	}
	worst = met[0]
	for _, n := range met {
		worst = min(worst, n)
	}
	return worst, late
}

// place runs a request on the engine that is free first and tells the edge.
func (c *cluster) place(now time.Time, g *Controller, r *Request) (time.Duration, bool) {
	c.asks++
	cell := g.Choose(now, r, func(string) bool { return false })
	g.Sent(cell, r)
	free, best := c.free[cell], 0
	for i, t := range free {
		if t.Before(free[best]) {
			best = i
		}
	}
	begin := now
	if free[best].After(now) {
		begin = free[best]
	}
	first := begin.Add(loadPrefill).Sub(now)
	if c.strict && first > loadTarget {
		g.Answered(now, cell, r, &peer.Grant{After: uint32((first - loadTarget).Milliseconds()) + 1})
		return 0, false
	}
	free[best] = begin.Add(loadPrefill)
	g.Answered(now, cell, r, &peer.Grant{
		Granted: true, Start: uint32(begin.Sub(now).Milliseconds()), First: uint32(first.Milliseconds()),
	})
	return first, true
}

// TestOverload guards against a collapse. At twice the capacity, the worst ten
// seconds must bring at least 95% of the requests in time that capacity brings,
// and 90% when the owners refuse nothing.
func TestOverload(t *testing.T) {
	for name, c := range map[string]struct {
		strict bool
		least  float64
	}{"strict owners": {true, 0.95}, "no refusals": {false, 0.9}} {
		t.Run(name, func(t *testing.T) {
			full, late := newCluster(1, c.strict).run(1)
			t.Logf("at 1.0 times the capacity: %d in time, %d late", full, late)
			for _, multiple := range []float64{0.7, 1.5, 2} {
				k := newCluster(1, c.strict)
				worst, late := k.run(multiple)
				t.Logf("at %.1f times the capacity: %d in time, %d late, %d asks", multiple, worst, late, k.asks)
				if multiple > 1 && float64(worst) < c.least*float64(full) {
					t.Errorf("at %.1f times the capacity: %d in time, %d at 1.0", multiple, worst, full)
				}
			}
		})
	}
}
