package ledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against orders that switch engines back and forth, that take the last
// prefill engines, or that hit an engine with queued prompts.
func TestBalance(t *testing.T) {
	l := ledger.New("s")
	var list []ledger.Engine
	for i := range 12 {
		list = append(list, ledger.Engine{ID: "p" + string(rune('a'+i)), Stage: pool.Prefill, Slots: 16, Tokens: 62000})
	}
	for i := range 23 {
		list = append(list, ledger.Engine{ID: "d" + string(rune('a'+i)), Stage: pool.Decode, Slots: 16, Tokens: 62000})
	}
	l.SetEngines(t0, list)
	now, number, id := t0, uint64(0), uint64(0)
	first := func(ids []string) string { return ids[0] }
	ordered := map[string]int{}
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		number++
		id++
		replyTo(t, l.Submit(now, edge1, request(id)), id)
		report := ledger.Report{Service: "s", Incarnation: 1, Sequence: number, PrefillRate: 55000}
		const stay = 40 // steps of 100 ms, so that runs last 4 s
		for lease := id; lease > 0 && lease+stay > id; lease-- {
			report.Runs = append(report.Runs, ledger.Run{Lease: lease, Decode: "d" + string(rune('a'+lease%23)),
				Prompt: 5000, Expected: 4000, Generated: int(id-lease) * 100, Phase: ledger.Decoding})
		}
		l.ApplyReport(now, edge1, report)
		c, ok := l.Rebalance(now, 6*time.Second, first)
		if !ok {
			continue
		}
		if c.Stage != pool.Decode {
			t.Fatalf("order %+v, want only prefill engines switched to decode", c)
		}
		ordered[c.Engine]++
		for i := range list {
			if list[i].ID == c.Engine {
				list[i].Stage = c.Stage
			}
		}
		l.SetEngines(t0, list)
	}
	if left := 12 - len(ordered); left < 2 || left > 9 {
		t.Errorf("%d prefill engines are left of 12, want fewer than 10 and 2 at least", left)
	}
	for engine, n := range ordered {
		if n > 1 {
			t.Errorf("%s was ordered %d times", engine, n)
		}
	}
}

// Guards against orders to more engines than needed while the store is unavailable
// and an accepted order therefore isn't published.
func TestUnpublishedOrder(t *testing.T) {
	l := ledger.New("s")
	list := []ledger.Engine{{ID: "pa", Stage: pool.Prefill, Slots: 12, Tokens: 100_000},
		{ID: "pb", Stage: pool.Prefill, Slots: 12, Tokens: 100_000}, {ID: "pc", Stage: pool.Prefill, Slots: 12, Tokens: 100_000}}
	for _, id := range []string{"da", "db", "dc", "dd"} {
		list = append(list, ledger.Engine{ID: id, Stage: pool.Decode, Slots: 12, Tokens: 100_000})
	}
	orders := 0
	var switched string
	for i := range uint64(400) {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		l.SetEngines(t0, list)
		replyTo(t, l.Submit(now, edge1, request(i+1)), i+1)
		report := ledger.Report{Service: "s", Incarnation: 1, Sequence: i + 1, PrefillRate: 55000}
		for lease := i + 1; lease > 0 && lease+40 > i+1; lease-- {
			report.Runs = append(report.Runs, ledger.Run{Lease: lease, Decode: "da", Prompt: 5000, Expected: 4000,
				Generated: int(i+1-lease) * 100, Phase: ledger.Decoding})
		}
		l.ApplyReport(now, edge1, report)
		if c, ok := l.Rebalance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
			orders++
			switched = c.Engine
		}
	}
	if orders != 1 {
		t.Fatalf("%d orders, want one of three prefill engines switched", orders)
	}
	now := t0.Add(41 * time.Second)
	a := request(1000)
	a.Excluded = []string{"da", "db", "dc", "dd"}
	if got := replyTo(t, l.Submit(now, edge2, a), 1000); got.Decode != switched {
		t.Errorf("reply %+v, want a grant of %s, which has switched to decode", got, switched)
	}
}

// Guards against a service with prefill engines only, such as one with a single
// engine, that refuses all its requests permanently.
func TestOnlyPrefillEngines(t *testing.T) {
	cases := map[string]struct {
		prefill, decode int
		want            int
	}{
		"one engine":     {1, 0, 1},
		"three of them":  {3, 0, 1},
		"one can decode": {1, 1, 0},
		"there are none": {0, 0, 0},
		"one that does":  {0, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var list []ledger.Engine
			for i := range c.prefill {
				list = append(list, ledger.Engine{ID: fmt.Sprint("p", i), Stage: pool.Prefill, Slots: 8, Tokens: 100_000})
			}
			for i := range c.decode {
				list = append(list, ledger.Engine{ID: fmt.Sprint("d", i), Stage: pool.Decode, Slots: 8, Tokens: 100_000})
			}
			l := ledger.New("s")
			l.SetEngines(t0, list)
			orders := 0
			for i := range uint64(100) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				l.Submit(now, edge1, request(i+1))
				if got, ok := l.Rebalance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
					if orders++; got.Stage != pool.Decode || now.Sub(t0) < time.Second {
						t.Errorf("order %+v after %v", got, now.Sub(t0))
					}
				}
			}
			if orders != c.want {
				t.Errorf("%d orders, want %d", orders, c.want)
			}
			if a := replyTo(t, l.Submit(t0.Add(20*time.Second), edge2, request(1000)), 1000); c.want > 0 && a.Status != ledger.Granted {
				t.Errorf("reply %+v, want a grant", a)
			}
		})
	}
}

// Guards against a new owner that sends prompts to an engine which the previous
// owner switched: each one was refused, and the retry budget ran out.
func TestNewOwnerLearnsStage(t *testing.T) {
	list := []ledger.Engine{{ID: "pa", Stage: pool.Prefill, Slots: 12, Tokens: 100_000},
		{ID: "pb", Stage: pool.Prefill, Slots: 12, Tokens: 100_000}, {ID: "da", Stage: pool.Decode, Slots: 12, Tokens: 100_000}}
	cases := map[string]struct {
		usage ledger.Usage
		// prefills and decodes are the roles that pa may take after the report.
		prefills, decodes bool
	}{
		"nothing special":      {ledger.Usage{Stage: pool.Prefill}, true, false},
		"says nothing":         {ledger.Usage{}, true, false},
		"carries out an order": {ledger.Usage{Busy: true, Stage: pool.Prefill}, false, false},
		"has turned":           {ledger.Usage{Stage: pool.Decode}, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, list)
			replyTo(t, l.Submit(t0, edge1, request(1)), 1)
			if ids := l.PollTargets(t0); !slices.Contains(ids, "pa") {
				t.Errorf("a new ledger polls %v, want pa among them", ids)
			}
			l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Full: []string{"pa"}})
			now := t0.Add(600 * time.Millisecond)
			l.SetUsage(now, "pa", c.usage)
			l.SetEngines(now, list)
			without := func(id string) ledger.Reply {
				a := request(2)
				a.ID, a.Excluded = uint64(100+len(id)), []string{id}
				return replyTo(t, l.Submit(now, edge2, a), a.ID)
			}
			if got := without("pb").Prefill == "pa"; got != c.prefills {
				t.Errorf("pa prefills: %v, want %v", got, c.prefills)
			}
			if got := without("da ").Decode == "pa" || without("da").Decode == "pa"; got != c.decodes {
				t.Errorf("pa decodes: %v, want %v", got, c.decodes)
			}
			if c.usage.Busy && !slices.Contains(l.PollTargets(now.Add(time.Second)), "pa") {
				t.Error("pa is not polled again while it carries out an order")
			}
		})
	}
}

// Guards against switching the last healthy prefill engines to decode while another
// one is down, and against a permanent shortage of prefill engines.
func TestBalanceWithLostEngines(t *testing.T) {
	cases := map[string]struct {
		prefill int
		down    bool
		want    map[pool.Stage]bool
	}{
		"one of three is down": {3, true, nil},
		"three, all sound":     {3, false, map[pool.Stage]bool{pool.Decode: true}},
		"one is left":          {1, false, map[pool.Stage]bool{pool.Prefill: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			var list []ledger.Engine
			for i := range 7 {
				e := ledger.Engine{ID: "e" + string(rune('a'+i)), Stage: pool.Decode, Slots: 12, Tokens: 100_000}
				if i < c.prefill {
					e.Stage = pool.Prefill
				}
				list = append(list, e)
			}
			l.SetEngines(t0, list)
			got := map[pool.Stage]bool{}
			var id uint64
			for i := range uint64(100) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				report := ledger.Report{Service: "s", Incarnation: 1, Sequence: i + 1, PrefillRate: 55000}
				if c.down {
					report.Unhealthy = []string{"ea"}
				}
				for range 2 {
					id++
					a := request(id)
					a.Expected = 5000
					replyTo(t, l.Submit(now, edge1, a), id)
				}
				for lease := id; lease > 0 && lease+60 > id; lease-- {
					run := ledger.Run{Lease: lease, Decode: list[3+lease%4].ID, Prompt: 5000, Expected: 5000,
						Generated: int(id-lease) * 30, Phase: ledger.Decoding}
					if id-lease < 20 && c.prefill == 1 {
						run.Phase, run.Prefill = ledger.Prefilling, "ea"
					}
					report.Runs = append(report.Runs, run)
				}
				l.ApplyReport(now, edge1, report)
				if change, ok := l.Rebalance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
					got[change.Stage] = true
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("orders to %v, want %v", got, c.want)
			}
			for stage := range c.want {
				if !got[stage] {
					t.Errorf("no order to %v", stage)
				}
			}
		})
	}
}

// Guards against prompts for a decode engine that was ordered to prefill and still
// has runs to finish before it switches: it refuses them, which uses up the retry
// budget.
func TestOrderedEngineChangesLate(t *testing.T) {
	const switchTime = 6 * time.Second
	cases := map[string]struct {
		// busy is how long the engine reports that it carries out the order.
		busy time.Duration
		// stage is what it reports afterwards. silent means that it can't be polled.
		stage  pool.Stage
		silent bool
		// earliest and latest bound the time after the order at which it gets its first
		// prompt, zero for never.
		earliest, latest time.Duration
	}{
		"no runs":            {switchTime, pool.Prefill, false, switchTime, switchTime + 2*time.Second},
		"runs of 4 s":        {switchTime + 4*time.Second, pool.Prefill, false, switchTime + 4*time.Second, switchTime + 7*time.Second},
		"tells no stage":     {switchTime + time.Second, pool.Plain, false, switchTime + time.Second, switchTime + 4*time.Second},
		"order not accepted": {0, pool.Decode, false, 0, 0},
		"can't be asked":     {0, pool.Plain, true, switchTime, 21 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := []ledger.Engine{{ID: "pa", Stage: pool.Prefill, Slots: 12, Tokens: 100_000}}
			for _, id := range []string{"da", "db", "dc", "dd"} {
				list = append(list, ledger.Engine{ID: id, Stage: pool.Decode, Slots: 12, Tokens: 100_000})
			}
			var ordered time.Time
			switched := ""
			firstPrompt := time.Duration(0)
			for i := range uint64(600) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				l.SetEngines(now, list)
				// Two requests at a time compete for the only prefill engine.
				for k := range uint64(2) {
					id := 2*i + k + 1
					for _, a := range l.Submit(now, edge1, request(id)) {
						if a.Status == ledger.Granted && switched != "" && a.Prefill == switched && firstPrompt == 0 {
							firstPrompt = now.Sub(ordered)
						}
					}
				}
				report := ledger.Report{Service: "s", Incarnation: 1, Sequence: i + 1, PrefillRate: 20_000}
				for lease := uint64(1); lease <= 30; lease++ {
					report.Runs = append(report.Runs, ledger.Run{Lease: 1_000_000 + i + lease, Decode: "da", Prompt: 1000, Expected: 100, Generated: 50, Phase: ledger.Decoding})
				}
				l.ApplyReport(now, edge1, report)
				if change, ok := l.Rebalance(now, switchTime, func(ids []string) string { return ids[0] }); ok && switched == "" {
					switched, ordered = change.Engine, now
				}
				for _, id := range l.PollTargets(now) {
					if id != switched || c.silent {
						continue
					}
					u := ledger.Usage{Busy: now.Sub(ordered) < c.busy, Stage: pool.Decode}
					if !u.Busy {
						u.Stage = c.stage
					}
					l.SetUsage(now, id, u)
				}
			}
			if switched == "" {
				t.Fatal("no engine was switched")
			}
			if firstPrompt < c.earliest || firstPrompt > c.latest || (firstPrompt == 0) != (c.latest == 0) {
				t.Errorf("%s gets its first prompt %s after the order, want %s to %s", switched, firstPrompt, c.earliest, c.latest)
			}
		})
	}
}

// Guards against a version without a decode engine, at which no stream can go on, because
// its last one is switched to prefill, or others are switched to decode first.
func TestSwitchesKeepVersions(t *testing.T) {
	cases := map[string]struct {
		// versions are those of the engines by their IDs: prefill engines begin with p.
		versions map[string]string
		rate     float64
		want     string
	}{
		"prefill engines are short, one version": {map[string]string{"pa": "v1", "da": "v1", "db": "v1", "dc": "v1"}, 20_000, "dc"},
		"that one is the last of its version":    {map[string]string{"pa": "v1", "da": "v1", "db": "v1", "dc": "v2"}, 20_000, "db"},
		"each is the last of its version":        {map[string]string{"pa": "v1", "da": "v1", "db": "v2", "dc": "v3"}, 20_000, ""},
		"too many prefill engines":               {map[string]string{"pa": "v1", "pb": "v1", "pc": "v1", "da": "v1"}, 500_000, "pa"},
		"a version only prefills":                {map[string]string{"pa": "v1", "pb": "v1", "pc": "v2", "da": "v1"}, 500_000, "pc"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			var list []ledger.Engine
			for id, version := range c.versions {
				e := ledger.Engine{ID: id, Stage: pool.Decode, Slots: 12, Tokens: 100_000, Version: version}
				if id[0] == 'p' {
					e.Stage = pool.Prefill
				}
				list = append(list, e)
			}
			switched := ""
			for i := range uint64(100) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				l.SetEngines(now, list)
				for k := range uint64(2) {
					l.Submit(now, edge1, request(2*i+k+1))
				}
				report := ledger.Report{Service: "s", Incarnation: 1, Sequence: i + 1, PrefillRate: c.rate}
				for lease := uint64(1); lease <= 30; lease++ {
					report.Runs = append(report.Runs, ledger.Run{Lease: 1_000_000 + i + lease, Decode: "da", Prompt: 1000, Expected: 100, Generated: 50, Phase: ledger.Decoding})
				}
				l.ApplyReport(now, edge1, report)
				if change, ok := l.Rebalance(now, time.Minute, func(ids []string) string { return slices.Min(ids) }); ok && switched == "" {
					switched = change.Engine
				}
			}
			if switched != c.want {
				t.Errorf("switched %q, want %q", switched, c.want)
			}
		})
	}
}
