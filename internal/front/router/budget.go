package router

import (
	"errors"
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/front/budget"
)

// budgetInterval is the time between two updates of the retry budgets, and between two log
// lines about that of one service.
const budgetInterval = 500 * time.Millisecond

// fleet returns this daemon's view of the fleet.
func (r *Router) fleet() budget.Fleet {
	f := budget.Fleet{Seeds: *r.seeds.Load()}
	for _, m := range r.gossip.Alive() {
		f.Alive = append(f.Alive, m.Addr)
	}
	return f
}

// SetSeeds replaces the seeds after the settings were reloaded.
func (r *Router) SetSeeds(seeds []netip.AddrPort) {
	r.gossip.SetSeeds(seeds)
	r.seeds.Store(&seeds)
}

// updateBudget regularly updates the retry budgets, and logs what became of those in use,
// until the router has stopped.
func (r *Router) updateBudget() {
	logged := map[string]budget.Usage{}
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.budget.Update(now)
		for _, u := range r.budget.Usages(now) {
			was := logged[u.Service]
			if u.Spent == was.Spent && u.Refused == was.Refused {
				continue
			}
			logged[u.Service] = u
			r.log.Info("retry budget", "service", u.Service, "requests", u.Requests, "spent", u.Spent, "refused", u.Refused,
				"left", u.Left, "share", u.Share, "daemons", u.Daemons, "cut", u.Cut)
		}
	}
}

// registerBudgetGauges registers the gauges of the retry budgets.
func (r *Router) registerBudgetGauges() error {
	var failed []error
	for name, g := range map[string]struct {
		text string
		of   func(budget.Usage) int64
	}{
		"retry_requests": {"requests that added to the retry budget of a service", func(u budget.Usage) int64 { return u.Requests }},
		"retry_spent":    {"retries that the budget of a service was charged for", func(u budget.Usage) int64 { return u.Spent }},
		"retry_refused":  {"retries that the budget of a service refused", func(u budget.Usage) int64 { return u.Refused }},
		"retry_left":     {"retries that the budget of a service has left", func(u budget.Usage) int64 { return int64(u.Left) }},
		"retry_daemons":  {"daemons that share the retry budget of a service, as far as known", func(u budget.Usage) int64 { return int64(u.Daemons) }},
	} {
		failed = append(failed, r.meter.ServiceGauge(name, g.text, func(observe func(service string, value int64)) {
			for _, u := range r.budget.Usages(time.Now()) {
				observe(u.Service, g.of(u))
			}
		}))
	}
	return errors.Join(failed...)
}
