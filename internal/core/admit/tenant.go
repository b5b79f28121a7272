package admit

import (
	"math"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// tenant holds the limits of one tenant at this edge.
type tenant struct {
	rate, burst float64
	limit       int
	weight      float64
	level       float64
	at          time.Time
	open        int
}

func (g *Gate) publishTenants(now time.Time, d *policy.Document) {
	next := make(map[string]*tenant, len(d.Tenants))
	for _, p := range d.Tenants {
		t := g.tenants[p.Name]
		if t == nil {
			t = &tenant{level: burst(p), at: now}
		}
		t.rate, t.burst, t.limit = p.Rate, burst(p), p.Open
		t.weight = p.Weight
		if t.weight <= 0 {
			t.weight = 1
		}
		next[p.Name] = t
	}
	g.tenants = next
}

func burst(p policy.Tenant) float64 { return math.Max(float64(p.Burst), 1) }

// openWait is the time to come back for a tenant with too many open requests.
const openWait = 250 * time.Millisecond

// admit takes one request from the tenant's limits. It returns zero, or the time
// until a request would be admitted. A limit of zero means no limit.
func (t *tenant) admit(now time.Time, alive int) time.Duration {
	if t.limit > 0 && t.open >= share(t.limit, alive) {
		return openWait
	}
	if t.rate <= 0 {
		return 0
	}
	rate := t.rate / float64(alive)
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

// share is one edge's part of an open limit. It is twice the even part, since
// open requests spread less evenly than arrivals.
func share(limit, alive int) int {
	return min(limit, (2*limit+alive-1)/alive)
}
