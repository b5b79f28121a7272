// Package quota divides the retry budget of a service among the daemons.
package quota

import (
	"maps"
	"slices"
	"sync"

	"citronrock.example/citronrock/internal/core/retry"
)

// Shares of the contract's retry budget that the daemons use. The rest covers
// daemons that don't know of each other and unfavourable alignment with the
// contract's time windows.
const (
	ratioShare = 0.8
	burstShare = 0.6
)

// Quota is a daemon's share of the retry budgets, one for each service. It is safe
// for concurrent use.
type Quota struct {
	ratio   float64
	burst   int
	daemons func() int

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	usages  map[string]*Usage
}

// Usage is what became of the retry budget of a service since the start of this daemon.
type Usage struct {
	Service string
	// Requests added to the budget, Spent and Refused retries were asked of it.
	Requests, Spent, Refused int64
	// Left is the number of retries that are left now, Limit the largest such number.
	Left, Limit float64
	// Daemons is the number of daemons that share the budget, as far as this one knows.
	Daemons int
}

// New returns the quota of a daemon. ratio is the number of retries per request and
// burst the number of additional retries that the contract allows to all daemons
// together; daemons returns their number.
func New(ratio float64, burst int, daemons func() int) *Quota {
	return &Quota{ratio: ratio, burst: burst, daemons: daemons, budgets: map[string]*retry.Budget{}, usages: map[string]*Usage{}}
}

// budget returns the budget of a service. q.mu must be held.
func (q *Quota) budget(service string) *retry.Budget {
	limit := max(1, burstShare*float64(q.burst)/float64(max(q.daemons(), 1)))
	b := q.budgets[service]
	if b == nil {
		b = retry.NewBudget(ratioShare*q.ratio, limit)
		q.budgets[service], q.usages[service] = b, &Usage{Service: service}
	}
	b.SetLimit(limit)
	q.usages[service].Limit, q.usages[service].Daemons = limit, q.daemons()
	return b
}

// Sent counts the first attempt of a request, which adds to the budget.
func (q *Quota) Sent(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget(service).Sent()
	q.usages[service].Requests++
}

// Take uses up one retry of the service's budget and returns whether there was one.
func (q *Quota) Take(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok := q.budget(service).Take()
	if ok {
		q.usages[service].Spent++
	} else {
		q.usages[service].Refused++
	}
	return ok
}

// Usages returns the usage of each service that had a request, by name.
func (q *Quota) Usages() []Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Usage
	for _, name := range slices.Sorted(maps.Keys(q.usages)) {
		u := *q.usages[name]
		u.Left = q.budget(name).Unused()
		out = append(out, u)
	}
	return out
}

// Left reports whether Take would return true now.
func (q *Quota) Left(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget(service).Left()
}
