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

// harness feeds events to a machine that owns one cell.
type harness struct {
	m        *Machine
	now      time.Time
	document *policy.Document
	out      []event.Action
}

// engines returns p prefill and d decode engines of cell c that check fencing
// tokens.
func engines(p, d int) []policy.Engine {
	var list []policy.Engine
	for i := range p + d {
		e := policy.Engine{Name: fmt.Sprintf("d%d", i-p), Role: policy.RoleDecode}
		if i < p {
			e.Name, e.Role = fmt.Sprintf("p%d", i), policy.RolePrefill
		}
		e.Service, e.Cell, e.Domain, e.ChecksFencing = "s", "c", "gent", true
		list = append(list, e)
	}
	return list
}

func newHarness(list []policy.Engine, opts ...Option) *harness {
	h := &harness{m: New("me", 7, opts...), now: start}
	h.document = &policy.Document{
		Version:  1,
		Services: []policy.Service{{Name: "s", Kind: policy.KindModel, Model: "m"}},
		Engines:  list,
	}
	h.do(event.Published{Document: h.document})
	h.do(event.Listed{Revision: 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}})
	h.do(event.Members{Alive: map[string]uint64{"me": 7}})
	return h
}

// newReadyHarness returns a harness whose engines have all sent a load report.
func newReadyHarness(p, d int, opts ...Option) *harness {
	h := newHarness(engines(p, d), opts...)
	h.reportAll()
	return h
}

func (h *harness) do(e event.Event) []event.Action {
	h.out = h.m.Step(h.now, e, nil)
	return h.out
}

func (h *harness) sleep(d time.Duration) { h.now = h.now.Add(d) }

func (h *harness) report(name string, change func(*engine.Report)) []event.Action {
	e := h.document.Engines[slices.IndexFunc(h.document.Engines, func(e policy.Engine) bool { return e.Name == name })]
	rep := &engine.Report{Engine: name, Incarnation: 1, Model: "m", Role: e.Role, Pieces: 40, Free: 40, Slots: 20, Speed: 20000, Checks: e.ChecksFencing}
	if change != nil {
		change(rep)
	}
	return h.do(event.Reported{Engine: name, Report: rep})
}

func (h *harness) reportAll() {
	for _, e := range h.document.Engines {
		h.report(e.Name, nil)
	}
}

func ask(request string, tokens uint32) *peer.Ask {
	return &peer.Ask{Request: request, Cell: "c", Tokens: tokens, Output: 100, Print: uint64(len(request))<<32 + uint64(request[len(request)-1])}
}

func (h *harness) ask(a *peer.Ask) *peer.Grant {
	for _, action := range h.do(event.Asked{From: "edge", Ask: a}) {
		if g, ok := action.(event.SendGrant); ok {
			return g.Grant
		}
	}
	return nil
}

func (h *harness) done(request, outcome, engine string) []event.Action {
	return h.do(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcome, Output: 100, Engine: engine}})
}

func run(pieces uint32) *engine.Running {
	return &engine.Running{Request: "a", Instance: "me", Incarnation: 7, Pieces: pieces, State: stateDecode}
}

// Guards against a repeated lease request that holds memory twice.
func TestRepeatedAskGetsTheSameGrant(t *testing.T) {
	h := newReadyHarness(1, 2)
	first := h.ask(ask("a", 5000))
	again := h.ask(ask("a", 5000))
	if !first.Granted || first.Decode != again.Decode || first.Prefill != again.Prefill {
		t.Errorf("first %v, again %v", first, again)
	}
	if s := h.m.Status(); s.Cells[0].Grants != 1 || s.Counts.Granted != 1 {
		t.Errorf("%d leases, %d granted, want 1", s.Cells[0].Grants, s.Counts.Granted)
	}
}

// Guards against memory that stays leased after the end of a lease.
func TestGrantsAreReleased(t *testing.T) {
	tests := map[string]func(*harness, *peer.Grant){
		"finish":  func(h *harness, _ *peer.Grant) { h.done("a", "finish", "") },
		"cancel":  func(h *harness, _ *peer.Grant) { h.done("a", "cancel", "") },
		"expiry":  func(h *harness, _ *peer.Grant) { h.sleep(leaseTerm); h.do(event.Tick{}); h.reportAll() },
		"restart": func(h *harness, g *peer.Grant) { h.report(g.Decode, func(e *engine.Report) { e.Incarnation = 2 }) },
		"report": func(h *harness, g *peer.Grant) {
			h.report(g.Decode, func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
			h.report(g.Decode, nil)
		},
	}
	for name, release := range tests {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(1, 1)
			g := h.ask(ask("a", 5000))
			if held := h.m.engines["d0"].leasedBlocks; held != g.Pieces {
				t.Fatalf("%d KV blocks leased, want %d", held, g.Pieces)
			}
			release(h, g)
			eng := h.m.engines["d0"]
			if eng.leasedBlocks != 0 || eng.pendingBlocks != 0 || len(eng.leases) != 0 {
				t.Errorf("%d KV blocks leased, %d pending, %d leases, want none", eng.leasedBlocks, eng.pendingBlocks, len(eng.leases))
			}
			if h.m.Wake().After(h.now.Add(time.Second)) {
				t.Error("an ended lease still wakes the machine")
			}
		})
	}
}

// Guards against the expiry of a lease that is in use.
func TestUsedGrantDoesNotExpire(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.ask(ask("a", 5000))
	h.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	h.sleep(2 * leaseTerm)
	h.do(event.Tick{})
	if n := h.m.Status().Cells[0].Grants; n != 1 {
		t.Errorf("%d leases, want 1", n)
	}
}

// Guards against a delayed load report that hides the leases granted or ended
// since it was measured.
func TestLaggingReportIsCorrected(t *testing.T) {
	h := newReadyHarness(1, 1)
	h.ask(ask("a", 5000))
	h.sleep(10 * time.Millisecond)
	h.report("d0", func(e *engine.Report) { e.Lag = durationpb.New(50 * time.Millisecond) })
	if free := h.m.engines["d0"].freeBlocks(); free != 37 {
		t.Errorf("%d free before the run is listed, want 37", free)
	}
	h.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	if free := h.m.engines["d0"].freeBlocks(); free != 37 {
		t.Errorf("%d free once the run is listed, want 37", free)
	}
	h.done("a", "finish", "")
	if free := h.m.engines["d0"].freeBlocks(); free != 40 {
		t.Errorf("%d free after the end, want 40", free)
	}
	h.report("d0", func(e *engine.Report) { e.Free, e.Running = 37, []*engine.Running{run(3)} })
	if free := h.m.engines["d0"].freeBlocks(); free != 40 {
		t.Errorf("%d free after a late report, want 40", free)
	}
}

// Guards against a lease on an engine that the request must avoid, and against the
// replacement of the other engine, which may hold memory for the request.
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
			h := newReadyHarness(3, 3)
			h.ask(ask("other", 3000))
			first := h.ask(ask("a", 5000))
			a := ask("a", 5000)
			a.Avoid = []string{test.avoid(first)}
			again := h.ask(a)
			if !again.Granted || !test.same(first, again) {
				t.Errorf("first %v, again %v", first, again)
			}
		})
	}
}

// Guards against refusals without a Retry-After delay, and against equal delays
// that make refused requests retry together.
func TestRefusalsSpread(t *testing.T) {
	h := newReadyHarness(1, 1, WithMaxQueue(time.Hour))
	for i := range 20 {
		h.ask(ask(fmt.Sprint("a", i), 3000))
		h.sleep(time.Millisecond)
	}
	b, c := h.ask(ask("b", 9000)), h.ask(ask("c", 9000))
	if b.Granted || c.Granted || b.Reason != "overload" {
		t.Fatalf("got %v and %v, want refusals", b, c)
	}
	if b.After == 0 || c.After <= b.After {
		t.Errorf("Retry-After delays of %d and %d ms, want a longer second one", b.After, c.After)
	}
}

// Guards against a queueing delay that exceeds the slack of the request.
func TestSlackBoundsTheFirstToken(t *testing.T) {
	h := newReadyHarness(1, 2)
	a := ask("a", 20000)
	a.Slack = 900
	if g := h.ask(a); g.Granted {
		t.Errorf("granted with the first token in %d ms, due in 900", g.First)
	}
	a.Slack = 1100
	if g := h.ask(a); !g.Granted {
		t.Errorf("refused: %v", g)
	}
}

// Guards against requests that have already missed their target and make others
// miss theirs.
func TestLateRequestsTakeShortWaits(t *testing.T) {
	h := newReadyHarness(1, 2)
	h.ask(ask("a", 12000))
	late, timely := ask("b", 1000), ask("c", 1000)
	timely.Slack = 1000
	if g := h.ask(late); g.Granted || g.After == 0 {
		t.Errorf("a late request got %v behind 600 ms of work", g)
	}
	if g := h.ask(timely); !g.Granted {
		t.Errorf("a request in time was refused: %v", g)
	}
}

// Guards against estimates of the queueing delay that ignore more urgent requests
// which arrive later.
func TestLessUrgentRequestsAreOvertaken(t *testing.T) {
	first := func(priority uint32) uint32 {
		h := newReadyHarness(1, 2)
		for i := range 50 {
			a := ask(fmt.Sprint("u", i), 2000)
			a.Priority = 1
			h.ask(a)
			h.done(a.Request, "finish", "")
			h.sleep(200 * time.Millisecond)
			h.reportAll()
		}
		h.ask(ask("ahead", 8000))
		a := ask("a", 1000)
		a.Priority, a.Slack = priority, 5000
		return h.ask(a).First
	}
	if urgent, other := first(1), first(2); other < urgent*5/4 {
		t.Errorf("first tokens in %d and %d ms", urgent, other)
	}
}

// Guards against prefix cache hits that send all requests with one prefix to one
// engine.
func TestPrefixAttractsUpToItsShare(t *testing.T) {
	h := newReadyHarness(4, 4, WithMaxQueue(time.Hour))
	h.do(event.Cached{Engine: "p2", Event: &engine.CacheEvent{Sequence: 1, Stored: []uint64{11, 12}}})
	counts := map[string]int{}
	for i := range 24 {
		a := ask(fmt.Sprint("a", i), 4100)
		a.Pieces = []uint64{11, 12}
		counts[h.ask(a).Prefill]++
	}
	if counts["p2"] < 6 || counts["p2"] > 20 {
		t.Errorf("prefills by engine are %v", counts)
	}
}

// Guards against a KV transfer for short prompts, and against long prefills on a
// decode engine, which stall its outputs.
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
			h := newHarness(list, WithTokenBytes(1))
			h.reportAll()
			for _, e := range []string{"p0", "d0"} {
				h.report(e, func(e *engine.Report) { e.Link = 1 << 20 })
			}
			h.do(event.Cached{Engine: "d0", Event: &engine.CacheEvent{Sequence: 1, Stored: test.cached}})
			a := ask("a", test.tokens)
			a.Pieces = []uint64{1, 2, 3}[:min(3, test.tokens/2000)]
			g := h.ask(a)
			if local := g.Prefill == g.Decode; local != test.local {
				t.Errorf("prefill on %s, decode on %s", g.Prefill, g.Decode)
			}
		})
	}
}

// Guards against leases on engines that are leaving, whose report stream is
// broken or silent, or that have another model loaded.
func TestEnginesWithoutGrants(t *testing.T) {
	tests := map[string]func(*harness){
		"leaving": func(h *harness) {
			h.do(event.Listed{Revision: 2, Instances: []*platfm.Instance{
				{Name: "me", Kind: "daemon", Domain: "gent", State: "live"},
				{Name: "d0", Kind: "engine", State: "leaving"}}})
		},
		"lost":   func(h *harness) { h.do(event.Unreachable{Engine: "d0"}) },
		"silent": func(h *harness) { h.sleep(maxReportAge + 1); h.report("p0", nil) },
		"model":  func(h *harness) { h.report("d0", func(e *engine.Report) { e.Model = "other" }) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			h := newReadyHarness(1, 1)
			stop(h)
			if g := h.ask(ask("a", 100)); g.Granted {
				t.Errorf("granted %v", g)
			}
		})
	}
}
