package cell

import (
	"fmt"
	"slices"
	"testing"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/peer"
)

// account recomputes the sums of each engine from its leases and describes the
// first difference.
func (sim *simulation) account() string {
	c := sim.m.cells["c"]
	for _, eng := range c.engines {
		var held, pending uint32
		for _, l := range c.leases {
			if l.decode != eng {
				continue
			}
			held += l.blocks
			if !l.listed() {
				pending += l.blocks
			}
		}
		if held != eng.leasedBlocks || pending != eng.pendingBlocks {
			return fmt.Sprintf("%s: %d KV blocks leased and %d pending, accounted %d and %d", eng.name, held, pending, eng.leasedBlocks, eng.pendingBlocks)
		}
	}
	return ""
}

// Guards against leases for more memory than an engine has.
func TestPropGrantsFitTheEngine(t *testing.T) {
	check(t, func(ops []uint32) string {
		sim := newSimulation()
		fault := ""
		// Runs of an earlier owner may exceed the memory together with new leases,
		// so the sum is checked only when a lease is granted.
		sim.onGrant = func(g *peer.Grant) {
			if eng := sim.m.engines[g.Decode]; eng.leasedBlocks > eng.blocks {
				fault = fmt.Sprintf("%s: %d KV blocks leased of %d", eng.name, eng.leasedBlocks, eng.blocks)
			}
		}
		for i, op := range ops {
			sim.anyOp(op)
			if fault == "" {
				fault = sim.account()
			}
			if fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// Guards against leases for which an engine has no memory to reserve although no
// fault has happened.
func TestPropEnginesHoldWhatIsGranted(t *testing.T) {
	check(t, func(ops []uint32) string {
		sim := newSimulation()
		for i, op := range ops {
			sim.normalOp(op)
			if sim.refused > 0 {
				return fmt.Sprintf("step %d: an engine has refused a reservation", i)
			}
		}
		return ""
	})
}

// Guards against a record that is put on the free list twice and then used by two
// requests.
func TestPropGrantsAreReleasedOnce(t *testing.T) {
	check(t, func(ops []uint32) string {
		sim := newSimulation()
		for i, op := range ops {
			sim.anyOp(op)
			seen := map[*lease]bool{}
			for _, l := range sim.m.freeList {
				if seen[l] {
					return fmt.Sprintf("step %d: a lease was released twice", i)
				}
				seen[l] = true
			}
			for request, l := range sim.m.cells["c"].leases {
				if seen[l] || l.request != request {
					return fmt.Sprintf("step %d: the released lease of %s is in use", i, request)
				}
				seen[l] = true
			}
		}
		return ""
	})
}

// Guards against leases on engines that are leaving.
func TestPropLeavingEnginesGetNothing(t *testing.T) {
	check(t, func(ops []uint32) string {
		sim := newSimulation()
		fault := ""
		sim.onGrant = func(g *peer.Grant) {
			if sim.leaving[g.Decode] || sim.leaving[g.Prefill] {
				fault = fmt.Sprintf("%s was granted %s and %s", g.Request, g.Prefill, g.Decode)
			}
		}
		for i, op := range ops {
			if sim.anyOp(op); fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// Guards against a new owner that grants more memory than the engine reports as
// free, or more than a quarter of it before all engines have reported.
func TestPropTakeoverGrantsWhatIsFree(t *testing.T) {
	check(t, func(ops []uint32) string {
		sim := newSimulation()
		// Leases from before the takeover, which the new owner doesn't know.
		for _, op := range ops[:200] {
			sim.normalOp(op)
		}
		sim.takeover(ops[200]%2 == 0)
		granted, free := map[string]uint32{}, map[string]uint32{}
		first := map[string]bool{}
		fault := ""
		sim.onGrant = func(g *peer.Grant) {
			granted[g.Decode] += g.Pieces
			limit := free[g.Decode]
			if len(first) < len(sim.fakes) {
				limit /= 4
			}
			if granted[g.Decode] > limit {
				fault = fmt.Sprintf("%d KV blocks of %s granted, limit %d", granted[g.Decode], g.Decode, limit)
			}
		}
		for i, op := range ops[200:] {
			if op%8 == 0 {
				name := choose(sim.names(), op/8)
				if !first[name] {
					sim.sendReport(name)
					first[name], free[name] = true, sim.m.engines[name].reportedFree
				}
			} else {
				sim.newAsk(op)
			}
			if fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// crasher sends copies of a request that crashes each engine that runs it, among
// other requests that complete unless they run on such an engine.
type crasher struct {
	*simulation
	crashed      int
	suspects     map[string]bool
	fingerprints map[string]uint64
	avoid        map[string][]string
}

func (c *crasher) send(request string, fingerprint uint64) {
	c.fingerprints[request] = fingerprint
	for _, action := range c.step(event.Asked{From: "edge", Ask: &peer.Ask{
		Request: request, Cell: "c", Tokens: 1000, Output: 200, Print: fingerprint, Avoid: c.avoid[request],
	}}) {
		g, ok := action.(event.SendGrant)
		if !ok {
			continue
		}
		delete(c.grants, request)
		if g.Grant.Granted {
			c.grants[request], c.grantedAt[request] = g.Grant, c.now
		}
		if g.Grant.Reason == "suspect" {
			c.suspects[request] = true
		}
	}
}

// crashEngineOf crashes the decode engine of a request. All requests on it release
// their leases and request new ones; with late, each Done arrives after the next
// lease request.
func (c *crasher) crashEngineOf(request string, late bool) {
	g := c.grants[request]
	if g == nil {
		return
	}
	c.crashed++
	f := c.fakes[g.Decode]
	f.incarnation++
	f.free, f.holds, f.last = f.pieces, map[string]uint32{}, nil
	var affected []string
	for other, o := range c.grants {
		if o.Decode == g.Decode {
			affected = append(affected, other)
		}
	}
	slices.Sort(affected)
	for _, other := range affected {
		c.avoid[other] = append(c.avoid[other], g.Decode)
		done := event.Finished{From: "edge", Done: &peer.Done{Request: other, Cell: "c", Outcome: outcomeCrash, Engine: g.Decode}}
		if !late {
			c.step(done)
		}
		delete(c.grants, other)
		c.send(other, c.fingerprints[other])
		if late {
			c.step(done)
		}
	}
	c.sendReport(g.Decode)
}

// Guards against a request that crashes a third engine, and against a refusal of
// requests that only ran on the same engine.
func TestPropAtMostTwoEnginesLost(t *testing.T) {
	check(t, func(ops []uint32) string {
		c := &crasher{simulation: newSimulation(), suspects: map[string]bool{}, fingerprints: map[string]uint64{}, avoid: map[string][]string{}}
		for i, op := range ops[:200] {
			n := op / 10
			copied := fmt.Sprint("killer", n%3)
			switch op % 10 {
			case 0:
				c.send(copied, 666)
			case 1:
				c.crashEngineOf(copied, n%2 == 0)
			case 2, 3, 4, 5:
				c.lastID++
				c.send(fmt.Sprint("n", c.lastID), uint64(1000+c.lastID))
			case 6:
				if request := choose(c.leased(false), n); request != "" && c.fingerprints[request] != 666 {
					c.end(request, "finish")
				}
			default:
				c.reports()
			}
			if c.crashed > 2 {
				return fmt.Sprintf("step %d: %d engines crashed", i, c.crashed)
			}
			for request := range c.suspects {
				if c.fingerprints[request] != 666 {
					return fmt.Sprintf("step %d: %s was refused, which only ran on the same engine", i, request)
				}
			}
		}
		return ""
	})
}

// Guards against steps that depend on the order of a map.
func TestPropSameEventsSameActions(t *testing.T) {
	check(t, func(ops []uint32) string {
		a, b := newSimulation(), newSimulation()
		for _, sim := range []*simulation{a, b} {
			for i, op := range ops {
				if i == len(ops)/2 {
					// A new incarnation of the daemon: all earlier runs become orphans.
					sim.step(event.Members{Alive: map[string]uint64{"me": 8}})
				}
				sim.anyOp(op)
			}
		}
		if !slices.Equal(a.log, b.log) {
			return "two runs of the same events differ"
		}
		return ""
	})
}
