package flow

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
)

// Limits of a decode stream.
const (
	// A stream must progress within stallGaps targets between tokens.
	stallGaps  = 8
	stallLeast = 250 * time.Millisecond
	// maxIdle bounds the streams in a row that bring no token, maxResumes all
	// streams on one engine; then the engine counts as lost.
	maxIdle    = 3
	maxResumes = 16
)

func (r *request) stallWait() time.Duration {
	return max(stallGaps*r.service.gap, stallLeast)
}

// decodeFrom opens a stream at the next token index.
func (m *Machine) decodeFrom(r *request) {
	r.resumes, r.idle, r.broke = 0, 0, false
	m.open(r)
}

func (m *Machine) open(r *request) {
	r.phase, r.closed = decoding, false
	r.stream++
	m.emit(event.Decode{
		Request: r.admit.ID, Engine: r.decode, Stream: r.stream,
		From: r.next, Max: r.admit.Max, Fence: r.grant.fence, Priority: r.admit.Priority,
	})
	m.arm(r, r.stallWait())
}

func (m *Machine) progress(e event.Progress) {
	r := m.requests[e.Request]
	if r == nil || r.phase != decoding || e.Stream != r.stream || e.Next <= r.next {
		return
	}
	r.advance(e.Next)
	if !r.closed {
		// The timer is left where it is; expire moves it to the limit.
		r.limit = m.at + r.stallWait()
	}
}

func (r *request) advance(next uint32) {
	r.next, r.idle, r.broke = next, 0, false
}

func (m *Machine) ended(e event.Ended) {
	r := m.requests[e.Request]
	if r == nil || r.phase != decoding || e.Stream != r.stream || e.Engine != r.decode || r.closed {
		return
	}
	if e.Next > r.next {
		r.advance(e.Next)
	}
	if e.Fault == event.FaultNone {
		m.complete(r)
		return
	}
	m.streamLost(r, e.Fault)
}

// complete answers a request whose stream ended. Its engine freed the request
// with the last token, unless a stream that was taken over may still arrive.
func (m *Machine) complete(r *request) {
	if r.resumes == 0 {
		if r.prefill == r.decode {
			r.prefill, r.handle = "", ""
		}
		r.decode = ""
	}
	m.succeed(r)
}

func (m *Machine) succeed(r *request) {
	if m.strikes.Count(m.now, r.print) > 0 {
		if s := m.strikes.Clear(m.now, r.print); s != nil {
			m.emit(event.SendStrike{Strike: s})
		}
	}
	m.finish(r, event.Answer{Request: r.admit.ID}, "finish", "")
}

// streamLost resumes a broken or stalled stream on the same engine, or starts
// over on another one when the engine is lost.
func (m *Machine) streamLost(r *request, f event.Fault) {
	if r.next >= r.admit.Max {
		m.succeed(r)
		return
	}
	r.resumes++
	r.idle++
	r.broke = r.broke || f == event.FaultBroken
	if resumable(f) && r.idle < maxIdle && r.resumes < maxResumes {
		m.resume(r)
		return
	}
	if r.broke && (f == event.FaultUnsent || f == event.FaultRefused) {
		// The engine died: it broke the stream, and then was gone or came back
		// without the request.
		f = event.FaultCrashed
	}
	engine := r.decode
	m.strike(r, f, engine)
	m.leaveDecode(r)
	m.rerun(r, f, engine)
}

// resume opens the next stream at once, and after a backoff when the stream before
// brought nothing, so that a short interruption doesn't use up all attempts.
func (m *Machine) resume(r *request) {
	if r.idle < 2 {
		m.open(r)
		return
	}
	r.closed = true
	m.arm(r, retry.Backoff(r.idle+1, m.rnd))
}

// streamDue handles the timer of a stream: the end of a backoff or a stall.
func (m *Machine) streamDue(r *request) {
	if r.closed {
		m.open(r)
		return
	}
	m.streamLost(r, event.FaultStalled)
}

// resumable reports whether the engine may still run the request after f.
func resumable(f event.Fault) bool {
	switch f {
	case event.FaultBroken, event.FaultStalled, event.FaultUnsent:
		return true
	}
	return false
}
