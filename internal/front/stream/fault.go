package stream

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
)

// broke tells the guard of a run whose connection broke.
func (j *job) broke(ctx context.Context, s pool.Server, begun time.Time, f *proxy.SendError) {
	if f.Fault == event.FaultBroken && ctx.Err() == nil {
		j.guard.RecordBroken(j.call, s, begun)
	}
}

// asFault returns the fault of an error of a sender.
func asFault(err error) *proxy.SendError {
	var f *proxy.SendError
	if errors.As(err, &f) {
		return f
	}
	return &proxy.SendError{Fault: event.FaultBroken, Err: err}
}

// outcome tells what a fault showed about its server.
func outcome(ctx context.Context, f *proxy.SendError) pool.Outcome {
	switch {
	case ctx.Err() != nil:
		return pool.Unknown
	case f.Fault == event.FaultUnsent:
		return pool.Unreachable
	case f.Fault == event.FaultRefused:
		return pool.Refused
	case f.Fault == event.FaultStalled:
		return pool.TimedOut
	}
	return pool.Broken
}
