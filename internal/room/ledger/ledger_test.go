package ledger_test

import (
	"net/netip"
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
	l.SetEngines(engines(1, 1, 20000))
	l.Report(t0, edge1, ledger.Report{Service: "s", Start: 1, Number: 1})
	own(t, l.Ask(t0, edge2, ask(1)), 1)
	later := t0.Add(10 * time.Second)
	l.Report(later, edge2, ledger.Report{Service: "s", Start: 1, Number: 1,
		Runs: []ledger.Run{{Lease: 1, Decode: "d1", Prompt: 5000, Expect: 4000, Made: 3900}}})
	if a := own(t, l.Ask(later, edge1, ask(7)), 7); a.Verdict == ledger.Granted {
		t.Errorf("ask is granted the engine's only slot")
	}
}
