// Package budget bounds the requests that reach backend servers beyond the first arrival
// of each, over all daemons together.
//
// In any window the contract allows a ratio of the requests in it, or in an earlier window
// of the same length that ends in it, and a fixed burst. Each daemon keeps to its part
// without asking others, so that neither restarts nor cuts can add to the sum:
//
//   - Half the ratio for each of its own requests, for less than a window. What is
//     spent in a window is then paid by the requests of that window and the one before.
//   - Its share of the burst, earned over a window from nothing, while it sees most of the
//     seeds. Only one part of a fleet that is cut can see most of them. What is spent in
//     a window is then at most what the shares hold as it begins, and as much again.
package budget

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/core/retry"
)

const (
	// earnShare is the part of the contract's ratio that one request adds: the requests of
	// two windows may pay for one.
	earnShare = 0.5
	// burstShare is the part of the contract's burst that all daemons may hold. They can
	// spend what they hold and what they earn back within a window, lateShare included.
	burstShare = 1 / (2 + 2*lateShare)
	// lateShare is the part of a window by which a retry may arrive after it was charged, or
	// a request after its client sent it.
	lateShare = 0.1
	// maxStep bounds the time between two updates that counts: a daemon that was paused
	// knows nothing about the fleet in between.
	maxStep = time.Second
	// rounding is more than the error of the sums of shares.
	rounding = 1e-6
)

// Contract is what all daemons together may send to a service beyond the first arrival of
// each request, in any window: Ratio times its requests and Burst.
type Contract struct {
	Ratio  float64
	Burst  int
	Window time.Duration
}

// Fleet is a daemon's view of the fleet.
type Fleet struct {
	// Alive has the live daemons, this one included.
	Alive []netip.AddrPort
	// Seeds are the daemons that each one is told of at its start.
	Seeds []netip.AddrPort
}

// hasMostSeeds reports whether most of the seeds are alive, which holds for one part of a
// fleet at most.
func (f Fleet) hasMostSeeds() bool {
	alive := 0
	for _, s := range f.Seeds {
		if slices.Contains(f.Alive, s) {
			alive++
		}
	}
	return len(f.Seeds) == 0 || 2*alive > len(f.Seeds)
}

// Budget is a daemon's part of the retry budgets, one for each service. It is safe for
// concurrent use.
type Budget struct {
	self     string
	contract Contract
	fleet    func() Fleet
	start    time.Time

	mu       sync.Mutex
	services map[string]*service
	// alive are the daemons of the last update, and names their addresses. view counts
	// from 1 how often they changed. Without most of the seeds, cut is set.
	alive     []netip.AddrPort
	names     []string
	view      int
	cut       bool
	updatedAt time.Time
}

// service is the state of one service.
type service struct {
	earned *retry.Earned
	// burst is what is left of this daemon's share of the burst.
	burst, share float64
	// view is that by which the burst was divided last.
	view  int
	usage Usage
}

// Usage is what became of the retry budget of a service since the start of this daemon.
type Usage struct {
	Service string
	// Requests added to the budget, Spent and Refused retries were asked of it.
	Requests, Spent, Refused int64
	// Left is the number of retries that are left now, Share how many of the burst this
	// daemon may hold.
	Left, Share float64
	// Daemons is the number of daemons that share the burst, as far as this one knows, and
	// Cut whether it can't see most of the seeds and earns nothing of the burst.
	Daemons int
	Cut     bool
}

// New returns the budget of the daemon at an address, which starts empty. Update must be
// called several times a window.
func New(now time.Time, self netip.AddrPort, c Contract, fleet func() Fleet) *Budget {
	q := &Budget{self: self.String(), contract: c, fleet: fleet, start: now, view: 1, services: map[string]*service{}}
	q.Update(now)
	return q
}

// Update reads the state of the fleet and adds what was earned of the burst since the last
// update.
func (q *Budget) Update(now time.Time) {
	fleet := q.fleet()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Equal(fleet.Alive, q.alive) {
		q.alive, q.names = slices.Clone(fleet.Alive), nil
		q.view++
		for _, a := range q.alive {
			q.names = append(q.names, a.String())
		}
	}
	q.cut = !fleet.hasMostSeeds()
	elapsed := min(max(now.Sub(q.updatedAt), 0), maxStep)
	q.updatedAt = now
	for name, s := range q.services {
		was := s.share
		q.divide(name, s)
		s.burst = min(s.share, s.burst+min(was, s.share)*elapsed.Seconds()/q.contract.Window.Seconds())
	}
}

// divide sets a service's share of the burst. The burst is divided into whole retries, so
// that a fleet of more daemons than that has some that may use one. q.mu must be held.
func (q *Budget) divide(name string, s *service) {
	switch {
	case q.cut:
		s.share, s.view = 0, 0
		return
	case s.view == q.view:
		return
	}
	s.view = q.view
	all, n := int(burstShare*float64(q.contract.Burst)), max(len(q.names), 1)
	s.share = float64(all / n)
	rank, own := 0, owner.Score(name, q.self)
	for _, other := range q.names {
		if score := owner.Score(name, other); score > own || score == own && other < q.self {
			rank++
		}
	}
	if rank < all%n {
		s.share++
	}
}

// service returns the state of a service. q.mu must be held.
func (q *Budget) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{earned: retry.NewEarned(earnShare*q.contract.Ratio, time.Duration((1-2*lateShare)*float64(q.contract.Window))),
			usage: Usage{Service: name}}
		q.divide(name, s)
		q.services[name] = s
	}
	return s
}

// take takes one retry from the budget of a service.
func (q *Budget) take(now time.Time, name string) (ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	since := now.Sub(q.start)
	if s.earned.Left(since)+s.burst < 1-rounding {
		s.usage.Refused++
		return ticket{}, false
	}
	part, oldest := s.earned.Take(since, 1)
	s.burst = max(s.burst-(1-part), 0)
	s.usage.Spent++
	return ticket{takenAt: now, earned: part, from: oldest}, true
}

// giveBack returns a retry that was not made to the budget.
func (q *Budget) giveBack(now time.Time, name string, t ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	s.earned.GiveBack(now.Sub(q.start), t.earned, t.from)
	s.burst = min(s.share, s.burst+1-t.earned)
	s.usage.Spent--
}

// left returns the number of retries that are left for a service.
func (q *Budget) left(now time.Time, name string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	return s.earned.Left(now.Sub(q.start)) + s.burst
}

// late is how long a retry that was charged may wait until it is sent.
func (q *Budget) late() time.Duration { return time.Duration(lateShare * float64(q.contract.Window)) }

// Usages returns the usage of each service that had a request, by name.
func (q *Budget) Usages(now time.Time) []Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Usage
	for _, name := range slices.Sorted(maps.Keys(q.services)) {
		s := q.services[name]
		u := s.usage
		u.Left, u.Share = s.earned.Left(now.Sub(q.start))+s.burst, s.share
		u.Daemons, u.Cut = len(q.names), q.cut
		out = append(out, u)
	}
	return out
}
