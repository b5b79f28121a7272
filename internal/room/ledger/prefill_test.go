package ledger_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
)

// Scenario: prefill engines are lost or switched just before a burst. Guards against
// requests that wait or are refused for lack of prefill engines while decode engines
// have room, and against decode engines that prefill several prompts at once, which
// would stall their runs.
func TestDecodeEnginesPrefillInBurst(t *testing.T) {
	cases := map[string]struct {
		requests, prompt int
		// later is the time after which queued requests are tried again.
		later time.Duration
		// started is the number of prompts that decode engines have prefilled by the time
		// of the report.
		started       int
		granted, self int
	}{
		"prefill engine is enough":     {4, 5000, 400 * time.Millisecond, 0, 4, 0},
		"prefill engine is full":       {10, 5000, 70 * time.Millisecond, 0, 10, 4},
		"decode engines read one each": {16, 5000, 70 * time.Millisecond, 0, 10, 4},
		"their runs have just paused":  {16, 5000, 70 * time.Millisecond, 4, 10, 4},
		// The prefill engine has finished three prompts by then and takes as many.
		"they read more once two are read": {16, 5000, 400 * time.Millisecond, 2, 15, 6},
		"they read more once all are read": {16, 5000, 400 * time.Millisecond, 4, 16, 7},
		"prompts would pause for too long": {16, 8000, 70 * time.Millisecond, 0, 4, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(4, 64, 200_000))
			// At 50,000 tokens a second, five queued prompts take half a second.
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000})
			now, granted := t0, []ledger.Reply{}
			collect := func(replies []ledger.Reply) {
				for _, a := range replies {
					if a.Status == ledger.Granted {
						granted = append(granted, a)
					}
				}
			}
			for i := range uint64(c.requests) {
				a := request(i + 1)
				a.Prompt = c.prompt
				collect(l.Submit(now, edge1, a))
			}
			report := ledger.Report{Service: "s", Incarnation: 1, Sequence: 2, PrefillRate: 50_000}
			for _, a := range granted {
				r := ledger.Run{Lease: a.ID, Decode: a.Decode, Prefill: a.Prefill, Prompt: c.prompt, Expected: 4000}
				if a.Prefill == "" {
					r.Phase = ledger.Decoding
					if c.started > 0 {
						c.started--
						r.Generated = 11
					}
				}
				report.Runs = append(report.Runs, r)
			}
			l.ApplyReport(now, edge1, report)
			collect(l.Tick(now.Add(c.later)))
			self, prefills := 0, map[string]int{}
			for _, a := range granted {
				if a.Prefill == "" {
					self++
					prefills[a.Decode]++
				}
			}
			if len(granted) != c.granted || self != c.self {
				t.Errorf("%d granted, %d of them prefilled by decode engines; want %d and %d", len(granted), self, c.granted, c.self)
			}
			for id, n := range prefills {
				if most := (c.self + 3) / 4; n > most {
					t.Errorf("%s prefills %d prompts, want %d at most", id, n, most)
				}
			}
		})
	}
}

// Scenario: a burst in a large fleet, whose daemons report once a second. Guards
// against prompts that count as queued until the next report although a prefill
// takes only 100 ms: requests were refused, or prefilled by decode engines, while
// prefill engines were idle.
func TestPromptsArePrefilledBetweenReports(t *testing.T) {
	cases := map[string]struct {
		// every is the time between requests of 5,000 tokens at an engine that prefills
		// 50,000 tokens a second.
		every time.Duration
		// stuck means that reports show no prefill as complete.
		stuck bool
		// least and most bound the requests out of 20 that the prefill engine gets.
		least, most int
	}{
		"engine keeps up":             {160 * time.Millisecond, false, 20, 20},
		"engine is slower than asks":  {40 * time.Millisecond, false, 8, 16},
		"engine reads slower than it": {160 * time.Millisecond, true, 5, 18},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(4, 64, 400_000))
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000})
			now, number, prefill := t0, uint64(1), 0
			var runs []ledger.Run
			for i := range uint64(20) {
				for _, a := range l.Submit(now, edge1, request(i+1)) {
					if a.Status != ledger.Granted {
						continue
					}
					phase := ledger.Decoding
					if a.Prefill != "" {
						prefill++
						phase = ledger.Prefilling
					}
					runs = append(runs, ledger.Run{Lease: a.ID, Decode: a.Decode, Prefill: a.Prefill, Prompt: 5000, Expected: 4000, Phase: phase})
				}
				if was := now; was.Truncate(time.Second) != now.Add(c.every).Truncate(time.Second) {
					number++
					if !c.stuck {
						for j := range runs {
							runs[j].Phase, runs[j].Generated = ledger.Decoding, 11
						}
					}
					l.ApplyReport(now, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: number, PrefillRate: 50_000, Runs: runs})
				}
				now = now.Add(c.every)
			}
			if prefill < c.least || prefill > c.most {
				t.Errorf("prefill engine gets %d of 20, want %d to %d", prefill, c.least, c.most)
			}
		})
	}
}

// Guards against streams that go on with one retry left and are sent to a prefill engine
// first, which takes two, and against others that wait because such a one finds no room.
func TestAlone(t *testing.T) {
	cases := map[string]struct {
		prompt  int
		granted bool
	}{
		"a decode engine prefills it itself":  {5000, true},
		"the prompt would pause for too long": {8000, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(4, 64, 200_000))
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, PrefillRate: 50_000})
			first, second := request(1), request(2)
			first.Prompt, first.Alone, first.Resumed, second.Prompt = c.prompt, true, true, 5000
			granted := map[uint64]ledger.Reply{}
			for _, r := range append(l.Submit(t0, edge1, first), l.Submit(t0, edge1, second)...) {
				if r.Status == ledger.Granted {
					granted[r.ID] = r
				}
			}
			if r, ok := granted[1]; ok != c.granted || r.Prefill != "" {
				t.Errorf("granted %t with prefill engine %q; want %t without one", ok, r.Prefill, c.granted)
			}
			if r := granted[2]; r.Prefill == "" {
				t.Errorf("another request got %+v, want engines of both stages", r)
			}
		})
	}
}
