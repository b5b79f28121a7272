package flow

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Deadlines of the steps before decode.
const (
	// holdWait bounds a Hold, which an engine answers at once.
	holdWait = 250 * time.Millisecond
	// keptFor is how long a prefill result is counted on; engines evict it in
	// less than a second.
	keptFor = 800 * time.Millisecond
	// A stalled transfer must be seen while the cache is still kept, so that
	// another reservation can use it.
	moveLeast = 250 * time.Millisecond
	moveMost  = 500 * time.Millisecond
	// prefillSlack is added to three times the expected time. Owners let prefills
	// start up to 2 s before their planned start, so that the order in an
	// engine's queue may differ from the plan by as much.
	prefillSlack = 2500 * time.Millisecond
)

// accept takes a grant into use and holds the memory.
func (m *Machine) accept(r *request, g *peer.Grant) {
	r.grant = grant{
		prefill: g.GetPrefill(),
		decode:  g.GetDecode(),
		pieces:  g.GetPieces(),
		start:   m.at + time.Duration(g.GetStart())*time.Millisecond,
		run:     time.Duration(max(int64(g.GetFirst())-int64(g.GetStart()), 0)) * time.Millisecond,
		fence:   g.GetFence(),
	}
	m.raise(r.grant.prefill, r.grant.fence)
	m.raise(r.grant.decode, r.grant.fence)
	m.hold(r)
}

func (m *Machine) raise(engine string, fence uint64) {
	e := m.engine(engine)
	e.fence = max(e.fence, fence)
}

func (m *Machine) hold(r *request) {
	r.decode = r.grant.decode
	r.holds++
	r.renewals++
	r.phase = holding
	m.engine(r.decode).budget.Sent()
	m.emit(event.Hold{
		Request: r.admit.ID, Engine: r.decode, Pieces: r.grant.pieces,
		Term: m.term(r), Fence: r.grant.fence,
	})
	m.arm(r, holdWait)
}

// term is the life of the reservation: the wait for the start and the deadlines
// of the steps until decode starts.
func (m *Machine) term(r *request) time.Duration {
	return max(r.grant.start-m.at, 0) + holdWait + r.prefillWait() + moveMost
}

func (r *request) prefillWait() time.Duration {
	return 3*r.grant.run + prefillSlack
}

func (r *request) moveWait() time.Duration {
	return min(max(2*r.grant.run, moveLeast), moveMost)
}

// current returns the live request that engine works for in phase p, or nil
// when the event is late. What a late attempt may have left on the engine is
// cancelled unless the request uses that engine now.
func (m *Machine) current(id, engine string, p phase, f event.Fault) *request {
	r := m.requests[id]
	if r != nil && (engine == r.decode || engine == r.prefill) {
		if r.phase == p {
			return r
		}
		return nil
	}
	if mayHold(f) {
		m.release(id, engine)
	}
	return nil
}

// mayHold reports whether an engine may hold something after an attempt that
// ended with f.
func mayHold(f event.Fault) bool {
	switch f {
	case event.FaultUnsent, event.FaultRefused, event.FaultCrashed:
		return false
	}
	return true
}

func (m *Machine) held(e event.Held) {
	if r := m.requests[e.Request]; r != nil && r.decode == e.Engine && r.holds > 0 {
		r.holds--
	}
	r := m.current(e.Request, e.Engine, holding, e.Fault)
	if r == nil || r.decode != e.Engine || r.holds > 0 {
		return
	}
	if e.Fault != event.FaultNone {
		m.heldLost(r, e.Fault)
		return
	}
	m.proceed(r)
}

// heldLost asks again without the decode engine, which has refused or is lost.
func (m *Machine) heldLost(r *request, f event.Fault) {
	engine := r.decode
	if f == event.FaultRefused || f == event.FaultUnsent {
		m.dropDecode(r)
	} else {
		m.leaveDecode(r)
	}
	if f == event.FaultRefused {
		m.again(r, 0)
		return
	}
	m.reportLost(r, f, engine)
	m.again(r, retry.Backoff(r.tries+1, m.rnd))
}

// dropDecode forgets the decode engine when it is known to hold nothing, which
// a refused renewal of an earlier hold doesn't tell.
func (m *Machine) dropDecode(r *request) {
	if r.renewals > 1 || r.decode == r.prefill {
		m.leaveDecode(r)
		return
	}
	r.shun(r.decode)
	r.decode, r.renewals = "", 0
}

// reportLost tells the owner about a lost engine. The Ask that follows waits, so
// that it doesn't overtake the Done.
func (m *Machine) reportLost(r *request, f event.Fault, engine string) {
	switch f {
	case event.FaultCrashed:
		m.done(r, "crash", engine)
	case event.FaultRefused, event.FaultFailed:
		m.done(r, "cancel", "")
	default:
		m.done(r, "lost", engine)
	}
}

// proceed goes on with a confirmed hold: with the cache that is kept from an
// earlier attempt, or with a prefill at the planned time.
func (m *Machine) proceed(r *request) {
	if r.handle != "" && m.at < r.kept {
		m.move(r)
		return
	}
	if r.prefill != r.grant.prefill {
		m.leavePrefill(r)
	}
	if m.at >= r.grant.start {
		m.startPrefill(r)
		return
	}
	r.phase = waiting
	m.arm(r, r.grant.start-m.at)
}

// startPrefill sends the prefill. A second one is a retry, for which rerun has
// paid unless the kept cache has run out of time in between.
func (m *Machine) startPrefill(r *request) {
	if r.ran > 0 && !r.paid && !m.pay(r, r.grant.prefill) {
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(r.service.first))
		return
	}
	r.paid = false
	r.phase = prefilling
	r.reused = r.prefill == r.grant.prefill
	r.prefill, r.handle = r.grant.prefill, ""
	m.engine(r.prefill).budget.Sent()
	r.ran++
	m.emit(event.Prefill{
		Request: r.admit.ID, Engine: r.prefill,
		Fence: r.grant.fence, Priority: r.admit.Priority,
	})
	m.arm(r, r.prefillWait())
}

func (m *Machine) prefilled(e event.Prefilled) {
	r := m.current(e.Request, e.Engine, prefilling, e.Fault)
	if r == nil || r.prefill != e.Engine {
		return
	}
	if e.Fault != event.FaultNone {
		m.prefillLost(r, e.Fault)
		return
	}
	r.handle, r.kept = e.Handle, m.at+keptFor
	m.move(r)
}

// prefillLost asks for another prefill engine. The hold is kept, unless it is on
// the same engine.
func (m *Machine) prefillLost(r *request, f event.Fault) {
	engine := r.prefill
	if f == event.FaultRefused || f == event.FaultUnsent {
		r.ran--
		r.paid = r.ran > 0
		m.dropPrefill(r)
		m.again(r, retry.Backoff(r.tries+1, m.rnd))
		return
	}
	m.strike(r, f, engine)
	m.shedPrefill(r)
	m.rerun(r, f, engine)
}

// dropPrefill forgets a prefill engine that is known to hold no cache, which the
// refusal of a second prefill there doesn't tell.
func (m *Machine) dropPrefill(r *request) {
	if r.reused {
		m.shedPrefill(r)
		return
	}
	engine := r.prefill
	r.prefill, r.handle = "", ""
	r.shun(engine)
	if engine == r.decode {
		m.leaveDecode(r)
	}
}

// shedPrefill frees a prefill engine that failed, with the hold when that is on
// the same engine.
func (m *Machine) shedPrefill(r *request) {
	if r.prefill == r.decode {
		m.leaveDecode(r)
		return
	}
	m.leavePrefill(r)
}

// rerun starts over after work was lost: only when the service's requests may
// run twice and the retry budget allows it.
func (m *Machine) rerun(r *request, f event.Fault, engine string) {
	m.reportLost(r, f, engine)
	if !r.paid && !m.pay(r, engine) {
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(r.service.first))
		return
	}
	m.again(r, retry.Backoff(r.tries+1, m.rnd))
}

// pay takes a retry from the budgets of the service and of the engine that caused
// it.
func (m *Machine) pay(r *request, engine string) bool {
	r.paid = r.service.idempotent && m.engine(engine).budget.Take() && r.service.budget.Take()
	return r.paid
}

// strike records that an engine died while it ran r.
func (m *Machine) strike(r *request, f event.Fault, engine string) {
	if f != event.FaultCrashed {
		return
	}
	if s := m.strikes.Add(m.now, r.print, engine); s != nil {
		m.emit(event.SendStrike{Strike: s})
	}
}

// move makes the decode engine pull the cache, unless the cache is there.
func (m *Machine) move(r *request) {
	if r.prefill == r.decode {
		m.decodeFrom(r)
		return
	}
	r.phase = moving
	m.emit(event.Move{
		Request: r.admit.ID, From: r.prefill, To: r.decode,
		Handle: r.handle, Fence: r.grant.fence,
	})
	m.arm(r, r.moveWait())
}

func (m *Machine) moved(e event.Moved) {
	r := m.current(e.Request, e.Engine, moving, e.Fault)
	if r == nil || r.decode != e.Engine {
		return
	}
	if e.Fault != event.FaultNone {
		m.moveLost(r, e.Fault)
		return
	}
	// The export has ended the cache on the prefill engine.
	r.prefill, r.handle = "", ""
	m.decodeFrom(r)
}

// moveLost asks for another decode engine that takes the kept cache over. When
// the decode engine reports that the transfer failed, the cache is gone instead.
func (m *Machine) moveLost(r *request, f event.Fault) {
	if f == event.FaultFailed {
		engine := r.prefill
		m.leavePrefill(r)
		m.rerun(r, f, engine)
		return
	}
	engine := r.decode
	m.leaveDecode(r)
	m.reportLost(r, f, engine)
	m.again(r, retry.Backoff(1, m.rnd))
}
