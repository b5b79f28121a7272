package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/platfm"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Guards against two daemons that both consider themselves the owner, and against
// an owner in another failure domain than the engines.
func TestOwner(t *testing.T) {
	alive := map[string]uint64{"a": 1, "b": 1, "me": 7, "x": 1}
	list := event.Listed{Revision: 2}
	for name, domain := range map[string]string{"a": "gent", "b": "gent", "me": "gent", "x": "hasselt"} {
		list.Instances = append(list.Instances, &platfm.Instance{Name: name, Kind: "daemon", Domain: domain})
	}
	owners := map[string]bool{}
	for self := range alive {
		m := New(self, alive[self])
		h := &harness{m: m, now: start}
		h.do(event.Published{Document: newHarness(engines(1, 3)).document})
		h.do(event.Members{Alive: alive})
		h.do(list)
		owners[m.Owner("c")] = true
		if mine := m.Owner("c") == self; mine != (len(m.Watched()) == 4) {
			t.Errorf("%s watches %v, owner is %s", self, m.Watched(), m.Owner("c"))
		}
	}
	if len(owners) != 1 || owners["x"] || owners[""] {
		t.Errorf("owners are %v, want one in gent", owners)
	}
}

// Guards against a daemon that gives up a cell, as after another daemon's process
// pause, and then knows no owner for the lease requests of its own clients.
func TestFormerOwnerKnowsNext(t *testing.T) {
	alive := map[string]uint64{"a": 1, "b": 1, "me": 7}
	for self := range alive {
		m := New(self, alive[self])
		h := &harness{m: m, now: start}
		h.do(event.Published{Document: newHarness(engines(1, 3)).document})
		h.do(event.Members{Alive: map[string]uint64{self: alive[self]}})
		if o := m.Owner("c"); o != self {
			t.Errorf("%s is the only daemon, but the owner is %q", self, o)
		}
		h.do(event.Members{Alive: alive})
		if m.Owner("c") == "" {
			t.Errorf("%s knows no owner after the handover", self)
		}
	}
}

// Guards against a new owner that grants memory which the previous one has already
// granted. Until all engines have reported it grants a quarter of the free memory.
func TestTakeoverGrantsAQuarter(t *testing.T) {
	h := newHarness(engines(1, 2))
	h.report("p0", nil)
	h.report("d0", func(e *engine.Report) { e.Free = 32 })
	granted := 0
	for i := range 20 {
		if g := h.ask(ask(fmt.Sprint("a", i), 1000)); g.Granted {
			granted += int(g.Pieces)
		}
	}
	if granted != 8 {
		t.Errorf("%d KV blocks granted before d1 has reported, want 8", granted)
	}
	h.report("d1", nil)
	if g := h.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused after all engines have reported: %v", g)
	}
}

// Guards against leases on an engine that doesn't check fencing tokens while those
// of the previous owner may still be used.
func TestTakeoverWaitsWhereFencingIsIgnored(t *testing.T) {
	list := engines(1, 1)
	list[1].ChecksFencing = false
	h := newHarness(list)
	h.reportAll()
	g := h.ask(ask("a", 1000))
	if g.Granted || g.After == 0 {
		t.Errorf("got %v, want a refusal for now", g)
	}
	h.sleep(leaseTerm)
	h.reportAll()
	if g := h.ask(ask("a", 1000)); !g.Granted {
		t.Errorf("refused after the lease term: %v", g)
	}
}

// Guards against runs from before a takeover that the new owner doesn't count.
func TestTakeoverAdoptsRuns(t *testing.T) {
	h := newHarness(engines(1, 1))
	h.report("p0", nil)
	h.report("d0", func(e *engine.Report) {
		e.Free, e.Running = 35, []*engine.Running{run(5)}
	})
	if eng := h.m.engines["d0"]; eng.leasedBlocks != 5 || eng.freeBlocks() != 35 {
		t.Errorf("%d KV blocks leased, %d free, want 5 and 35", eng.leasedBlocks, eng.freeBlocks())
	}
	h.done("a", "finish", "")
	if eng := h.m.engines["d0"]; eng.leasedBlocks != 0 || eng.freeBlocks() != 40 {
		t.Errorf("%d KV blocks leased, %d free, want 0 and 40", eng.leasedBlocks, eng.freeBlocks())
	}
}

// Guards against a daemon that acts on its state from before a process pause.
func TestPauseVoidsOwnership(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.ask(ask("a", 1000))
	h.do(event.Paused{Gap: time.Second})
	if g := h.ask(ask("b", 1000)); g.Granted || g.Reason != "home" {
		t.Errorf("got %v, want a refusal", g)
	}
	h.do(event.Members{Alive: map[string]uint64{"me": 7}})
	if g := h.ask(ask("b", 1000)); g.Granted {
		t.Errorf("granted %v before a report", g)
	}
	h.reportAll()
	if g := h.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused after reports: %v", g)
	}
}

// Guards against engine memory that is held for the runs of a daemon that is gone.
func TestOrphansAreCancelled(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.do(event.Listed{Revision: 2, Instances: []*platfm.Instance{
		{Name: "me", Kind: "daemon", Domain: "gent", State: "live"},
		{Name: "other", Kind: "daemon", Domain: "gent", State: "live"},
		{Name: "dead", Kind: "daemon", Domain: "gent", State: "live"},
	}})
	h.do(event.Members{Alive: map[string]uint64{"me": 7, "other": 3}})
	with := func(e *engine.Report) {
		e.Running = []*engine.Running{
			{Request: "mine", Instance: "me", Incarnation: 7, Pieces: 1, State: stateDecode},
			{Request: "old", Instance: "me", Incarnation: 6, Pieces: 1, State: stateDecode},
			{Request: "live", Instance: "other", Incarnation: 3, Pieces: 1, State: stateDecode},
			{Request: "gone", Instance: "dead", Incarnation: 3, Pieces: 1, State: stateKept},
		}
	}
	var cancelled []string
	collect := func(actions []event.Action) {
		for _, a := range actions {
			if c, ok := a.(event.Cancel); ok {
				cancelled = append(cancelled, c.Request)
			}
		}
	}
	collect(h.report("d0", with))
	h.sleep(orphanGrace - 1)
	collect(h.do(event.Tick{}))
	if len(cancelled) > 0 {
		t.Fatalf("cancelled %v within the grace period", cancelled)
	}
	h.now = h.m.Wake()
	collect(h.do(event.Tick{}))
	if !slices.Equal(cancelled, []string{"gone", "old"}) {
		t.Fatalf("cancelled %v, want gone and old", cancelled)
	}
	h.sleep(cancelInterval)
	collect(h.report("d0", with))
	if len(cancelled) != 4 {
		t.Errorf("cancelled %v, want a repeat", cancelled)
	}
	collect(h.report("d0", nil))
	h.sleep(time.Hour)
	collect(h.do(event.Tick{}))
	if len(cancelled) != 4 || h.m.orphanCount != 0 {
		t.Errorf("cancelled %v after the engine has ended the runs", cancelled)
	}
}

// Guards against the full load on an engine right after a restart, under which it
// may fail again.
func TestSlowStart(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.sleep(time.Second)
	h.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	early := h.m.engines["d0"].grantable(h.now.Sub(start), h.m.slowStart)
	h.sleep(2 * time.Second)
	half := h.m.engines["d0"].grantable(h.now.Sub(start), h.m.slowStart)
	h.sleep(2 * time.Second)
	full := h.m.engines["d0"].grantable(h.now.Sub(start), h.m.slowStart)
	if early != 5 || half != 22 || full != 40 {
		t.Errorf("%d, %d, %d KV blocks grantable, want 5, 22, 40", early, half, full)
	}
}

// Guards against a third engine that crashes from one request, also when the Done
// that reports a crash arrives after the next lease request.
func TestSuspectsRunAlone(t *testing.T) {
	h := newReadyHarness(4, 4)
	crash := func(request, avoid string) string {
		a := ask(request, 1000)
		a.Print = 99
		if avoid != "" {
			a.Avoid = []string{avoid}
		}
		return h.ask(a).Decode
	}
	first := crash("a", "")
	second := crash("a", first)
	h.done("a", "crash", first)
	if n := h.m.strikes.Count(h.now, 99); n != 1 {
		t.Fatalf("%d strikes, want 1", n)
	}
	if got := crash("a", second); got != "" {
		t.Errorf("runs on %s before the second crash is reported", got)
	}
	h.done("a", "crash", second)
	a := ask("b", 1000)
	a.Print = 99
	if g := h.ask(a); g.Granted || g.Reason != "suspect" || g.After == 0 {
		t.Errorf("got %v, want a refusal", g)
	}
}

// Guards against many requests with one fingerprint that stay limited to two
// engines although one of them has completed.
func TestEqualRequestsSpreadAfterOneSurvived(t *testing.T) {
	h := newReadyHarness(4, 4, WithMaxQueue(time.Hour))
	engines := func(name string) int {
		used := map[string]bool{}
		for i := range 12 {
			a := ask(fmt.Sprint(name, i), 3000)
			a.Print = 5
			if g := h.ask(a); g.Granted {
				used[g.Decode] = true
			}
		}
		return len(used)
	}
	if n := engines("a"); n != 2 {
		t.Errorf("%d engines run the fingerprint before a run has completed, want 2", n)
	}
	h.done("a0", "finish", "")
	if n := engines("b"); n != 4 {
		t.Errorf("%d engines run the fingerprint after a run has completed, want 4", n)
	}
	h.done("a1", "crash", "")
	if h.m.safe.has(5) {
		t.Error("the fingerprint counts as safe after a crash")
	}
}

// Guards against two suspect requests on one engine, and against the strike of a
// request that only ran on the same engine and stays after it has completed.
func TestNeighboursAreCleared(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.ask(ask("a", 1000))
	h.ask(ask("b", 1000))
	h.done("a", "crash", "d0")
	h.done("b", "crash", "d0")
	h.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	h.sleep(10 * time.Second)
	h.reportAll()
	h.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	if g := h.ask(ask("a", 1000)); !g.Granted {
		t.Fatalf("refused: %v", g)
	}
	if g := h.ask(ask("b", 1000)); g.Granted {
		t.Fatalf("two suspects share an engine: %v", g)
	}
	var cleared bool
	for _, action := range h.done("a", "finish", "") {
		s, ok := action.(event.SendStrike)
		cleared = cleared || ok && s.Strike.Clear
	}
	if !cleared {
		t.Error("no update that clears the strike")
	}
	if g := h.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused: %v", g)
	}
}

// Guards against the cancellation of the runs of a daemon that is leaving, that is
// not in the instance list, or that only appears dead behind a network partition.
func TestOrphanGraceByOrigin(t *testing.T) {
	cases := map[string]struct {
		running  map[string]uint64
		listed   bool
		attached bool
		want     time.Duration // zero for never
		idle     time.Duration
	}{
		"leaving":             {map[string]uint64{"me": 7, "edge": 3}, true, false, 0, 0},
		"not heard of":        {map[string]uint64{"me": 7, "edge": 0}, true, false, 0, 0},
		"newer than known":    {map[string]uint64{"me": 7, "edge": 2}, true, false, 0, 0},
		"process died":        {map[string]uint64{"me": 7}, true, false, orphanGrace, 0},
		"process restarted":   {map[string]uint64{"me": 7, "edge": 4}, true, false, orphanGrace, 0},
		"connection lost":     {map[string]uint64{"me": 7}, true, false, orphanGrace / 3, orphanGrace * 2 / 3},
		"partitioned":         {map[string]uint64{"me": 7}, true, true, attachedOrphanGrace, 0},
		"not listed":          {map[string]uint64{"me": 7}, false, false, attachedOrphanGrace, 0},
		"restarted, attached": {map[string]uint64{"me": 7, "edge": 4}, true, true, attachedOrphanGrace, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(1, 1)
			list := []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}
			if c.listed {
				list = append(list, &platfm.Instance{Name: "edge", Kind: "daemon", Domain: "gent", State: "live"})
			}
			h.do(event.Listed{Revision: 2, Instances: list})
			h.do(event.Members{Alive: map[string]uint64{"me": 7}, Running: c.running})
			begin, cancelled := h.now, time.Duration(0)
			for cancelled == 0 && h.now.Sub(begin) < 2*attachedOrphanGrace {
				out := h.report("d0", func(e *engine.Report) {
					e.Running = []*engine.Running{{Request: "q", Instance: "edge", Incarnation: 3, Pieces: 1, State: stateDecode, Attached: c.attached, Idle: durationpb.New(c.idle)}}
				})
				for _, a := range out {
					if _, ok := a.(event.Cancel); ok {
						cancelled = h.now.Sub(begin)
					}
				}
				h.sleep(orphanGrace / 3)
			}
			if cancelled != c.want {
				t.Errorf("cancelled after %v, want %v", cancelled, c.want)
			}
		})
	}
}

// Guards against a new owner whose orders an engine refuses because the previous
// owner was started later.
func TestFenceGrowsWithTakeover(t *testing.T) {
	fence := func(incarnation uint64, at time.Duration) uint64 {
		h := newHarness(engines(1, 1))
		h.m = New("me", incarnation)
		h.now = start.Add(at)
		h.do(event.Published{Document: h.document})
		h.do(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}})
		h.do(event.Members{Alive: map[string]uint64{"me": incarnation}})
		h.sleep(leaseTerm)
		h.reportAll()
		number, ok := h.m.Fence("c")
		if !ok {
			t.Fatal("the owner has no fencing token")
		}
		return number
	}
	late := uint64(start.UnixNano())
	first, second := fence(late, 0), fence(late-uint64(time.Hour), orphanGrace)
	if second <= first {
		t.Errorf("the fencing token falls from %d to %d with a takeover", first, second)
	}
}
