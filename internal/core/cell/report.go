package cell

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// States of running requests in a report.
const (
	statePrefill = "prefill"
	stateKept    = "kept"
	stateDecode  = "decode"
)

// margin is the difference between the clocks and delays of two sources within
// which a report may predate an edge's Done.
const margin = 50 * time.Millisecond

// reported corrects an engine's account by a report.
func (m *Machine) reported(at time.Duration, e event.Reported, out []event.Action) []event.Action {
	u, r := m.units[e.Engine], e.Report
	if u == nil || !u.group.owned || r.GetIncarnation() < u.incarnation {
		return out
	}
	if r.GetIncarnation() != u.incarnation {
		m.restarted(at, u)
	} else if u.lost || u.reported && at-u.heard > stale {
		u.back = max(at, 1)
	}
	u.incarnation = r.GetIncarnation()
	u.figures(at, r)
	m.reconcile(at, u, r)
	u.backlog(at, r)
	u.group.check(at)
	m.findOrphans(at, u, r)
	return m.cancelOrphans(at, u, out)
}

// restarted drops what a new incarnation of an engine has lost.
func (m *Machine) restarted(at time.Duration, u *unit) {
	if u.incarnation != 0 {
		u.back = max(at, 1)
	}
	for len(u.live) > 0 {
		m.release(at, u.live[len(u.live)-1], false)
	}
	for len(u.line.jobs) > 0 {
		u.line.remove(u.line.jobs[0])
	}
	u.line = line{at: at}
	u.group.index.Drop(u.id)
	m.orphans -= len(u.orphans)
	u.orphans, u.done = nil, nil
}

// reconcile matches the report's list of runs with the grants.
func (m *Machine) reconcile(at time.Duration, u *unit, r *engine.Report) {
	u.generation++
	u.credit, u.creditRuns = 0, 0
	for _, run := range r.GetRunning() {
		m.running(at, u, run)
	}
	u.pending, u.pendingRuns = 0, 0
	for i := len(u.live) - 1; i >= 0; i-- {
		g := u.live[i]
		if g.generation == u.generation {
			continue
		}
		u.pending += g.pieces
		u.pendingRuns++
		if g.seen {
			// The engine has ended the run, so the memory is free.
			m.count.Ended++
			m.release(at, g, false)
			continue
		}
		m.lapse(at, g)
	}
	for request, ended := range u.done {
		if u.asof > ended+margin {
			delete(u.done, request)
		}
	}
}

// running takes in one run of a report.
func (m *Machine) running(at time.Duration, u *unit, run *engine.Running) {
	g := u.group.grants[run.GetRequest()]
	if g == nil {
		m.foreign(at, u, run)
		return
	}
	state := run.GetState()
	if g.prefill != nil && (state == stateDecode || state == stateKept) {
		g.prefill.line.remove(g)
	}
	if g.decode != u {
		return
	}
	g.seen, g.generation = true, u.generation
	if n := run.GetPieces(); n != 0 && n != g.pieces {
		u.held += n - g.pieces
		g.pieces = n
	}
}

// foreign handles a run without a grant: one that ended after the report was
// made, or one that an earlier owner granted, which counts as held.
func (m *Machine) foreign(at time.Duration, u *unit, run *engine.Running) {
	if ended, ok := u.done[run.GetRequest()]; ok {
		if u.asof <= ended+margin {
			u.credit += run.GetPieces()
			u.creditRuns++
		}
		return
	}
	if s := run.GetState(); !u.decodes() || s == stateKept || s == statePrefill && u.role != "both" {
		return
	}
	g := m.take()
	g.request, g.group, g.decode = run.GetRequest(), u.group, u
	g.decodeInc, g.pieces, g.made = u.incarnation, run.GetPieces(), at
	g.seen, g.generation = true, u.generation
	u.group.grants[g.request] = g
	m.bind(g)
	m.count.Adopted++
}

// backlog sets the prefill work that the engine reports beyond the schedule.
func (u *unit) backlog(at time.Duration, r *engine.Report) {
	reported := max(0, u.prefillTime(r.GetQueue())-r.GetLag().AsDuration())
	u.line.advance(at)
	u.line.other = 0
	u.line.other = max(0, reported-u.line.sum(at))
}

// findOrphans notes runs whose daemon is gone.
func (m *Machine) findOrphans(at time.Duration, u *unit, r *engine.Report) {
	if !m.confirmed {
		return
	}
	found := 0
	for _, run := range r.GetRunning() {
		wait := m.orphaned(run)
		if wait == 0 {
			continue
		}
		found++
		if o, ok := u.orphans[run.GetRequest()]; ok {
			if o.wait != wait {
				u.orphans[run.GetRequest()] = orphan{since: at, wait: wait}
				m.schedule(at + wait)
			}
			continue
		}
		if u.orphans == nil {
			u.orphans = map[string]orphan{}
		}
		since := at
		if wait == grace {
			// The grace period runs while the daemon is still suspected.
			since -= run.GetIdle().AsDuration()
		}
		u.orphans[run.GetRequest()] = orphan{since: since, wait: wait}
		m.orphans++
		m.schedule(max(since+wait, at))
	}
	if found < len(u.orphans) {
		m.dropOrphans(u, r)
	}
}

// orphaned returns the grace of a run whose daemon is gone, zero for other runs.
func (m *Machine) orphaned(run *engine.Running) time.Duration {
	name, number := run.GetInstance(), run.GetIncarnation()
	if name == "" {
		return 0
	}
	known, ok := m.serving[name]
	_, listed := m.states[name]
	switch {
	case ok && (known == number || known < number):
		// The same daemon, or one that is newer than what is known here.
		return 0
	case run.GetAttached(), !ok && !listed:
		return attachedGrace
	}
	return grace
}

// dropOrphans forgets the orphans that a report no longer lists.
func (m *Machine) dropOrphans(u *unit, r *engine.Report) {
	kept := make(map[string]orphan, len(u.orphans))
	for _, run := range r.GetRunning() {
		o, ok := u.orphans[run.GetRequest()]
		if ok && m.orphaned(run) > 0 {
			kept[run.GetRequest()] = o
		}
	}
	m.orphans -= len(u.orphans) - len(kept)
	u.orphans = kept
}

// cancelOrphans sends the cancels that are due, in order of the request's name.
func (m *Machine) cancelOrphans(at time.Duration, u *unit, out []event.Action) []event.Action {
	if len(u.orphans) == 0 || u.lost {
		return out
	}
	for _, request := range sorted(u.orphans) {
		o := u.orphans[request]
		if at-o.since < o.wait || o.sent && at-o.last < recancel {
			continue
		}
		out = append(out, event.Cancel{Request: request, Engine: u.name, Fence: u.fence, Fresh: o.sent})
		m.count.Cancels++
		o.last, o.sent = at, true
		u.orphans[request] = o
		m.schedule(at + recancel)
	}
	return out
}

// unreachable stops grants on an engine until its next report.
func (m *Machine) unreachable(at time.Duration, name string) {
	u := m.units[name]
	if u == nil || !u.group.owned {
		return
	}
	u.lost = true
	u.group.index.Drop(u.id)
	if len(u.live) > 0 {
		m.schedule(at + forget)
	}
}

func (m *Machine) cached(e event.Cached) {
	u := m.units[e.Engine]
	if u == nil || !u.group.owned || !m.match {
		return
	}
	u.group.index.Apply(u.id, e.Event)
}
