package fanout

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/gossip"
)

const (
	// readerKey is the key by which readers are selected from the live daemons.
	readerKey = "store"
	// A fleet of up to smallFleetSize daemons has smallFleetReaders readers, a
	// larger one has largeFleetReaders, as several may be cut off from the
	// store at once.
	smallFleetReaders = 2
	largeFleetReaders = 3
	smallFleetSize    = 8
	// maxDeputies is the number of daemons that may replace readers which can't read the
	// store. If all of these fail, the store is unavailable, and more calls are of no use.
	maxDeputies = 9
	// failingTime is how long a reader that could not read the store is replaced unless it
	// says so again. It tries again every three seconds at least.
	failingTime = 8 * time.Second
)

// SetFailing records whether this daemon can't read the store, so that another one
// replaces it as a reader. The others learn it from the next update.
func (n *Node) SetFailing(failing bool) { n.setFailing(n.self, failing) }

func (n *Node) setFailing(addr netip.AddrPort, failing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if failing {
		n.failing[addr] = time.Now()
	} else {
		delete(n.failing, addr)
	}
}

// isFailing reports whether a reader has said that it can't read the store. The caller
// holds mu.
func (n *Node) isFailing(addr netip.AddrPort) bool {
	at, ok := n.failing[addr]
	if ok && time.Since(at) >= failingTime {
		delete(n.failing, addr)
		return false
	}
	return ok
}

// IsReader reports whether this daemon is a reader. Daemons with less than half the
// CPU of the strongest are excluded, as their links are slow, too. Mature daemons
// are preferred; while there are none, as when all start together, readers are
// selected from all. Readers that can't read the store are replaced by the next in
// order, weak and young ones last.
func (n *Node) IsReader() bool {
	alive := n.members.Alive()
	readers := smallFleetReaders
	if len(alive) > smallFleetSize {
		readers = largeFleetReaders
	}
	if len(alive) <= readers {
		return true
	}
	order, first := rankReaders(alive, readers)
	n.mu.Lock()
	defer n.mu.Unlock()
	chosen := min(readers, first)
	for _, addr := range order[:min(len(order), chosen+maxDeputies)] {
		if n.isFailing(addr) {
			continue
		}
		if addr == n.self {
			return true
		}
		if chosen--; chosen == 0 {
			break
		}
	}
	return false
}

// rankReaders returns the first daemons in the order in which they become readers, and the
// number of all that are preferred.
func rankReaders(alive []gossip.LiveMember, readers int) (order []netip.AddrPort, first int) {
	minShare := minReaderShare(alive, readers)
	isStrong := func(m gossip.LiveMember) bool { return m.CPUShare >= minShare }
	anyMature := slices.ContainsFunc(alive, func(m gossip.LiveMember) bool { return m.Mature && isStrong(m) })
	type rank struct {
		addr  netip.AddrPort
		group int
		score uint64
	}
	compare := func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score), a.addr.Compare(b.addr))
	}
	var best []rank
	for _, m := range alive {
		r := rank{addr: m.Addr, group: 1, score: owner.Score(readerKey, m.Addr.String())}
		if isStrong(m) && (m.Mature || !anyMature) {
			r.group = 0
			first++
		}
		if place, _ := slices.BinarySearchFunc(best, r, compare); place < readers+maxDeputies {
			best = slices.Insert(best, place, r)
			best = best[:min(len(best), readers+maxDeputies)]
		}
	}
	for _, r := range best {
		order = append(order, r.addr)
	}
	return order, first
}

// minReaderShare returns the least CPUShare of a reader: half of the largest, or 0 if
// too few daemons have that.
func minReaderShare(alive []gossip.LiveMember, readers int) uint32 {
	strongest, strong := uint32(0), 0
	for _, m := range alive {
		strongest = max(strongest, m.CPUShare)
	}
	for _, m := range alive {
		if 2*m.CPUShare >= strongest {
			strong++
		}
	}
	if strong < readers {
		return 0
	}
	return (strongest + 1) / 2
}
