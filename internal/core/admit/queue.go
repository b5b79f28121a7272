package admit

import (
	"citronrock.example/citronrock/internal/core/tenant"

	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// service holds the queue of one model service.
type service struct {
	first      time.Duration
	priority   uint32
	deferrable bool
	limit      int
	cells      []*cell
	// levels are the waiting requests by priority, most urgent first.
	levels []*level
	count  int
	// due is a lower bound of the latest start of all waiting requests.
	due time.Time
	// back is the time to come back that the next refused request gets.
	back time.Time
}

// level holds the waiting requests of one priority.
type level struct {
	priority uint32
	lanes    []*lane
	// served is the virtual time of the last lane that was served.
	served float64
}

// lane holds the waiting requests of one tenant, earliest deadline first.
type lane struct {
	tenant *tenant.Tenant
	name   string
	items  []*Request
	bytes  int
	// served is the work done for the tenant divided by its weight.
	served float64
}

// Bounds of a queue. Bytes are those of the prompts, which the edge keeps while
// they wait.
const (
	queueDefault = 256
	laneBytes    = 16 << 20
	tokenBytes   = 4
)

func (g *Controller) publishServices(now time.Time, d *policy.Document) {
	next := map[string]*service{}
	g.order = g.order[:0]
	for _, p := range d.Service {
		if p.Kind == policy.KindPlain {
			continue
		}
		s := g.services[p.Name]
		if s == nil {
			s = &service{}
		}
		s.first, s.priority = time.Duration(p.First), p.Priority
		s.deferrable, s.limit = p.Deferrable, p.Queue
		if s.limit <= 0 {
			s.limit = queueDefault
		}
		next[p.Name] = s
		g.order = append(g.order, s)
	}
	g.dropServices(now, next)
	g.services = next
}

// dropServices sheds the queues of services that are no longer in the document.
func (g *Controller) dropServices(now time.Time, next map[string]*service) {
	for name, s := range g.services {
		if next[name] != nil {
			continue
		}
		for r := s.head(now); r != nil; r = s.head(now) {
			s.remove(r)
			g.shed = append(g.shed, r)
		}
	}
	slices.SortFunc(g.shed, func(a, b *Request) int { return int(b.seq) - int(a.seq) })
}

// add queues r. When the queue is full, the least urgent request leaves it and
// is returned; that may be r itself.
func (s *service) add(r *Request) *Request {
	var victim *Request
	if s.count >= s.limit {
		victim = s.tail()
		if victim == nil || victim.Priority <= r.Priority {
			return r
		}
	}
	l := s.level(r.Priority)
	n := l.lane(r)
	if n.bytes+int(r.Tokens)*tokenBytes > laneBytes {
		s.prune()
		return r
	}
	if victim != nil {
		defer s.remove(victim)
	}
	at, _ := slices.BinarySearchFunc(n.items, r, earlier)
	if len(n.items) == 0 {
		n.served = max(n.served, l.served)
	}
	n.items = slices.Insert(n.items, at, r)
	n.bytes += int(r.Tokens) * tokenBytes
	if s.count == 0 || r.latest.Before(s.due) {
		s.due = r.latest
	}
	s.count++
	r.waiting = true
	return victim
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

func (l *level) lane(r *Request) *lane {
	at, found := slices.BinarySearchFunc(l.lanes, r.Tenant, func(n *lane, name string) int {
		return strings.Compare(n.name, name)
	})
	if !found {
		l.lanes = slices.Insert(l.lanes, at, &lane{name: r.Tenant, served: l.served})
	}
	l.lanes[at].tenant = r.tenant
	return l.lanes[at]
}

// head returns the request to run next: of the most urgent priority, of the
// tenant that got the least for its weight, the one that front chooses.
func (s *service) head(now time.Time) *Request {
	for _, l := range s.levels {
		if n := l.next(); n != nil {
			return n.front(now)
		}
	}
	return nil
}

// front returns the request with the earliest deadline of those that can still
// meet their first-token target, or of all when none can. In the order of the
// deadlines alone, an overload makes each request late before its turn comes.
func (n *lane) front(now time.Time) *Request {
	for _, r := range n.items {
		if now.Before(r.due) {
			return r
		}
	}
	return n.items[0]
}

func (l *level) next() *lane {
	var best *lane
	for _, n := range l.lanes {
		if len(n.items) == 0 {
			continue
		}
		if best == nil || n.served < best.served ||
			n.served == best.served && earlier(n.items[0], best.items[0]) < 0 {
			best = n
		}
	}
	return best
}

// tail returns the request to shed first: of the least urgent priority, the one
// with the latest deadline.
func (s *service) tail() *Request {
	for i := len(s.levels) - 1; i >= 0; i-- {
		var last *Request
		for _, n := range s.levels[i].lanes {
			if k := len(n.items); k > 0 && (last == nil || earlier(n.items[k-1], last) > 0) {
				last = n.items[k-1]
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// take removes r to run it and charges its tenant.
func (s *service) take(r *Request) {
	l := s.level(r.Priority)
	n := l.lane(r)
	l.served = n.served
	n.served += float64(r.Tokens+r.Max) / n.tenant.Weight
	s.remove(r)
}

func (s *service) remove(r *Request) {
	n := s.level(r.Priority).lane(r)
	at, found := slices.BinarySearchFunc(n.items, r, earlier)
	if !found {
		return
	}
	n.items = slices.Delete(n.items, at, at+1)
	n.bytes -= int(r.Tokens) * tokenBytes
	s.count--
	r.waiting = false
	s.prune()
}

// prune drops empty levels, since callers choose the priorities.
func (s *service) prune() {
	s.levels = slices.DeleteFunc(s.levels, (*level).empty)
}

// empty reports whether nothing waits in l. What its tenants were served counts
// only while some of them compete.
func (l *level) empty() bool {
	for _, n := range l.lanes {
		if len(n.items) > 0 {
			return false
		}
	}
	return true
}

// holdsUpTo reports whether a request of this priority or a more urgent one
// waits, so that a newcomer doesn't overtake it.
func (s *service) holdsUpTo(now time.Time, priority uint32) bool {
	if s.count == 0 {
		return false
	}
	h := s.head(now)
	return h != nil && h.Priority <= priority
}

// expired removes a request that can't meet its deadline any more.
func (s *service) expired(now time.Time) *Request {
	if s.count == 0 || now.Before(s.due) {
		return nil
	}
	var late *Request
	s.due = time.Time{}
	for _, l := range s.levels {
		for _, n := range l.lanes {
			for _, r := range n.items {
				if late == nil && !now.Before(r.latest) {
					late = r
				} else if s.due.IsZero() || r.latest.Before(s.due) {
					s.due = r.latest
				}
			}
		}
	}
	if late != nil {
		s.remove(late)
	}
	return late
}
