// Package exec carries out the actions of the decision core on traffic
// goroutines and feeds their outcomes back as events.
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

// Time limits of attempts. The core has shorter deadlines of its own; these end
// attempts that it has forgotten.
const (
	holdLimit    = 2 * time.Second
	prefillLimit = 2 * time.Minute
	moveLimit    = time.Minute
	cancelLimit  = time.Second
	orderLimit   = 5 * time.Second
	// progressEvery is the least time between two Progress events of a stream,
	// well under the smallest progress deadline of the core.
	progressEvery = 50 * time.Millisecond
)

// Control is the part of the control loop that Exec needs.
type Control interface {
	Post(e event.Event)
	Epoch() uint64
	// Valid tells whether an order decided in epoch may still be sent.
	Valid(epoch uint64) bool
}

// Engines finds the clients of engines.
type Engines interface {
	// Engine returns the client and the address of an engine, nil if unknown.
	Engine(name string) (citronrock.Engine, string)
}

// Exec carries out actions.
type Exec struct {
	name    string
	control Control
	engines Engines
	peers   citronrock.Peers
	owner   func(cell string) string
	strike  func(*peer.Strike)

	mu   sync.Mutex
	open map[string]*Request
	wg   sync.WaitGroup
	stop context.Context
	end  context.CancelFunc
}

// New returns an Exec of the daemon with that name. The function owner names the
// daemon that owns a cell, strike spreads a record; both are called on the
// control goroutine.
func New(name string, control Control, engines Engines, peers citronrock.Peers,
	owner func(cell string) string, strike func(*peer.Strike)) *Exec {
	stop, end := context.WithCancel(context.Background())
	return &Exec{
		name: name, control: control, engines: engines, peers: peers,
		owner: owner, strike: strike, open: map[string]*Request{}, stop: stop, end: end,
	}
}

// Close ends all attempts and waits for them.
func (x *Exec) Close() {
	x.end()
	x.wg.Wait()
}

// Register registers a request, so that actions on it find its prompt.
func (x *Exec) Register(r *Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[r.ID] = r
}

// Remove removes a request and ends its attempts.
func (x *Exec) Remove(r *Request) {
	x.mu.Lock()
	delete(x.open, r.ID)
	x.mu.Unlock()
	r.end()
}

// Count returns the number of open requests.
func (x *Exec) Count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.open)
}

// Requests returns the open requests.
func (x *Exec) Requests() []*Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*Request, 0, len(x.open))
	for _, r := range x.open {
		out = append(out, r)
	}
	return out
}

func (x *Exec) find(id string) *Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.open[id]
}

// Act carries out an action. It is called on the control goroutine and does not
// block.
func (x *Exec) Act(a event.Action) {
	switch a := a.(type) {
	case event.SendAsk:
		x.ask(a.Ask)
	case event.SendGrant:
		x.peers.Send(a.To, &peer.Frame{Grants: []*peer.Grant{a.Grant}})
	case event.SendDone:
		if to := x.owner(a.Done.Cell); to != "" {
			x.peers.Send(to, &peer.Frame{Dones: []*peer.Done{a.Done}})
		}
	case event.SendStrike:
		x.strike(a.Strike)
	case event.Hold:
		x.hold(a)
	case event.Prefill:
		x.prefill(a)
	case event.Move:
		x.move(a)
	case event.Decode:
		x.decode(a)
	case event.Cancel:
		x.cancel(a)
	case event.Order:
		x.order(a)
	case event.Answer:
		if r := x.find(a.Request); r != nil {
			r.finish(a)
		}
	}
}

// noOwnerAfter is when to ask again while a cell has no live owner, in
// milliseconds.
const noOwnerAfter = 200

func (x *Exec) ask(ask *peer.Ask) {
	to := x.owner(ask.Cell)
	if to == "" {
		grant := &peer.Grant{Request: ask.Request, After: noOwnerAfter, Reason: "owner"}
		x.spawn(func(context.Context) { x.control.Post(event.Granted{Grant: grant}) })
		return
	}
	x.peers.Send(to, &peer.Frame{Asks: []*peer.Ask{ask}})
}

// spawn runs f on a goroutine of its own, with a context that ends with Exec.
func (x *Exec) spawn(f func(ctx context.Context)) {
	if x.stop.Err() != nil {
		return
	}
	x.wg.Go(func() { f(x.stop) })
}

// attempt runs f with the client of an engine. When the order is void or the
// engine unknown, it reports FaultUnsent by unsent instead.
func (x *Exec) attempt(parent context.Context, name string, limit time.Duration,
	f func(ctx context.Context, c citronrock.Engine) event.Event, unsent event.Event) {
	epoch := x.control.Epoch()
	x.spawn(func(stop context.Context) {
		ctx, cancel := context.WithTimeout(parent, limit)
		defer cancel()
		defer context.AfterFunc(stop, cancel)()
		c, _ := x.engines.Engine(name)
		if c == nil || !x.control.Valid(epoch) {
			x.control.Post(unsent)
			return
		}
		x.control.Post(f(ctx, c))
	})
}

func (x *Exec) hold(a event.Hold) {
	r := x.find(a.Request)
	unsent := event.Held{Request: a.Request, Engine: a.Engine, Fault: event.FaultUnsent}
	if r == nil {
		x.spawn(func(context.Context) { x.control.Post(unsent) })
		return
	}
	x.attempt(r.ctx, a.Engine, holdLimit, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Hold(ctx, a)
	}, unsent)
}

func (x *Exec) prefill(a event.Prefill) {
	r := x.find(a.Request)
	unsent := event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: event.FaultUnsent}
	if r == nil {
		x.spawn(func(context.Context) { x.control.Post(unsent) })
		return
	}
	x.attempt(r.ctx, a.Engine, prefillLimit, func(ctx context.Context, c citronrock.Engine) event.Event {
		done := c.Prefill(ctx, a, r.Prompt, r.Pieces)
		if done.Fault == event.FaultNone {
			r.prefilled(done.Tokens - min(done.Cached, done.Tokens))
		}
		return done
	}, unsent)
}

func (x *Exec) move(a event.Move) {
	r := x.find(a.Request)
	unsent := event.Moved{Request: a.Request, Engine: a.To, Fault: event.FaultUnsent}
	_, source := x.engines.Engine(a.From)
	if r == nil || source == "" {
		x.spawn(func(context.Context) { x.control.Post(unsent) })
		return
	}
	x.attempt(r.ctx, a.To, moveLimit, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Move(ctx, a, source)
	}, unsent)
}

func (x *Exec) decode(a event.Decode) {
	r := x.find(a.Request)
	unsent := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: a.From, Fault: event.FaultUnsent}
	if r == nil {
		x.spawn(func(context.Context) { x.control.Post(unsent) })
		return
	}
	limit := max(time.Second, time.Until(r.Deadline))
	x.attempt(r.stream(), a.Engine, limit, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Decode(ctx, a, x.emitter(r, a))
	}, unsent)
}

// emitter passes tokens to the request and reports progress now and then.
func (x *Exec) emitter(r *Request, a event.Decode) func(*engine.DecodeChunk) error {
	var last time.Time
	return func(chunk *engine.DecodeChunk) error {
		if err := r.push(chunk); err != nil {
			return err
		}
		if now := time.Now(); now.Sub(last) >= progressEvery {
			last = now
			x.control.Post(event.Progress{Request: a.Request, Stream: a.Stream, Next: chunk.Index + 1})
		}
		return nil
	}
}

func (x *Exec) cancel(a event.Cancel) {
	// An attempt to cancel is independent of the request, which may be gone.
	unsent := event.Cancelled{Request: a.Request, Engine: a.Engine, Held: true, Fault: event.FaultUnsent}
	x.attempt(context.Background(), a.Engine, cancelLimit, func(ctx context.Context, c citronrock.Engine) event.Event {
		return c.Cancel(ctx, a)
	}, unsent)
}

func (x *Exec) order(a event.Order) {
	unsent := event.Ordered{Engine: a.Engine}
	x.attempt(context.Background(), a.Engine, orderLimit, func(ctx context.Context, c citronrock.Engine) event.Event {
		reply, err := c.Order(ctx, a)
		return event.Ordered{Engine: a.Engine, Accepted: err == nil && reply.GetAccepted()}
	}, unsent)
}
