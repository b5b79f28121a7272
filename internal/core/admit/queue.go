package admit

import (
	"iter"
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/share"
)

// service is the queue and the settings of one model service.
type service struct {
	firstTarget time.Duration
	priority    uint32
	deferrable  bool
	maxQueued   int
	cells       []*cell
	// levels holds the queued requests by priority, most urgent first.
	levels []*level
	queued int
	// nextExpiry is a lower bound of latestStart over all queued requests.
	nextExpiry time.Time
	// nextSlot is the earliest retry time to give to the next refused request.
	nextSlot time.Time
	// shares are the tokens of the dequeued requests by tenant, divided by its weight.
	shares *share.Accounts
}

// level holds the queued requests of one priority.
type level struct {
	priority uint32
	tenants  []*tenantQueue
}

// tenantQueue holds the queued requests of one tenant at one priority, earliest
// deadline first.
type tenantQueue struct {
	name     string
	requests []*Request
	bytes    int
}

// Bounds of a queue. Bytes are those of the prompts, which the edge daemon keeps
// in memory while they are queued.
const (
	defaultMaxQueued = 256
	maxTenantBytes   = 16 << 20
	bytesPerToken    = 4
)

func (ctl *Controller) updateServices(now time.Time, d *policy.Document) {
	next := map[string]*service{}
	ctl.ordered = ctl.ordered[:0]
	for _, p := range d.Services {
		if p.Kind == policy.KindPlain {
			continue
		}
		s := ctl.services[p.Name]
		if s == nil {
			s = &service{shares: share.New(share.Window)}
		}
		s.firstTarget, s.priority = time.Duration(p.LatencyTarget), p.Priority
		s.deferrable, s.maxQueued = p.Deferrable, p.MaxQueue
		if s.maxQueued <= 0 {
			s.maxQueued = defaultMaxQueued
		}
		next[p.Name] = s
		ctl.ordered = append(ctl.ordered, s)
	}
	ctl.dropServices(now, next)
	ctl.services = next
}

// dropServices sheds the queued requests of services that are no longer in the
// document.
func (ctl *Controller) dropServices(now time.Time, next map[string]*service) {
	for name, s := range ctl.services {
		if next[name] != nil {
			continue
		}
		for r := s.head(now); r != nil; r = s.head(now) {
			s.remove(r)
			ctl.shed = append(ctl.shed, r)
		}
	}
	slices.SortFunc(ctl.shed, func(a, b *Request) int { return int(b.seq) - int(a.seq) })
}

// enqueue adds r to the queue. When the queue is full, it removes and returns the
// least urgent request, or returns r itself when r is not more urgent. It also
// returns r when the prompts of its tenant would exceed maxTenantBytes.
func (s *service) enqueue(r *Request) *Request {
	var evicted *Request
	if s.queued >= s.maxQueued {
		evicted = s.shedCandidate()
		if evicted == nil || evicted.Priority <= r.Priority {
			return r
		}
	}
	l := s.level(r.Priority)
	q := l.tenantQueue(r)
	if q.bytes+int(r.Tokens)*bytesPerToken > maxTenantBytes {
		s.prune()
		return r
	}
	if evicted != nil {
		defer s.remove(evicted)
	}
	at, _ := slices.BinarySearchFunc(q.requests, r, earlier)
	q.requests = slices.Insert(q.requests, at, r)
	q.bytes += int(r.Tokens) * bytesPerToken
	if s.queued == 0 || r.latestStart.Before(s.nextExpiry) {
		s.nextExpiry = r.latestStart
	}
	s.queued++
	r.queued = true
	return evicted
}

func earlier(a, b *Request) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return int(a.seq) - int(b.seq)
}

func (s *service) level(priority uint32) *level {
	at, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, p uint32) int {
		return int(l.priority) - int(p)
	})
	if !found {
		s.levels = slices.Insert(s.levels, at, &level{priority: priority})
	}
	return s.levels[at]
}

func (l *level) tenantQueue(r *Request) *tenantQueue {
	at, found := slices.BinarySearchFunc(l.tenants, r.Tenant, func(q *tenantQueue, name string) int {
		return strings.Compare(q.name, name)
	})
	if !found {
		l.tenants = slices.Insert(l.tenants, at, &tenantQueue{name: r.Tenant})
	}
	return l.tenants[at]
}

// head returns the request to run next: in the most urgent level, from the tenant
// with the least work, the one that front selects.
func (s *service) head(now time.Time) *Request {
	for _, l := range s.levels {
		if q := l.next(now, s.shares); q != nil {
			return q.front(now)
		}
	}
	return nil
}

// front returns the request with the earliest deadline among those that can still
// meet their first-token target, or among all when none can. Earliest deadline
// first alone would, in an overload, serve each request only after it has missed
// its target.
func (q *tenantQueue) front(now time.Time) *Request {
	for _, r := range q.requests {
		if now.Before(r.targetStart) {
			return r
		}
	}
	return q.requests[0]
}

func (l *level) next(now time.Time, shares *share.Accounts) *tenantQueue {
	shares.Begin(now, l.waiting())
	var best *tenantQueue
	least := 0.0
	for _, q := range l.tenants {
		if len(q.requests) == 0 {
			continue
		}
		work := shares.Level(q.name)
		if best == nil || work < least || work == least && earlier(q.requests[0], best.requests[0]) < 0 {
			best, least = q, work
		}
	}
	return best
}

// waiting returns the names of the tenants with queued requests.
func (l *level) waiting() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, q := range l.tenants {
			if len(q.requests) > 0 && !yield(q.name) {
				return
			}
		}
	}
}

// shedCandidate returns the request to shed first: in the least urgent level, the
// one with the latest deadline.
func (s *service) shedCandidate() *Request {
	for i := len(s.levels) - 1; i >= 0; i-- {
		var last *Request
		for _, q := range s.levels[i].tenants {
			if k := len(q.requests); k > 0 && (last == nil || earlier(q.requests[k-1], last) > 0) {
				last = q.requests[k-1]
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// dequeue removes r to run it and charges its work to the tenant.
func (s *service) dequeue(now time.Time, r *Request) {
	s.shares.Charge(now, r.Tenant, float64(r.Tokens+r.Max)/r.tenant.Weight)
	s.remove(r)
}

func (s *service) remove(r *Request) {
	q := s.level(r.Priority).tenantQueue(r)
	at, found := slices.BinarySearchFunc(q.requests, r, earlier)
	if !found {
		return
	}
	q.requests = slices.Delete(q.requests, at, at+1)
	q.bytes -= int(r.Tokens) * bytesPerToken
	s.queued--
	r.queued = false
	s.prune()
}

// prune drops empty levels. Callers choose the priorities, so that levels would
// pile up.
func (s *service) prune() {
	s.levels = slices.DeleteFunc(s.levels, (*level).empty)
}

// empty reports whether l has no queued requests.
func (l *level) empty() bool {
	for _, q := range l.tenants {
		if len(q.requests) > 0 {
			return false
		}
	}
	return true
}

// hasAtLeastAsUrgent reports whether a request of this priority or a more urgent
// one is queued, which a new request must not overtake.
func (s *service) hasAtLeastAsUrgent(priority uint32) bool {
	return slices.ContainsFunc(s.levels, func(l *level) bool { return l.priority <= priority && !l.empty() })
}

// removeExpired removes and returns a request that can no longer meet its
// deadline, nil when there is none.
func (s *service) removeExpired(now time.Time) *Request {
	if s.queued == 0 || now.Before(s.nextExpiry) {
		return nil
	}
	var late *Request
	s.nextExpiry = time.Time{}
	for _, l := range s.levels {
		for _, q := range l.tenants {
			for _, r := range q.requests {
				if late == nil && !now.Before(r.latestStart) {
					late = r
				} else if s.nextExpiry.IsZero() || r.latestStart.Before(s.nextExpiry) {
					s.nextExpiry = r.latestStart
				}
			}
		}
	}
	if late != nil {
		s.remove(late)
	}
	return late
}
