package stream

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
)

// noteCrash reports a run whose connection broke to the guard against requests that
// crash servers.
func (j *job) noteCrash(ctx context.Context, s pool.Server, start time.Time, sendErr *proxy.SendError) {
	if sendErr.Fault == event.FaultBroken && ctx.Err() == nil {
		j.guard.RecordBroken(j.req, s, start, j.progress())
	}
}

// progress returns how far the current run has got.
func (j *job) progress() crash.Progress {
	p := crash.Progress{Events: j.runEvents}
	if j.runEvents > 0 {
		p.Writing = time.Since(j.firstEventAt)
	}
	return p
}

// refusePart refuses the request if a part of its prompt crashed servers since it was
// admitted.
func (j *job) refusePart(ctx context.Context) bool {
	part := j.guard.BlockedPart(j.req, j.service.Name)
	if part == "" {
		return false
	}
	j.closeLease("")
	j.outcome.Part, j.outcome.RetryAfter = part, crash.StrikeTTL
	j.fail(ctx, string(citronrock.ReasonSuspect))
	return true
}

// isLimited reports whether nothing was sent because of the limit of a server.
func isLimited(err error) bool {
	var sendErr *proxy.SendError
	return errors.As(err, &sendErr) && sendErr.Limited
}

// asSendError returns the *proxy.SendError in an error. Other errors count as a
// broken connection.
func asSendError(err error) *proxy.SendError {
	var sendErr *proxy.SendError
	if errors.As(err, &sendErr) {
		return sendErr
	}
	return &proxy.SendError{Fault: event.FaultBroken, Err: err}
}

// serverOutcome returns what an error shows about the health of its server.
func serverOutcome(ctx context.Context, sendErr *proxy.SendError) pool.Outcome {
	switch {
	case ctx.Err() != nil, sendErr.Fault == event.FaultStalled:
		return pool.Unknown // a stall was recorded when the engine fell silent
	case sendErr.Fault == event.FaultUnsent:
		return pool.Unreachable
	case sendErr.Fault == event.FaultRefused:
		return pool.Refused
	}
	return pool.Broken
}
