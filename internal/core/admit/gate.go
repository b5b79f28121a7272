// Package admit decides which generate requests run, wait or are refused at
// once. It has no clock and no I/O; the caller passes the time.
package admit

import (
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/tenant"
)

// Request is what admission needs to know of a request.
type Request struct {
	ID, Tenant, Service   string
	Priority, Tokens, Max uint32
	// Piece is the hash of the prompt's first piece, zero when it has none.
	Piece    uint64
	Deadline time.Time

	tenant  *tenant.Tenant
	service *service
	// seq orders requests of equal deadline.
	seq uint64
	// latest is the last moment at which a start still meets the deadline.
	latest time.Time
	// due is the last moment at which a start still meets the first-token target.
	due     time.Time
	waiting bool
}

// Next is the outcome of admission.
type Next int

// Outcomes of Arrive.
const (
	// Run means that the request may be placed now.
	Run Next = iota
	// Wait means that the request is queued until Next returns it.
	Wait
	// Refuse means that the request gets its final answer at once.
	Refuse
)

// Decision is the answer to Arrive and the fate of a request that is shed.
type Decision struct {
	Next   Next
	Reason citronrock.Reason
	// After is the time to wait before a repeat, zero when none can help.
	After time.Duration
}

// Controller admits the generate requests of one edge.
type Controller struct {
	rnd      *rand.Rand
	loaded   bool
	tenants  *tenant.Limits
	services map[string]*service
	// order lists the services as in the document, for a fixed order of Next.
	order []*service
	cells map[string]*cell
	seq   uint64
	shed  []*Request
	// open, quiet and names are kept by Choose for its next call.
	open, quiet []*cell
	names       []string
}

// New returns a gate that draws from rnd.
func New(rnd *rand.Rand) *Controller {
	return &Controller{
		rnd:      rnd,
		tenants:  tenant.New(),
		services: map[string]*service{},
		cells:    map[string]*cell{},
	}
}

// Publish applies a document. Queued requests and figures are kept.
func (g *Controller) Publish(now time.Time, d *policy.Document) {
	g.loaded = true
	g.tenants.Publish(d.Tenants)
	g.publishServices(now, d)
	g.publishCells(d)
}

// Members tells how many daemons are alive. Each enforces its share of the
// tenants' limits, since the platform's load balancer spreads the callers.
func (g *Controller) Members(alive int) { g.tenants.Members(alive) }

// SetTenants replaces the limits by ones that calls to plain services share.
func (g *Controller) SetTenants(l *tenant.Limits) { g.tenants = l }

// Arrive decides about a new request. Every request that is not refused needs
// one later call of Leave.
func (g *Controller) Arrive(now time.Time, r *Request) Decision {
	if v := g.check(now, r); v.Next == Refuse {
		return v
	}
	g.seq++
	r.seq = g.seq
	r.due = now.Add(r.service.first - g.work(r))
	v := g.place(now, r)
	if v.Next != Refuse {
		r.tenant.Begin()
	}
	return v
}

// Release ends a request that was admitted or queued.
func (g *Controller) Release(r *Request) {
	if r.waiting {
		r.service.remove(r)
	}
	r.tenant.End()
}

func (g *Controller) check(now time.Time, r *Request) Decision {
	if !g.loaded {
		return Decision{Refuse, citronrock.ReasonConfig, g.BoundRetryAfter(time.Second)}
	}
	r.tenant, r.service = g.tenants.Find(r.Tenant), g.services[r.Service]
	if r.tenant == nil || r.service == nil {
		return Decision{Refuse, citronrock.ReasonInvalid, 0}
	}
	if !now.Before(r.Deadline) {
		return Decision{Refuse, citronrock.ReasonDeadline, 0}
	}
	if after := g.tenants.Admit(now, r.tenant); after > 0 {
		return Decision{Refuse, citronrock.ReasonLimit, g.BoundRetryAfter(after)}
	}
	return Decision{Next: Run}
}

// place decides between running, waiting and refusing by the predicted time of
// the first token.
func (g *Controller) place(now time.Time, r *Request) Decision {
	over := g.over(now, r)
	if over <= 0 && !r.service.holdsUpTo(now, r.Priority) {
		return Decision{Next: Run}
	}
	if !g.Enqueue(now, r, over) {
		return g.overload(now, r)
	}
	return Decision{Next: Wait}
}

func (g *Controller) overload(now time.Time, r *Request) Decision {
	return Decision{Refuse, citronrock.ReasonOverload, g.RetryAfter(now, r, g.over(now, r))}
}

// Enqueue queues a request that can't run before after has passed. It reports
// false when the request can't wait. It also takes back a request that the owner
// of a cell has refused.
func (g *Controller) Enqueue(now time.Time, r *Request, after time.Duration) bool {
	if !r.service.deferrable {
		return false
	}
	r.latest = r.Deadline.Add(-g.work(r))
	if !now.Add(after).Before(r.latest) {
		return false
	}
	victim := r.service.add(r)
	if victim == r {
		return false
	}
	if victim != nil {
		g.shed = append(g.shed, victim)
	}
	return true
}

// Dequeue removes the next queued request that may run now.
func (g *Controller) Dequeue(now time.Time) (*Request, bool) {
	for _, s := range g.order {
		head := s.head(now)
		if head == nil || !s.room() || g.over(now, head) > 0 {
			continue
		}
		s.take(head)
		return head, true
	}
	return nil, false
}

// Shed removes a queued request that lost its place to a more urgent one or
// can't meet its deadline any more. The caller answers it and calls Leave.
func (g *Controller) Shed(now time.Time) (*Request, Decision, bool) {
	if n := len(g.shed); n > 0 {
		r := g.shed[n-1]
		g.shed = g.shed[:n-1]
		return r, g.overload(now, r), true
	}
	for _, s := range g.order {
		if r := s.expired(now); r != nil {
			return r, g.overload(now, r), true
		}
	}
	return nil, Decision{}, false
}

// poll is how often the queue is examined while requests wait; figures of the
// cells age without events.
const poll = 20 * time.Millisecond

// Wake returns when Next and Shed are to be called again, zero when nothing
// waits.
func (g *Controller) Wake(now time.Time) time.Time {
	if len(g.shed) == 0 && g.Waiting() == 0 {
		return time.Time{}
	}
	return now.Add(poll)
}

// Waiting returns the number of queued requests.
func (g *Controller) Waiting() int {
	n := 0
	for _, s := range g.order {
		n += s.count
	}
	return n
}

// Bounds of the time to come back. The lower one keeps a refused caller from
// returning before the figures have changed; the upper one keeps callers from
// staying away long after a short overload.
const (
	afterLeast = 100 * time.Millisecond
	afterMost  = 10 * time.Second
)

// RetryAfter returns the time to come back for r, whose first token would be over late
// now. Requests that are refused one after the other get times one prefill apart,
// so that they return no faster than the cells can serve them.
func (g *Controller) RetryAfter(now time.Time, r *Request, over time.Duration) time.Duration {
	s := r.service
	slot := now.Add(min(max(over, s.back.Sub(now)), afterMost))
	s.back = slot.Add(g.work(r) / time.Duration(max(s.prefill(), 1)))
	return g.BoundRetryAfter(slot.Sub(now))
}

// BoundRetryAfter returns d within the bounds, with up to half of it added. The jitter
// spreads callers that were refused together.
func (g *Controller) BoundRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, afterLeast), afterMost)
	return d + g.jitter(d/2)
}

func (g *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(g.rnd.Int64N(int64(max(d, 1))))
}
