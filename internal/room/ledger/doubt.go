package ledger

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// confirmDelay is how much later than a request a report of its edge daemon must come to
// be newer than the failures that the request names. Daemons notice within that time that
// no connection can be opened.
const confirmDelay = 300 * time.Millisecond

// confirm takes over the last report of the request's edge daemon, nil for none: a daemon
// without runs and without unhealthy engines sends none.
func (q *queuedRequest) confirm(now time.Time, last *reporter) {
	at := now
	q.down = nil
	if last != nil {
		at, q.down = last.at, last.unhealthy
	}
	q.confirmed = at.Sub(q.queuedAt) > confirmDelay
}

// seenSound reports whether the edge daemon of a waiting request has found an engine sound
// since the request failed there, or since another daemon did not.
func (r *Request) seenSound(id string) bool { return r.confirmed && !slices.Contains(r.down, id) }

// mayReturn reports whether an engine for a stream that goes on may become usable: one of
// its version is listed, whatever its stage and health, and its limit has room.
func (l *Ledger) mayReturn(req *Request) bool {
	free := func(id string) bool { return !slices.Contains(req.Held, id) }
	return req.Resumed && (slices.ContainsFunc(l.groups()[group{pool.Decode, req.Version}], free) ||
		slices.ContainsFunc(l.groups()[group{pool.Prefill, req.Version}], free))
}

// leastDoubted returns the engines that the fewest edge daemons report as unhealthy: one
// that all report is dead, one that a single daemon reports may only be out of its reach.
func (l *Ledger) leastDoubted(ids []string) []string {
	var out []string
	fewest := math.MaxInt
	for _, id := range ids {
		count := 0
		for _, s := range l.reporters {
			if slices.Contains(s.unhealthy, id) {
				count++
			}
		}
		if count < fewest {
			out, fewest = nil, count
		}
		if count == fewest {
			out = append(out, id)
		}
	}
	return out
}

// lacksPrefill reports whether a lease would only be used up at a prefill engine: all are
// unhealthy or, for a stream that goes on, have failed it and were not seen sound since.
func (l *Ledger) lacksPrefill(now time.Time, req *Request) bool {
	unhealthy, lacks := l.unhealthy(), false
	for _, id := range l.idsByStage(pool.Prefill) {
		failed := unhealthy[id] || req.Resumed && slices.Contains(req.Excluded, id)
		if l.isSwitching(now, id) || slices.Contains(req.Held, id) {
			continue
		}
		if !failed || req.Resumed && req.seenSound(id) {
			return false
		}
		lacks = true
	}
	return lacks
}
