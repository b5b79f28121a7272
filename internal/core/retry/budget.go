// Package retry decides whether a request may be sent again and what its caller
// may be told.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget allows retries as a share of first attempts, so that retries can't
// multiply the load of an outage.
type Budget struct {
	share, limit, level float64
}

// NewBudget returns a budget that gains share retries for each first attempt
// and holds at most limit unused ones. It starts full.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, level: limit}
}

// SetLimit changes the largest number of unused retries.
func (b *Budget) SetLimit(limit float64) {
	b.limit, b.level = limit, min(b.level, limit)
}

// Sent counts a first attempt.
func (b *Budget) Sent() { b.level = min(b.limit, b.level+b.share) }

// Take uses one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Limits of Backoff.
const (
	backoffFirst = 10 * time.Millisecond
	backoffLimit = 2 * time.Second
)

// Backoff returns the wait before retry number attempt, counted from 1, with
// full jitter so that failed requests don't return together.
func Backoff(attempt int, rnd *rand.Rand) time.Duration {
	ceiling := backoffLimit
	if attempt < 8 {
		ceiling = min(ceiling, backoffFirst<<max(attempt, 0))
	}
	return backoffFirst/2 + time.Duration(rnd.Int64N(int64(ceiling)))
}
