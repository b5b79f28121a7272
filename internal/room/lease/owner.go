package lease

import (
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/gossip"
)

// candidates returns the daemons that may own services, and those that may once they are
// mature. It depends on nothing but the view, so that daemons with the same view agree.
// Leaving daemons count while there is no other, and strength is compared only among
// daemons of the same standing: a strong one that can't be chosen rules out none.
func candidates(view []gossip.LiveMember) (mature, next []gossip.LiveMember) {
	staying := filter(view, func(m gossip.LiveMember) bool { return !m.Leaving })
	if len(staying) == 0 {
		staying = view
	}
	next = strongest(staying)
	mature = strongest(filter(staying, func(m gossip.LiveMember) bool { return m.Mature }))
	if len(mature) == 0 {
		mature = next
	}
	return mature, next
}

func filter(members []gossip.LiveMember, keep func(gossip.LiveMember) bool) []gossip.LiveMember {
	out := make([]gossip.LiveMember, 0, len(members))
	for _, m := range members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// strongest returns the members with at least half the CPU share of the strongest one.
func strongest(members []gossip.LiveMember) []gossip.LiveMember {
	most := uint32(0)
	for _, m := range members {
		most = max(most, m.CPUShare)
	}
	return filter(members, func(m gossip.LiveMember) bool { return 2*m.CPUShare >= most })
}

func names(members []gossip.LiveMember) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Addr.String())
	}
	return out
}

// top returns the n members that come first in rendezvous-hash order.
func top(service string, members []gossip.LiveMember, n int) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, n)
	for _, name := range owner.Top(service, names(members), n) {
		out = append(out, netip.MustParseAddrPort(name))
	}
	return out
}

// owners returns the daemons to ask for leases of a service, the owner first and
// this daemon as the last resort, and the daemons to report to. Daemons that don't
// answer are left out. Reports also go to daemons that are about to become owners.
func (m *Manager) owners(now time.Time, service string) (owners, reportTo []netip.AddrPort) {
	view := m.members.Alive()
	m.peers = len(view)
	answers := func(other gossip.LiveMember) bool {
		return other.Addr == m.self || !now.Before(m.skipUntil[other.Addr])
	}
	mature, next := candidates(view)
	mature, next = filter(mature, answers), filter(next, answers)
	if len(mature) == 0 {
		mature = next
	}
	owners = top(service, mature, 2)
	reportTo = slices.Clone(owners)
	for _, a := range top(service, next, 2) {
		if !slices.Contains(reportTo, a) {
			reportTo = append(reportTo, a)
		}
	}
	if !slices.Contains(owners, m.self) {
		owners = append(owners, m.self)
	}
	return owners, reportTo
}

// mayOrder returns whether this daemon may give orders for a service: it is the first
// candidate of a majority of the daemons and has been for minOwnerTime, and doesn't leave.
// Two daemons can both be the first only while their views differ, so that their orders
// are a lease duration apart if views agree again within minOwnerTime less that duration
// and orderTimeout. That another daemon doesn't answer, or none can be chosen, gives no right.
func (m *Manager) mayOrder(now time.Time, service string) bool {
	view := m.members.Alive()
	mature, _ := candidates(view)
	first := owner.First(service, names(mature)) == m.self.String()
	leaving := slices.ContainsFunc(view, func(o gossip.LiveMember) bool { return o.Addr == m.self && o.Leaving })
	m.peers = len(view)
	if !first || leaving || now.Sub(m.balancedAt) > maxPause || 2*m.peers <= m.members.Known() {
		delete(m.ownerSince, service)
		return false
	}
	since, ok := m.ownerSince[service]
	if !ok {
		m.ownerSince[service] = now
		return false
	}
	return now.Sub(since) > minOwnerTime && now.Sub(m.startedAt) > minUptime
}
