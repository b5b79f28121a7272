package router

import (
	"errors"
	"time"

	"citronrock.example/citronrock/internal/front/quota"
)

// budgetInterval is the time between two log lines about the retry budget of a service.
const budgetInterval = time.Second

// logBudgets regularly logs what became of the retry budgets in use, until the router
// stops.
func (r *Router) logBudgets() {
	logged := map[string]quota.Usage{}
	for range time.Tick(budgetInterval) {
		if r.stopping.Load() {
			return
		}
		for _, u := range r.budget.Usages() {
			was := logged[u.Service]
			if u.Spent == was.Spent && u.Refused == was.Refused {
				continue
			}
			logged[u.Service] = u
			r.log.Info("retry budget", "service", u.Service, "requests", u.Requests, "spent", u.Spent, "refused", u.Refused,
				"left", u.Left, "most", u.Limit, "daemons", u.Daemons)
		}
	}
}

// registerBudgetGauges registers the gauges of the retry budgets.
func (r *Router) registerBudgetGauges() error {
	var failed []error
	for name, g := range map[string]struct {
		text string
		of   func(quota.Usage) int64
	}{
		"retry_requests": {"requests that added to the retry budget of a service", func(u quota.Usage) int64 { return u.Requests }},
		"retry_spent":    {"retries that the budget of a service was charged for", func(u quota.Usage) int64 { return u.Spent }},
		"retry_refused":  {"retries that the budget of a service refused", func(u quota.Usage) int64 { return u.Refused }},
		"retry_left":     {"retries that the budget of a service has left", func(u quota.Usage) int64 { return int64(u.Left) }},
		"retry_daemons":  {"daemons that share the retry budget of a service, as far as known", func(u quota.Usage) int64 { return int64(u.Daemons) }},
	} {
		failed = append(failed, r.meter.ServiceGauge(name, g.text, func(observe func(service string, value int64)) {
			for _, u := range r.budget.Usages() {
				observe(u.Service, g.of(u))
			}
		}))
	}
	return errors.Join(failed...)
}
