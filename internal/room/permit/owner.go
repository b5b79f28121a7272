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
	mayOwn := func(m gossip.LiveMember) bool { return m.Mature && !m.Leaving }
	strongest := uint32(0)
	for _, m := range alive {
		if mayOwn(m) {
			strongest = max(strongest, m.CPUShare)
		}
	}
	var best netip.AddrPort
	var high uint64
	for _, m := range alive {
		if !mayOwn(m) || 2*m.CPUShare < strongest {
			continue
		}
		score := owner.Score(server, m.Addr.String())
		if !best.IsValid() || score > high || score == high && m.Addr.Compare(best) < 0 {
			best, high = m.Addr, score
		}
	}
	return best
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
