package fanout

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/gossip"
)

const (
	// treeKey is the key by which daemons of the same strength are ordered.
	treeKey = "tree"
	// A daemon has minChildren to maxChildren others that fetch a document from it.
	// spareSends is how many more it serves at the same time, whose own parent did not
	// answer.
	minChildren = 4
	maxChildren = 32
	spareSends  = 4
	// randomSources is the number of daemons picked at random that are asked for a
	// document when neither the parent nor the daemon that announced it has provided it.
	randomSources = 2
	// unresponsiveTime is how long a daemon that did not answer is not asked again.
	unresponsiveTime = 2 * time.Second
)

// children returns the number of daemons that fetch a document from another one: as
// many as it takes for those that send to be strong ones, which have at least half of the
// largest share of a processor.
func children(alive []gossip.LiveMember) int {
	least, strong := minReaderShare(alive, 1), 0
	for _, m := range alive {
		if m.CPUShare >= least {
			strong++
		}
	}
	each := (len(alive) + strong - 1) / max(strong, 1)
	return min(max(each, minChildren), maxChildren)
}

// maxSends returns the number of documents that a daemon sends at the same time.
func maxSends(alive []gossip.LiveMember) int {
	return children(alive) + spareSends
}

// parent returns the daemon from which another one fetches documents, or false if that
// is at the root. The tree is the same at all daemons that agree on the members, strong
// daemons come first.
func parent(alive []gossip.LiveMember, self netip.AddrPort) (netip.AddrPort, bool) {
	least := minReaderShare(alive, 1)
	order := slices.Clone(alive)
	scores := make(map[netip.AddrPort]uint64, len(order))
	for _, m := range order {
		scores[m.Addr] = owner.Score(treeKey, m.Addr.String())
	}
	slices.SortFunc(order, func(a, b gossip.LiveMember) int {
		if weak := a.CPUShare < least; weak != (b.CPUShare < least) {
			if weak {
				return 1
			}
			return -1
		}
		return cmp.Compare(scores[a.Addr], scores[b.Addr])
	})
	place := slices.IndexFunc(order, func(m gossip.LiveMember) bool { return m.Addr == self })
	if place <= 0 {
		return netip.AddrPort{}, false
	}
	return order[(place-1)/children(alive)].Addr, true
}

// sources returns the daemons to ask for a document that another one announced, in
// order.
func (n *Node) sources(announced netip.AddrPort) []netip.AddrPort {
	alive := n.members.Alive()
	var out []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr.IsValid() && addr != n.self && !slices.Contains(out, addr) && n.isResponsive(addr) {
			out = append(out, addr)
		}
	}
	if up, ok := parent(alive, n.self); ok {
		add(up)
	}
	add(announced)
	for range min(randomSources, len(alive)) {
		add(alive[rand.IntN(len(alive))].Addr)
	}
	if len(out) == 0 && announced.IsValid() && announced != n.self {
		out = append(out, announced)
	}
	return out
}

// mark records whether a daemon answered a fetch.
func (n *Node) mark(addr netip.AddrPort, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil || err == errBusy { //nolint:errorlint // it is never wrapped
		delete(n.unresponsive, addr)
		return
	}
	n.unresponsive[addr] = time.Now()
}

func (n *Node) isResponsive(addr netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.unresponsive[addr]
	if ok && time.Since(at) >= unresponsiveTime {
		delete(n.unresponsive, addr)
		return true
	}
	return !ok
}
