package flow_test

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
)

// The fake engines hold reservations with terms, keep KV caches and stream tokens.

// carriedOut reports whether an attempt that ends with a fault has taken effect.
func carriedOut(f event.Fault) bool { return f == event.FaultNone || f == event.FaultBroken }

func (sim *simulation) holdOn(e *fakeEngine, a event.Hold, f event.Fault) event.Fault {
	if !carriedOut(f) {
		return f
	}
	sim.sweep(e)
	if e.held[a.Request] == nil {
		if len(e.held) >= 20 {
			return event.FaultRefused
		}
		e.held[a.Request] = &heldMemory{}
	}
	e.held[a.Request].until = sim.now.Add(a.Term)
	return f
}

// sweep drops the reservations and caches of an engine that have expired.
func (sim *simulation) sweep(e *fakeEngine) {
	if !sim.expire {
		return
	}
	for id, h := range e.held {
		if h.stream == 0 && sim.now.After(h.until) {
			delete(e.held, id)
		}
	}
	for id, until := range e.cache {
		if sim.now.After(until) {
			delete(e.cache, id)
		}
	}
}

func (sim *simulation) prefillOn(e *fakeEngine, a event.Prefill, f event.Fault) {
	if !carriedOut(f) {
		sim.report(event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: f})
		return
	}
	sim.clients[a.Request].runs++
	life := e.starts
	sim.after(20*time.Millisecond+sim.delay(), func() {
		out := event.Prefilled{Request: a.Request, Engine: a.Engine, Handle: "h-" + a.Request, Fault: f}
		if e.starts != life {
			out.Fault = event.FaultCrashed
		} else {
			e.cache[a.Request] = sim.now.Add(900 * time.Millisecond)
		}
		sim.report(out)
	})
}

func (sim *simulation) moveTo(e *fakeEngine, a event.Move, f event.Fault) {
	out := event.Moved{Request: a.Request, Engine: a.To, Fault: f}
	if !carriedOut(f) {
		sim.report(out)
		return
	}
	sim.after(5*time.Millisecond+sim.delay(), func() {
		from := sim.engines[a.From]
		sim.sweep(e)
		sim.sweep(from)
		h := e.held[a.Request]
		_, kept := from.cache[a.Request]
		switch {
		case h == nil:
			out.Fault = event.FaultRefused
		case !kept || from.down:
			out.Fault = event.FaultFailed
		default:
			delete(from.cache, a.Request)
			h.cached = true
		}
		sim.report(out)
	})
}

func (sim *simulation) opened(a event.Decode) {
	c := sim.clients[a.Request]
	c.streams++
	if a.Stream <= c.stream {
		sim.fail("%s: stream %d opened after %d", a.Request, a.Stream, c.stream)
	}
	if a.From > c.next {
		sim.fail("%s: resumed at %d, but %d is due", a.Request, a.From, c.next)
	}
	c.stream = a.Stream
}

func (sim *simulation) decodeOn(e *fakeEngine, a event.Decode, f event.Fault) {
	sim.sweep(e)
	h := e.held[a.Request]
	_, local := e.cache[a.Request]
	if f != event.FaultUnsent && (h == nil || !h.cached && !local) {
		f = event.FaultRefused
	}
	if !carriedOut(f) {
		sim.report(event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Fault: f})
		return
	}
	if a.Stream < h.stream {
		return
	}
	h.stream, h.next = a.Stream, a.From
	sim.token(e, a, h, e.starts)
}

// token streams one token after another until the end, a fault or a newer stream.
func (sim *simulation) token(e *fakeEngine, a event.Decode, h *heldMemory, life int) {
	sim.after(time.Duration(1+sim.rnd.IntN(20))*time.Millisecond, func() {
		end := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: sim.clients[a.Request].next}
		switch {
		case e.starts != life:
			end.Fault = event.FaultCrashed
		case e.held[a.Request] != h || h.stream != a.Stream:
			end.Fault = event.FaultBroken
		case sim.fault():
			if sim.fault() {
				return // the connection stalls and doesn't break
			}
			end.Fault = event.FaultBroken
		default:
			sim.deliver(a, h.next)
			h.next++
			if h.next < a.Max {
				sim.token(e, a, h, life)
				return
			}
			delete(e.held, a.Request)
			delete(e.cache, a.Request)
			end.Next = h.next
		}
		sim.report(end)
	})
}

// deliver passes a token to the client: only tokens of the newest stream, and each
// index once.
func (sim *simulation) deliver(a event.Decode, index uint32) {
	c := sim.clients[a.Request]
	if c.answers > 0 || a.Stream != c.stream || index < c.next {
		return
	}
	if index > c.next {
		sim.fail("%s: token %d before %d", a.Request, index, c.next)
	}
	c.next = index + 1
	if sim.fault() {
		return // a later Progress includes this token
	}
	sim.report(event.Progress{Request: a.Request, Stream: a.Stream, Next: c.next})
}

func (sim *simulation) cancelOn(e *fakeEngine, a event.Cancel, f event.Fault) {
	held := false
	if carriedOut(f) {
		held = sim.fault()
		if !held {
			delete(e.held, a.Request)
			delete(e.cache, a.Request)
		}
	}
	if f == event.FaultBroken && sim.fault() {
		return // the answer is lost
	}
	// Not reported twice: a Cancelled confirms one Cancel, and a second copy would
	// confirm a Cancel that the engine has not seen.
	sim.after(sim.delay(), func() {
		sim.feed(event.Cancelled{Request: a.Request, Engine: a.Engine, Held: held, Fault: f})
	})
}
