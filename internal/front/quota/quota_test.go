package quota_test

import (
	"testing"

	"citronrock.example/citronrock/internal/front/quota"
)

// Guards against daemons that together retry more often than the contract allows in
// one window: the ratio of all requests plus a fixed number.
func TestTake(t *testing.T) {
	const ratio, slack, requests = 0.2, 52, 100
	for name, n := range map[string]int{"one daemon": 1, "six daemons": 6, "many daemons": 40} {
		t.Run(name, func(t *testing.T) {
			taken := 0
			for range n {
				q := quota.New(ratio, slack, func() int { return n })
				for range requests {
					q.Sent("s")
					for q.Take("s") {
						taken++
					}
				}
			}
			if limit := ratio*float64(requests*n) + slack; float64(taken) > limit {
				t.Errorf("%d retries of %d requests, want %v at most", taken, requests*n, limit)
			}
			if taken < n {
				t.Errorf("%d retries at %d daemons, want at least one each", taken, n)
			}
		})
	}
}
