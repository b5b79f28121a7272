package flow_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/wire/peer"
)

// strikeTable records strikes without expiry.
type strikeTable struct{ count map[uint64]int }

func newStrikeTable() *strikeTable { return &strikeTable{map[uint64]int{}} }

func (t *strikeTable) Count(_ time.Time, print uint64) int { return t.count[print] }

func (t *strikeTable) Add(_ time.Time, print uint64, engine string) *peer.Strike {
	t.count[print]++
	return &peer.Strike{Print: print, Count: uint32(t.count[print]), Engine: engine}
}

func (t *strikeTable) Clear(_ time.Time, print uint64) *peer.Strike {
	delete(t.count, print)
	return &peer.Strike{Print: print, Clear: true}
}

// simulate lets requests arrive for five seconds while engines crash, the process
// pauses and clients leave, then ends all faults and runs until nothing is left to
// do.
func simulate(seed uint64, faultRate float64, expire, ownersSilent bool) *simulation {
	sim := newSimulation(seed, faultRate, expire, ownersSilent)
	for i := range 60 {
		sim.after(time.Duration(sim.rnd.IntN(5000))*time.Millisecond, func() { sim.newClient(fmt.Sprintf("r%d", i)) })
	}
	for range int(faultRate * 100) {
		sim.after(time.Duration(sim.rnd.IntN(5000))*time.Millisecond, sim.crash)
	}
	for range sim.rnd.IntN(3) {
		sim.after(time.Duration(sim.rnd.IntN(5000))*time.Millisecond, sim.pause)
	}
	sim.run(start.Add(8*time.Second), false)
	sim.faultRate = 0
	for _, e := range sim.engines {
		e.down = false
	}
	sim.silentUntil = map[string]time.Time{}
	sim.run(start.Add(10*time.Minute), true)
	return sim
}

func (sim *simulation) newClient(id string) {
	c := &client{service: "drafts", max: uint32(1 + sim.rnd.IntN(30))}
	if sim.rnd.IntN(3) == 0 {
		c.service = "orders"
	}
	if sim.rnd.IntN(4) == 0 {
		c.from = uint32(sim.rnd.IntN(int(c.max)))
	}
	c.next = c.from
	c.deadline = sim.now.Add(time.Duration(200+sim.rnd.IntN(8000)) * time.Millisecond)
	sim.clients[id] = c
	sim.order = append(sim.order, id)
	arrive := event.Arrive{
		Request: id, Tenant: "agentschap", Service: c.service, Tokens: uint32(1 + sim.rnd.IntN(4000)),
		Max: c.max, From: c.from, Print: sim.rnd.Uint64N(100), Deadline: c.deadline,
	}
	if arrive.Tokens > 2000 {
		arrive.Pieces = []uint64{sim.rnd.Uint64N(3)}
	}
	sim.feed(arrive)
	if sim.fault() && c.answers == 0 {
		sim.feed(arrive)
	}
	if sim.rnd.Float64() < sim.faultRate*2 {
		sim.after(time.Duration(sim.rnd.IntN(400))*time.Millisecond, func() {
			c.left = true
			sim.feed(event.Gone{Request: id})
		})
	}
}

func (sim *simulation) crash() {
	names := document().Engines
	e := sim.engines[names[sim.rnd.IntN(len(names))].Name]
	e.starts++
	e.down = true
	clear(e.held)
	clear(e.cache)
	sim.after(time.Duration(sim.rnd.IntN(1500))*time.Millisecond, func() { e.down = false })
}

func (sim *simulation) pause() {
	gap := time.Duration(500+sim.rnd.IntN(3000)) * time.Millisecond
	sim.now = sim.now.Add(gap)
	sim.resumed = sim.now
	sim.pauses++
	sim.feed(event.Paused{Gap: gap})
}

// check tests a property on random simulations. A failure prints the seed.
func check(t *testing.T, runs int, expire bool, holds func(*simulation) string) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(20260105)
	p.MinSuccessfulTests = runs
	all := gopter.NewProperties(p)
	all.Property("holds", prop.ForAll(
		func(seed uint64, percent int, mute bool) string {
			return holds(simulate(seed, float64(percent)/100, expire, mute))
		},
		gen.UInt64(), gen.IntRange(0, 20), gen.Bool(),
	))
	all.TestingRun(t)
}

// first returns the first error, "" for none.
func first(errs []string) string {
	if len(errs) == 0 {
		return ""
	}
	return errs[0]
}

// TestAnswersOnce guards against requests that get no answer, two answers, a late
// one, an incomplete success, tokens out of order, or "not run" after a run.
func TestAnswersOnce(t *testing.T) {
	check(t, 150, true, func(sim *simulation) string {
		for _, id := range sim.order {
			if sim.clients[id].answers == 0 {
				sim.fail("%s: no answer", id)
			}
		}
		return first(sim.errs)
	})
}

// TestFreesEngines guards against engine memory that stays held for a request that
// has ended. Nothing expires on these engines, so that an expiry can't hide it.
func TestFreesEngines(t *testing.T) {
	check(t, 150, false, func(sim *simulation) string {
		for name, e := range sim.engines {
			for id := range e.held {
				return fmt.Sprintf("%s: %s still holds memory", id, name)
			}
			for id := range e.cache {
				return fmt.Sprintf("%s: %s still holds a cache", id, name)
			}
		}
		if r, l := sim.m.InFlight(); r+l > 0 || !sim.m.Wake().IsZero() {
			return fmt.Sprintf("%d requests and %d cleanups are left", r, l)
		}
		return ""
	})
}

// TestEndsGrants guards against leases that the owner still accounts for after the
// request has ended.
func TestEndsGrants(t *testing.T) {
	check(t, 150, true, func(sim *simulation) string {
		if sim.ownersSilent {
			return ""
		}
		for cell, grants := range sim.owners {
			for id := range grants {
				return fmt.Sprintf("%s: cell %s still accounts for it", id, cell)
			}
		}
		return ""
	})
}

// TestBounded guards against an unlimited number of attempts.
func TestBounded(t *testing.T) {
	check(t, 150, true, func(sim *simulation) string {
		for id, c := range sim.clients {
			if limit := 5*10 + 64 + sim.pauses; c.asks > limit {
				return fmt.Sprintf("%s: %d lease requests", id, c.asks)
			}
			if c.prefills > 5 || c.streams > 5*16 {
				return fmt.Sprintf("%s: %d prefills, %d streams", id, c.prefills, c.streams)
			}
		}
		return ""
	})
}

// TestRunsOnce guards against a second run of a request that is not idempotent.
func TestRunsOnce(t *testing.T) {
	check(t, 150, true, func(sim *simulation) string {
		for id, c := range sim.clients {
			if c.service == "orders" && c.runs > 1 {
				return fmt.Sprintf("%s: ran %d times", id, c.runs)
			}
		}
		return ""
	})
}

// TestReplays guards against actions that depend on anything but the events and
// their times.
func TestReplays(t *testing.T) {
	check(t, 100, true, func(sim *simulation) string {
		m := flow.New("d1", sim.seed, flow.WithStrikes(newStrikeTable()))
		for i, l := range sim.log {
			if out := m.Step(l.at, l.in, nil); !reflect.DeepEqual(out, l.out) {
				return fmt.Sprintf("step %d, %T: %v, first %v", i, l.in, out, l.out)
			}
		}
		return ""
	})
}
