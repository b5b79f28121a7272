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

// marks are strikes without expiry.
type marks struct{ count map[uint64]int }

func newMarks() *marks { return &marks{map[uint64]int{}} }

func (k *marks) Count(_ time.Time, print uint64) int { return k.count[print] }

func (k *marks) Add(_ time.Time, print uint64, engine string) *peer.Strike {
	k.count[print]++
	return &peer.Strike{Print: print, Count: uint32(k.count[print]), Engine: engine}
}

func (k *marks) Clear(_ time.Time, print uint64) *peer.Strike {
	delete(k.count, print)
	return &peer.Strike{Print: print, Clear: true}
}

// life lets requests arrive for five seconds while engines crash, the process
// pauses and callers leave, then ends all faults and waits until nothing is left
// to do.
func life(seed uint64, chance float64, expire, mute bool) *world {
	w := newWorld(seed, chance, expire, mute)
	for i := range 60 {
		w.after(time.Duration(w.rnd.IntN(5000))*time.Millisecond, func() { w.newCaller(fmt.Sprintf("r%d", i)) })
	}
	for range int(chance * 100) {
		w.after(time.Duration(w.rnd.IntN(5000))*time.Millisecond, w.crash)
	}
	for range w.rnd.IntN(3) {
		w.after(time.Duration(w.rnd.IntN(5000))*time.Millisecond, w.pause)
	}
	w.run(start.Add(8*time.Second), false)
	w.chance = 0
	for _, e := range w.engines {
		e.down = false
	}
	w.silent = map[string]time.Time{}
	w.run(start.Add(10*time.Minute), true)
	return w
}

func (w *world) newCaller(id string) {
	c := &caller{service: "drafts", max: uint32(1 + w.rnd.IntN(30))}
	if w.rnd.IntN(3) == 0 {
		c.service = "orders"
	}
	if w.rnd.IntN(4) == 0 {
		c.from = uint32(w.rnd.IntN(int(c.max)))
	}
	c.next = c.from
	c.deadline = w.now.Add(time.Duration(200+w.rnd.IntN(8000)) * time.Millisecond)
	w.callers[id] = c
	w.order = append(w.order, id)
	arrive := event.Arrive{
		Request: id, Tenant: "agentschap", Service: c.service, Tokens: uint32(1 + w.rnd.IntN(4000)),
		Max: c.max, From: c.from, Print: w.rnd.Uint64N(100), Deadline: c.deadline,
	}
	if arrive.Tokens > 2000 {
		arrive.Pieces = []uint64{w.rnd.Uint64N(3)}
	}
	w.feed(arrive)
	if w.fault() && c.answers == 0 {
		w.feed(arrive)
	}
	if w.rnd.Float64() < w.chance*2 {
		w.after(time.Duration(w.rnd.IntN(400))*time.Millisecond, func() {
			c.gone = true
			w.feed(event.Gone{Request: id})
		})
	}
}

func (w *world) crash() {
	names := document().Engines
	e := w.engines[names[w.rnd.IntN(len(names))].Name]
	e.life++
	e.down = true
	clear(e.held)
	clear(e.cache)
	w.after(time.Duration(w.rnd.IntN(1500))*time.Millisecond, func() { e.down = false })
}

func (w *world) pause() {
	gap := time.Duration(500+w.rnd.IntN(3000)) * time.Millisecond
	w.now = w.now.Add(gap)
	w.resumed = w.now
	w.pauses++
	w.feed(event.Paused{Gap: gap})
}

// check runs a property on random worlds. A failure prints its seed.
func check(t *testing.T, runs int, expire bool, holds func(*world) string) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(20260105)
	p.MinSuccessfulTests = runs
	all := gopter.NewProperties(p)
	all.Property("holds", prop.ForAll(
		func(seed uint64, percent int, mute bool) string {
			return holds(life(seed, float64(percent)/100, expire, mute))
		},
		gen.UInt64(), gen.IntRange(0, 20), gen.Bool(),
	))
	all.TestingRun(t)
}

// first returns the first entry, "" for none.
func first(errs []string) string {
	if len(errs) == 0 {
		return ""
	}
	return errs[0]
}

// TestAnswersOnce guards against requests that get no answer, two answers, a
// late one, an incomplete success, tokens out of order, or a wrong not run.
func TestAnswersOnce(t *testing.T) {
	check(t, 150, true, func(w *world) string {
		for _, id := range w.order {
			if w.callers[id].answers == 0 {
				w.fail("%s: no answer", id)
			}
		}
		return first(w.errs)
	})
}

// TestFreesEngines guards against engine memory that stays held by a request
// that has ended. Nothing expires on these engines.
func TestFreesEngines(t *testing.T) {
	check(t, 150, false, func(w *world) string {
		for name, e := range w.engines {
			for id := range e.held {
				return fmt.Sprintf("%s: %s still holds memory", id, name)
			}
			for id := range e.cache {
				return fmt.Sprintf("%s: %s still holds a cache", id, name)
			}
		}
		if r, l := w.m.InFlight(); r+l > 0 || !w.m.Wake().IsZero() {
			return fmt.Sprintf("%d requests and %d releases are left", r, l)
		}
		return ""
	})
}

// TestEndsGrants guards against grants that the owner accounts for after the
// request has ended.
func TestEndsGrants(t *testing.T) {
	check(t, 150, true, func(w *world) string {
		if w.mute {
			return ""
		}
		for cell, grants := range w.owners {
			for id := range grants {
				return fmt.Sprintf("%s: cell %s still accounts for it", id, cell)
			}
		}
		return ""
	})
}

// TestBounded guards against attempts without an end.
func TestBounded(t *testing.T) {
	check(t, 150, true, func(w *world) string {
		for id, c := range w.callers {
			if limit := 5*10 + 64 + w.pauses; c.asks > limit {
				return fmt.Sprintf("%s: %d asks", id, c.asks)
			}
			if c.sent > 5 || c.opens > 5*16 {
				return fmt.Sprintf("%s: %d prefills, %d streams", id, c.sent, c.opens)
			}
		}
		return ""
	})
}

// TestRunsOnce guards against a second run of a request that may not be
// repeated.
func TestRunsOnce(t *testing.T) {
	check(t, 150, true, func(w *world) string {
		for id, c := range w.callers {
			if c.service == "orders" && c.ran > 1 {
				return fmt.Sprintf("%s: ran %d times", id, c.ran)
			}
		}
		return ""
	})
}

// TestReplays guards against actions that depend on anything but the events.
func TestReplays(t *testing.T) {
	check(t, 100, true, func(w *world) string {
		m := flow.New("d1", w.seed, flow.WithStrikes(newMarks()))
		for i, l := range w.log {
			if out := m.Step(l.at, l.in, nil); !reflect.DeepEqual(out, l.out) {
				return fmt.Sprintf("step %d, %T: %v, first %v", i, l.in, out, l.out)
			}
		}
		return ""
	})
}
