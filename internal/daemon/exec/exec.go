// Package exec executes the actions of the decision core on goroutines of their
// own and posts the outcomes to the control loop as events.
package exec

import (
	"context"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Timeouts of calls to engines. The core has shorter deadlines of its own; these
// end calls that it no longer tracks.
const (
	reserveTimeout = 2 * time.Second
	prefillTimeout = 2 * time.Minute
	moveTimeout    = time.Minute
	cancelTimeout  = time.Second
	orderTimeout   = 5 * time.Second
	// progressInterval is the minimum time between two Progress events of a stream,
	// well under the shortest progress deadline of the core.
	progressInterval = 50 * time.Millisecond
)

// Control is the part of the control loop that Exec uses.
type Control interface {
	Post(e event.Event)
	Epoch() uint64
	// Valid reports whether an action decided in epoch may still be executed.
	Valid(epoch uint64) bool
}

// Engines looks up the clients of engines.
type Engines interface {
	// Engine returns the client and the address of an engine, or nil and an empty
	// address if the document doesn't contain it.
	Engine(name string) (citronrock.Engine, string)
}

// Exec executes actions and keeps the requests that they belong to.
type Exec struct {
	name      string
	control   Control
	engines   Engines
	peers     citronrock.Peers
	owner     func(cell string) string
	broadcast func(*peer.Strike)

	mu        sync.Mutex
	requests  map[string]*Request
	wg        sync.WaitGroup
	ctx       context.Context
	cancelAll context.CancelFunc
}

// New returns an Exec for the named daemon. The function owner returns the daemon
// that owns a cell, or an empty name; broadcast sends a strike to all daemons. Both
// are called on the control goroutine.
func New(name string, control Control, engines Engines, peers citronrock.Peers,
	owner func(cell string) string, broadcast func(*peer.Strike)) *Exec {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exec{
		name: name, control: control, engines: engines, peers: peers,
		owner: owner, broadcast: broadcast, requests: map[string]*Request{}, ctx: ctx, cancelAll: cancel,
	}
}

// Close cancels all calls to engines and waits for them to end.
func (e *Exec) Close() {
	e.cancelAll()
	e.wg.Wait()
}

// Register adds a request, so that actions find its prompt by its ID.
func (e *Exec) Register(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[r.ID] = r
}

// Remove removes a request and cancels its calls to engines.
func (e *Exec) Remove(r *Request) {
	e.mu.Lock()
	delete(e.requests, r.ID)
	e.mu.Unlock()
	r.cancelAll()
}

// Count returns the number of requests in flight.
func (e *Exec) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// Requests returns the requests in flight, in no order.
func (e *Exec) Requests() []*Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*Request, 0, len(e.requests))
	for _, r := range e.requests {
		out = append(out, r)
	}
	return out
}

func (e *Exec) find(id string) *Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[id]
}

// Act executes an action. It must be called on the control goroutine and does not
// block. Calls to engines for requests that have ended, other than cancels, are
// reported as not sent.
func (e *Exec) Act(a event.Action) {
	switch a := a.(type) {
	case event.SendAsk:
		e.requestLease(a.Ask)
	case event.SendGrant:
		e.peers.Send(a.To, &peer.Frame{Grants: []*peer.Grant{a.Grant}})
	case event.SendDone:
		if to := e.owner(a.Done.Cell); to != "" {
			e.peers.Send(to, &peer.Frame{Dones: []*peer.Done{a.Done}})
		}
	case event.SendStrike:
		e.broadcast(a.Strike)
	case event.Hold:
		e.reserve(a)
	case event.Prefill:
		e.prefill(a)
	case event.Move:
		e.move(a)
	case event.Decode:
		e.decode(a)
	case event.Cancel:
		e.cancel(a)
	case event.Order:
		e.order(a)
	case event.Answer:
		if r := e.find(a.Request); r != nil {
			r.finish(a)
		}
	}
}

// noOwnerRetryAfterMS is the delay before the next lease request while a cell has
// no live owner, in milliseconds.
const noOwnerRetryAfterMS = 200

func (e *Exec) requestLease(ask *peer.Ask) {
	to := e.owner(ask.Cell)
	if to == "" {
		grant := &peer.Grant{Request: ask.Request, After: noOwnerRetryAfterMS, Reason: "owner"}
		e.spawn(func(context.Context) { e.control.Post(event.Granted{Grant: grant}) })
		return
	}
	e.peers.Send(to, &peer.Frame{Asks: []*peer.Ask{ask}})
}

// spawn runs f on a new goroutine, with a context that Close cancels.
func (e *Exec) spawn(f func(ctx context.Context)) {
	if e.ctx.Err() != nil {
		return
	}
	e.wg.Go(func() { f(e.ctx) })
}

// attempt runs f with the client of an engine and posts the event that it returns.
// If the process was paused since the action was decided, or the engine is
// unknown, it posts unsent instead.
func (e *Exec) attempt(parent context.Context, name string, timeout time.Duration,
	f func(ctx context.Context, c citronrock.Engine) event.Event, unsent event.Event) {
	epoch := e.control.Epoch()
	e.spawn(func(stop context.Context) {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		defer context.AfterFunc(stop, cancel)()
		c, _ := e.engines.Engine(name)
		if c == nil || !e.control.Valid(epoch) {
			e.control.Post(unsent)
			return
		}
		e.control.Post(f(ctx, c))
	})
}

func (e *Exec) reserve(a event.Hold) {
	r := e.find(a.Request)
	unsent := event.Held{Request: a.Request, Engine: a.Engine, Fault: event.FaultUnsent}
	if r == nil {
		e.spawn(func(context.Context) { e.control.Post(unsent) })
		return
	}
	e.attempt(r.ctx, a.Engine, reserveTimeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Hold(ctx, a)
	}, unsent)
}

func (e *Exec) prefill(a event.Prefill) {
	r := e.find(a.Request)
	unsent := event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: event.FaultUnsent}
	if r == nil {
		e.spawn(func(context.Context) { e.control.Post(unsent) })
		return
	}
	e.attempt(r.ctx, a.Engine, prefillTimeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		done := c.Prefill(ctx, a, r.Prompt, r.Pieces)
		if done.Fault == event.FaultNone {
			r.addPrefill(done.Tokens - min(done.Cached, done.Tokens))
		}
		return done
	}, unsent)
}

func (e *Exec) move(a event.Move) {
	r := e.find(a.Request)
	unsent := event.Moved{Request: a.Request, Engine: a.To, Fault: event.FaultUnsent}
	_, source := e.engines.Engine(a.From)
	if r == nil || source == "" {
		e.spawn(func(context.Context) { e.control.Post(unsent) })
		return
	}
	e.attempt(r.ctx, a.To, moveTimeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Move(ctx, a, source)
	}, unsent)
}

func (e *Exec) decode(a event.Decode) {
	r := e.find(a.Request)
	unsent := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: a.From, Fault: event.FaultUnsent}
	if r == nil {
		e.spawn(func(context.Context) { e.control.Post(unsent) })
		return
	}
	timeout := max(time.Second, time.Until(r.Deadline))
	e.attempt(r.newStream(), a.Engine, timeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Decode(ctx, a, e.emitter(r, a))
	}, unsent)
}

// emitter returns a function that queues tokens in the request and posts Progress
// events at most every progressInterval.
func (e *Exec) emitter(r *Request, a event.Decode) func(*engine.DecodeChunk) error {
	var last time.Time
	return func(chunk *engine.DecodeChunk) error {
		if err := r.push(chunk); err != nil {
			return err
		}
		if now := time.Now(); now.Sub(last) >= progressInterval {
			last = now
			e.control.Post(event.Progress{Request: a.Request, Stream: a.Stream, Next: chunk.Index + 1})
		}
		return nil
	}
}

func (e *Exec) cancel(a event.Cancel) {
	// A cancel doesn't depend on the request, which may have ended.
	unsent := event.Cancelled{Request: a.Request, Engine: a.Engine, Held: true, Fault: event.FaultUnsent}
	e.attempt(context.Background(), a.Engine, cancelTimeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Cancel(ctx, a)
	}, unsent)
}

func (e *Exec) order(a event.Order) {
	unsent := event.Ordered{Engine: a.Engine}
	e.attempt(context.Background(), a.Engine, orderTimeout, func(ctx context.Context, c citronrock.Engine) event.Event {
		reply, err := c.Order(ctx, a)
		return event.Ordered{Engine: a.Engine, Accepted: err == nil && reply.GetAccepted()}
	}, unsent)
}
