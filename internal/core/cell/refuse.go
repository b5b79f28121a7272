package cell

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Bounds of the Retry-After delay of a refused lease request.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// firstReportWait is the Retry-After delay while the first load report of an
	// engine is missing after a takeover; it arrives within one report interval.
	firstReportWait = 150 * time.Millisecond
)

// releaseRate measures how fast a cell frees memory and assigns Retry-After delays
// at that rate, so that refused requests don't retry together.
type releaseRate struct {
	lastRelease time.Duration
	// perBlock is the mean time in nanoseconds in which one KV block is freed.
	perBlock float64
	// nextSlot is the latest time of a retry that has been assigned.
	nextSlot time.Duration
}

// add counts KV blocks that have been freed.
func (r *releaseRate) add(at time.Duration, blocks uint32) {
	if r.lastRelease > 0 && blocks > 0 {
		sample := float64(at-r.lastRelease) / float64(blocks)
		if r.perBlock == 0 {
			r.perBlock = sample
		}
		r.perBlock += (sample - r.perBlock) / 16
	}
	r.lastRelease = at
}

// retryAfter returns the Retry-After delay of a lease request for KV blocks.
func (r *releaseRate) retryAfter(at time.Duration, blocks uint32) time.Duration {
	perBlock := time.Duration(r.perBlock)
	if perBlock <= 0 {
		perBlock = minRetryAfter
	}
	r.nextSlot = min(max(r.nextSlot, at)+perBlock*time.Duration(blocks), at+maxRetryAfter)
	return max(minRetryAfter, r.nextSlot-at)
}

// refusePlacement refuses a request for which findPlacement found no engines.
func (m *Machine) refusePlacement(at time.Duration, e event.Asked, c *cell, p placement, reason citronrock.Reason) event.Action {
	var after time.Duration
	slack := time.Duration(e.Ask.GetSlack()) * time.Millisecond
	switch {
	case reason == citronrock.ReasonBackend:
		after = 500 * time.Millisecond
	case p.prefill != nil:
		// The prefill queue is too long: retry when half of it is left.
		after = max(p.prefillStart-at-m.maxQueue/2, p.firstToken-at-slack)
	case p.noEngine && c.awaitingReports():
		after = firstReportWait
	case p.noEngine && at-c.ownedSince < leaseTerm:
		// The engines don't check fencing tokens and are not used until the leases
		// of the previous owner have expired.
		after = c.ownedSince + leaseTerm - at
	default:
		after = c.releaseRate.retryAfter(at, m.blocksNeeded(c.service, e.Ask))
	}
	a := m.refuse(e, reason, min(max(after, minRetryAfter), maxRetryAfter))
	a.Grant.Free, a.Grant.Queue = p.load.freeBlocks, millis(p.load.queueWait)
	return a
}

// awaitingReports reports whether the first load report of an engine is missing.
func (c *cell) awaitingReports() bool {
	for _, eng := range c.engines {
		if !eng.reported && !eng.lost && !eng.leaving {
			return true
		}
	}
	return false
}

func (m *Machine) refuse(e event.Asked, reason citronrock.Reason, after time.Duration) event.SendGrant {
	m.counts.Refused++
	return event.SendGrant{To: e.From, Grant: &peer.Grant{
		Request: e.Ask.GetRequest(),
		Reason:  string(reason),
		After:   millis(after),
	}}
}
