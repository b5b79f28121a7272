// Package tenant enforces the limits of tenants at one daemon: a token bucket for
// the request rate and a bound on the requests in flight, over model services and
// plain services together. It has no clock and must be used on the control
// goroutine only.
package tenant

import (
	"math"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// inFlightRetryAfter is the Retry-After delay for a tenant with too many requests
// in flight.
const inFlightRetryAfter = 250 * time.Millisecond

// Limits holds the limits of the tenants in the document.
type Limits struct {
	alive   int
	tenants map[string]*Tenant
}

// Tenant holds the limits of one tenant and how much of them is in use.
type Tenant struct {
	// Weight is the tenant's share of the work among tenants with queued requests.
	Weight float64

	rate, burst float64
	maxInFlight int
	tokens      float64
	refilledAt  time.Time
	inFlight    int
}

// New returns limits without tenants.
func New() *Limits { return &Limits{alive: 1, tenants: map[string]*Tenant{}} }

// Publish applies the tenants of a document. Tenants that were in the previous one
// keep their token buckets and requests in flight.
func (l *Limits) Publish(list []policy.Tenant) {
	next := make(map[string]*Tenant, len(list))
	for _, p := range list {
		t := l.tenants[p.Name]
		if t == nil {
			t = &Tenant{}
		}
		t.rate, t.burst, t.maxInFlight = p.Rate, math.Max(float64(p.Burst), 1), p.MaxInFlight
		t.Weight = p.Weight
		if t.Weight <= 0 {
			t.Weight = 1
		}
		next[p.Name] = t
	}
	l.tenants = next
}

// Members sets the number of daemons that are alive. Each enforces its share of
// the limits, since the platform's load balancer distributes the callers.
func (l *Limits) Members(alive int) { l.alive = max(alive, 1) }

// Find returns the tenant with that name, nil when the document has none.
func (l *Limits) Find(name string) *Tenant { return l.tenants[name] }

// Known reports whether the document names the tenant.
func (l *Limits) Known(name string) bool { return l.tenants[name] != nil }

// Admit consumes one token of the rate of a tenant and returns zero, or returns the
// Retry-After delay when the tenant is over a limit. A rate or limit of zero means
// no limit.
func (l *Limits) Admit(now time.Time, t *Tenant) time.Duration {
	if t.maxInFlight > 0 && t.inFlight >= share(t.maxInFlight, l.alive) {
		return inFlightRetryAfter
	}
	if t.rate <= 0 {
		return 0
	}
	rate := t.rate / float64(l.alive)
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens = math.Min(t.burst, t.tokens+elapsed.Seconds()*rate)
		t.refilledAt = now
	}
	if t.tokens < 1 {
		return time.Duration((1 - t.tokens) / rate * float64(time.Second))
	}
	t.tokens--
	return 0
}

// Begin counts a request that has been admitted. End must be called for it.
func (t *Tenant) Begin() { t.inFlight++ }

// End ends a request in flight.
func (t *Tenant) End() { t.inFlight = max(0, t.inFlight-1) }

// InFlight returns the number of requests in flight.
func (t *Tenant) InFlight() int { return t.inFlight }

// share returns one daemon's share of a limit of requests in flight. It is twice
// the even share, since requests in flight are distributed less evenly than
// arrivals.
func share(limit, alive int) int {
	return min(limit, (2*limit+alive-1)/alive)
}
