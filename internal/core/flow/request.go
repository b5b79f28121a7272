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
	// queued: the gate's Next.
	queued phase = iota
	// resting: the time of the next Ask.
	resting
	// asking: the owner's Granted.
	asking
	// holding: the decode engine's Held.
	holding
	// waiting: the start of the prefill that the owner planned.
	waiting
	// prefilling: Prefilled.
	prefilling
	// moving: Moved.
	moving
	// decoding: Progress and Ended.
	decoding
)

// request is one generate request. An engine that a request has cancelled is in
// avoid and is never used by that request again; that is what tells a late
// outcome of an earlier attempt from the current one, since the outcomes carry
// no attempt number.
type request struct {
	timer
	admit    admit.Request
	service  *service
	pieces   []uint64
	print    uint64
	seq      uint64
	arrived  time.Duration
	deadline time.Duration
	phase    phase

	// cell is the cell of the current Ask or grant. owed is the cell whose owner
	// may account for the request and needs a Done, "" for none.
	cell, owed string
	grant      grant
	// prefill and decode are the engines that may hold something of the request
	// and that are still of use, "" for none.
	prefill, decode string
	// holds is the number of Holds on decode without an outcome, renewals that
	// of all Holds on it.
	holds, renewals int
	// handle names the cache kept on prefill until kept; "" for none.
	handle string
	kept   time.Duration

	stream, next uint32
	// closed is true between a lost stream and the next one, broke is true when
	// a stream broke since the last token.
	closed, broke bool
	// limit is when the running step must have made progress. The timer may be
	// armed for an earlier time; that saves moving it for each token.
	limit time.Duration

	// ran is the number of prefills sent and not known to be refused.
	ran int
	// reused is true when the prefill engine ran an earlier prefill of r.
	reused bool
	// paid is true when the retry budget was charged for the next prefill.
	paid bool
	// tries counts attempts after a failed one, asks the Asks without an answer,
	// refusals those that the owner refused, resumes the streams on one engine
	// and idle those of them that brought no token.
	tries, asks, refusals, resumes, idle int
	avoid                                []string
	// barren counts the refusals in a row for lack of an engine not in avoid.
	barren  int
	refused []string
}

// grant is the owner's current reservation.
type grant struct {
	prefill, decode string
	pieces          uint32
	// start is when the prefill may start, run the time that the owner expects
	// from then to the first token.
	start time.Duration
	run   time.Duration
	fence uint64
}

// reasonGone ends a request whose caller has left; no caller sees it.
const reasonGone citronrock.Reason = "gone"

// suspectAfter is the life of a strike, after which the request may come again.
const suspectAfter = 10 * time.Minute

func (m *Machine) arrive(e event.Arrive) {
	if m.requests[e.Request] != nil {
		return
	}
	if m.strikes.Count(m.now, e.Print) >= 2 {
		m.refuse(e.Request, citronrock.ReasonSuspect, suspectAfter)
		return
	}
	r := m.newRequest(e)
	v := m.gate.Arrive(m.now, &r.admit)
	if v.Next == admit.Refuse {
		m.refuse(e.Request, v.Reason, v.After)
		return
	}
	m.seq++
	r.seq = m.seq
	m.requests[e.Request] = r
	r.service.budget.Sent()
	if v.Next == admit.Run {
		m.ask(r)
		return
	}
	m.timers.set(&r.timer, r.deadline)
}

func (m *Machine) newRequest(e event.Arrive) *request {
	r := &request{
		service:  m.services[e.Service],
		pieces:   e.Pieces,
		print:    e.Print,
		arrived:  m.at,
		deadline: e.Deadline.Sub(m.base),
		next:     e.From,
	}
	r.pos, r.req = -1, r
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

// refuse answers a request that never entered the machine.
func (m *Machine) refuse(id string, reason citronrock.Reason, after time.Duration) {
	m.emit(event.Answer{Request: id, Kind: int(citronrock.NotRun), Reason: string(reason), After: after})
}

// fail gives up on a request. It is answered as not run when no prefill of it
// can have run.
func (m *Machine) fail(r *request, reason citronrock.Reason, after time.Duration) {
	kind := citronrock.NotRun
	if r.ran > 0 {
		kind = citronrock.Failed
		if !r.service.idempotent {
			after = 0
		}
	}
	m.finish(r, event.Answer{Request: r.admit.ID, Kind: int(kind), Reason: string(reason), After: after}, "cancel", "")
}

// finish answers r, ends its grant and frees what engines hold for it.
func (m *Machine) finish(r *request, a event.Answer, outcome, lost string) {
	m.emit(a)
	m.settle(r)
	m.done(r, outcome, lost)
	m.leavePrefill(r)
	m.leaveDecode(r)
	m.timers.stop(&r.timer)
	m.gate.Release(&r.admit)
	delete(m.requests, r.admit.ID)
}

func (m *Machine) gone(e event.Gone) {
	if r := m.requests[e.Request]; r != nil {
		m.fail(r, reasonGone, 0)
	}
}

// shun keeps the request from using engine again.
func (r *request) shun(engine string) {
	if engine != "" && !slices.Contains(r.avoid, engine) {
		r.avoid = append(r.avoid, engine)
	}
}

// leavePrefill frees what the prefill engine may hold.
func (m *Machine) leavePrefill(r *request) {
	if r.prefill == "" {
		return
	}
	engine := r.prefill
	r.prefill, r.handle = "", ""
	if engine == r.decode {
		return
	}
	r.shun(engine)
	m.release(r.admit.ID, engine)
}

// leaveDecode frees what the decode engine may hold, with the cache when it is
// on the same engine.
func (m *Machine) leaveDecode(r *request) {
	if r.decode == "" {
		return
	}
	engine := r.decode
	r.decode, r.holds, r.renewals = "", 0, 0
	if engine == r.prefill {
		r.prefill, r.handle = "", ""
	}
	r.shun(engine)
	m.release(r.admit.ID, engine)
}

// arm sets the deadline of the current step, bounded by that of the request.
func (m *Machine) arm(r *request, d time.Duration) {
	r.limit = m.at + d
	m.timers.set(&r.timer, r.due())
}

// due is when the timer must fire next.
func (r *request) due() time.Duration {
	if r.once() {
		return min(r.limit, r.deadline, r.kept)
	}
	return min(r.limit, r.deadline)
}

// once reports whether r can only be completed with the result of a prefill that
// has run, since it may not run twice.
func (r *request) once() bool {
	return r.ran > 0 && !r.service.idempotent && r.phase < prefilling
}

// hopeless reports whether the result of the only prefill allowed is gone.
func (r *request) hopeless(at time.Duration) bool {
	return r.once() && (r.handle == "" || at >= r.kept)
}

// expire handles a passed deadline of a request or of its current step.
func (m *Machine) expire(r *request) {
	if m.at >= r.deadline {
		m.fail(r, citronrock.ReasonDeadline, m.gate.BoundRetryAfter(r.service.first))
		return
	}
	if r.hopeless(m.at) {
		m.fail(r, citronrock.ReasonBackend, 0)
		return
	}
	if m.at < r.limit {
		m.timers.set(&r.timer, r.due())
		return
	}
	switch r.phase {
	case resting:
		m.ask(r)
	case asking:
		m.unanswered(r)
	case holding:
		m.heldLost(r, event.FaultStalled)
	case waiting:
		m.startPrefill(r)
	case prefilling:
		m.prefillLost(r, event.FaultStalled)
	case moving:
		m.moveLost(r, event.FaultStalled)
	case decoding:
		m.streamDue(r)
	}
}

// paused asks again for everything that was granted and has not started, and
// gives running steps a new deadline, since their outcomes may wait to be read.
func (m *Machine) paused() {
	m.gate.Paused()
	for _, r := range m.sorted() {
		switch r.phase {
		case asking:
			m.settle(r)
			m.ask(r)
		case holding, waiting:
			m.ask(r)
		case prefilling:
			m.arm(r, r.prefillWait())
		case moving:
			m.arm(r, r.moveWait())
		case decoding:
			m.arm(r, r.stallWait())
		}
	}
}
