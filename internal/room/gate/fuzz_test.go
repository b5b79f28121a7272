package gate

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/permit"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Guards against messages of other daemons that end or block the process, or make a
// limited server free of its limit without a valid notice.
func FuzzMessages(f *testing.F) {
	notice := permit.Notice{ID: "x", StartedAt: 1, Rate: 4, Sent: time.Second, Arrived: time.Second / 2}
	for _, message := range []any{
		request{ID: 1, Notice: notice, N: 1, Held: math.MaxInt}, request{N: math.MinInt, Notice: notice},
		reply{ID: 1, Notice: notice, Verdict: permit.Verdict{Granted: math.MaxInt, Hold: math.MaxInt64, Return: math.MinInt64}},
		reply{ID: 1, Notice: permit.Notice{ID: "x", StartedAt: 1, None: true, Sent: math.MinInt64, Arrived: math.MaxInt64}},
	} {
		body, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		b, net := &backends{}, &codec{alone: alone{members: []gossip.LiveMember{member(1)}}}
		g := newGate(b, net, hclog.NewNullLogger())
		defer g.Close()
		b.onLimit(limitedServer, named(4))
		g.onRequest(netip.AddrPort{}, body)
		g.onReply(netip.AddrPort{}, body)
		if len(g.Limits()) == 0 {
			t.Errorf("the limit ended by %x", body)
		}
	})
}
