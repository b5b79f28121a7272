package ledger_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/fleet"
)

var (
	t0    = time.Unix(1_700_000_000, 0)
	edge1 = netip.MustParseAddrPort("10.1.0.1:7000")
	edge2 = netip.MustParseAddrPort("10.1.0.2:7000")
)

// engines returns decode engines d1 to dn and one prefill engine.
func engines(n, slots, tokens int) []ledger.Engine {
	out := []ledger.Engine{{ID: "p1", Domain: "a", Stage: fleet.Prefill, Slots: slots, Tokens: tokens}}
	for i := range n {
		out = append(out, ledger.Engine{ID: "d" + string(rune('1'+i)), Domain: "a", Stage: fleet.Decode, Slots: slots, Tokens: tokens})
	}
	return out
}

func ask(id uint64) ledger.Ask {
	return ledger.Ask{Service: "s", Start: 1, ID: id, Domain: "a", Prompt: 5000, Expect: 4000,
		Slack: 600 * time.Millisecond, Patience: time.Second, Back: 2 * time.Second}
}

// own returns the answer to one ask.
func own(t *testing.T, answers []ledger.Answer, id uint64) ledger.Answer {
	t.Helper()
	for _, a := range answers {
		if a.ID == id {
			return a
		}
	}
	t.Fatalf("no answer to ask %d in %v", id, answers)
	return ledger.Answer{}
}

// Guards against an ask that is forgotten, or that crashes the ledger, since the
// asking daemon has reported nothing for a while.
func TestAskAfterSilentReports(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 1, 20000))
	l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1})
	own(t, l.Ask(t0, edge2, ask(1)), 1)
	later := t0.Add(10 * time.Second)
	l.Report(later, edge2, ledger.Report{Service: "s", Start: 1, Number: 1,
		Runs: []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expect: 4000, Made: 3900}}})
	if a := own(t, l.Ask(later, edge1, ask(7)), 7); a.Verdict == ledger.Granted {
		t.Errorf("ask is granted the engine's only slot")
	}
}

// Guards against a request that waits for nothing: what can't be served is
// refused at once, with the reason and a time to come back.
func TestRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		engines []ledger.Engine
		ask     func(*ledger.Ask)
		fill    int
		reason  string
	}{
		"no engine":     {nil, func(*ledger.Ask) {}, 0, ledger.ReasonEngine},
		"all excluded":  {engines(1, 4, 20000), func(a *ledger.Ask) { a.Without = []string{"d1"} }, 0, ledger.ReasonEngine},
		"too large":     {engines(2, 4, 20000), func(a *ledger.Ask) { a.Prompt = 30000 }, 0, ledger.ReasonLarge},
		"would be late": {engines(1, 4, 20000), func(a *ledger.Ask) { a.Slack = 100 * time.Millisecond }, 2, ledger.ReasonWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, c.engines)
			for i := range c.fill {
				own(t, l.Ask(t0, edge1, ask(uint64(100+i))), uint64(100+i))
			}
			a := ask(1)
			c.ask(&a)
			got := own(t, l.Ask(t0, edge1, a), 1)
			if got.Verdict != ledger.Refused || got.Reason != c.reason || got.After <= 0 {
				t.Errorf("answer %+v, want a refusal for %q with a time to come back", got, c.reason)
			}
		})
	}
}

// Guards against a client that comes back after a refusal and is refused again
// while others that came later are queued.
func TestClientThatCameBackIsQueued(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 2, 20000))
	for id := uint64(1); id <= 2; id++ {
		own(t, l.Ask(t0, edge1, ask(id)), id)
	}
	late := ask(3)
	late.Subject, late.Slack = 77, 10*time.Millisecond
	if got := own(t, l.Ask(t0, edge1, late), 3); got.Verdict != ledger.Refused {
		t.Fatalf("answer %+v, want a refusal", got)
	}
	now := t0.Add(2 * time.Second)
	runs := []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expect: 4000}, {Lease: 2, Decode: "d1", Prompt: 5000, Expect: 4000}}
	l.Report(now, edge1, ledger.Report{Service: "s", Start: 1, Number: 1, Runs: runs})
	late.ID, late.Back = 4, 10*time.Second
	if got := own(t, l.Ask(now, edge1, late), 4); got.Verdict != ledger.Queued {
		t.Errorf("answer %+v to a client that came back, want it queued", got)
	}
	l.Report(now, edge1, ledger.Report{Service: "s", Start: 1, Number: 2, Runs: runs[:1], Ended: []uint64{2}})
	if got := own(t, l.Tick(now.Add(20*time.Millisecond)), 4); got.Verdict != ledger.Granted {
		t.Errorf("answer %+v after a run ended, want a grant", got)
	}
}

// Guards against an ask whose answer was lost and that is granted twice.
func TestAskAgainIsAnsweredAgain(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 1, 20000))
	first := own(t, l.Ask(t0, edge1, ask(1)), 1)
	again := own(t, l.Ask(t0.Add(50*time.Millisecond), edge1, ask(1)), 1)
	if first.Verdict != ledger.Granted || again.Verdict != ledger.Granted || first.Decode != again.Decode {
		t.Errorf("answers %+v and %+v, want the same grant", first, again)
	}
	if runs, _, _ := l.Load(); runs != 1 {
		t.Errorf("%d runs for one ask", runs)
	}
}

// Guards against memory that stays granted after the daemon of a run died, or
// after the run ended and its end was not heard.
func TestMemoryComesBack(t *testing.T) {
	cases := map[string]func(l *ledger.Ledger){
		"end reported": func(l *ledger.Ledger) {
			l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1, Ended: []uint64{1}})
		},
		"end not heard": func(l *ledger.Ledger) {
			l.Report(t0.Add(time.Second), edge1, ledger.Report{Service: "s", Start: 1, Number: 1})
		},
		"daemon restarted": func(l *ledger.Ledger) {
			l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1, Runs: []ledger.Run{{Lease: 1, Decode: "d1"}}})
			l.Report(t0.Add(time.Second), edge1, ledger.Report{Service: "s", Start: 2, Number: 1})
		},
		"daemon silent": func(l *ledger.Ledger) {
			l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1, Runs: []ledger.Run{{Lease: 1, Decode: "d1"}}})
		},
		"client left": func(l *ledger.Ledger) { l.Drop(t0, edge1, 1, 1) },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(1, 1, 20000))
			own(t, l.Ask(t0, edge1, ask(1)), 1)
			f(l)
			if got := own(t, l.Ask(t0.Add(4*time.Second), edge2, ask(2)), 2); got.Verdict != ledger.Granted {
				t.Errorf("answer %+v 4 s later, want a grant", got)
			}
		})
	}
}

// Guards against grants of memory that runs of dead daemons still hold.
func TestUnknownRunsCount(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 4, 20000))
	own(t, l.Ask(t0, edge1, ask(1)), 1)
	if ids := l.Inspect(t0.Add(10 * time.Millisecond)); !slices.Equal(ids, []string{"d1", "p1"}) {
		t.Fatalf("engines to inspect %v, want d1, and p1 for its stage", ids)
	}
	l.SetUsage(t0.Add(20*time.Millisecond), "d1", ledger.Usage{Tokens: 15000, Running: 2})
	if got := own(t, l.Ask(t0.Add(30*time.Millisecond), edge1, ask(2)), 2); got.Verdict == ledger.Granted {
		t.Errorf("answer %+v while unknown runs hold the memory, want no grant", got)
	}
	l.Report(t0.Add(790*time.Millisecond), edge1, ledger.Report{Service: "s", Start: 1, Number: 1,
		Runs: []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expect: 4000, Phase: ledger.Writing}}})
	l.SetUsage(t0.Add(800*time.Millisecond), "d1", ledger.Usage{Tokens: 5000, Running: 1})
	if got := own(t, l.Ask(t0.Add(820*time.Millisecond), edge1, ask(3)), 3); got.Verdict != ledger.Granted {
		t.Errorf("answer %+v after the unknown runs ended, want a grant", got)
	}
}

// Guards against orders that swing engines back and forth, that take the last
// prefill engines, or that hit an engine with prompts to read.
func TestBalance(t *testing.T) {
	l := ledger.New("s")
	var list []ledger.Engine
	for i := range 12 {
		list = append(list, ledger.Engine{ID: "p" + string(rune('a'+i)), Stage: fleet.Prefill, Slots: 16, Tokens: 62000})
	}
	for i := range 23 {
		list = append(list, ledger.Engine{ID: "d" + string(rune('a'+i)), Stage: fleet.Decode, Slots: 16, Tokens: 62000})
	}
	l.SetEngines(t0, list)
	now, number, id := t0, uint64(0), uint64(0)
	first := func(ids []string) string { return ids[0] }
	ordered := map[string]int{}
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		number++
		id++
		own(t, l.Ask(now, edge1, ask(id)), id)
		report := ledger.Report{Service: "s", Start: 1, Number: number, Pace: 55000}
		const stay = 40 // runs that last four seconds each
		for lease := id; lease > 0 && lease+stay > id; lease-- {
			report.Runs = append(report.Runs, ledger.Run{Lease: lease, Decode: "d" + string(rune('a'+lease%23)),
				Prompt: 5000, Expect: 4000, Made: int(id-lease) * 100, Phase: ledger.Writing})
		}
		l.Report(now, edge1, report)
		c, ok := l.Balance(now, 6*time.Second, first)
		if !ok {
			continue
		}
		if c.Stage != fleet.Decode {
			t.Fatalf("order %+v, want prefill engines turned to decode only", c)
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

// Guards against orders to more engines than needed while the store is away, so
// that an accepted order is not published.
func TestUnpublishedOrder(t *testing.T) {
	l := ledger.New("s")
	list := []ledger.Engine{{ID: "pa", Stage: fleet.Prefill, Slots: 12, Tokens: 100_000},
		{ID: "pb", Stage: fleet.Prefill, Slots: 12, Tokens: 100_000}, {ID: "pc", Stage: fleet.Prefill, Slots: 12, Tokens: 100_000}}
	for _, id := range []string{"da", "db", "dc", "dd"} {
		list = append(list, ledger.Engine{ID: id, Stage: fleet.Decode, Slots: 12, Tokens: 100_000})
	}
	orders := 0
	var changed string
	for i := range uint64(400) {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		l.SetEngines(t0, list)
		own(t, l.Ask(now, edge1, ask(i+1)), i+1)
		report := ledger.Report{Service: "s", Start: 1, Number: i + 1, Pace: 55000}
		for lease := i + 1; lease > 0 && lease+40 > i+1; lease-- {
			report.Runs = append(report.Runs, ledger.Run{Lease: lease, Decode: "da", Prompt: 5000, Expect: 4000,
				Made: int(i+1-lease) * 100, Phase: ledger.Writing})
		}
		l.Report(now, edge1, report)
		if c, ok := l.Balance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
			orders++
			changed = c.Engine
		}
	}
	if orders != 1 {
		t.Fatalf("%d orders, want one of three prefill engines turned", orders)
	}
	now := t0.Add(41 * time.Second)
	a := ask(1000)
	a.Without = []string{"da", "db", "dc", "dd"}
	if got := own(t, l.Ask(now, edge2, a), 1000); got.Decode != changed {
		t.Errorf("answer %+v, want a grant of %s, which decodes by now", got, changed)
	}
}

// Guards against a queued ask that is told only at the end of its patience
// though engines were lost that its prediction counted on.
func TestQueuedIsPredictedAgain(t *testing.T) {
	l := ledger.New("s")
	all := engines(8, 4, 20_000)
	l.SetEngines(t0, all)
	now := t0
	id := uint64(0)
	var queued []uint64
	for range 40 {
		id++
		a := ask(id)
		a.Slack, a.Patience = 1500*time.Millisecond, 2*time.Second
		if got := own(t, l.Ask(now, edge1, a), id); got.Verdict == ledger.Queued {
			queued = append(queued, id)
		}
	}
	if len(queued) < 2 {
		t.Fatalf("%d asks are queued, want some", len(queued))
	}
	now = now.Add(100 * time.Millisecond)
	l.SetEngines(now, engines(1, 4, 20_000))
	refused := 0
	for _, a := range l.Tick(now) {
		if a.Verdict == ledger.Refused {
			if refused++; a.After <= 0 || a.Reason != ledger.ReasonWait {
				t.Errorf("answer %+v, want a refusal for its wait with a time to come back", a)
			}
		}
	}
	if refused < len(queued)-1 {
		t.Errorf("%d of %d queued asks are told at once that seven of eight engines are lost", refused, len(queued))
	}
}

// Guards against a service that has prefill engines only, as where it has one
// engine: all its requests were refused for good.
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
				list = append(list, ledger.Engine{ID: fmt.Sprint("p", i), Stage: fleet.Prefill, Slots: 8, Tokens: 100_000})
			}
			for i := range c.decode {
				list = append(list, ledger.Engine{ID: fmt.Sprint("d", i), Stage: fleet.Decode, Slots: 8, Tokens: 100_000})
			}
			l := ledger.New("s")
			l.SetEngines(t0, list)
			orders := 0
			for i := range uint64(100) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				l.Ask(now, edge1, ask(i+1))
				if got, ok := l.Balance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
					if orders++; got.Stage != fleet.Decode || now.Sub(t0) < time.Second {
						t.Errorf("order %+v after %v", got, now.Sub(t0))
					}
				}
			}
			if orders != c.want {
				t.Errorf("%d orders, want %d", orders, c.want)
			}
			if a := own(t, l.Ask(t0.Add(20*time.Second), edge2, ask(1000)), 1000); c.want > 0 && a.Verdict != ledger.Granted {
				t.Errorf("answer %+v, want a grant", a)
			}
		})
	}
}

// Guards against a new owner that sends prompts to an engine which the owner
// before has turned: each was refused, and budgets for repeats ran out.
func TestNewOwnerLearnsStage(t *testing.T) {
	list := []ledger.Engine{{ID: "pa", Stage: fleet.Prefill, Slots: 12, Tokens: 100_000},
		{ID: "pb", Stage: fleet.Prefill, Slots: 12, Tokens: 100_000}, {ID: "da", Stage: fleet.Decode, Slots: 12, Tokens: 100_000}}
	cases := map[string]struct {
		usage ledger.Usage
		// want is whether pa reads prompts and makes answers after the report.
		reads, makes bool
	}{
		"nothing special":      {ledger.Usage{Stage: fleet.Prefill}, true, false},
		"says nothing":         {ledger.Usage{}, true, false},
		"carries out an order": {ledger.Usage{Busy: true, Stage: fleet.Prefill}, false, false},
		"has turned":           {ledger.Usage{Stage: fleet.Decode}, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, list)
			own(t, l.Ask(t0, edge1, ask(1)), 1)
			if ids := l.Inspect(t0); !slices.Contains(ids, "pa") {
				t.Errorf("a new ledger asks %v", ids)
			}
			l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1, Full: []string{"pa"}})
			now := t0.Add(600 * time.Millisecond)
			l.SetUsage(now, "pa", c.usage)
			l.SetEngines(now, list)
			without := func(id string) ledger.Answer {
				a := ask(2)
				a.ID, a.Without = uint64(100+len(id)), []string{id}
				return own(t, l.Ask(now, edge2, a), a.ID)
			}
			if got := without("pb").Prefill == "pa"; got != c.reads {
				t.Errorf("pa reads prompts: %v, want %v", got, c.reads)
			}
			if got := without("da ").Decode == "pa" || without("da").Decode == "pa"; got != c.makes {
				t.Errorf("pa makes answers: %v, want %v", got, c.makes)
			}
			if c.usage.Busy && !slices.Contains(l.Inspect(now.Add(time.Second)), "pa") {
				t.Error("pa is not asked again while it carries out an order")
			}
		})
	}
}

// Guards against the last sound prefill engines being turned to decode while
// another one is down, and against a service that stays short of prefill.
func TestBalanceWithLostEngines(t *testing.T) {
	cases := map[string]struct {
		prefill int
		down    bool
		want    map[fleet.Stage]bool
	}{
		"one of three is down": {3, true, nil},
		"three, all sound":     {3, false, map[fleet.Stage]bool{fleet.Decode: true}},
		"one is left":          {1, false, map[fleet.Stage]bool{fleet.Prefill: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			var list []ledger.Engine
			for i := range 7 {
				e := ledger.Engine{ID: "e" + string(rune('a'+i)), Stage: fleet.Decode, Slots: 12, Tokens: 100_000}
				if i < c.prefill {
					e.Stage = fleet.Prefill
				}
				list = append(list, e)
			}
			l.SetEngines(t0, list)
			got := map[fleet.Stage]bool{}
			var id uint64
			for i := range uint64(100) {
				now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
				report := ledger.Report{Service: "s", Start: 1, Number: i + 1, Pace: 55000}
				if c.down {
					report.Resting = []string{"ea"}
				}
				for range 2 {
					id++
					a := ask(id)
					a.Expect = 5000
					own(t, l.Ask(now, edge1, a), id)
				}
				for lease := id; lease > 0 && lease+60 > id; lease-- {
					run := ledger.Run{Lease: lease, Decode: list[3+lease%4].ID, Prompt: 5000, Expect: 5000,
						Made: int(id-lease) * 30, Phase: ledger.Writing}
					if id-lease < 20 && c.prefill == 1 {
						run.Phase, run.Prefill = ledger.Reading, "ea"
					}
					report.Runs = append(report.Runs, run)
				}
				l.Report(now, edge1, report)
				if change, ok := l.Balance(now, 6*time.Second, func(ids []string) string { return ids[0] }); ok {
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
