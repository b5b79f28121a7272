// Package quota shares the budget of repeated requests between daemons.
package quota

import (
	"sync"

	"citronrock.example/citronrock/internal/core/retry"
)

// Shares of the contract's budget that a daemon uses. The rest absorbs daemons
// that don't know of each other and windows that fall badly.
const (
	ratioShare = 0.8
	slackShare = 0.6
)

// Quota keeps one retry budget for each service.
type Quota struct {
	ratio   float64
	slack   int
	members func() int

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns the quota of a daemon. Ratio and slack are the contract's figures
// for all daemons together; members tells how many daemons there are.
func New(ratio float64, slack int, members func() int) *Quota {
	return &Quota{ratio: ratio, slack: slack, members: members, budgets: map[string]*retry.Budget{}}
}

// budget returns the budget of a service. The lock is held.
func (q *Quota) budget(service string) *retry.Budget {
	limit := max(1, slackShare*float64(q.slack)/float64(max(q.members(), 1)))
	b := q.budgets[service]
	if b == nil {
		b = retry.NewBudget(ratioShare*q.ratio, limit)
		q.budgets[service] = b
	}
	b.SetLimit(limit)
	return b
}

// Sent counts the first sending of a request.
func (q *Quota) Sent(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget(service).Sent()
}

// Take uses one repeat and reports whether there was one.
func (q *Quota) Take(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget(service).Take()
}
