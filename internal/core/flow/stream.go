package flow

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
)

// Limits of a decode stream.
const (
	// A stream counts as stalled without a token for stallGaps times the target for
	// the time between tokens, but at least minStallTimeout.
	stallGaps       = 8
	minStallTimeout = 250 * time.Millisecond
	// maxEmptyStreams bounds the consecutive streams without a token, maxResumes
	// all streams on one engine. Beyond these the engine counts as lost.
	maxEmptyStreams = 3
	maxResumes      = 16
)

func (r *request) stallTimeout() time.Duration {
	return max(stallGaps*r.service.tokenGapTarget, minStallTimeout)
}

// startDecode opens the first stream on the decode engine, at the next token.
func (m *Machine) startDecode(r *request) {
	r.resumes, r.emptyStreams, r.streamBroke = 0, 0, false
	m.openStream(r)
}

func (m *Machine) openStream(r *request) {
	r.phase, r.streamClosed = decoding, false
	r.stream++
	m.emit(event.Decode{
		Request: r.admit.ID, Engine: r.decode, Stream: r.stream,
		From: r.nextToken, Max: r.admit.Max, Fence: r.lease.fencingToken, Priority: r.admit.Priority,
	})
	m.setStepDeadline(r, r.stallTimeout())
}

func (m *Machine) onProgress(e event.Progress) {
	r := m.requests[e.Request]
	if r == nil || r.phase != decoding || e.Stream != r.stream || e.Next <= r.nextToken {
		return
	}
	r.advance(e.Next)
	if !r.streamClosed {
		// The timer is not moved for each token; onTimer moves it to the deadline.
		r.stepDeadline = m.at + r.stallTimeout()
	}
}

func (r *request) advance(next uint32) {
	r.nextToken, r.emptyStreams, r.streamBroke = next, 0, false
}

func (m *Machine) onEnded(e event.Ended) {
	r := m.requests[e.Request]
	if r == nil || r.phase != decoding || e.Stream != r.stream || e.Engine != r.decode || r.streamClosed {
		return
	}
	if e.Next > r.nextToken {
		r.advance(e.Next)
	}
	if e.Fault == event.FaultNone {
		m.complete(r)
		return
	}
	m.streamFailed(r, e.Fault)
}

// complete answers a request whose stream ended. The engine has freed the request
// with the last token and needs no Cancel, unless there were several streams, of
// which an earlier one may reach the engine late.
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
	if m.strikes.Count(m.now, r.fingerprint) > 0 {
		if record := m.strikes.Clear(m.now, r.fingerprint); record != nil {
			m.emit(event.SendStrike{Strike: record})
		}
	}
	m.finish(r, event.Answer{Request: r.admit.ID}, "finish", "")
}

// streamFailed resumes a broken or stalled stream on the same engine, or repeats
// the prefill on other engines when the decode engine is lost.
func (m *Machine) streamFailed(r *request, fault event.Fault) {
	if r.nextToken >= r.admit.Max {
		m.succeed(r)
		return
	}
	r.resumes++
	r.emptyStreams++
	r.streamBroke = r.streamBroke || fault == event.FaultBroken
	if resumable(fault) && r.emptyStreams < maxEmptyStreams && r.resumes < maxResumes {
		m.resume(r)
		return
	}
	if r.streamBroke && (fault == event.FaultUnsent || fault == event.FaultRefused) {
		// The engine crashed: it broke the stream, and then was unreachable or came
		// back without the request.
		fault = event.FaultCrashed
	}
	engine := r.decode
	m.recordStrike(r, fault, engine)
	m.freeDecode(r)
	m.repeatPrefill(r, fault, engine)
}

// resume opens the next stream at once after the first one without a token, and
// after a backoff for later ones, so that a short interruption doesn't use up all
// attempts.
func (m *Machine) resume(r *request) {
	if r.emptyStreams < 2 {
		m.openStream(r)
		return
	}
	r.streamClosed = true
	m.setStepDeadline(r, retry.Backoff(r.emptyStreams+1, m.random))
}

// onStreamTimer handles the timer of a stream: the end of a backoff, or a stall.
func (m *Machine) onStreamTimer(r *request) {
	if r.streamClosed {
		m.openStream(r)
		return
	}
	m.streamFailed(r, event.FaultStalled)
}

// resumable reports whether the engine may still run the request after a fault.
func resumable(fault event.Fault) bool {
	switch fault {
	case event.FaultBroken, event.FaultStalled, event.FaultUnsent:
		return true
	}
	return false
}
