package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/peer"
)

// cluster simulates six edge daemons in front of four cells with three prefill
// engines each. A prefill of 2,000 tokens takes 100 ms.
type cluster struct {
	// strict owners refuse a lease request that would miss its target. Others
	// refuse nothing, so that admission control alone keeps the queues short.
	strict bool
	asks   int
	rnd    *rand.Rand
	edges  []*Controller
	// free is when each engine of each cell becomes idle.
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
		Tenants:  []policy.Tenant{{Name: "free"}},
		Services: []policy.Service{{Name: "desk", Kind: policy.KindModel, LatencyTarget: policy.Duration(loadTarget)}},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.free[name] = []time.Time{start, start, start}
		for range 3 {
			d.Engines = append(d.Engines, policy.Engine{Service: "desk", Cell: name, Role: policy.RolePrefill})
		}
	}
	for i := range loadEdges {
		ctl := New(rand.New(rand.NewPCG(seed, uint64(i))))
		ctl.Publish(start, d)
		c.edges = append(c.edges, ctl)
	}
	return c
}

// run offers a multiple of the capacity for a minute. It returns how many requests
// met their target in the worst ten seconds, and how many missed it in all.
func (c *cluster) run(multiple float64) (worst, late int) {
	const engines = 12
	gap := float64(loadPrefill) / engines / multiple
	met := make([]int, 6)
	for now := start; now.Before(start.Add(time.Minute)); {
		now = now.Add(time.Duration(c.rnd.ExpFloat64() * gap))
		ctl := c.edges[c.rnd.IntN(loadEdges)]
		r := &Request{Tenant: "free", Service: "desk", Tokens: 2000, Max: 100, Deadline: now.Add(time.Minute)}
		if ctl.Arrive(now, r).Next != Run {
			continue
		}
		first, ok := c.place(now, ctl, r)
		if ok && first <= loadTarget {
			met[min(int(now.Sub(start)/(10*time.Second)), 5)]++
		} else if ok {
			late++
		}
		ctl.Release(r)
	}
	worst = met[0]
	for _, n := range met {
		worst = min(worst, n)
	}
	return worst, late
}

// place runs a request on the engine that becomes idle first, and applies the
// owner's reply at the edge daemon.
func (c *cluster) place(now time.Time, ctl *Controller, r *Request) (time.Duration, bool) {
	c.asks++
	cell := ctl.Choose(now, r, func(string) bool { return false })
	ctl.Sent(cell, r)
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
		ctl.Answered(now, cell, r, &peer.Grant{After: uint32((first - loadTarget).Milliseconds()) + 1})
		return 0, false
	}
	free[best] = begin.Add(loadPrefill)
	ctl.Answered(now, cell, r, &peer.Grant{
		Granted: true, Start: uint32(begin.Sub(now).Milliseconds()), First: uint32(first.Milliseconds()),
	})
	return first, true
}

// TestOverload guards against a collapse of the goodput under overload. At twice
// the capacity, the requests that meet their target in the worst ten seconds must
// be at least 95% of those at the capacity, and 90% when the owners refuse nothing.
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
				t.Logf("at %.1f times the capacity: %d in time, %d late, %d lease requests", multiple, worst, late, k.asks)
				if multiple > 1 && float64(worst) < c.least*float64(full) {
					t.Errorf("at %.1f times the capacity: %d in time, %d at 1.0", multiple, worst, full)
				}
			}
		})
	}
}
