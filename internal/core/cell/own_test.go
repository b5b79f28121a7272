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

// Guards against two daemons that take themselves for the owner, and against
// owners in another failure domain than the engines.
func TestOwner(t *testing.T) {
	alive := map[string]uint64{"a": 1, "b": 1, "me": 7, "x": 1}
	list := event.Listed{Revision: 2}
	for name, domain := range map[string]string{"a": "gent", "b": "gent", "me": "gent", "x": "hasselt"} {
		list.Instances = append(list.Instances, &platfm.Instance{Name: name, Kind: "daemon", Domain: domain})
	}
	owners := map[string]bool{}
	for self := range alive {
		m := New(self, alive[self])
		r := &rig{m: m, now: start}
		r.do(event.Published{Document: newRig(engines(1, 3)).document})
		r.do(event.Members{Alive: alive})
		r.do(list)
		owners[m.Owner("c")] = true
		if mine := m.Owner("c") == self; mine != (len(m.Watched()) == 4) {
			t.Errorf("%s watches %v, owner is %s", self, m.Watched(), m.Owner("c"))
		}
	}
	if len(owners) != 1 || owners["x"] || owners[""] {
		t.Errorf("owners are %v, want one in gent", owners)
	}
}

// Guards against a daemon that hands a cell over, as after another's pause, and
// then has no owner to ask for its own requests.
func TestFormerOwnerKnowsNext(t *testing.T) {
	alive := map[string]uint64{"a": 1, "b": 1, "me": 7}
	for self := range alive {
		m := New(self, alive[self])
		r := &rig{m: m, now: start}
		r.do(event.Published{Document: newRig(engines(1, 3)).document})
		r.do(event.Members{Alive: map[string]uint64{self: alive[self]}})
		if o := m.Owner("c"); o != self {
			t.Errorf("%s alone takes %q for the owner", self, o)
		}
		r.do(event.Members{Alive: alive})
		if m.Owner("c") == "" {
			t.Errorf("%s knows no owner after the handover", self)
		}
	}
}

// Guards against a new owner that grants what the old one has granted already.
func TestTakeoverGrantsAQuarter(t *testing.T) {
	r := newRig(engines(1, 2))
	r.report("p0", nil)
	r.report("d0", func(e *engine.Report) { e.Free = 32 })
	granted := 0
	for i := range 20 {
		if g := r.ask(ask(fmt.Sprint("a", i), 1000)); g.Granted {
			granted += int(g.Pieces)
		}
	}
	if granted != 8 {
		t.Errorf("%d pieces granted before d1 has reported, want 8", granted)
	}
	r.report("d1", nil)
	if g := r.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused after all have reported: %v", g)
	}
}

// Guards against orders to an engine that can't tell the old owner's from the
// new one's.
func TestTakeoverWaitsWhereFencingIsIgnored(t *testing.T) {
	list := engines(1, 1)
	list[1].Checks = false
	r := newRig(list)
	r.reportAll()
	g := r.ask(ask("a", 1000))
	if g.Granted || g.After == 0 {
		t.Errorf("got %v, want a refusal for now", g)
	}
	r.sleep(term)
	r.reportAll()
	if g := r.ask(ask("a", 1000)); !g.Granted {
		t.Errorf("refused after the term: %v", g)
	}
}

// Guards against running requests that a new owner doesn't count.
func TestTakeoverAdoptsRuns(t *testing.T) {
	r := newRig(engines(1, 1))
	r.report("p0", nil)
	r.report("d0", func(e *engine.Report) {
		e.Free, e.Running = 35, []*engine.Running{run(5)}
	})
	if u := r.m.units["d0"]; u.held != 5 || u.free() != 35 {
		t.Errorf("held %d, free %d, want 5 and 35", u.held, u.free())
	}
	r.done("a", "finish", "")
	if u := r.m.units["d0"]; u.held != 0 || u.free() != 40 {
		t.Errorf("held %d, free %d, want 0 and 40", u.held, u.free())
	}
}

// Guards against a daemon that acts on its state from before a pause.
func TestPauseVoidsOwnership(t *testing.T) {
	r := ready(1, 1)
	r.ask(ask("a", 1000))
	r.do(event.Paused{Gap: time.Second})
	if g := r.ask(ask("b", 1000)); g.Granted || g.Reason != "home" {
		t.Errorf("got %v, want a refusal", g)
	}
	r.do(event.Members{Alive: map[string]uint64{"me": 7}})
	if g := r.ask(ask("b", 1000)); g.Granted {
		t.Errorf("granted %v before a report", g)
	}
	r.reportAll()
	if g := r.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused after reports: %v", g)
	}
}

// Guards against engine memory held for a daemon that is gone.
func TestOrphansAreCancelled(t *testing.T) {
	r := ready(1, 1)
	r.do(event.Listed{Revision: 2, Instances: []*platfm.Instance{
		{Name: "me", Kind: "daemon", Domain: "gent", State: "live"},
		{Name: "other", Kind: "daemon", Domain: "gent", State: "live"},
		{Name: "dead", Kind: "daemon", Domain: "gent", State: "live"},
	}})
	r.do(event.Members{Alive: map[string]uint64{"me": 7, "other": 3}})
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
	collect(r.report("d0", with))
	r.sleep(grace - 1)
	collect(r.do(event.Tick{}))
	if len(cancelled) > 0 {
		t.Fatalf("cancelled %v within the grace period", cancelled)
	}
	r.now = r.m.Wake()
	collect(r.do(event.Tick{}))
	if !slices.Equal(cancelled, []string{"gone", "old"}) {
		t.Fatalf("cancelled %v, want gone and old", cancelled)
	}
	r.sleep(recancel)
	collect(r.report("d0", with))
	if len(cancelled) != 4 {
		t.Errorf("cancelled %v, want a repeat", cancelled)
	}
	collect(r.report("d0", nil))
	r.sleep(time.Hour)
	collect(r.do(event.Tick{}))
	if len(cancelled) != 4 || r.m.orphans != 0 {
		t.Errorf("cancelled %v after the engine has let go", cancelled)
	}
}

// Guards against an engine that falls over again under the full load at once.
func TestSlowStart(t *testing.T) {
	r := ready(1, 1)
	r.sleep(time.Second)
	r.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	early := r.m.units["d0"].room(r.now.Sub(start), r.m.ramp)
	r.sleep(2 * time.Second)
	half := r.m.units["d0"].room(r.now.Sub(start), r.m.ramp)
	r.sleep(2 * time.Second)
	full := r.m.units["d0"].room(r.now.Sub(start), r.m.ramp)
	if early != 5 || half != 22 || full != 40 {
		t.Errorf("room is %d, %d, %d pieces, want 5, 22, 40", early, half, full)
	}
}

// Guards against a third engine lost to one request, also when the Done that
// tells of a death comes after the next Ask.
func TestSuspectsRunAlone(t *testing.T) {
	r := ready(4, 4)
	crash := func(request, avoid string) string {
		a := ask(request, 1000)
		a.Print = 99
		if avoid != "" {
			a.Avoid = []string{avoid}
		}
		return r.ask(a).Decode
	}
	first := crash("a", "")
	second := crash("a", first)
	r.done("a", "crash", first)
	if n := r.m.strikes.Count(r.now, 99); n != 1 {
		t.Fatalf("%d strikes, want 1", n)
	}
	if got := crash("a", second); got != "" {
		t.Errorf("runs on %s while the second death is in doubt", got)
	}
	r.done("a", "crash", second)
	a := ask("b", 1000)
	a.Print = 99
	if g := r.ask(a); g.Granted || g.Reason != "suspect" || g.After == 0 {
		t.Errorf("got %v, want a refusal", g)
	}
}

// Guards against many equal requests that are kept on two engines although one
// of them has ended well.
func TestEqualRequestsSpreadAfterOneSurvived(t *testing.T) {
	r := ready(4, 4, WithMaxQueue(time.Hour))
	engines := func(name string) int {
		used := map[string]bool{}
		for i := range 12 {
			a := ask(fmt.Sprint(name, i), 3000)
			a.Print = 5
			if g := r.ask(a); g.Granted {
				used[g.Decode] = true
			}
		}
		return len(used)
	}
	if n := engines("a"); n != 2 {
		t.Errorf("%d engines run the content before it has survived, want 2", n)
	}
	r.done("a0", "finish", "")
	if n := engines("b"); n != 4 {
		t.Errorf("%d engines run the content after it has survived, want 4", n)
	}
	r.done("a1", "crash", "")
	if r.m.safe.has(5) {
		t.Error("the content counts as safe after a crash")
	}
}

// Guards against two suspects on one engine, and against a neighbour's strike
// that stays after it has survived.
func TestNeighboursAreCleared(t *testing.T) {
	r := ready(1, 1)
	r.ask(ask("a", 1000))
	r.ask(ask("b", 1000))
	r.done("a", "crash", "d0")
	r.done("b", "crash", "d0")
	r.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	r.sleep(10 * time.Second)
	r.reportAll()
	r.report("d0", func(e *engine.Report) { e.Incarnation = 2 })
	if g := r.ask(ask("a", 1000)); !g.Granted {
		t.Fatalf("refused: %v", g)
	}
	if g := r.ask(ask("b", 1000)); g.Granted {
		t.Fatalf("two suspects share an engine: %v", g)
	}
	var cleared bool
	for _, action := range r.done("a", "finish", "") {
		s, ok := action.(event.SendStrike)
		cleared = cleared || ok && s.Strike.Clear
	}
	if !cleared {
		t.Error("no clearing record")
	}
	if g := r.ask(ask("b", 1000)); !g.Granted {
		t.Errorf("refused: %v", g)
	}
}

// Guards against cancelling the runs of a daemon that is leaving, that the list
// lacks, or that only looks dead behind a network partition.
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
		"process died":        {map[string]uint64{"me": 7}, true, false, grace, 0},
		"process restarted":   {map[string]uint64{"me": 7, "edge": 4}, true, false, grace, 0},
		"connection lost":     {map[string]uint64{"me": 7}, true, false, grace / 3, grace * 2 / 3},
		"partitioned":         {map[string]uint64{"me": 7}, true, true, attachedGrace, 0},
		"not listed":          {map[string]uint64{"me": 7}, false, false, attachedGrace, 0},
		"restarted, attached": {map[string]uint64{"me": 7, "edge": 4}, true, true, attachedGrace, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := ready(1, 1)
			list := []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}
			if c.listed {
				list = append(list, &platfm.Instance{Name: "edge", Kind: "daemon", Domain: "gent", State: "live"})
			}
			r.do(event.Listed{Revision: 2, Instances: list})
			r.do(event.Members{Alive: map[string]uint64{"me": 7}, Running: c.running})
			begin, cancelled := r.now, time.Duration(0)
			for cancelled == 0 && r.now.Sub(begin) < 2*attachedGrace {
				out := r.report("d0", func(e *engine.Report) {
					e.Running = []*engine.Running{{Request: "q", Instance: "edge", Incarnation: 3, Pieces: 1, State: stateDecode, Attached: c.attached, Idle: durationpb.New(c.idle)}}
				})
				for _, a := range out {
					if _, ok := a.(event.Cancel); ok {
						cancelled = r.now.Sub(begin)
					}
				}
				r.sleep(grace / 3)
			}
			if cancelled != c.want {
				t.Errorf("cancelled after %v, want %v", cancelled, c.want)
			}
		})
	}
}

// Guards against a new owner whose orders an engine refuses because the owner
// that died had been started later.
func TestFenceGrowsWithTakeover(t *testing.T) {
	fence := func(incarnation uint64, at time.Duration) uint64 {
		r := newRig(engines(1, 1))
		r.m = New("me", incarnation)
		r.now = start.Add(at)
		r.do(event.Published{Document: r.document})
		r.do(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}})
		r.do(event.Members{Alive: map[string]uint64{"me": incarnation}})
		r.sleep(term)
		r.reportAll()
		number, ok := r.m.Fence("c")
		if !ok {
			t.Fatal("the owner may not order")
		}
		return number
	}
	late := uint64(start.UnixNano())
	first, second := fence(late, 0), fence(late-uint64(time.Hour), grace)
	if second <= first {
		t.Errorf("the fencing number falls from %d to %d with a takeover", first, second)
	}
}
