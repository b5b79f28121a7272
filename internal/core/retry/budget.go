// Package retry decides whether a failed attempt may be retried, and what the
// caller is told when it may not.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget is a retry budget: it allows retries up to a share of the first attempts,
// so that retries can't multiply the load during an outage.
type Budget struct {
	share, limit, unused float64
}

// NewBudget returns a budget that gains share retries for each first attempt
// and holds at most limit unused ones. It starts full.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, unused: limit}
}

// Sent counts a first attempt.
func (b *Budget) Sent() { b.unused = min(b.limit, b.unused+b.share) }

// Take consumes one retry, or returns false when the budget is used up.
func (b *Budget) Take() bool {
	if b.unused < 1 {
		return false
	}
	b.unused--
	return true
}

// Bounds of Backoff.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Backoff returns the wait before the given retry, counted from 1. It is
// exponential with full jitter, so that failed attempts are not retried together.
func Backoff(attempt int, rnd *rand.Rand) time.Duration {
	ceiling := maxBackoff
	if attempt < 8 {
		ceiling = min(ceiling, minBackoff<<max(attempt, 0))
	}
	return minBackoff/2 + time.Duration(rnd.Int64N(int64(ceiling)))
}
