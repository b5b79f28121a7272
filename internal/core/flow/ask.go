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

// Limits of asking. Ten Asks last at least six seconds, which covers the
// suspect time and the takeover delay of a lost owner.
const (
	askWait     = 150 * time.Millisecond
	askWaitMost = time.Second
	maxAsks     = 10
	maxRefusals = 64
	maxTries    = 4
	// maxBarren bounds the refusals in a row for lack of an engine that a request
	// may still use. Owners say half a second, so that engines get 3 s to return.
	maxBarren = 6
)

// ask sends an Ask to the owner of a cell.
func (m *Machine) ask(r *request) {
	cell := m.chooseCell(r)
	if cell == "" {
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(time.Second))
		return
	}
	if r.owed != cell {
		m.done(r, "cancel", "")
	}
	r.cell, r.owed = cell, cell
	r.phase = asking
	m.gate.Sent(cell, &r.admit)
	m.emit(event.SendAsk{Ask: m.newAsk(r)})
	wait := min(askWait<<min(r.asks, 8), askWaitMost)
	m.arm(r, wait+time.Duration(m.rnd.Int64N(int64(wait/4))))
}

// chooseCell keeps the cell for the first repeat of an Ask without an answer,
// since its owner recognizes the repeat.
func (m *Machine) chooseCell(r *request) string {
	if r.asks == 1 {
		return r.cell
	}
	cell := m.gate.Choose(m.now, &r.admit, func(c string) bool { return slices.Contains(r.refused, c) })
	if cell == "" {
		r.refused = r.refused[:0]
		cell = m.gate.Choose(m.now, &r.admit, func(string) bool { return false })
	}
	return cell
}

func (m *Machine) newAsk(r *request) *peer.Ask {
	slack := r.arrived + r.service.first - m.at
	output := uint32(0)
	if r.admit.Max > r.next {
		output = r.admit.Max - r.next
	}
	return &peer.Ask{
		Request:  r.admit.ID,
		Cell:     r.cell,
		Tokens:   r.admit.Tokens + r.next,
		Output:   output,
		Priority: r.admit.Priority,
		Pieces:   r.pieces,
		Slack:    toMillis(slack),
		Print:    r.print,
		Avoid:    slices.Clone(r.avoid),
	}
}

// toMillis rounds down and keeps within the range of the wire.
func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// settle ends the wait for the answer to an Ask.
func (m *Machine) settle(r *request) {
	if r.phase != asking {
		return
	}
	m.gate.Abandoned(r.cell, &r.admit)
	r.phase = resting
}

// done tells the owner that accounts for r what became of its grant.
func (m *Machine) done(r *request, outcome, lost string) {
	if r.owed == "" {
		return
	}
	m.emit(event.SendDone{Done: &peer.Done{
		Request: r.admit.ID, Cell: r.owed, Outcome: outcome, Output: r.next, Engine: lost,
	}})
	r.owed = ""
}

// unanswered repeats an Ask whose owner may be lost.
func (m *Machine) unanswered(r *request) {
	m.gate.TimedOut(m.now, r.cell, &r.admit)
	r.asks++
	if r.asks >= maxAsks {
		r.phase = resting
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(askWaitMost))
		return
	}
	m.ask(r)
}

// rest waits before the next Ask.
func (m *Machine) rest(r *request, d time.Duration) {
	r.phase = resting
	m.arm(r, d)
}

// granted applies an owner's answer.
func (m *Machine) granted(g *peer.Grant) {
	if g == nil {
		return
	}
	r := m.requests[g.GetRequest()]
	if r == nil || r.phase != asking {
		m.lateGrant(r, g)
		return
	}
	if !g.GetGranted() {
		m.declined(r, g)
		return
	}
	if cell := m.cellOf(g); cell != "" && cell != r.cell {
		m.otherCell(r, cell)
	}
	m.gate.Answered(m.now, r.cell, &r.admit, g)
	r.phase, r.asks, r.barren = resting, 0, 0
	if r.decode != g.GetDecode() {
		m.leaveDecode(r)
	}
	if !m.usable(r, g.GetDecode()) || !m.usable(r, g.GetPrefill()) {
		m.unusable(r)
		return
	}
	first := time.Duration(g.GetFirst()) * time.Millisecond
	if m.at+first >= r.deadline {
		m.fail(r, citronrock.ReasonOverload, m.gate.RetryAfter(m.now, &r.admit, first))
		return
	}
	m.accept(r, g)
}

// usable reports whether r may use an engine that was granted. An engine with an
// open release could carry out the Cancel after the new work.
func (m *Machine) usable(r *request, engine string) bool {
	if m.engine(engine).leaving && engine != r.decode || m.releases[place{r.admit.ID, engine}] != nil {
		r.shun(engine)
	}
	return engine != "" && !slices.Contains(r.avoid, engine)
}

// otherCell takes the grant of a cell that was asked before the current one.
func (m *Machine) otherCell(r *request, cell string) {
	m.settle(r)
	m.done(r, "cancel", "")
	r.cell, r.owed = cell, cell
	m.gate.Sent(cell, &r.admit)
}

func (m *Machine) cellOf(g *peer.Grant) string {
	if e := m.engines[g.GetDecode()]; e != nil {
		return e.cell
	}
	return ""
}

// lateGrant returns a grant that nobody waits for. One for the request's own
// cell is not returned, since the owner keeps one grant for a request and the
// Done would end the one in use.
func (m *Machine) lateGrant(r *request, g *peer.Grant) {
	if !g.GetGranted() {
		return
	}
	cell := m.cellOf(g)
	if cell == "" || r != nil && r.owed == cell {
		return
	}
	m.emit(event.SendDone{Done: &peer.Done{Request: g.GetRequest(), Cell: cell, Outcome: "cancel"}})
}

// unusable returns a grant that names an engine to be avoided.
func (m *Machine) unusable(r *request) {
	m.done(r, "cancel", "")
	m.again(r, retry.Backoff(r.tries+1, m.rnd))
}

// again asks once more after wait, as long as attempts remain.
func (m *Machine) again(r *request, wait time.Duration) {
	r.phase = resting
	r.tries++
	if r.tries > maxTries {
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(time.Second))
		return
	}
	if m.strikes.Count(m.now, r.print) >= 2 {
		m.fail(r, citronrock.ReasonSuspect, suspectAfter)
		return
	}
	if r.hopeless(m.at) {
		m.fail(r, citronrock.ReasonBackend, 0)
		return
	}
	if wait == 0 {
		m.ask(r)
		return
	}
	m.rest(r, wait)
}

// declined handles the owner's refusal: another cell, the queue, or the final
// answer.
func (m *Machine) declined(r *request, g *peer.Grant) {
	if g.GetReason() == string(citronrock.ReasonSuspect) {
		// The refusal concerns this content only. Its time would shut the cell
		// for all other requests of this daemon.
		m.settle(r)
		r.owed = ""
		m.fail(r, citronrock.ReasonSuspect, suspectWait(g))
		return
	}
	m.gate.Answered(m.now, r.cell, &r.admit, g)
	r.phase = resting
	r.asks, r.owed = 0, ""
	r.refusals++
	r.refused = append(r.refused, r.cell)
	other := m.gate.Choose(m.now, &r.admit, func(c string) bool { return slices.Contains(r.refused, c) })
	if other != "" && r.refusals < maxRefusals {
		m.ask(r)
		return
	}
	r.refused = r.refused[:0]
	after := time.Duration(g.GetAfter()) * time.Millisecond
	if m.barren(r, g) {
		m.fail(r, citronrock.ReasonBackend, m.gate.BoundRetryAfter(time.Second))
		return
	}
	if r.refusals < maxRefusals && m.waitAgain(r, after) {
		return
	}
	m.fail(r, citronrock.ReasonOverload, m.gate.RetryAfter(m.now, &r.admit, after))
}

// barren tells that a request has no engine left that it may use. The same
// content in a new request may use them all.
func (m *Machine) barren(r *request, g *peer.Grant) bool {
	if g.GetReason() != string(citronrock.ReasonBackend) || len(r.avoid) == 0 {
		r.barren = 0
		return false
	}
	r.barren++
	return r.barren >= maxBarren
}

// suspectWait is when a suspect request may come again: as the owner says, or
// after the life of a strike.
func suspectWait(g *peer.Grant) time.Duration {
	if g.GetAfter() > 0 {
		return time.Duration(g.GetAfter()) * time.Millisecond
	}
	return suspectAfter
}

// waitAgain queues a request that was refused, or lets one that has run rest
// outside the queue, since it is ahead of all that have not.
func (m *Machine) waitAgain(r *request, after time.Duration) bool {
	if r.ran > 0 {
		return m.restAgain(r, max(after, askWait))
	}
	if !m.gate.Enqueue(m.now, &r.admit, after) {
		return false
	}
	r.phase = queued
	r.limit = r.deadline
	m.timers.set(&r.timer, r.deadline)
	return true
}

// restAgain waits for memory when the request may still be completed then: with
// the kept cache, or with another prefill when it may run twice.
func (m *Machine) restAgain(r *request, wait time.Duration) bool {
	wait += time.Duration(m.rnd.Int64N(int64(wait / 4)))
	if m.at+wait >= r.deadline || r.hopeless(m.at+wait) {
		return false
	}
	m.rest(r, wait)
	return true
}
