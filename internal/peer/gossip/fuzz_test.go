package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against messages from other daemons that crash this one or make it send
// answers without end.
func FuzzReceive(f *testing.F) {
	self := Member{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
	for _, g := range []Message{
		{},
		{Members: []Member{{}}},
		{Members: []Member{{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), Incarnation: -1, Dead: true, Round: 1 << 31}}, Full: true},
		{Members: []Member{{Addr: netip.MustParseAddrPort("[::1]:0"), Incarnation: 9}, self}, Ping: true, Sync: true},
	} {
		body, err := cbor.Marshal(g)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte("\xbf\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var g Message
		if cbor.Unmarshal(body, &g) != nil {
			return
		}
		table, now := New(self, nil, 1), time.Unix(100, 0)
		for range 3 {
			if n := len(table.Receive(now, g)); n > 1 {
				t.Errorf("%d answers to one message", n)
			}
			table.Tick(now)
			now = now.Add(wideInterval)
		}
		if len(table.Alive(now)) == 0 {
			t.Error("the daemon is not in its own table")
		}
	})
}
