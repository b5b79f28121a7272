package pool

import (
	"slices"
	"time"
)

// Parameters of the choice between plain servers.
const (
	// firstTook stands for the latency of a server without answers yet.
	firstTook = 15 * time.Millisecond
	// crossCost is the latency that another failure domain adds, in the choice:
	// traffic between domains is charged, so that it must gain a few
	// milliseconds.
	crossCost = 8 * time.Millisecond
	// failCost is the latency that stands for a failed request. It makes a
	// server with a failure rate of 0.3 above the others the last choice.
	failCost = 400 * time.Millisecond
)

// Choose returns the server of a service with the least expected latency for a
// request from a failure domain, among those not in without. Servers that
// can't be reached are chosen only when all others are excluded.
func (t *Table) Choose(now time.Time, service, domain string, without []string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := 1.0
	for _, r := range t.servers {
		if r.Service == service && t.usable(now, r) {
			least = min(least, r.health.fails)
		}
	}
	var best *record
	var low time.Duration
	for _, r := range t.servers {
		if r.Service != service || r.Stage == Prefill || !t.usable(now, r) || t.isBarred(now, r.Process()) || slices.Contains(without, r.ID) {
			continue
		}
		cost := r.cost(now, domain, least)
		if best == nil || cost < low || cost == low && r.ID < best.ID {
			best, low = r, cost
		}
	}
	if best == nil {
		return Server{}, false
	}
	return best.Server, true
}

// cost estimates the latency of one more request. A share of failures that all
// servers have belongs to the requests and not to the servers.
func (r *record) cost(now time.Time, domain string, least float64) time.Duration {
	took := r.health.took
	if took == 0 {
		took = firstTook
	}
	cost := took + time.Duration(r.open)*took/2
	cost += time.Duration(float64(failCost) * max(r.health.fails-least-0.1, 0))
	if r.Domain != domain {
		cost += crossCost
	}
	if r.health.resting(now) {
		cost += time.Minute
	}
	return cost
}
