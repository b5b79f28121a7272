package permit

import (
	"net/netip"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/gossip"
)

// Owner returns the daemon that owns the limit of a server, the zero value if there is
// none. Daemons that have just started or are leaving don't own limits, and neither do
// those with less than half the CPU of the strongest that may.
func Owner(server string, alive []gossip.LiveMember) netip.AddrPort {
	return Owners(server, alive, 1)[0]
}

// Owners returns the daemon that owns the limit of a key and those that own it next, n in
// all. The list ends in zero values if there are fewer.
func Owners(key string, alive []gossip.LiveMember, n int) []netip.AddrPort {
	mayOwn := func(m gossip.LiveMember) bool { return m.Mature && !m.Leaving }
	strongest := uint32(0)
	for _, m := range alive {
		if mayOwn(m) {
			strongest = max(strongest, m.CPUShare)
		}
	}
	out, scores := make([]netip.AddrPort, n), make([]uint64, n)
	for _, m := range alive {
		if !mayOwn(m) || 2*m.CPUShare < strongest {
			continue
		}
		addr, score := m.Addr, owner.Score(key, m.Addr.String())
		for i := range out {
			if !out[i].IsValid() || score > scores[i] || score == scores[i] && addr.Compare(out[i]) < 0 {
				out[i], addr = addr, out[i]
				scores[i], score = score, scores[i]
			}
		}
	}
	return out
}

// Share returns the share of a limit that an owner may grant which sees alive daemons
// and has lost sight of some others. These may have another owner. A part with more
// than two thirds of the fleet uses the whole limit, a smaller one its share, so that
// the shares of all parts add up to less than 4/3.
func Share(alive, lost int) float64 {
	if 3*alive > 2*(alive+lost) {
		return 1
	}
	return float64(alive) / float64(alive+lost)
}
