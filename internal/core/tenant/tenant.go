// Package tenant holds the limits of tenants at one daemon: the rate and the
// number of open requests, of both kinds of services together. It has no clock
// and is used on the control goroutine only.
package tenant

import (
	"math"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// openWait is the time to come back for a tenant with too many open requests.
const openWait = 250 * time.Millisecond

// Limits holds the tenants of the document.
type Limits struct {
	alive int
	by    map[string]*Tenant
}

// Tenant holds the limits of one tenant.
type Tenant struct {
	// Weight is the tenant's share among those that wait.
	Weight float64

	rate, burst float64
	limit       int
	level       float64
	at          time.Time
	open        int
}

// New returns limits without tenants.
func New() *Limits { return &Limits{alive: 1, by: map[string]*Tenant{}} }

// Publish takes the tenants of a document. What tenants that stay have used is
// kept.
func (l *Limits) Publish(list []policy.Tenant) {
	next := make(map[string]*Tenant, len(list))
	for _, p := range list {
		t := l.by[p.Name]
		if t == nil {
			t = &Tenant{}
		}
		t.rate, t.burst, t.limit = p.Rate, math.Max(float64(p.Burst), 1), p.Open
		t.Weight = p.Weight
		if t.Weight <= 0 {
			t.Weight = 1
		}
		next[p.Name] = t
	}
	l.by = next
}

// Members takes the number of daemons that answer. Each applies its share of the
// limits, since the platform's load balancer spreads the callers.
func (l *Limits) Members(alive int) { l.alive = max(alive, 1) }

// Find returns the tenant with that name, nil when the document has none.
func (l *Limits) Find(name string) *Tenant { return l.by[name] }

// Known reports whether the document names the tenant.
func (l *Limits) Known(name string) bool { return l.by[name] != nil }

// Admit takes one request from the rate of a tenant. It returns zero, or the time
// until a request would be admitted. A limit of zero means no limit.
func (l *Limits) Admit(now time.Time, t *Tenant) time.Duration {
	if t.limit > 0 && t.open >= share(t.limit, l.alive) {
		return openWait
	}
	if t.rate <= 0 {
		return 0
	}
	rate := t.rate / float64(l.alive)
	if gap := now.Sub(t.at); gap > 0 {
		t.level = math.Min(t.burst, t.level+gap.Seconds()*rate)
		t.at = now
	}
	if t.level < 1 {
		return time.Duration((1 - t.level) / rate * float64(time.Second))
	}
	t.level--
	return 0
}

// Begin counts a request that has been admitted.
func (t *Tenant) Begin() { t.open++ }

// End ends an open request.
func (t *Tenant) End() { t.open = max(0, t.open-1) }

// InFlight returns the number of open requests.
func (t *Tenant) InFlight() int { return t.open }

// share is one daemon's part of an open limit. It is twice the even part, since
// open requests spread less evenly than arrivals.
func share(limit, alive int) int {
	return min(limit, (2*limit+alive-1)/alive)
}
