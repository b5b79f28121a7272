package router

import (
	"context"
	"errors"
	"net/http"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/allow"
	"citronrock.example/citronrock/internal/route/config"
)

// authenticate finds the tenant of a request by its API key. It returns false if the
// request has to have a valid key and has none. Without tenants in the configuration no
// request is checked.
func authenticate(d *config.Document, route *config.Route, req *proxy.Request) bool {
	if !d.KeysRequired {
		return true
	}
	req.Checked = true
	t, ok := d.Authenticate(req.APIKeys)
	req.Tenant = t
	req.Priority = min(max(req.Rank(route), 0), proxy.MaxPriority)
	return ok || route.Anonymous
}

// tenant returns a tenant of the configuration in force, nil if it has none of that name.
func (r *Router) tenant(name string) *config.Tenant {
	d := r.follower.Document()
	if d == nil {
		return nil
	}
	return d.Tenant(name)
}

// charge takes the units of a request from the allowance of its tenant. It completes the
// outcome and returns true if the request is refused.
func (r *Router) charge(ctx context.Context, req *proxy.Request, o *lines.Outcome) (*allow.Ticket, bool) {
	if req.Tenant == nil {
		return nil, false
	}
	ticket, refusal := r.quotas.Acquire(ctx, req.Tenant, req.Tenant.Cost(req.Prompt+req.MaxOutput))
	if refusal == nil {
		return ticket, false
	}
	o.Status, o.Result, o.Reason, o.RetryAfter = http.StatusServiceUnavailable, "refused", "owner", refusal.RetryAfter
	if refusal.Limited {
		o.Status, o.Reason = http.StatusTooManyRequests, string(citronrock.ReasonLimit)
	}
	o.Cost, o.Had, o.Told = refusal.Cost, refusal.Had, refusal.Age
	if refusal.Owner.IsValid() {
		o.Owner = refusal.Owner.String()
	}
	return nil, true
}

// ownedLevel returns the level of an account that this daemon owns, so that the sum over all
// daemons counts each account once.
func ownedLevel(a *allow.Account) float64 {
	if a.Rate <= 0 {
		return 0
	}
	return a.Level
}

// registerTenantGauges registers the gauges of the allowances of tenants.
func (r *Router) registerTenantGauges() error {
	var failed []error
	for name, g := range map[string]struct {
		text string
		of   func(*allow.Account) float64
	}{
		"quota_granted":  {"units that owners have granted to this daemon", func(a *allow.Account) float64 { return a.Granted }},
		"quota_used":     {"units that admitted requests count", func(a *allow.Account) float64 { return a.Used }},
		"quota_returned": {"units of admitted requests that did not run", func(a *allow.Account) float64 { return a.Returned }},
		"quota_refused":  {"units of requests that were refused", func(a *allow.Account) float64 { return a.Refused }},
		"quota_asks":     {"asks for units that were sent to owners", func(a *allow.Account) float64 { return float64(a.Asks) }},
		"quota_silent":   {"asks for units that an owner did not answer", func(a *allow.Account) float64 { return float64(a.Silent) }},
		"quota_level":    {"units left in the accounts that this daemon owns", ownedLevel},
		"quota_rate":     {"units a second that this daemon may grant", func(a *allow.Account) float64 { return a.Rate }},
	} {
		failed = append(failed, r.meter.TenantGauge(name, g.text, func(observe func(tenant string, value int64)) {
			for _, a := range r.quotas.Accounts() {
				observe(a.Tenant, int64(g.of(&a)))
			}
		}))
	}
	return errors.Join(failed...)
}
