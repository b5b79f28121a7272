package fanout_test

import (
	"net/netip"
	"testing"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against daemons that go on sending to a leaving server for as long as none
// of its answers reaches them, and against one that tells a large fleet itself.
func TestLeavingReachesAll(t *testing.T) {
	cases := map[string]struct{ n, each int }{
		"six":          {6, 5},
		"hundred":      {100, 10},
		"planned size": {350, 19},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &wires{ports: map[netip.AddrPort]*wire{}, gone: map[netip.AddrPort]bool{}, sent: map[netip.AddrPort]int{}, heard: map[netip.AddrPort]int{}}
			for i := range c.n {
				addr := daemon(i)
				w.crew = append(w.crew, gossip.LiveMember{Member: gossip.Member{Addr: addr}, Mature: true})
				w.ports[addr] = &wire{wires: w, self: addr}
			}
			var first *fanout.Node
			want := pool.Process{ID: "x", StartedAt: 7}
			for i := range c.n {
				addr := daemon(i)
				node := fanout.New(addr, w.ports[addr], w)
				node.HandleDraining(func(p pool.Process) {
					if w.heard[addr]++; p != want {
						t.Errorf("%s hears of %+v, want %+v", addr, p, want)
					}
				})
				if i == 0 {
					first = node
				}
			}
			first.BroadcastDraining(want)
			if len(w.heard) != c.n-1 {
				t.Errorf("%d daemons hear of it, want %d", len(w.heard), c.n-1)
			}
			for addr, n := range w.sent {
				if n > c.each {
					t.Errorf("%s sends %d messages, want %d at most", addr, n, c.each)
				}
			}
		})
	}
}
