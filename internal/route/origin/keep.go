package origin

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/gossip"
)

const (
	// repairInterval is the time between two looks for daemons that have come or gone, repairTime
	// bounds the work after each.
	repairInterval = 500 * time.Millisecond
	repairTime     = time.Second
)

// peer is another daemon. Fit ones have not just started and don't leave.
type peer struct {
	addr        netip.AddrPort
	name        string
	incarnation int64
	fit         bool
}

// peers returns the other live daemons.
func (g *Group) peers() []peer {
	alive := g.members.Alive()
	out := make([]peer, 0, len(alive))
	for _, m := range alive {
		if m.Addr != g.self {
			out = append(out, peer{m.Addr, m.Addr.String(), m.Incarnation, isFit(m)})
		}
	}
	return out
}

func isFit(m gossip.LiveMember) bool { return m.Mature && !m.Leaving }

// changed reports whether the other live daemons are not those of an earlier view.
func (g *Group) changed(view []peer) bool {
	for _, m := range g.members.Alive() {
		if m.Addr == g.self {
			continue
		}
		if len(view) == 0 || view[0].addr != m.Addr || view[0].incarnation != m.Incarnation || view[0].fit != isFit(m) {
			return true
		}
		view = view[1:]
	}
	return len(view) > 0
}

// ranking has the first daemons in rendezvous order, at most its capacity.
type ranking []rank

type rank struct {
	addr  netip.AddrPort
	score uint64
}

// add adds a daemon if it is among the first ones.
func (r *ranking) add(addr netip.AddrPort, score uint64) {
	i := len(*r)
	for i > 0 && (score > (*r)[i-1].score || score == (*r)[i-1].score && addr.Compare((*r)[i-1].addr) < 0) {
		i--
	}
	switch {
	case len(*r) < cap(*r):
		*r = append(*r, rank{})
	case i == len(*r):
		return
	}
	copy((*r)[i+1:], (*r)[i:])
	(*r)[i] = rank{addr, score}
}

// order returns the n daemons that are first to hold the record of an attempt, best first,
// and those that may hold it by the view of others. Daemons that leave or have just started
// are taken last.
func order(attempt string, peers []peer, n int) (best, all []netip.AddrPort) {
	fit, unfit, whole := make(ranking, 0, n), make(ranking, 0, n), make(ranking, 0, n)
	for _, p := range peers {
		score := owner.Score(attempt, p.name)
		whole.add(p.addr, score)
		if p.fit {
			fit.add(p.addr, score)
		} else {
			unfit.add(p.addr, score)
		}
	}
	for _, r := range append(fit, unfit...)[:min(n, len(fit)+len(unfit))] {
		best = append(best, r.addr)
	}
	for _, r := range whole {
		all = append(all, r.addr)
	}
	for _, addr := range best {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return best, all
}

// spread sends a record again in the background to the first n daemons that are to hold it,
// so that it survives deaths one after the other.
func (g *Group) spread(o Origin, n int) {
	select {
	case g.spreads <- struct{}{}:
	default:
		return // bounded; the next search for the record does it
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		<-g.spreads
		return
	}
	g.running.Go(func() {
		defer func() { <-g.spreads }()
		defer panics.Recover(g.log, "origins of streams")
		g.deliver(g.closing, o, n)
	})
}

// Leave hands the records that this daemon holds over to others, before its process ends.
// It returns when these have confirmed them, or when ctx is done.
func (g *Group) Leave(ctx context.Context) {
	g.each(ctx, func(o Origin) { g.deliver(ctx, o, holders) })
}

// each calls f for all records, some at the same time, until ctx is done.
func (g *Group) each(ctx context.Context, f func(Origin)) {
	g.mu.Lock()
	all := g.table.All(time.Now())
	g.mu.Unlock()
	var running sync.WaitGroup
	defer running.Wait()
	free := make(chan struct{}, maxSpreads)
	for i, o := range all {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			g.log.Warn("not all origins of streams sent again in time", "held", len(all), "sent", i)
			return
		}
		running.Go(func() {
			defer func() { <-free }()
			defer panics.Recover(g.log, "origins of streams")
			f(o)
		})
	}
}

// startRepair looks for daemons that have come or gone, until the group is closed.
func (g *Group) startRepair() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repair = time.AfterFunc(repairInterval, func() {
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			return
		}
		g.running.Add(1)
		g.mu.Unlock()
		defer g.running.Done()
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !g.closed {
				g.repair.Reset(repairInterval)
			}
		}()
		defer panics.Recover(g.log, "origins of streams")
		g.replaceHolders()
	})
}

// replaceHolders sends records to those that are to hold them by a changed membership and
// were not before, or have started again, so that a record survives deaths one after the
// other without a search for it.
func (g *Group) replaceHolders() {
	was := g.view
	if !g.changed(was) {
		return
	}
	g.view = g.peers()
	if g.Held() == 0 {
		return
	}
	now := make(map[netip.AddrPort]int64, len(g.view))
	for _, p := range g.view {
		now[p.addr] = p.incarnation
	}
	stayed := make(map[netip.AddrPort]bool, len(was))
	for _, p := range was {
		incarnation, alive := now[p.addr]
		stayed[p.addr] = alive && incarnation == p.incarnation
	}
	ctx, cancel := context.WithTimeout(g.closing, repairTime)
	defer cancel()
	g.each(ctx, func(o Origin) {
		before, _ := order(o.Attempt, was, holders)
		after, _ := order(o.Attempt, g.view, holders)
		after = slices.DeleteFunc(after, func(addr netip.AddrPort) bool { return stayed[addr] && slices.Contains(before, addr) })
		if len(after) > 0 {
			g.deliverTo(ctx, o, after, holders)
		}
	})
}
