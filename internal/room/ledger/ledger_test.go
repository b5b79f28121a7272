package ledger_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

var (
	t0    = time.Unix(1_700_000_000, 0)
	edge1 = netip.MustParseAddrPort("10.1.0.1:7000")
	edge2 = netip.MustParseAddrPort("10.1.0.2:7000")
)

// engines returns one prefill engine, p1, and n decode engines, d1 to dn.
func engines(n, slots, tokens int) []ledger.Engine {
	out := []ledger.Engine{{ID: "p1", Domain: "a", Stage: pool.Prefill, Slots: slots, Tokens: tokens}}
	for i := range n {
		out = append(out, ledger.Engine{ID: "d" + string(rune('1'+i)), Domain: "a", Stage: pool.Decode, Slots: slots, Tokens: tokens})
	}
	return out
}

func request(id uint64) ledger.Request {
	return ledger.Request{Service: "s", Incarnation: 1, ID: id, Domain: "a", Prompt: 5000, Expected: 4000,
		Slack: 600 * time.Millisecond, MaxWait: time.Second, RetryMaxWait: 2 * time.Second}
}

// replyTo returns the reply to one lease request.
func replyTo(t *testing.T, replies []ledger.Reply, id uint64) ledger.Reply {
	t.Helper()
	for _, reply := range replies {
		if reply.ID == id {
			return reply
		}
	}
	t.Fatalf("no reply to request %d in %v", id, replies)
	return ledger.Reply{}
}

// Guards against a lease request that is lost, or that crashes the ledger, when its
// edge daemon sent no reports for a while.
func TestRequestAfterMissingReports(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 1, 20000))
	l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1})
	replyTo(t, l.Submit(t0, edge2, request(1)), 1)
	later := t0.Add(10 * time.Second)
	l.ApplyReport(later, edge2, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1,
		Runs: []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expected: 4000, Generated: 3900}}})
	if a := replyTo(t, l.Submit(later, edge1, request(7)), 7); a.Status == ledger.Granted {
		t.Errorf("the engine's only slot is granted twice")
	}
}

// Guards against requests that wait in vain: what can't be served is refused at
// once, with a reason and a Retry-After delay.
func TestRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		engines []ledger.Engine
		change  func(*ledger.Request)
		fill    int
		reason  string
	}{
		"no engine":     {nil, func(*ledger.Request) {}, 0, ledger.ReasonNoEngine},
		"all excluded":  {engines(1, 4, 20000), func(a *ledger.Request) { a.Excluded = []string{"d1"} }, 0, ledger.ReasonNoEngine},
		"too large":     {engines(2, 4, 20000), func(a *ledger.Request) { a.Prompt = 30000 }, 0, ledger.ReasonTooLarge},
		"would be late": {engines(1, 4, 20000), func(a *ledger.Request) { a.Slack = 100 * time.Millisecond }, 2, ledger.ReasonLate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, c.engines)
			for i := range c.fill {
				replyTo(t, l.Submit(t0, edge1, request(uint64(100+i))), uint64(100+i))
			}
			a := request(1)
			c.change(&a)
			got := replyTo(t, l.Submit(t0, edge1, a), 1)
			if got.Status != ledger.Refused || got.Reason != c.reason || got.RetryAfter <= 0 {
				t.Errorf("reply %+v, want a refusal for %q with a Retry-After delay", got, c.reason)
			}
		})
	}
}

// Guards against a retry after a refusal that is refused again while requests that
// came later are queued.
func TestRetryIsQueued(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 2, 20000))
	for id := uint64(1); id <= 2; id++ {
		replyTo(t, l.Submit(t0, edge1, request(id)), id)
	}
	late := request(3)
	late.Fingerprint, late.Slack = 77, 10*time.Millisecond
	if got := replyTo(t, l.Submit(t0, edge1, late), 3); got.Status != ledger.Refused {
		t.Fatalf("reply %+v, want a refusal", got)
	}
	now := t0.Add(2 * time.Second)
	runs := []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expected: 4000}, {Lease: 2, Decode: "d1", Prompt: 5000, Expected: 4000}}
	l.ApplyReport(now, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Runs: runs})
	late.ID, late.RetryMaxWait = 4, 10*time.Second
	if got := replyTo(t, l.Submit(now, edge1, late), 4); got.Status != ledger.Queued {
		t.Errorf("reply %+v to a retry, want it queued", got)
	}
	l.ApplyReport(now, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 2, Runs: runs[:1], Ended: []uint64{2}})
	if got := replyTo(t, l.Tick(now.Add(20*time.Millisecond)), 4); got.Status != ledger.Granted {
		t.Errorf("reply %+v after a run ended, want a grant", got)
	}
}

// Guards against a lease request that is granted twice when the reply was lost and
// the request is sent again.
func TestRepeatedRequestGetsSameReply(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 1, 20000))
	first := replyTo(t, l.Submit(t0, edge1, request(1)), 1)
	again := replyTo(t, l.Submit(t0.Add(50*time.Millisecond), edge1, request(1)), 1)
	if first.Status != ledger.Granted || again.Status != ledger.Granted || first.Decode != again.Decode {
		t.Errorf("replies %+v and %+v, want the same grant", first, again)
	}
	if runs, _, _ := l.Load(); runs != 1 {
		t.Errorf("%d runs for one lease request", runs)
	}
}

// Guards against memory that stays granted after its edge daemon died, or after the
// run ended and the report of its end was lost.
func TestMemoryIsFreed(t *testing.T) {
	cases := map[string]func(l *ledger.Ledger){
		"end reported": func(l *ledger.Ledger) {
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Ended: []uint64{1}})
		},
		"end not heard": func(l *ledger.Ledger) {
			l.ApplyReport(t0.Add(time.Second), edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1})
		},
		"daemon restarted": func(l *ledger.Ledger) {
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Runs: []ledger.Run{{Lease: 1, Decode: "d1"}}})
			l.ApplyReport(t0.Add(time.Second), edge1, ledger.Report{Service: "s", Incarnation: 2, Sequence: 1})
		},
		"daemon silent": func(l *ledger.Ledger) {
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Runs: []ledger.Run{{Lease: 1, Decode: "d1"}}})
		},
		"client left": func(l *ledger.Ledger) { l.Cancel(t0, edge1, 1, 1) },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(1, 1, 20000))
			replyTo(t, l.Submit(t0, edge1, request(1)), 1)
			f(l)
			if got := replyTo(t, l.Submit(t0.Add(4*time.Second), edge2, request(2)), 2); got.Status != ledger.Granted {
				t.Errorf("reply %+v 4 s later, want a grant", got)
			}
		})
	}
}

// Guards against memory that is granted again because a daemon sent no reports for a
// while, although engines still execute its runs: the engines would preempt them.
func TestSilentDaemonKeepsItsCapacity(t *testing.T) {
	cases := map[string]struct {
		usage *ledger.Usage
		free  bool
	}{
		"engine not asked yet":      {nil, false},
		"engine works on":           {&ledger.Usage{Tokens: 15300, Running: 1}, false},
		"engine has ended the run":  {&ledger.Usage{}, true},
		"engine holds a cache only": {&ledger.Usage{Tokens: 15300}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(1, 4, 20000))
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Runs: []ledger.Run{
				{Lease: 1, Decode: "d1", Prompt: 15000, Expected: 4000, Generated: 100, Phase: ledger.Decoding}}})
			replyTo(t, l.Submit(t0.Add(time.Second), edge2, request(2)), 2)
			now := t0.Add(2600 * time.Millisecond)
			l.Tick(now)
			if ids := l.PollTargets(now); !slices.Contains(ids, "d1") {
				t.Fatalf("engines to poll %v, want d1", ids)
			}
			if c.usage != nil {
				l.SetUsage(now, "d1", *c.usage)
			}
			if got := replyTo(t, l.Submit(now, edge2, request(3)), 3); (got.Status == ledger.Granted) != c.free {
				t.Errorf("reply %+v, want a grant: %v", got, c.free)
			}
		})
	}
}

// Guards against grants of memory that the runs of dead daemons still hold.
func TestUntrackedRunsCount(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 4, 20000))
	replyTo(t, l.Submit(t0, edge1, request(1)), 1)
	if ids := l.PollTargets(t0.Add(10 * time.Millisecond)); !slices.Equal(ids, []string{"d1", "p1"}) {
		t.Fatalf("engines to poll %v, want d1, and p1 for its stage", ids)
	}
	l.SetUsage(t0.Add(20*time.Millisecond), "d1", ledger.Usage{Tokens: 15000, Running: 2})
	if got := replyTo(t, l.Submit(t0.Add(30*time.Millisecond), edge1, request(2)), 2); got.Status == ledger.Granted {
		t.Errorf("reply %+v while untracked runs hold the memory, want no grant", got)
	}
	l.ApplyReport(t0.Add(790*time.Millisecond), edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1,
		Runs: []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expected: 4000, Phase: ledger.Decoding}}})
	l.SetUsage(t0.Add(800*time.Millisecond), "d1", ledger.Usage{Tokens: 5000, Running: 1})
	if got := replyTo(t, l.Submit(t0.Add(820*time.Millisecond), edge1, request(3)), 3); got.Status != ledger.Granted {
		t.Errorf("reply %+v after the untracked runs ended, want a grant", got)
	}
}

// Guards against a queued request that is refused only when its longest queueing
// time has passed, although the engines that its predicted wait relied on were lost.
func TestQueuedIsPredictedAgain(t *testing.T) {
	l := ledger.New("s")
	all := engines(8, 4, 20_000)
	l.SetEngines(t0, all)
	now := t0
	id := uint64(0)
	var queued []uint64
	for range 40 {
		id++
		a := request(id)
		a.Slack, a.MaxWait = 1500*time.Millisecond, 2*time.Second
		if got := replyTo(t, l.Submit(now, edge1, a), id); got.Status == ledger.Queued {
			queued = append(queued, id)
		}
	}
	if len(queued) < 2 {
		t.Fatalf("%d requests are queued, want at least 2", len(queued))
	}
	now = now.Add(100 * time.Millisecond)
	l.SetEngines(now, engines(1, 4, 20_000))
	refused := 0
	for _, a := range l.Tick(now) {
		if a.Status == ledger.Refused {
			if refused++; a.RetryAfter <= 0 || a.Reason != ledger.ReasonLate {
				t.Errorf("reply %+v, want a refusal for its wait with a Retry-After delay", a)
			}
		}
	}
	if refused < len(queued)-1 {
		t.Errorf("%d of %d queued requests are refused when seven of eight engines are lost, want all but one", refused, len(queued))
	}
}
