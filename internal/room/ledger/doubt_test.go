package ledger_test

import (
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against leases that are used up within milliseconds on prefill engines that are
// known to be dead, while decode engines could prefill the prompt or the stream could wait.
func TestNoLeaseOnDeadPrefillEngine(t *testing.T) {
	type want struct {
		status          ledger.Status
		decode, prefill string
	}
	cases := map[string]struct {
		resumed   bool
		prompt    int
		excluded  []string
		unhealthy []string
		now, back want
	}{
		"sound":                          {true, 5000, nil, nil, want{ledger.Granted, "d1", "p1"}, want{}},
		"dead, short prompt":             {true, 5000, nil, []string{"p1"}, want{ledger.Granted, "d1", ""}, want{}},
		"dead, long prompt":              {true, 9000, nil, []string{"p1"}, want{status: ledger.Queued}, want{ledger.Granted, "d1", "p1"}},
		"just failed, short prompt":      {true, 5000, []string{"p1"}, nil, want{ledger.Granted, "d1", ""}, want{}},
		"just failed, long prompt":       {true, 9000, []string{"p1"}, nil, want{status: ledger.Queued}, want{ledger.Granted, "d1", "p1"}},
		"new request, dead":              {false, 5000, nil, []string{"p1"}, want{ledger.Granted, "d1", ""}, want{}},
		"new request, dead, long prompt": {false, 9000, nil, []string{"p1"}, want{ledger.Granted, "d1", "p1"}, want{}},
		"new request, refused there":     {false, 5000, []string{"p1"}, nil, want{ledger.Granted, "d1", "p1"}, want{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := engines(1, 8, 60_000)
			list[1].Version = "v1"
			l.SetEngines(t0, list)
			report := func(at time.Time, sequence uint64, unhealthy []string) {
				l.ApplyReport(at, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: sequence, PrefillRate: 50_000, Unhealthy: unhealthy})
			}
			report(t0, 1, c.unhealthy)
			req := sized(1, c.prompt, 1000)
			req.Excluded, req.Resumed = c.excluded, c.resumed
			if c.resumed {
				req.Version = "v1"
			}
			check := func(r ledger.Reply, w want) {
				t.Helper()
				if r.Status != w.status || r.Decode != w.decode || r.Prefill != w.prefill {
					t.Errorf("reply %+v, want %+v", r, w)
				}
			}
			check(replyTo(t, l.Submit(t0, edge1, req), 1), c.now)
			if c.now.status != ledger.Queued {
				return
			}
			report(t0.Add(100*time.Millisecond), 2, nil)
			early := l.Tick(t0.Add(100 * time.Millisecond))
			if len(c.excluded) == 0 {
				check(replyTo(t, early, 1), c.back)
				return
			}
			if len(early) > 0 {
				t.Fatalf("replies %+v by a report that may be older than the failure", early)
			}
			report(t0.Add(400*time.Millisecond), 3, []string{"p1"})
			if still := l.Tick(t0.Add(400 * time.Millisecond)); len(still) > 0 {
				t.Fatalf("replies %+v while its daemon reports the engine as unhealthy", still)
			}
			report(t0.Add(500*time.Millisecond), 4, nil)
			check(replyTo(t, l.Tick(t0.Add(500*time.Millisecond)), 1), c.back)
		})
	}
}

// Guards against leases that are used up on a dead prefill engine, while one that a single
// daemon could not use for a moment serves.
func TestPrefillAtLeastDoubtedEngine(t *testing.T) {
	list := append(engines(1, 8, 60_000), ledger.Engine{ID: "p2", Domain: "b", Stage: pool.Prefill, Slots: 8, Tokens: 60_000})
	cases := map[string]struct {
		edge1, edge2 []string
		prefill      string
	}{
		"both daemons report one": {[]string{"p1", "p2"}, []string{"p1"}, "p2"},
		"the other":               {[]string{"p1"}, []string{"p2", "p1"}, "p2"},
		"each reports one":        {[]string{"p1"}, []string{"p2"}, "p1"},
		"one is sound":            {[]string{"p1"}, []string{"p1"}, "p2"},
		"both report both":        {[]string{"p1", "p2"}, []string{"p1", "p2"}, "p1"},
		"the nearer one twice":    {[]string{"p1", "p2"}, []string{"p2"}, "p1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := slices.Clone(list)
			if name == "the nearer one twice" {
				list[0].Domain, list[2].Domain = "b", "a"
			}
			l.SetEngines(t0, list)
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000, Unhealthy: c.edge1})
			l.ApplyReport(t0, edge2, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000, Unhealthy: c.edge2})
			if got := replyTo(t, l.Submit(t0, edge1, sized(1, 9000, 1000)), 1); got.Prefill != c.prefill {
				t.Errorf("reply %+v, want a prefill at %s", got, c.prefill)
			}
		})
	}
}

// Guards against new requests that find no room because of streams that wait for a prefill
// engine only.
func TestWaitForPrefillKeepsNoRoom(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(2, 8, 60_000))
	l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000, Unhealthy: []string{"p1"}})
	stream := sized(1, 9000, 1000)
	stream.Resumed = true
	if got := replyTo(t, l.Submit(t0, edge1, stream), 1); got.Status != ledger.Queued {
		t.Fatalf("reply %+v, want the stream queued", got)
	}
	if got := replyTo(t, l.Submit(t0, edge1, sized(2, 5000, 1000)), 2); got.Decode != "d1" || got.Prefill != "" {
		t.Errorf("reply %+v, want a new request on d1, which prefills it", got)
	}
	short := sized(3, 5000, 1000)
	short.Resumed = true
	if got := replyTo(t, l.Submit(t0, edge1, short), 3); got.Decode != "d2" || got.Prefill != "" {
		t.Errorf("reply %+v, want a short stream on d2, which prefills it", got)
	}
}
