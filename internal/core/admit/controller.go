// Package admit is the admission control of an edge daemon for generate requests:
// it decides from the tenants' limits and the predicted time to first token which
// ones run, are queued or are refused. It has no clock and no I/O; the caller
// passes the time.
package admit

import (
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/tenant"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID, Tenant, Service   string
	Priority, Tokens, Max uint32
	// Piece is the hash of the prompt's first KV block, zero when it has no
	// whole block.
	Piece    uint64
	Deadline time.Time

	tenant  *tenant.Tenant
	service *service
	// seq orders requests of equal deadline.
	seq uint64
	// latestStart is the latest start that still meets the deadline.
	latestStart time.Time
	// targetStart is the latest start that still meets the first-token target.
	targetStart time.Time
	queued      bool
}

// Next says what happens to a request.
type Next int

// Outcomes of Arrive.
const (
	// Run means that a lease for the request may be requested now.
	Run Next = iota
	// Wait means that the request is queued until Dequeue or Shed returns it.
	Wait
	// Refuse means that the client gets a refusal at once.
	Refuse
)

// Decision is the outcome of Arrive, and of Shed for a queued request.
type Decision struct {
	Next   Next
	Reason citronrock.Reason
	// RetryAfter is the Retry-After delay, zero when a retry can't help.
	RetryAfter time.Duration
}

// Controller admits the generate requests of one edge daemon. It must not be used
// concurrently.
type Controller struct {
	rnd        *rand.Rand
	configured bool
	tenants    *tenant.Limits
	services   map[string]*service
	// ordered lists the services as in the document, which fixes the order in which
	// Dequeue examines them.
	ordered []*service
	cells   map[string]*cell
	seq     uint64
	shed    []*Request
	// reachable, lost and names are buffers that Choose reuses.
	reachable, lost []*cell
	names           []string
}

// New returns a controller without a document, which refuses all requests. The
// choice of cells and the jitter draw from rnd.
func New(rnd *rand.Rand) *Controller {
	return &Controller{
		rnd:      rnd,
		tenants:  tenant.New(),
		services: map[string]*service{},
		cells:    map[string]*cell{},
	}
}

// Publish applies a document. Queued requests and the statistics of cells that
// stay are kept.
func (ctl *Controller) Publish(now time.Time, d *policy.Document) {
	ctl.configured = true
	ctl.tenants.Publish(d.Tenants)
	ctl.updateServices(now, d)
	ctl.updateCells(d)
}

// Members sets the number of daemons that are alive. Each enforces its share of
// the tenants' limits, since the platform's load balancer distributes the callers.
func (ctl *Controller) Members(alive int) { ctl.tenants.Members(alive) }

// SetTenants replaces the tenants' limits by ones that are shared with the calls
// to plain services.
func (ctl *Controller) SetTenants(l *tenant.Limits) { ctl.tenants = l }

// Arrive decides on a new request. Each request that is not refused needs one
// later call of Release.
func (ctl *Controller) Arrive(now time.Time, r *Request) Decision {
	if v := ctl.checkLimits(now, r); v.Next == Refuse {
		return v
	}
	ctl.seq++
	r.seq = ctl.seq
	r.targetStart = now.Add(r.service.firstTarget - ctl.minPrefillTime(r))
	v := ctl.decide(now, r)
	if v.Next != Refuse {
		r.tenant.Begin()
	}
	return v
}

// Release ends a request that was admitted or queued. A queued one leaves the
// queue.
func (ctl *Controller) Release(r *Request) {
	if r.queued {
		r.service.remove(r)
	}
	r.tenant.End()
}

func (ctl *Controller) checkLimits(now time.Time, r *Request) Decision {
	if !ctl.configured {
		return Decision{Refuse, citronrock.ReasonConfig, ctl.BoundRetryAfter(time.Second)}
	}
	r.tenant, r.service = ctl.tenants.Find(r.Tenant), ctl.services[r.Service]
	if r.tenant == nil || r.service == nil {
		return Decision{Refuse, citronrock.ReasonInvalid, 0}
	}
	if !now.Before(r.Deadline) {
		return Decision{Refuse, citronrock.ReasonDeadline, 0}
	}
	if after := ctl.tenants.Admit(now, r.tenant); after > 0 {
		return Decision{Refuse, citronrock.ReasonLimit, ctl.BoundRetryAfter(after)}
	}
	return Decision{Next: Run}
}

// decide runs, queues or refuses r by its predicted time to first token.
func (ctl *Controller) decide(now time.Time, r *Request) Decision {
	excess := ctl.excess(now, r)
	if excess <= 0 && !r.service.hasAtLeastAsUrgent(r.Priority) {
		return Decision{Next: Run}
	}
	if !ctl.Enqueue(now, r, excess) {
		return ctl.refuseOverload(now, r)
	}
	return Decision{Next: Wait}
}

func (ctl *Controller) refuseOverload(now time.Time, r *Request) Decision {
	return Decision{Refuse, citronrock.ReasonOverload, ctl.RetryAfter(now, r, ctl.excess(now, r))}
}

// Enqueue queues a new request, or one that the owner of a cell has refused, that
// can't run before wait has passed. It reports false when the service is not
// deferrable, the deadline is too early or the queue is full.
func (ctl *Controller) Enqueue(now time.Time, r *Request, wait time.Duration) bool {
	if !r.service.deferrable {
		return false
	}
	r.latestStart = r.Deadline.Add(-ctl.minPrefillTime(r))
	if !now.Add(wait).Before(r.latestStart) {
		return false
	}
	evicted := r.service.enqueue(r)
	if evicted == r {
		return false
	}
	if evicted != nil {
		ctl.shed = append(ctl.shed, evicted)
	}
	return true
}

// Dequeue removes and returns the next queued request that may run now. It reports
// false when there is none.
func (ctl *Controller) Dequeue(now time.Time) (*Request, bool) {
	for _, s := range ctl.ordered {
		head := s.head(now)
		if head == nil || !s.hasWindow() || ctl.excess(now, head) > 0 {
			continue
		}
		s.dequeue(now, head)
		return head, true
	}
	return nil, false
}

// Shed removes a queued request that a more urgent one has displaced, that can no
// longer meet its deadline, or whose service was removed. It reports false when
// there is none. The caller answers the request and calls Release.
func (ctl *Controller) Shed(now time.Time) (*Request, Decision, bool) {
	if n := len(ctl.shed); n > 0 {
		r := ctl.shed[n-1]
		ctl.shed = ctl.shed[:n-1]
		return r, ctl.refuseOverload(now, r), true
	}
	for _, s := range ctl.ordered {
		if r := s.removeExpired(now); r != nil {
			return r, ctl.refuseOverload(now, r), true
		}
	}
	return nil, Decision{}, false
}

// pollInterval is the time between two checks of the queue while requests are
// queued. The statistics of the cells age without events.
const pollInterval = 20 * time.Millisecond

// Wake returns when Dequeue and Shed are to be called again, zero when nothing is
// queued.
func (ctl *Controller) Wake(now time.Time) time.Time {
	if len(ctl.shed) == 0 && ctl.Queued() == 0 {
		return time.Time{}
	}
	return now.Add(pollInterval)
}

// Queued returns the number of queued requests.
func (ctl *Controller) Queued() int {
	n := 0
	for _, s := range ctl.ordered {
		n += s.queued
	}
	return n
}

// Bounds of the Retry-After delay. The lower one keeps a refused caller from
// retrying before the statistics have changed; the upper one limits how long
// callers stay away after a short overload.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns the Retry-After delay for r, whose first token would now miss
// its target by excess. Successive refusals get retry times that are one prefill
// apart, so that the callers retry no faster than the cells can serve them.
func (ctl *Controller) RetryAfter(now time.Time, r *Request, excess time.Duration) time.Duration {
	s := r.service
	slot := now.Add(min(max(excess, s.nextSlot.Sub(now)), maxRetryAfter))
	s.nextSlot = slot.Add(ctl.minPrefillTime(r) / time.Duration(max(s.prefillEngines(), 1)))
	return ctl.BoundRetryAfter(slot.Sub(now))
}

// BoundRetryAfter returns d, bounded to 100 ms to 10 s, with a jitter of up to half
// of it added, so that callers that were refused together retry at different
// times.
func (ctl *Controller) BoundRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + ctl.jitter(d/2)
}

func (ctl *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(ctl.rnd.Int64N(int64(max(d, 1))))
}
