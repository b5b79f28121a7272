package pool

import (
	"slices"
	"time"
)

// Parameters of the choice between plain servers.
const (
	// initialLatency is assumed for a server that has not responded to any
	// request yet.
	initialLatency = 15 * time.Millisecond
	// crossDomainPenalty is added to the cost of a server in another failure
	// domain. Traffic between domains is charged, so it has to gain a few
	// milliseconds.
	crossDomainPenalty = 8 * time.Millisecond
	// failurePenalty is the latency that a failed request counts as. A server
	// whose failure rate is 0.3 above the others' becomes the last choice.
	failurePenalty = 400 * time.Millisecond
)

// Choose returns the server of a service with the least expected latency for a
// request from a failure domain, leaving out those in exclude. Unhealthy servers
// are chosen only when all others are excluded. While a healthy one is only held, none
// is chosen instead: the client can come back when there is room.
func (t *Table) Choose(now time.Time, service, domain string, exclude []string) (Server, bool) {
	return t.choose(now, service, domain, exclude, func(*record) bool { return true })
}

// ChooseVersion is Choose among the servers of one software version. None has the empty
// version.
func (t *Table) ChooseVersion(now time.Time, service, domain, version string, exclude []string) (Server, bool) {
	return t.choose(now, service, domain, exclude, func(r *record) bool { return r.IsVersion(version) })
}

func (t *Table) choose(now time.Time, service, domain string, exclude []string, fits func(*record) bool) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minFailureRate := 1.0
	for _, r := range t.servers {
		if r.Service == service && t.usable(now, r) {
			minFailureRate = min(minFailureRate, r.health.failureRate)
		}
	}
	var best *record
	var lowest time.Duration
	healthyHeld := false
	for _, r := range t.servers {
		if r.Service != service || r.Stage == Prefill || !t.usable(now, r) || !fits(r) {
			continue
		}
		if now.Before(t.holds[r.Process()].until) && !r.health.unhealthy(now) {
			healthyHeld = true
		}
		if t.isBackingOff(now, r.Process()) || slices.Contains(exclude, r.ID) {
			continue
		}
		cost := r.cost(now, domain, minFailureRate)
		if best == nil || cost < lowest || cost == lowest && r.ID < best.ID {
			best, lowest = r, cost
		}
	}
	if best == nil || healthyHeld && best.health.unhealthy(now) {
		return Server{}, false
	}
	return best.Server, true
}

// cost estimates the latency of one more request. Failures that all servers share
// (minFailureRate) are attributed to the requests, not to the servers.
func (r *record) cost(now time.Time, domain string, minFailureRate float64) time.Duration {
	latency := r.health.latency
	if latency == 0 {
		latency = initialLatency
	}
	cost := latency + time.Duration(r.inFlight)*latency/2
	cost += time.Duration(float64(failurePenalty) * max(r.health.failureRate-minFailureRate-0.1, 0))
	if r.Domain != domain {
		cost += crossDomainPenalty
	}
	if r.health.unhealthy(now) {
		cost += time.Minute
	}
	return cost
}
