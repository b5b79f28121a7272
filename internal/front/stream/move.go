package stream

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
)

const (
	// minHoldPause is the time between the first two tries of a stream that has begun. It
	// doubles with each try up to maxHoldPause.
	minHoldPause = 100 * time.Millisecond
	maxHoldPause = time.Second
	// Clients abandon a stream after a gap of minPatience, patienceTargets latency targets
	// or patienceGaps longest pauses, whichever is longest.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// move is the state of a request between two runs.
type move struct {
	// silent is set if the run before was silent. Its engine may have been sound.
	silent bool
	// excluded is the number of engines that stay excluded when the request is held.
	excluded int
	// unpaid is the fault of a run that broke off while the retry budget was empty.
	unpaid string
	// pause is the last time that the request was held.
	pause time.Duration
}

// begun reports whether the client has a part of the stream, or a run of it broke off that
// may be repeated.
func (j *job) begun() bool {
	return j.streaming || j.version.begun || j.mayHaveRun && j.route.Resume
}

// holdEnd returns when the client abandons the stream, or its deadline if that is earlier,
// less the time from a grant to the first event.
func (j *job) holdEnd() time.Time {
	last := j.req.Received
	if !j.lastEventAt.IsZero() {
		last = j.lastEventAt
	}
	end := last.Add(max(minPatience, patienceTargets*j.route.Target, patienceGaps*j.route.Gap))
	if j.deadline.Before(end) {
		end = j.deadline
	}
	return end.Add(-j.firstEventDelay(j.service.Name))
}

// hold waits before another try of a stream that has begun: the lack of an engine, a lease
// or budget is no reason to end it before holdEnd. A request whose silent run was given up
// is held until the end of ctx, as the run would have gone on. Engines that failed it may be
// asked again after each pause. hold returns false for other requests, and once the time is up.
func (j *job) hold(ctx context.Context) bool {
	shortest, longest := minHoldPause, maxHoldPause
	left := time.Until(j.holdEnd())
	switch {
	case j.move.silent:
		shortest, longest, left = minSearchPause, maxSearchPause, maxSearchPause
	case !j.begun():
		return false
	case left <= 0:
		j.outcome.NotMoved = "deadline"
		return false
	}
	j.move.pause = min(max(2*j.move.pause, shortest), longest)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(j.move.pause, left)):
	}
	j.freeOldCache(ctx)
	j.excluded, j.leases = j.excluded[:j.move.excluded], 0
	return true
}

// payRetry charges the retry budget for the next run. A request for which nothing is added
// in time ends.
func (j *job) payRetry(ctx context.Context) bool {
	for !j.charge.Reserve(time.Now(), budget.Run) {
		switch {
		case j.hold(ctx):
			continue
		case j.move.unpaid != "":
			j.outcome.NotMoved = "budget"
			j.fail(ctx, j.move.unpaid)
		default:
			j.fail(ctx, "budget")
		}
		return false
	}
	j.move.unpaid = ""
	return true
}

// mayAsk reports whether the owner may be asked again after an error of a lease request,
// and waits before that. A client that may still be refused is told when there is room, and
// comes back then.
func (j *job) mayAsk(ctx context.Context, err error) bool {
	var refused *lease.RefusedError
	if errors.As(err, &refused) && !j.move.silent && (refused.Reason == ledger.ReasonTooLarge || refused.Reason != ledger.ReasonNoEngine && !j.streaming && !j.mayHaveRun) {
		return false
	}
	return j.hold(ctx)
}
