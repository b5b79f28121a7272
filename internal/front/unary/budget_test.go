package unary_test

import (
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/front/quota"
)

// perRetry is the number of requests that pay for one retry in a budget of newBudget.
const perRetry = 16

// newBudget returns a budget with a number of retries that last for as long as any test. The
// requests of a test add next to nothing.
func newBudget(retries int) *quota.Quota {
	q := quota.New(time.Now(), netip.AddrPort{}, quota.Contract{Ratio: 2.0 / perRetry, Window: time.Hour}, func() quota.Fleet { return quota.Fleet{} })
	refill(q, retries)
	return q
}

// refill adds retries to a budget of newBudget.
func refill(q *quota.Quota, retries int) {
	for range retries * perRetry {
		q.Open(time.Now(), "s")
	}
}

// countLeft uses up a budget and returns how many retries were left.
func countLeft(q *quota.Quota) int {
	c, left := q.Open(time.Now(), "s"), 0
	for c.Send(time.Now(), quota.Run); c.Send(time.Now(), quota.Run); {
		left++
	}
	return left
}
