package ledger

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
)

// Guards against lease requests and reports of other daemons that crash an owner or
// turn its sums negative, so that it grants capacity that doesn't exist.
func FuzzMessages(f *testing.F) {
	for _, m := range []struct {
		a Request
		r Report
	}{
		{Request{ID: 1, Prompt: 100, Expected: 10, Slack: time.Second, MaxWait: time.Second}, Report{Incarnation: 1, Sequence: 1}},
		{Request{ID: math.MaxUint64, Prompt: math.MaxInt, Expected: math.MaxInt, Slack: math.MinInt64, RetryMaxWait: math.MaxInt64},
			Report{Incarnation: math.MaxInt64, Sequence: math.MaxUint64, PrefillRate: math.NaN(), Runs: []Run{{Lease: 7, Decode: "d1", Prompt: math.MinInt, Generated: math.MaxInt, Expected: -1, Phase: 200}}}},
		{Request{ID: 3, Prompt: 5, Excluded: []string{"d1", "p1"}, Rank: math.MinInt}, Report{Ended: []uint64{0}, Unhealthy: []string{"p1"}, Full: []string{"", "d1"}}},
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
	f.Fuzz(func(t *testing.T, request, report []byte) {
		var a Request
		var r Report
		if cbor.Unmarshal(request, &a) != nil || cbor.Unmarshal(report, &r) != nil {
			return
		}
		now, edge := time.Unix(100, 0), netip.MustParseAddrPort("10.0.0.2:7000")
		l := New("s")
		l.SetEngines(now, []Engine{{ID: "d1", Stage: pool.Decode, Slots: 2, Tokens: 1000}, {ID: "p1", Stage: pool.Prefill, Slots: 2, Tokens: 1000}})
		for range 3 {
			l.ApplyReport(now, edge, r.Clamp())
			l.Submit(now, edge, a.Clamp())
			l.PollTargets(now)
			l.Rebalance(now, time.Second, func(ids []string) string { return ids[0] })
			now = now.Add(400 * time.Millisecond)
			l.Tick(now)
			if _, _, load := l.Load(); !(load >= 0) || math.IsInf(load, 0) {
				t.Fatalf("load %g after request %+v and report %+v", load, a, r)
			}
		}
	})
}
