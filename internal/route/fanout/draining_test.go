package fanout_test

import (
	"net/netip"
	"testing"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Guards against daemons that go on sending to a draining server as long as none of
// its responses reaches them, and against one that sends to all of a large fleet
// itself.
func TestDrainingReachesAll(t *testing.T) {
	cases := map[string]struct{ n, each int }{
		"six":          {6, 5},
		"hundred":      {100, 10},
		"planned size": {350, 19},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &network{ports: map[netip.AddrPort]*port{}, down: map[netip.AddrPort]bool{}, sent: map[netip.AddrPort]int{}, received: map[netip.AddrPort]int{}}
			for i := range c.n {
				addr := daemon(i)
				w.members = append(w.members, gossip.LiveMember{Member: gossip.Member{Addr: addr}, Mature: true})
				w.ports[addr] = &port{network: w, self: addr}
			}
			var first *fanout.Node
			want := pool.Process{ID: "x", StartedAt: 7}
			for i := range c.n {
				addr := daemon(i)
				node := fanout.New(addr, w.ports[addr], w, hclog.NewNullLogger())
				node.HandleDraining(func(p pool.Process) {
					if w.received[addr]++; p != want {
						t.Errorf("%s receives %+v, want %+v", addr, p, want)
					}
				})
				if i == 0 {
					first = node
				}
			}
			first.BroadcastDraining(want)
			if len(w.received) != c.n-1 {
				t.Errorf("%d daemons receive it, want %d", len(w.received), c.n-1)
			}
			for addr, n := range w.sent {
				if n > c.each {
					t.Errorf("%s sends %d messages, want %d at most", addr, n, c.each)
				}
			}
		})
	}
}
