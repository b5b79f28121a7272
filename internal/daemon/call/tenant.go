package call

import (
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"golang.org/x/time/rate"
)

// Tenants limits the rate and the number of open calls of each tenant. All
// methods run on the control goroutine.
type Tenants interface {
	// Publish takes the limits of a new document.
	Publish(tenants []policy.Tenant)
	// Known reports whether the document names the tenant.
	Known(tenant string) bool
	// Admit counts an open call, or returns the time to come back.
	Admit(now time.Time, tenant string) (time.Duration, bool)
	// Release ends an open call.
	Release(tenant string)
}

// NewTenants returns limits that count calls only.
func NewTenants() Tenants { return &tenants{by: map[string]*tenant{}} }

type tenants struct{ by map[string]*tenant }

type tenant struct {
	rate  *rate.Limiter
	limit int
	open  int
}

func (t *tenants) Publish(list []policy.Tenant) {
	next := make(map[string]*tenant, len(list))
	for _, p := range list {
		v := t.by[p.Name]
		if v == nil {
			v = &tenant{rate: rate.NewLimiter(rate.Limit(p.Rate), p.Burst)}
		}
		v.limit = p.Open
		if v.rate.Limit() != rate.Limit(p.Rate) || v.rate.Burst() != p.Burst {
			v.rate = rate.NewLimiter(rate.Limit(p.Rate), p.Burst)
		}
		next[p.Name] = v
	}
	t.by = next
}

func (t *tenants) Known(name string) bool { return t.by[name] != nil }

func (t *tenants) Admit(now time.Time, name string) (time.Duration, bool) {
	v := t.by[name]
	if v == nil {
		return 0, false
	}
	if v.open >= v.limit {
		return comeBackSoon, false
	}
	r := v.rate.ReserveN(now, 1)
	if !r.OK() {
		return time.Second, false
	}
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait, false
	}
	v.open++
	return 0, true
}

func (t *tenants) Release(name string) {
	if v := t.by[name]; v != nil && v.open > 0 {
		v.open--
	}
}
