// Package citronrock holds the interfaces for behaviour that varies and the
// typed errors of the router. Implementations are below internal/ and in
// platform/.
package citronrock

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Machine is a deterministic state machine without I/O.
type Machine interface {
	// Step applies an event and appends the resulting actions to out. Events that do
	// not concern the machine are ignored.
	Step(now time.Time, e event.Event, out []event.Action) []event.Action
	// Wake returns the earliest time at which the machine needs a Tick, zero for
	// none.
	Wake() time.Time
}

// Clock tells the time, so that tests can inject it.
type Clock interface {
	Now() time.Time
}

// Control runs functions on the control goroutine, which owns all state of the
// decision core.
type Control interface {
	// Do runs f on the control goroutine and waits for it. It returns false without
	// running f when the control loop has ended.
	Do(f func(now time.Time)) bool
}

// Engine executes actions on one model engine. Each method blocks until the
// outcome is known or ctx ends, and returns the event for the core.
type Engine interface {
	Hold(ctx context.Context, a event.Hold) event.Held
	Prefill(ctx context.Context, a event.Prefill, prompt string, pieces []uint64) event.Prefilled
	// Move makes this engine fetch a KV cache from the engine at address source.
	Move(ctx context.Context, a event.Move, source string) event.Moved
	// Decode passes each token to emit; an error of emit ends the stream.
	Decode(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended
	Cancel(ctx context.Context, a event.Cancel) event.Cancelled
	// Watch passes load reports to report, at the interval every, until the stream
	// breaks or ctx ends.
	Watch(ctx context.Context, every time.Duration, report func(*engine.Report)) error
	// Events passes prefix cache events to cached until the stream breaks or ctx
	// ends.
	Events(ctx context.Context, cached func(*engine.CacheEvent)) error
	// Order tells the engine to change to another model or role.
	Order(ctx context.Context, a event.Order) (*engine.OrderReply, error)
}

// PlainRequest is one attempt of a call to a plain service.
type PlainRequest struct {
	Request string
	Attempt uint32
	Path    string
	Body    []byte
	// NewConn requires a new connection instead of a pooled one.
	NewConn bool
}

// PlainReply is the outcome of one attempt.
type PlainReply struct {
	Status int
	Body   []byte
	Fault  event.Fault
}

// Plain sends attempts to one backend server of a plain service.
type Plain interface {
	Send(ctx context.Context, r PlainRequest) PlainReply
}

// Platform reads from the platform's configuration service.
type Platform interface {
	// Document returns the published document. With wait above zero it is a long
	// poll: it returns when a version above after is published or wait has passed.
	Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error)
	// Instances returns the instance list, with the same meaning of after and wait.
	Instances(ctx context.Context, after uint64, wait time.Duration) (*platfm.InstancesReply, error)
}

// Peers sends to other daemons, which are named by their instance names.
type Peers interface {
	// Send queues a frame without blocking. Frames may be lost.
	Send(to string, f *peer.Frame)
	// Execute runs a call at another daemon. The bool reports whether the request may
	// have reached it.
	Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error)
	// Fetch returns the newest valid document of another daemon if its version is
	// higher than above.
	Fetch(ctx context.Context, to string, above uint64) (*peer.FetchReply, error)
}
