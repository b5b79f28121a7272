package flow

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Limits of lease requests. Ten unanswered ones take at least six seconds, which
// covers the suspicion of a failed owner and the takeover by the next one.
const (
	firstAskTimeout = 150 * time.Millisecond
	maxAskTimeout   = time.Second
	maxAsks         = 10
	maxRefusals     = 64
	maxRetries      = 4
	// maxNoEngineRefusals bounds the consecutive refusals for lack of an engine that
	// the request may still use. The Retry-After delay of owners is half a second
	// then, so that engines have 3 s to come back.
	maxNoEngineRefusals = 6
)

// requestLease sends a lease request to the owner of a cell, and releases the lease
// of another cell before.
func (m *Machine) requestLease(r *request) {
	cell := m.chooseCell(r)
	if cell == "" {
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(time.Second))
		return
	}
	if r.releaseTo != cell {
		m.releaseLease(r, "cancel", "")
	}
	r.cell, r.releaseTo = cell, cell
	r.phase = awaitingReply
	m.admission.Sent(cell, &r.admit)
	m.emit(event.SendAsk{Ask: m.newAsk(r)})
	wait := min(firstAskTimeout<<min(r.unanswered, 8), maxAskTimeout)
	m.setStepDeadline(r, wait+time.Duration(m.random.Int64N(int64(wait/4))))
}

// chooseCell returns the cell for the next lease request, "" for none. The first
// retry of an unanswered one goes to the same cell, whose owner recognizes it.
func (m *Machine) chooseCell(r *request) string {
	if r.unanswered == 1 {
		return r.cell
	}
	cell := m.admission.Choose(m.now, &r.admit, func(c string) bool { return slices.Contains(r.refusedCells, c) })
	if cell == "" {
		r.refusedCells = r.refusedCells[:0]
		cell = m.admission.Choose(m.now, &r.admit, func(string) bool { return false })
	}
	return cell
}

func (m *Machine) newAsk(r *request) *peer.Ask {
	slack := r.arrived + r.service.firstTokenTarget - m.at
	output := uint32(0)
	if r.admit.Max > r.nextToken {
		output = r.admit.Max - r.nextToken
	}
	return &peer.Ask{
		Request:  r.admit.ID,
		Cell:     r.cell,
		Tokens:   r.admit.Tokens + r.nextToken,
		Output:   output,
		Priority: r.admit.Priority,
		Pieces:   r.blockHashes,
		Slack:    toMillis(slack),
		Print:    r.fingerprint,
		Avoid:    slices.Clone(r.avoid),
	}
}

// toMillis rounds down to milliseconds within the range of the wire format.
func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// abandonAsk ends the wait for the reply to a lease request.
func (m *Machine) abandonAsk(r *request) {
	if r.phase != awaitingReply {
		return
	}
	m.admission.Abandoned(r.cell, &r.admit)
	r.phase = backingOff
}

// releaseLease sends the release of the lease with its outcome to the owner that
// accounts for the request. engine is the one that crashed or was lost, "" for
// none.
func (m *Machine) releaseLease(r *request, outcome, engine string) {
	if r.releaseTo == "" {
		return
	}
	m.emit(event.SendDone{Done: &peer.Done{
		Request: r.admit.ID, Cell: r.releaseTo, Outcome: outcome, Output: r.nextToken, Engine: engine,
	}})
	r.releaseTo = ""
}

// askTimedOut retries a lease request whose owner has not replied and may have
// failed.
func (m *Machine) askTimedOut(r *request) {
	m.admission.TimedOut(m.now, r.cell, &r.admit)
	r.unanswered++
	if r.unanswered >= maxAsks {
		r.phase = backingOff
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(maxAskTimeout))
		return
	}
	m.requestLease(r)
}

// backOff waits before the next lease request.
func (m *Machine) backOff(r *request, d time.Duration) {
	r.phase = backingOff
	m.setStepDeadline(r, d)
}

// onGranted applies an owner's reply.
func (m *Machine) onGranted(grant *peer.Grant) {
	if grant == nil {
		return
	}
	r := m.requests[grant.GetRequest()]
	if r == nil || r.phase != awaitingReply {
		m.releaseLate(r, grant)
		return
	}
	if !grant.GetGranted() {
		m.onRefused(r, grant)
		return
	}
	if cell := m.cellOf(grant); cell != "" && cell != r.cell {
		m.switchCell(r, cell)
	}
	m.admission.Answered(m.now, r.cell, &r.admit, grant)
	r.phase, r.unanswered, r.noEngineRefusals = backingOff, 0, 0
	if r.decode != grant.GetDecode() {
		m.freeDecode(r)
	}
	if !m.usable(r, grant.GetDecode()) || !m.usable(r, grant.GetPrefill()) {
		m.releaseUnusable(r)
		return
	}
	first := time.Duration(grant.GetFirst()) * time.Millisecond
	if m.at+first >= r.deadline {
		m.fail(r, citronrock.ReasonOverload, m.admission.RetryAfter(m.now, &r.admit, first))
		return
	}
	m.accept(r, grant)
}

// usable reports whether the request may use an engine of a lease. It may not while
// a cleanup of it runs there: the engine could apply a Cancel to the new work.
func (m *Machine) usable(r *request, engine string) bool {
	if m.engine(engine).leaving && engine != r.decode || m.cleanups[cleanupKey{r.admit.ID, engine}] != nil {
		r.avoidEngine(engine)
	}
	return engine != "" && !slices.Contains(r.avoid, engine)
}

// switchCell accepts a lease from a cell that got a lease request before the
// current one.
func (m *Machine) switchCell(r *request, cell string) {
	m.abandonAsk(r)
	m.releaseLease(r, "cancel", "")
	r.cell, r.releaseTo = cell, cell
	m.admission.Sent(cell, &r.admit)
}

func (m *Machine) cellOf(grant *peer.Grant) string {
	if e := m.engines[grant.GetDecode()]; e != nil {
		return e.cell
	}
	return ""
}

// releaseLate releases a lease for which no request waits. A lease of the cell that
// the request uses is not released: the owner keeps one lease for each request, and
// the Done would end the one in use.
func (m *Machine) releaseLate(r *request, grant *peer.Grant) {
	if !grant.GetGranted() {
		return
	}
	cell := m.cellOf(grant)
	if cell == "" || r != nil && r.releaseTo == cell {
		return
	}
	m.emit(event.SendDone{Done: &peer.Done{Request: grant.GetRequest(), Cell: cell, Outcome: "cancel"}})
}

// releaseUnusable releases a lease on an engine that the request must avoid.
func (m *Machine) releaseUnusable(r *request) {
	m.releaseLease(r, "cancel", "")
	m.retry(r, retry.Backoff(r.retries+1, m.random))
}

// retry requests another lease after wait, as long as attempts remain.
func (m *Machine) retry(r *request, wait time.Duration) {
	r.phase = backingOff
	r.retries++
	if r.retries > maxRetries {
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(time.Second))
		return
	}
	if m.strikes.Count(m.now, r.fingerprint) >= 2 {
		m.fail(r, citronrock.ReasonSuspect, suspectRetryAfter)
		return
	}
	if r.prefillResultLost(m.at) {
		m.fail(r, citronrock.ReasonBackend, 0)
		return
	}
	if wait == 0 {
		m.requestLease(r)
		return
	}
	m.backOff(r, wait)
}

// onRefused handles a refusal by the owner: the request tries another cell, waits
// or fails.
func (m *Machine) onRefused(r *request, grant *peer.Grant) {
	if grant.GetReason() == string(citronrock.ReasonSuspect) {
		// The refusal applies to this fingerprint only. With Answered, its
		// Retry-After delay would close the cell to other requests of this daemon.
		m.abandonAsk(r)
		r.releaseTo = ""
		m.fail(r, citronrock.ReasonSuspect, suspectRetryTime(grant))
		return
	}
	m.admission.Answered(m.now, r.cell, &r.admit, grant)
	r.phase = backingOff
	r.unanswered, r.releaseTo = 0, ""
	r.refusals++
	r.refusedCells = append(r.refusedCells, r.cell)
	other := m.admission.Choose(m.now, &r.admit, func(c string) bool { return slices.Contains(r.refusedCells, c) })
	if other != "" && r.refusals < maxRefusals {
		m.requestLease(r)
		return
	}
	r.refusedCells = r.refusedCells[:0]
	after := time.Duration(grant.GetAfter()) * time.Millisecond
	if m.noEngineLeft(r, grant) {
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(time.Second))
		return
	}
	if r.refusals < maxRefusals && m.requeue(r, after) {
		return
	}
	m.fail(r, citronrock.ReasonOverload, m.admission.RetryAfter(m.now, &r.admit, after))
}

// noEngineLeft counts a refusal and reports whether the request has no engine left
// that it may use. A retry by the client starts with an empty avoid list.
func (m *Machine) noEngineLeft(r *request, grant *peer.Grant) bool {
	if grant.GetReason() != string(citronrock.ReasonBackend) || len(r.avoid) == 0 {
		r.noEngineRefusals = 0
		return false
	}
	r.noEngineRefusals++
	return r.noEngineRefusals >= maxNoEngineRefusals
}

// suspectRetryTime returns the Retry-After delay of a blocked request: that of the
// owner's reply, or the lifetime of a strike.
func suspectRetryTime(grant *peer.Grant) time.Duration {
	if grant.GetAfter() > 0 {
		return time.Duration(grant.GetAfter()) * time.Millisecond
	}
	return suspectRetryAfter
}

// requeue queues a refused request. One whose prefill was sent waits outside the
// queue instead, since it has precedence over those that have not run.
func (m *Machine) requeue(r *request, after time.Duration) bool {
	if r.prefillsSent > 0 {
		return m.retryLater(r, max(after, firstAskTimeout))
	}
	if !m.admission.Enqueue(m.now, &r.admit, after) {
		return false
	}
	r.phase = queued
	r.stepDeadline = r.deadline
	m.timers.set(&r.timer, r.deadline)
	return true
}

// retryLater waits before the next lease request if the request can still be
// completed then: with the kept KV cache, or with another prefill if it is
// idempotent.
func (m *Machine) retryLater(r *request, wait time.Duration) bool {
	wait += time.Duration(m.random.Int64N(int64(wait / 4)))
	if m.at+wait >= r.deadline || r.prefillResultLost(m.at+wait) {
		return false
	}
	m.backOff(r, wait)
	return true
}
