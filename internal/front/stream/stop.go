package stream

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/proxy"
)

// errStopped is the error of a stream whose first event comes too late in a stop.
var errStopped = &proxy.SendError{Fault: event.FaultBroken, Err: errors.New("first event came too late in the stop")}

// WithStop sets the grace period that bounds requests.
func WithStop(p *grace.Period) Option { return func(h *Handler) { h.stop = p } }

// refuseStop ends a request without an answer if this daemon exits too soon for it.
// Another daemon has time for the complete answer.
func (j *job) refuseStop(ctx context.Context) bool {
	if j.move.silent || j.admitted() { // a silent run has been given up for this
		return false
	}
	j.outcome.RetryAfter = grace.RetryAfter
	j.fail(ctx, grace.Reason)
	return true
}

// admitted returns whether this daemon has time for the answer of another engine.
func (j *job) admitted() bool {
	return j.streaming || j.stop.AdmitsStream(j.req.Received, j.deadline, j.recent.Longest(j.service.Name))
}

// noteStop sets the outcome of a request that ended because of the stop.
func (j *job) noteStop(ctx context.Context) {
	if j.headerSent || !grace.Ended(ctx) || j.outcome.Result == "ok" {
		return
	}
	j.outcome.RetryAfter = 0
	j.fail(ctx, grace.Reason)
	if !j.mayHaveRun {
		j.outcome.RetryAfter = grace.RetryAfter
	}
}

// serverTime returns the time for which an engine may work on the request.
func (j *job) serverTime() time.Duration { return time.Until(j.stop.Limit(j.deadline, j.streaming)) }
