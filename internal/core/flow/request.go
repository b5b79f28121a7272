package flow

import (
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/admit"
	"citronrock.example/citronrock/internal/core/event"
)

// phase is what a request waits for.
type phase uint8

const (
	// queued waits until the admission controller dequeues the request.
	queued phase = iota
	// backingOff waits for the time of the next lease request.
	backingOff
	// awaitingReply waits for the owner's reply to a lease request (Granted).
	awaitingReply
	// awaitingReservation waits for the decode engine's answer to a Hold (Held).
	awaitingReservation
	// awaitingStart waits for the planned start of the prefill.
	awaitingStart
	// prefilling waits for the end of the prefill (Prefilled).
	prefilling
	// transferring waits for the end of the KV transfer (Moved).
	transferring
	// decoding waits for tokens and the end of the stream (Progress, Ended).
	decoding
)

// request is one generate request in flight. An engine on which it was cancelled is
// in avoid, and the request never uses it again. That distinguishes the outcome of
// an earlier attempt from that of the current one, since outcomes carry no attempt
// number.
type request struct {
	timer
	admit       admit.Request
	service     *modelService
	blockHashes []uint64
	fingerprint uint64
	seq         uint64
	arrived     time.Duration
	deadline    time.Duration
	phase       phase

	// cell is that of the current lease request or lease. releaseTo is the cell
	// whose owner may account for the request and needs a Done, "" for none.
	cell, releaseTo string
	lease           lease
	// prefill and decode are the engines that may hold something for the request
	// that it still uses, "" for none.
	prefill, decode string
	// pendingHolds is the number of Holds on decode without an answer, totalHolds the
	// number of all Holds on it.
	pendingHolds, totalHolds int
	// handle names the KV cache that prefill keeps until keptUntil, "" for none.
	handle    string
	keptUntil time.Duration

	// stream is the number of the newest stream, nextToken the index of the next
	// token.
	stream, nextToken uint32
	// streamClosed is true between a failed stream and the next one, streamBroke
	// when a stream broke after the last token.
	streamClosed, streamBroke bool
	// stepDeadline is when the current step must have made progress. The timer may
	// fire earlier, since it is not moved for each token.
	stepDeadline time.Duration

	// prefillsSent is the number of prefills sent and not known to be refused.
	prefillsSent int
	// reused is true when the prefill engine has run an earlier prefill of the
	// request.
	reused bool
	// retryPaid is true when the next prefill has been taken from the retry budget.
	retryPaid bool
	// retries counts attempts after a failed one, unanswered the lease requests
	// without a reply, refusals the refused ones, resumes the streams after the
	// first one on an engine and emptyStreams the consecutive ones without a token.
	retries, unanswered, refusals, resumes, emptyStreams int
	avoid                                                []string
	// noEngineRefusals counts consecutive refusals for lack of an engine that is not
	// in avoid.
	noEngineRefusals int
	// refusedCells are the cells that have refused since the last wait.
	refusedCells []string
}

// lease is the current lease of a request.
type lease struct {
	prefill, decode string
	blocks          uint32
	// start is when the prefill may start, untilFirstToken the time that the owner
	// expects from then to the first token.
	start           time.Duration
	untilFirstToken time.Duration
	fencingToken    uint64
}

// reasonClientLeft ends a request whose client has left. No client receives it.
const reasonClientLeft citronrock.Reason = "gone"

// suspectRetryAfter is the lifetime of a strike, after which a blocked request may
// be retried.
const suspectRetryAfter = 10 * time.Minute

func (m *Machine) onArrive(e event.Arrive) {
	if m.requests[e.Request] != nil {
		return
	}
	if m.strikes.Count(m.now, e.Print) >= 2 {
		m.refuse(e.Request, citronrock.ReasonSuspect, suspectRetryAfter)
		return
	}
	r := m.newRequest(e)
	decision := m.admission.Arrive(m.now, &r.admit)
	if decision.Next == admit.Refuse {
		m.refuse(e.Request, decision.Reason, decision.RetryAfter)
		return
	}
	m.lastSeq++
	r.seq = m.lastSeq
	m.requests[e.Request] = r
	r.service.budget.Sent()
	if decision.Next == admit.Run {
		m.requestLease(r)
		return
	}
	m.timers.set(&r.timer, r.deadline)
}

func (m *Machine) newRequest(e event.Arrive) *request {
	r := &request{
		service:     m.services[e.Service],
		blockHashes: e.Pieces,
		fingerprint: e.Print,
		arrived:     m.at,
		deadline:    e.Deadline.Sub(m.epoch),
		nextToken:   e.From,
	}
	r.index, r.forRequest = -1, r
	r.admit = admit.Request{
		ID: e.Request, Tenant: e.Tenant, Service: e.Service,
		Priority: e.Priority, Tokens: e.Tokens, Max: e.Max, Deadline: e.Deadline,
	}
	if r.admit.Priority == 0 && r.service != nil {
		r.admit.Priority = r.service.priority
	}
	if len(e.Pieces) > 0 {
		r.admit.Piece = e.Pieces[0]
	}
	return r
}

// refuse answers a request that was not admitted.
func (m *Machine) refuse(id string, reason citronrock.Reason, after time.Duration) {
	m.emit(event.Answer{Request: id, Kind: int(citronrock.NotRun), Reason: string(reason), After: after})
}

// fail answers a request with a failure. It counts as not run when no prefill of it
// can have run.
func (m *Machine) fail(r *request, reason citronrock.Reason, after time.Duration) {
	kind := citronrock.NotRun
	if r.prefillsSent > 0 {
		kind = citronrock.Failed
		if !r.service.idempotent {
			after = 0
		}
	}
	m.finish(r, event.Answer{Request: r.admit.ID, Kind: int(kind), Reason: string(reason), After: after}, "cancel", "")
}

// finish answers a request, releases its lease and frees what engines hold for it.
func (m *Machine) finish(r *request, a event.Answer, outcome, engine string) {
	m.emit(a)
	m.abandonAsk(r)
	m.releaseLease(r, outcome, engine)
	m.freePrefill(r)
	m.freeDecode(r)
	m.timers.stop(&r.timer)
	m.admission.Release(&r.admit)
	delete(m.requests, r.admit.ID)
}

func (m *Machine) onGone(e event.Gone) {
	if r := m.requests[e.Request]; r != nil {
		m.fail(r, reasonClientLeft, 0)
	}
}

// avoidEngine excludes an engine from further use by the request.
func (r *request) avoidEngine(engine string) {
	if engine != "" && !slices.Contains(r.avoid, engine) {
		r.avoid = append(r.avoid, engine)
	}
}

// freePrefill frees what the prefill engine may hold, unless it is the decode
// engine as well.
func (m *Machine) freePrefill(r *request) {
	if r.prefill == "" {
		return
	}
	engine := r.prefill
	r.prefill, r.handle = "", ""
	if engine == r.decode {
		return
	}
	r.avoidEngine(engine)
	m.startCleanup(r.admit.ID, engine)
}

// freeDecode frees what the decode engine may hold, including the KV cache of a
// prefill on the same engine.
func (m *Machine) freeDecode(r *request) {
	if r.decode == "" {
		return
	}
	engine := r.decode
	r.decode, r.pendingHolds, r.totalHolds = "", 0, 0
	if engine == r.prefill {
		r.prefill, r.handle = "", ""
	}
	r.avoidEngine(engine)
	m.startCleanup(r.admit.ID, engine)
}

// setStepDeadline sets the deadline of the current step to d from now and moves the
// timer.
func (m *Machine) setStepDeadline(r *request, d time.Duration) {
	r.stepDeadline = m.at + d
	m.timers.set(&r.timer, r.timerDue())
}

// timerDue returns when the timer must fire next.
func (r *request) timerDue() time.Duration {
	if r.needsPrefillResult() {
		return min(r.stepDeadline, r.deadline, r.keptUntil)
	}
	return min(r.stepDeadline, r.deadline)
}

// needsPrefillResult reports whether the request can only be completed with the
// result of a prefill that was sent, since it is not idempotent.
func (r *request) needsPrefillResult() bool {
	return r.prefillsSent > 0 && !r.service.idempotent && r.phase < prefilling
}

// prefillResultLost reports whether the result of the only prefill that is allowed
// is no longer available at the given time.
func (r *request) prefillResultLost(at time.Duration) bool {
	return r.needsPrefillResult() && (r.handle == "" || at >= r.keptUntil)
}

// onTimer handles the timer of a request: its deadline, the end of the retention of
// its KV cache or the deadline of its current step.
func (m *Machine) onTimer(r *request) {
	if m.at >= r.deadline {
		m.fail(r, citronrock.ReasonDeadline, m.admission.BoundRetryAfter(r.service.firstTokenTarget))
		return
	}
	if r.prefillResultLost(m.at) {
		m.fail(r, citronrock.ReasonBackend, 0)
		return
	}
	if m.at < r.stepDeadline {
		m.timers.set(&r.timer, r.timerDue())
		return
	}
	switch r.phase {
	case backingOff:
		m.requestLease(r)
	case awaitingReply:
		m.askTimedOut(r)
	case awaitingReservation:
		m.reservationFailed(r, event.FaultStalled)
	case awaitingStart:
		m.startPrefill(r)
	case prefilling:
		m.prefillFailed(r, event.FaultStalled)
	case transferring:
		m.transferFailed(r, event.FaultStalled)
	case decoding:
		m.onStreamTimer(r)
	}
}

// onPaused requests new leases for all requests whose prefill has not started, since
// the old ones may have expired during the process pause. Steps that are running
// get a new deadline, since their outcomes may not have been processed yet.
func (m *Machine) onPaused() {
	m.admission.Paused()
	for _, r := range m.sortedRequests() {
		switch r.phase {
		case awaitingReply:
			m.abandonAsk(r)
			m.requestLease(r)
		case awaitingReservation, awaitingStart:
			m.requestLease(r)
		case prefilling:
			m.setStepDeadline(r, r.prefillTimeout())
		case transferring:
			m.setStepDeadline(r, r.transferTimeout())
		case decoding:
			m.setStepDeadline(r, r.stallTimeout())
		}
	}
}
