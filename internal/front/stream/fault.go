package stream

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/entry"
	"citronrock.example/citronrock/internal/route/pool"
)

// broke tells the guard of a run whose connection broke.
func (j *job) broke(ctx context.Context, s pool.Server, begun time.Time, f *entry.Fault) {
	if f.Fault == event.FaultBroken && ctx.Err() == nil {
		j.guard.RecordBroken(j.call, s, begun)
	}
}

// asFault returns the fault of an error of a sender.
func asFault(err error) *entry.Fault {
	var f *entry.Fault
	if errors.As(err, &f) {
		return f
	}
	return &entry.Fault{Fault: event.FaultBroken, Err: err}
}

// outcome tells what a fault showed about its server.
func outcome(ctx context.Context, f *entry.Fault) pool.Outcome {
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
