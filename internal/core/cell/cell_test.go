package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

var _ citronrock.Machine = (*Machine)(nil)

var start = time.Unix(1_800_000_000, 0)

// rig drives a machine that owns one cell.
type rig struct {
	m        *Machine
	now      time.Time
	document *policy.Document
	out      []event.Action
}

// engines returns p prefill and d decode engines of cell c that check fencing
// numbers.
func engines(p, d int) []policy.Engine {
	var list []policy.Engine
	for i := range p + d {
		e := policy.Engine{Name: fmt.Sprintf("d%d", i-p), Role: policy.RoleDecode}
		if i < p {
			e.Name, e.Role = fmt.Sprintf("p%d", i), policy.RolePrefill
		}
		e.Service, e.Cell, e.Domain, e.Checks = "s", "c", "gent", true
		list = append(list, e)
	}
	return list
}

func newRig(list []policy.Engine, opts ...Option) *rig {
	r := &rig{m: New("me", 7, opts...), now: start}
	r.document = &policy.Document{
		Version: 1,
		Service: []policy.Service{{Name: "s", Kind: policy.KindModel, Model: "m"}},
		Engines: list,
	}
	r.do(event.Published{Document: r.document})
	r.do(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}})
	r.do(event.Members{Alive: map[string]uint64{"me": 7}})
	return r
}

// ready returns a rig whose engines have all reported.
func ready(p, d int, opts ...Option) *rig {
	r := newRig(engines(p, d), opts...)
	r.reportAll()
	return r
}

func (r *rig) do(e event.Event) []event.Action {
	r.out = r.m.Step(r.now, e, nil)
	return r.out
}

func (r *rig) sleep(d time.Duration) { r.now = r.now.Add(d) }

func (r *rig) report(name string, change func(*engine.Report)) []event.Action {
	e := r.document.Engines[slices.IndexFunc(r.document.Engines, func(e policy.Engine) bool { return e.Name == name })]
	rep := &engine.Report{Engine: name, Incarnation: 1, Model: "m", Role: e.Role, Pieces: 40, Free: 40, Slots: 20, Speed: 20000, Checks: e.Checks}
	if change != nil {
		change(rep)
	}
	return r.do(event.Reported{Engine: name, Report: rep})
}

func (r *rig) reportAll() {
	for _, e := range r.document.Engines {
		r.report(e.Name, nil)
	}
}

func ask(request string, tokens uint32) *peer.Ask {
	return &peer.Ask{Request: request, Cell: "c", Tokens: tokens, Output: 100, Print: uint64(len(request))<<32 + uint64(request[len(request)-1])}
}

func (r *rig) ask(a *peer.Ask) *peer.Grant {
	for _, action := range r.do(event.Asked{From: "edge", Ask: a}) {
		if g, ok := action.(event.SendGrant); ok {
			return g.Grant
		}
	}
	return nil
}

func (r *rig) done(request, outcome, engine string) []event.Action {
	return r.do(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcome, Output: 100, Engine: engine}})
}

func run(pieces uint32) *engine.Running {
	return &engine.Running{Request: "a", Instance: "me", Incarnation: 7, Pieces: pieces, State: stateDecode}
}

// Guards against an Ask that is sent again holding memory twice.
func TestRepeatedAskGetsTheSameGrant(t *testing.T) {
	r := ready(1, 2)
	first := r.ask(ask("a", 5000))
	again := r.ask(ask("a", 5000))
	if !first.Granted || first.Decode != again.Decode || first.Prefill != again.Prefill {
		t.Errorf("first %v, again %v", first, again)
	}
	if s := r.m.Status(); s.Cells[0].Grants != 1 || s.Counts.Granted != 1 {
		t.Errorf("%d grants, %d granted, want 1", s.Cells[0].Grants, s.Counts.Granted)
	}
}

// Guards against memory that stays held after the end of a grant.
func TestGrantsAreReleased(t *testing.T) {
	tests := map[string]func(*rig, *peer.Grant){
		"finish":  func(r *rig, _ *peer.Grant) { r.done("a", "finish", "") },
		"cancel":  func(r *rig, _ *peer.Grant) { r.done("a", "cancel", "") },
		"expiry":  func(r *rig, _ *peer.Grant) { r.sleep(term); r.do(event.Tick{}); r.reportAll() },
		"restart": func(r *rig, g *peer.Grant) { r.report(g.Decode, func(e *engine.Report) { e.Incarnation = 2 }) },
		"report": func(r *rig, g *peer.Grant) {
			r.report(g.Decode, func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
			r.report(g.Decode, nil)
		},
	}
	for name, release := range tests {
		t.Run(name, func(t *testing.T) {
			r := ready(1, 1)
			g := r.ask(ask("a", 5000))
			if held := r.m.units["d0"].held; held != g.Pieces {
				t.Fatalf("%d pieces held, want %d", held, g.Pieces)
			}
			release(r, g)
			u := r.m.units["d0"]
			if u.held != 0 || u.pending != 0 || len(u.live) != 0 {
				t.Errorf("held %d, pending %d, %d live, want none", u.held, u.pending, len(u.live))
			}
			if r.m.Wake().After(r.now.Add(time.Second)) {
				t.Error("a released grant still wakes the machine")
			}
		})
	}
}

// Guards against a used grant lapsing at the end of its term.
func TestUsedGrantDoesNotExpire(t *testing.T) {
	r := ready(1, 1)
	r.ask(ask("a", 5000))
	r.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	r.sleep(2 * term)
	r.do(event.Tick{})
	if n := r.m.Status().Cells[0].Grants; n != 1 {
		t.Errorf("%d grants, want 1", n)
	}
}

// Guards against a lagging report hiding what was granted or released since.
func TestLaggingReportIsCorrected(t *testing.T) {
	r := ready(1, 1)
	r.ask(ask("a", 5000))
	r.sleep(10 * time.Millisecond)
	r.report("d0", func(e *engine.Report) { e.Lag = durationpb.New(50 * time.Millisecond) })
	if free := r.m.units["d0"].free(); free != 37 {
		t.Errorf("%d free before the run is listed, want 37", free)
	}
	r.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	if free := r.m.units["d0"].free(); free != 37 {
		t.Errorf("%d free once the run is listed, want 37", free)
	}
	r.done("a", "finish", "")
	if free := r.m.units["d0"].free(); free != 40 {
		t.Errorf("%d free after the end, want 40", free)
	}
	r.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	if free := r.m.units["d0"].free(); free != 40 {
		t.Errorf("%d free after a late report, want 40", free)
	}
}

// Guards against a request going back to an engine that it has to avoid, and
// against losing the engine that is not to blame.
func TestAvoid(t *testing.T) {
	tests := map[string]struct {
		avoid func(*peer.Grant) string
		same  func(a, b *peer.Grant) bool
	}{
		"decode":  {func(g *peer.Grant) string { return g.Decode }, func(a, b *peer.Grant) bool { return a.Prefill == b.Prefill && a.Decode != b.Decode }},
		"prefill": {func(g *peer.Grant) string { return g.Prefill }, func(a, b *peer.Grant) bool { return a.Prefill != b.Prefill && a.Decode == b.Decode }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := ready(3, 3)
			r.ask(ask("other", 3000))
			first := r.ask(ask("a", 5000))
			a := ask("a", 5000)
			a.Avoid = []string{test.avoid(first)}
			again := r.ask(a)
			if !again.Granted || !test.same(first, again) {
				t.Errorf("first %v, again %v", first, again)
			}
		})
	}
}

// Guards against refusals without a time to come back, and ones that all name
// the same time.
func TestRefusalsSpread(t *testing.T) {
	r := ready(1, 1, WithMaxQueue(time.Hour))
	for i := range 20 {
		r.ask(ask(fmt.Sprint("a", i), 3000))
		r.sleep(time.Millisecond)
	}
	b, c := r.ask(ask("b", 9000)), r.ask(ask("c", 9000))
	if b.Granted || c.Granted || b.Reason != "overload" {
		t.Fatalf("got %v and %v, want refusals", b, c)
	}
	if b.After == 0 || c.After <= b.After {
		t.Errorf("come back after %d and %d ms", b.After, c.After)
	}
}

// Guards against a prefill wait that the caller's target can't bear.
func TestSlackBoundsTheFirstToken(t *testing.T) {
	r := ready(1, 2)
	a := ask("a", 20000)
	a.Slack = 900
	if g := r.ask(a); g.Granted {
		t.Errorf("granted with the first token in %d ms, due in 900", g.First)
	}
	a.Slack = 1100
	if g := r.ask(a); !g.Granted {
		t.Errorf("refused: %v", g)
	}
}

// Guards against requests that are late already and make others late.
func TestLateRequestsTakeShortWaits(t *testing.T) {
	r := ready(1, 2)
	r.ask(ask("a", 12000))
	late, timely := ask("b", 1000), ask("c", 1000)
	timely.Slack = 1000
	if g := r.ask(late); g.Granted || g.After == 0 {
		t.Errorf("a late request got %v behind 600 ms of work", g)
	}
	if g := r.ask(timely); !g.Granted {
		t.Errorf("a request in time was refused: %v", g)
	}
}

// Guards against estimates that forget the more urgent requests to come.
func TestLessUrgentRequestsAreOvertaken(t *testing.T) {
	first := func(priority uint32) uint32 {
		r := ready(1, 2)
		for i := range 50 {
			a := ask(fmt.Sprint("u", i), 2000)
			a.Priority = 1
			r.ask(a)
			r.done(a.Request, "finish", "")
			r.sleep(200 * time.Millisecond)
			r.reportAll()
		}
		r.ask(ask("ahead", 8000))
		a := ask("a", 1000)
		a.Priority, a.Slack = priority, 5000
		return r.ask(a).First
	}
	if urgent, other := first(1), first(2); other < urgent*5/4 {
		t.Errorf("first tokens in %d and %d ms", urgent, other)
	}
}

// Guards against a prefix that attracts all its requests to one engine.
func TestPrefixAttractsUpToItsShare(t *testing.T) {
	r := ready(4, 4, WithMaxQueue(time.Hour))
	r.do(event.Cached{Engine: "p2", Event: &engine.CacheEvent{Sequence: 1, Stored: []uint64{11, 12}}})
	counts := map[string]int{}
	for i := range 24 {
		a := ask(fmt.Sprint("a", i), 4100)
		a.Pieces = []uint64{11, 12}
		counts[r.ask(a).Prefill]++
	}
	if counts["p2"] < 6 || counts["p2"] > 20 {
		t.Errorf("prefills by engine are %v", counts)
	}
}

// Guards against short prompts paying for a transfer and long ones stalling a
// decode engine.
func TestLocalPrefill(t *testing.T) {
	tests := map[string]struct {
		tokens uint32
		cached []uint64
		local  bool
	}{
		"short":       {400, nil, true},
		"long":        {6000, nil, false},
		"long cached": {6500, []uint64{1, 2, 3}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := engines(1, 1)
			list[1].Role = policy.RoleBoth
			r := newRig(list, WithTokenBytes(1))
			r.reportAll()
			for _, e := range []string{"p0", "d0"} {
				r.report(e, func(r *engine.Report) { r.Link = 1 << 20 })
			}
			r.do(event.Cached{Engine: "d0", Event: &engine.CacheEvent{Sequence: 1, Stored: test.cached}})
			a := ask("a", test.tokens)
			a.Pieces = []uint64{1, 2, 3}[:min(3, test.tokens/2000)]
			g := r.ask(a)
			if local := g.Prefill == g.Decode; local != test.local {
				t.Errorf("prefill on %s, decode on %s", g.Prefill, g.Decode)
			}
		})
	}
}

// Guards against work for engines that are leaving, lost, silent or serve
// another model.
func TestEnginesWithoutGrants(t *testing.T) {
	tests := map[string]func(*rig){
		"leaving": func(r *rig) {
			r.do(event.Listed{Revision: 2, Instances: []*platfm.Instance{
				{Name: "me", Kind: "daemon", Domain: "gent", State: "live"},
				{Name: "d0", Kind: "engine", State: "leaving"}}})
		},
		"lost":   func(r *rig) { r.do(event.Unreachable{Engine: "d0"}) },
		"silent": func(r *rig) { r.sleep(stale + 1); r.report("p0", nil) },
		"model":  func(r *rig) { r.report("d0", func(e *engine.Report) { e.Model = "other" }) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			r := ready(1, 1)
			stop(r)
			if g := r.ask(ask("a", 100)); g.Granted {
				t.Errorf("granted %v", g)
			}
		})
	}
}
