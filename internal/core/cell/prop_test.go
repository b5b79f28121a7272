package cell

import (
	"fmt"
	"slices"
	"testing"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/peer"
)

// account recomputes the figures of each engine from the live grants.
func (w *world) account() string {
	g := w.m.groups["c"]
	for _, u := range g.units {
		var held, pending uint32
		for _, r := range g.grants {
			if r.decode != u {
				continue
			}
			held += r.pieces
			if !r.listed() {
				pending += r.pieces
			}
		}
		if held != u.held || pending != u.pending {
			return fmt.Sprintf("%s: held %d and pending %d, accounted %d and %d", u.name, held, pending, u.held, u.pending)
		}
	}
	return ""
}

// Guards against more grants than an engine has memory.
func TestPropGrantsFitTheEngine(t *testing.T) {
	check(t, func(ops []uint32) string {
		w := newWorld()
		fault := ""
		// Runs that an earlier owner granted may exceed the memory together
		// with new grants; no grant may make it so.
		w.onGrant = func(g *peer.Grant) {
			if u := w.m.units[g.Decode]; u.held > u.pieces {
				fault = fmt.Sprintf("%s: %d pieces granted of %d", u.name, u.held, u.pieces)
			}
		}
		for i, op := range ops {
			w.any(op)
			if fault == "" {
				fault = w.account()
			}
			if fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// Guards against grants that an engine refuses for want of memory although no
// fault has happened.
func TestPropEnginesHoldWhatIsGranted(t *testing.T) {
	check(t, func(ops []uint32) string {
		w := newWorld()
		for i, op := range ops {
			w.normal(op)
			if w.refused > 0 {
				return fmt.Sprintf("step %d: an engine has refused a grant", i)
			}
		}
		return ""
	})
}

// Guards against a record that is released twice and then used by two requests.
func TestPropGrantsAreReleasedOnce(t *testing.T) {
	check(t, func(ops []uint32) string {
		w := newWorld()
		for i, op := range ops {
			w.any(op)
			seen := map[*grant]bool{}
			for _, r := range w.m.spare {
				if seen[r] {
					return fmt.Sprintf("step %d: a grant was released twice", i)
				}
				seen[r] = true
			}
			for request, r := range w.m.groups["c"].grants {
				if seen[r] || r.request != request {
					return fmt.Sprintf("step %d: the released grant of %s is in use", i, request)
				}
				seen[r] = true
			}
		}
		return ""
	})
}

// Guards against new work on engines that are leaving.
func TestPropLeavingEnginesGetNothing(t *testing.T) {
	check(t, func(ops []uint32) string {
		w := newWorld()
		fault := ""
		w.onGrant = func(g *peer.Grant) {
			if w.leaving[g.Decode] || w.leaving[g.Prefill] {
				fault = fmt.Sprintf("%s was granted %s and %s", g.Request, g.Prefill, g.Decode)
			}
		}
		for i, op := range ops {
			if w.any(op); fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// Guards against a new owner that grants more than the engine itself reports
// free, or more than a quarter before all engines have reported.
func TestPropTakeoverGrantsWhatIsFree(t *testing.T) {
	check(t, func(ops []uint32) string {
		w := newWorld()
		// The grants of before are unknown to the new owner.
		for _, op := range ops[:200] {
			w.normal(op)
		}
		w.takeover(ops[200]%2 == 0)
		granted, free := map[string]uint32{}, map[string]uint32{}
		first := map[string]bool{}
		fault := ""
		w.onGrant = func(g *peer.Grant) {
			granted[g.Decode] += g.Pieces
			limit := free[g.Decode]
			if len(first) < len(w.fakes) {
				limit /= 4
			}
			if granted[g.Decode] > limit {
				fault = fmt.Sprintf("%d pieces of %s granted, limit %d", granted[g.Decode], g.Decode, limit)
			}
		}
		for i, op := range ops[200:] {
			if op%8 == 0 {
				name := choose(w.names(), op/8)
				if !first[name] {
					w.sendReport(name)
					first[name], free[name] = true, w.m.units[name].base
				}
			} else {
				w.newAsk(op)
			}
			if fault != "" {
				return fmt.Sprintf("step %d: %s", i, fault)
			}
		}
		return ""
	})
}

// killer sends a request that crashes each engine that runs it, with copies,
// among neighbours that survive elsewhere.
type killer struct {
	*world
	lost     int
	suspects map[string]bool
	prints   map[string]uint64
	avoid    map[string][]string
}

func (k *killer) send(request string, print uint64) {
	k.prints[request] = print
	for _, action := range k.step(event.Asked{From: "edge", Ask: &peer.Ask{
		Request: request, Cell: "c", Tokens: 1000, Output: 200, Print: print, Avoid: k.avoid[request],
	}}) {
		g, ok := action.(event.SendGrant)
		if !ok {
			continue
		}
		delete(k.grants, request)
		if g.Grant.Granted {
			k.grants[request], k.made[request] = g.Grant, k.now
		}
		if g.Grant.Reason == "suspect" {
			k.suspects[request] = true
		}
	}
}

// die crashes the decode engine of a request; all on it are told and repeat.
// With late, the Done of the request comes after its next Ask.
func (k *killer) die(request string, late bool) {
	g := k.grants[request]
	if g == nil {
		return
	}
	k.lost++
	f := k.fakes[g.Decode]
	f.incarnation++
	f.free, f.holds, f.last = f.pieces, map[string]uint32{}, nil
	var hit []string
	for other, o := range k.grants {
		if o.Decode == g.Decode {
			hit = append(hit, other)
		}
	}
	slices.Sort(hit)
	for _, other := range hit {
		k.avoid[other] = append(k.avoid[other], g.Decode)
		done := event.Finished{From: "edge", Done: &peer.Done{Request: other, Cell: "c", Outcome: outcomeCrash, Engine: g.Decode}}
		if !late {
			k.step(done)
		}
		delete(k.grants, other)
		k.send(other, k.prints[other])
		if late {
			k.step(done)
		}
	}
	k.sendReport(g.Decode)
}

// Guards against a request that takes down a third engine, and against a
// refusal of requests that only shared an engine with it.
func TestPropAtMostTwoEnginesLost(t *testing.T) {
	check(t, func(ops []uint32) string {
		k := &killer{world: newWorld(), suspects: map[string]bool{}, prints: map[string]uint64{}, avoid: map[string][]string{}}
		for i, op := range ops[:200] {
			n := op / 10
			copied := fmt.Sprint("killer", n%3)
			switch op % 10 {
			case 0:
				k.send(copied, 666)
			case 1:
				k.die(copied, n%2 == 0)
			case 2, 3, 4, 5:
				k.serial++
				k.send(fmt.Sprint("n", k.serial), uint64(1000+k.serial))
			case 6:
				if request := choose(k.open(false), n); request != "" && k.prints[request] != 666 {
					k.end(request, "finish")
				}
			default:
				k.reports()
			}
			if k.lost > 2 {
				return fmt.Sprintf("step %d: %d engines lost", i, k.lost)
			}
			for request := range k.suspects {
				if k.prints[request] != 666 {
					return fmt.Sprintf("step %d: the neighbour %s was refused", i, request)
				}
			}
		}
		return ""
	})
}

// Guards against steps that depend on the order of a map.
func TestPropSameEventsSameActions(t *testing.T) {
	check(t, func(ops []uint32) string {
		a, b := newWorld(), newWorld()
		for _, w := range []*world{a, b} {
			for i, op := range ops {
				if i == len(ops)/2 {
					// All runs of the past become orphans.
					w.step(event.Members{Alive: map[string]uint64{"me": 8}})
				}
				w.any(op)
			}
		}
		if !slices.Equal(a.log, b.log) {
			return "two runs of the same events differ"
		}
		return ""
	})
}
