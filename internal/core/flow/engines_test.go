package flow_test

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
)

// The fake engines hold memory with terms, keep caches and stream tokens.

func done(f event.Fault) bool { return f == event.FaultNone || f == event.FaultBroken }

func (w *world) holdOn(e *fake, a event.Hold, f event.Fault) event.Fault {
	if !done(f) {
		return f
	}
	w.sweep(e)
	if e.held[a.Request] == nil {
		if len(e.held) >= 20 {
			return event.FaultRefused
		}
		e.held[a.Request] = &memory{}
	}
	e.held[a.Request].until = w.now.Add(a.Term)
	return f
}

// sweep ends what has run out on an engine.
func (w *world) sweep(e *fake) {
	if !w.expire {
		return
	}
	for id, h := range e.held {
		if h.stream == 0 && w.now.After(h.until) {
			delete(e.held, id)
		}
	}
	for id, until := range e.cache {
		if w.now.After(until) {
			delete(e.cache, id)
		}
	}
}

func (w *world) prefillOn(e *fake, a event.Prefill, f event.Fault) {
	if !done(f) {
		w.report(event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: f})
		return
	}
	w.callers[a.Request].ran++
	life := e.life
	w.after(20*time.Millisecond+w.delay(), func() {
		out := event.Prefilled{Request: a.Request, Engine: a.Engine, Handle: "h-" + a.Request, Fault: f}
		if e.life != life {
			out.Fault = event.FaultCrashed
		} else {
			e.cache[a.Request] = w.now.Add(900 * time.Millisecond)
		}
		w.report(out)
	})
}

func (w *world) moveTo(e *fake, a event.Move, f event.Fault) {
	out := event.Moved{Request: a.Request, Engine: a.To, Fault: f}
	if !done(f) {
		w.report(out)
		return
	}
	w.after(5*time.Millisecond+w.delay(), func() {
		from := w.engines[a.From]
		w.sweep(e)
		w.sweep(from)
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
		w.report(out)
	})
}

func (w *world) opened(a event.Decode) {
	c := w.callers[a.Request]
	c.opens++
	if a.Stream <= c.stream {
		w.fail("%s: stream %d opened after %d", a.Request, a.Stream, c.stream)
	}
	if a.From > c.next {
		w.fail("%s: resumed at %d, but %d is due", a.Request, a.From, c.next)
	}
	c.stream = a.Stream
}

func (w *world) decodeOn(e *fake, a event.Decode, f event.Fault) {
	w.sweep(e)
	h := e.held[a.Request]
	_, local := e.cache[a.Request]
	if f != event.FaultUnsent && (h == nil || !h.cached && !local) {
		f = event.FaultRefused
	}
	if !done(f) {
		w.report(event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Fault: f})
		return
	}
	if a.Stream < h.stream {
		return
	}
	h.stream, h.next = a.Stream, a.From
	w.token(e, a, h, e.life)
}

// token brings one token after another until the end, a fault or a takeover.
func (w *world) token(e *fake, a event.Decode, h *memory, life int) {
	w.after(time.Duration(1+w.rnd.IntN(20))*time.Millisecond, func() {
		end := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: w.callers[a.Request].next}
		switch {
		case e.life != life:
			end.Fault = event.FaultCrashed
		case e.held[a.Request] != h || h.stream != a.Stream:
			end.Fault = event.FaultBroken
		case w.fault():
			if w.fault() {
				return // the connection stalls without an end
			}
			end.Fault = event.FaultBroken
		default:
			w.deliver(a, h.next)
			h.next++
			if h.next < a.Max {
				w.token(e, a, h, life)
				return
			}
			delete(e.held, a.Request)
			delete(e.cache, a.Request)
			end.Next = h.next
		}
		w.report(end)
	})
}

// deliver forwards a token as the traffic side does: those of the newest stream
// only, and each index once.
func (w *world) deliver(a event.Decode, index uint32) {
	c := w.callers[a.Request]
	if c.answers > 0 || a.Stream != c.stream || index < c.next {
		return
	}
	if index > c.next {
		w.fail("%s: token %d before %d", a.Request, index, c.next)
	}
	c.next = index + 1
	if w.fault() {
		return // the count travels with a later token
	}
	w.report(event.Progress{Request: a.Request, Stream: a.Stream, Next: c.next})
}

func (w *world) cancelOn(e *fake, a event.Cancel, f event.Fault) {
	held := false
	if done(f) {
		held = w.fault()
		if !held {
			delete(e.held, a.Request)
			delete(e.cache, a.Request)
		}
	}
	if f == event.FaultBroken && w.fault() {
		return // no outcome at all
	}
	// Not reported twice: a Cancelled confirms one Cancel, and a second copy would
	// confirm a Cancel that the engine has not seen.
	w.after(w.delay(), func() {
		w.feed(event.Cancelled{Request: a.Request, Engine: a.Engine, Held: held, Fault: f})
	})
}
