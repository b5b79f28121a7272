package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// LiveMember is a live daemon.
type LiveMember struct {
	Member
	// Mature daemons may own state.
	Mature bool
}

// Members lists the live daemons.
type Members interface {
	// Alive returns the live daemons, this one included.
	Alive() []LiveMember
}

// Others returns the addresses of the live daemons except self.
func Others(m Members, self netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, other := range m.Alive() {
		if other.Addr != self {
			out = append(out, other.Addr)
		}
	}
	return out
}

// Alive returns the live daemons in address order, this one included.
func (t *Table) Alive(now time.Time) []LiveMember {
	out := []LiveMember{{Member: t.self, Mature: !t.self.Leaving && now.Sub(t.startedAt) >= matureAge}}
	for _, e := range t.entries {
		if t.isAlive(now, e) {
			out = append(out, LiveMember{Member: e.Member, Mature: !e.Leaving && now.Sub(e.firstSeen) >= matureAge})
		}
	}
	slices.SortFunc(out, func(a, b LiveMember) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Count returns the number of live daemons, this one included.
func (t *Table) Count(now time.Time) int {
	alive := 1
	for _, e := range t.entries {
		if t.isAlive(now, e) {
			alive++
		}
	}
	return alive
}

// Lost returns the number of daemons that were alive within the last hour, are not now,
// and have not said that they leave. They may be alive in another part of a divided fleet.
func (t *Table) Lost(now time.Time) int {
	lost := len(t.dropped)
	for _, e := range t.entries {
		if !t.isAlive(now, e) && !e.Leaving {
			lost++
		}
	}
	return lost
}

// Known returns the number of daemons, this one included, that were alive within
// the last minute.
func (t *Table) Known() int { return len(t.entries) + 1 }
