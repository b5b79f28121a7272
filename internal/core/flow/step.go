package flow

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Timeouts of the steps before decode.
const (
	// reservationTimeout is that of a Hold, which an engine answers at once.
	reservationTimeout = 250 * time.Millisecond
	// cacheRetention is how long the KV cache of a prefill is assumed to be kept;
	// engines evict it in less than a second.
	cacheRetention = 800 * time.Millisecond
	// minTransferTimeout and maxTransferTimeout bound the timeout of a KV transfer.
	// A stalled one must be detected while the prefill engine still keeps the
	// cache, so that the decode engine of the next lease can use it.
	minTransferTimeout = 250 * time.Millisecond
	maxTransferTimeout = 500 * time.Millisecond
	// prefillSlack is added to three times the expected time. Owners let prefills
	// start up to 2 s before their planned start, so the order in an engine's queue
	// may differ from the plan by as much.
	prefillSlack = 2500 * time.Millisecond
)

// accept starts to use a lease: it reserves the decode memory.
func (m *Machine) accept(r *request, grant *peer.Grant) {
	r.lease = lease{
		prefill:         grant.GetPrefill(),
		decode:          grant.GetDecode(),
		blocks:          grant.GetPieces(),
		start:           m.at + time.Duration(grant.GetStart())*time.Millisecond,
		untilFirstToken: time.Duration(max(int64(grant.GetFirst())-int64(grant.GetStart()), 0)) * time.Millisecond,
		fencingToken:    grant.GetFence(),
	}
	m.raiseFencingToken(r.lease.prefill, r.lease.fencingToken)
	m.raiseFencingToken(r.lease.decode, r.lease.fencingToken)
	m.reserve(r)
}

func (m *Machine) raiseFencingToken(engine string, token uint64) {
	e := m.engine(engine)
	e.fencingToken = max(e.fencingToken, token)
}

func (m *Machine) reserve(r *request) {
	r.decode = r.lease.decode
	r.pendingHolds++
	r.totalHolds++
	r.phase = awaitingReservation
	m.engine(r.decode).budget.Sent()
	m.emit(event.Hold{
		Request: r.admit.ID, Engine: r.decode, Pieces: r.lease.blocks,
		Term: m.reservationTerm(r), Fence: r.lease.fencingToken,
	})
	m.setStepDeadline(r, reservationTimeout)
}

// reservationTerm returns the term of the reservation: the wait for the start of the
// prefill and the timeouts of the steps until decode starts.
func (m *Machine) reservationTerm(r *request) time.Duration {
	return max(r.lease.start-m.at, 0) + reservationTimeout + r.prefillTimeout() + maxTransferTimeout
}

func (r *request) prefillTimeout() time.Duration {
	return 3*r.lease.untilFirstToken + prefillSlack
}

func (r *request) transferTimeout() time.Duration {
	return min(max(2*r.lease.untilFirstToken, minTransferTimeout), maxTransferTimeout)
}

// current returns the request that uses an engine and is in the phase want, or nil
// when the event is late. What the late attempt may have left on the engine is
// cleaned up, unless the request uses that engine now.
func (m *Machine) current(id, engine string, want phase, fault event.Fault) *request {
	r := m.requests[id]
	if r != nil && (engine == r.decode || engine == r.prefill) {
		if r.phase == want {
			return r
		}
		return nil
	}
	if mayHold(fault) {
		m.startCleanup(id, engine)
	}
	return nil
}

// mayHold reports whether an engine may hold something for a request after an
// attempt that ended with a fault.
func mayHold(fault event.Fault) bool {
	switch fault {
	case event.FaultUnsent, event.FaultRefused, event.FaultCrashed:
		return false
	}
	return true
}

func (m *Machine) onHeld(e event.Held) {
	if r := m.requests[e.Request]; r != nil && r.decode == e.Engine && r.pendingHolds > 0 {
		r.pendingHolds--
	}
	r := m.current(e.Request, e.Engine, awaitingReservation, e.Fault)
	if r == nil || r.decode != e.Engine || r.pendingHolds > 0 {
		return
	}
	if e.Fault != event.FaultNone {
		m.reservationFailed(r, e.Fault)
		return
	}
	m.onReserved(r)
}

// reservationFailed requests a lease without the decode engine, which has refused
// the reservation or is lost.
func (m *Machine) reservationFailed(r *request, fault event.Fault) {
	engine := r.decode
	if fault == event.FaultRefused || fault == event.FaultUnsent {
		m.forgetDecode(r)
	} else {
		m.freeDecode(r)
	}
	if fault == event.FaultRefused {
		m.retry(r, 0)
		return
	}
	m.releaseFailed(r, fault, engine)
	m.retry(r, retry.Backoff(r.retries+1, m.random))
}

// forgetDecode stops using a decode engine that holds nothing, without a cleanup. A
// refused renewal doesn't prove that, as the earlier reservation may still be held.
func (m *Machine) forgetDecode(r *request) {
	if r.totalHolds > 1 || r.decode == r.prefill {
		m.freeDecode(r)
		return
	}
	r.avoidEngine(r.decode)
	r.decode, r.totalHolds = "", 0
}

// releaseFailed releases the lease after a fault and reports the engine that crashed
// or was lost. The next lease request must wait, so that it doesn't overtake the
// Done.
func (m *Machine) releaseFailed(r *request, fault event.Fault, engine string) {
	switch fault {
	case event.FaultCrashed:
		m.releaseLease(r, "crash", engine)
	case event.FaultRefused, event.FaultFailed:
		m.releaseLease(r, "cancel", "")
	default:
		m.releaseLease(r, "lost", engine)
	}
}

// onReserved continues after a confirmed reservation: with the transfer of the KV
// cache that is kept from an earlier attempt, or with a prefill at the planned time.
func (m *Machine) onReserved(r *request) {
	if r.handle != "" && m.at < r.keptUntil {
		m.startTransfer(r)
		return
	}
	if r.prefill != r.lease.prefill {
		m.freePrefill(r)
	}
	if m.at >= r.lease.start {
		m.startPrefill(r)
		return
	}
	r.phase = awaitingStart
	m.setStepDeadline(r, r.lease.start-m.at)
}

// startPrefill sends the prefill. A second one is a retry, which repeatPrefill has
// taken from the retry budget, unless the retention of the kept cache has ended
// since.
func (m *Machine) startPrefill(r *request) {
	if r.prefillsSent > 0 && !r.retryPaid && !m.takeRetry(r, r.lease.prefill) {
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(r.service.firstTokenTarget))
		return
	}
	r.retryPaid = false
	r.phase = prefilling
	r.reused = r.prefill == r.lease.prefill
	r.prefill, r.handle = r.lease.prefill, ""
	m.engine(r.prefill).budget.Sent()
	r.prefillsSent++
	m.emit(event.Prefill{
		Request: r.admit.ID, Engine: r.prefill,
		Fence: r.lease.fencingToken, Priority: r.admit.Priority,
	})
	m.setStepDeadline(r, r.prefillTimeout())
}

func (m *Machine) onPrefilled(e event.Prefilled) {
	r := m.current(e.Request, e.Engine, prefilling, e.Fault)
	if r == nil || r.prefill != e.Engine {
		return
	}
	if e.Fault != event.FaultNone {
		m.prefillFailed(r, e.Fault)
		return
	}
	r.handle, r.keptUntil = e.Handle, m.at+cacheRetention
	m.startTransfer(r)
}

// prefillFailed requests another prefill engine. The reservation is kept, unless it
// is on the same engine.
func (m *Machine) prefillFailed(r *request, fault event.Fault) {
	engine := r.prefill
	if fault == event.FaultRefused || fault == event.FaultUnsent {
		r.prefillsSent--
		r.retryPaid = r.prefillsSent > 0
		m.forgetPrefill(r)
		m.retry(r, retry.Backoff(r.retries+1, m.random))
		return
	}
	m.recordStrike(r, fault, engine)
	m.freeFailedPrefill(r)
	m.repeatPrefill(r, fault, engine)
}

// forgetPrefill stops using a prefill engine that holds no KV cache, without a
// cleanup. The refusal of a second prefill doesn't prove that, as the engine may
// hold the cache of the first one.
func (m *Machine) forgetPrefill(r *request) {
	if r.reused {
		m.freeFailedPrefill(r)
		return
	}
	engine := r.prefill
	r.prefill, r.handle = "", ""
	r.avoidEngine(engine)
	if engine == r.decode {
		m.freeDecode(r)
	}
}

// freeFailedPrefill frees a prefill engine that failed, including the reservation if
// that is on the same engine.
func (m *Machine) freeFailedPrefill(r *request) {
	if r.prefill == r.decode {
		m.freeDecode(r)
		return
	}
	m.freePrefill(r)
}

// repeatPrefill starts over after work was lost, if the service's requests are
// idempotent and the retry budget allows it.
func (m *Machine) repeatPrefill(r *request, fault event.Fault, engine string) {
	m.releaseFailed(r, fault, engine)
	if !r.retryPaid && !m.takeRetry(r, engine) {
		m.fail(r, citronrock.ReasonBackend, m.admission.BoundRetryAfter(r.service.firstTokenTarget))
		return
	}
	m.retry(r, retry.Backoff(r.retries+1, m.random))
}

// takeRetry takes a retry from the budgets of the service and of the engine that
// caused it, and reports whether it is allowed.
func (m *Machine) takeRetry(r *request, engine string) bool {
	r.retryPaid = r.service.idempotent && m.engine(engine).budget.Take() && r.service.budget.Take()
	return r.retryPaid
}

// recordStrike records a strike if the fault is a crash of the engine.
func (m *Machine) recordStrike(r *request, fault event.Fault, engine string) {
	if fault != event.FaultCrashed {
		return
	}
	if record := m.strikes.Add(m.now, r.fingerprint, engine); record != nil {
		m.emit(event.SendStrike{Strike: record})
	}
}

// startTransfer makes the decode engine pull the KV cache, unless the prefill ran
// there.
func (m *Machine) startTransfer(r *request) {
	if r.prefill == r.decode {
		m.startDecode(r)
		return
	}
	r.phase = transferring
	m.emit(event.Move{
		Request: r.admit.ID, From: r.prefill, To: r.decode,
		Handle: r.handle, Fence: r.lease.fencingToken,
	})
	m.setStepDeadline(r, r.transferTimeout())
}

func (m *Machine) onMoved(e event.Moved) {
	r := m.current(e.Request, e.Engine, transferring, e.Fault)
	if r == nil || r.decode != e.Engine {
		return
	}
	if e.Fault != event.FaultNone {
		m.transferFailed(r, e.Fault)
		return
	}
	// The prefill engine drops the cache when it has been transferred.
	r.prefill, r.handle = "", ""
	m.startDecode(r)
}

// transferFailed requests another decode engine for the kept KV cache. When the
// decode engine reports that the transfer failed (FaultFailed), the cache is lost
// and the prefill is repeated.
func (m *Machine) transferFailed(r *request, fault event.Fault) {
	if fault == event.FaultFailed {
		engine := r.prefill
		m.freePrefill(r)
		m.repeatPrefill(r, fault, engine)
		return
	}
	engine := r.decode
	m.freeDecode(r)
	m.releaseFailed(r, fault, engine)
	m.retry(r, retry.Backoff(1, m.random))
}
