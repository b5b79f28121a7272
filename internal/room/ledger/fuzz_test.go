package ledger

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
)

// Guards against asks and reports of other daemons that crash an owner or turn
// its sums negative, so that it grants room that is not there.
func FuzzMessages(f *testing.F) {
	for _, m := range []struct {
		a Ask
		r Report
	}{
		{Ask{ID: 1, Prompt: 100, Expect: 10, Slack: time.Second, Patience: time.Second}, Report{Start: 1, Number: 1}},
		{Ask{ID: math.MaxUint64, Prompt: math.MaxInt, Expect: math.MaxInt, Slack: math.MinInt64, Back: math.MaxInt64},
			Report{Start: math.MaxInt64, Number: math.MaxUint64, Pace: math.NaN(), Runs: []Run{{Lease: 7, Decode: "d1", Prompt: math.MinInt, Made: math.MaxInt, Expect: -1, Phase: 200}}}},
		{Ask{ID: 3, Prompt: 5, Without: []string{"d1", "p1"}, Rank: math.MinInt}, Report{Ended: []uint64{0}, Resting: []string{"p1"}, Full: []string{"", "d1"}}},
	} {
		a, err := cbor.Marshal(m.a)
		if err != nil {
			f.Fatal(err)
		}
		r, err := cbor.Marshal(m.r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(a, r)
	}
	f.Fuzz(func(t *testing.T, ask, report []byte) {
		var a Ask
		var r Report
		if cbor.Unmarshal(ask, &a) != nil || cbor.Unmarshal(report, &r) != nil {
			return
		}
		now, edge := time.Unix(100, 0), netip.MustParseAddrPort("10.0.0.2:7000")
		l := New("s")
		l.SetEngines(now, []Engine{{ID: "d1", Stage: pool.Decode, Slots: 2, Tokens: 1000}, {ID: "p1", Stage: pool.Prefill, Slots: 2, Tokens: 1000}})
		for range 3 {
			l.Report(now, edge, r.Bound())
			l.Ask(now, edge, a.Bound())
			l.Inspect(now)
			l.Balance(now, time.Second, func(ids []string) string { return ids[0] })
			now = now.Add(400 * time.Millisecond)
			l.Tick(now)
			if _, _, load := l.Load(); !(load >= 0) || math.IsInf(load, 0) {
				t.Fatalf("load %g after ask %+v and report %+v", load, a, r)
			}
		}
	})
}
