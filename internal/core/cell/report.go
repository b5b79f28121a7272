package cell

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// States of runs in a load report.
const (
	statePrefill = "prefill"
	stateKept    = "kept"
	stateDecode  = "decode"
)

// clockMargin is the tolerance in the comparison of the times of a load report and
// a Done, which come from two sources with different clocks and delays.
const clockMargin = 50 * time.Millisecond

// onReported applies a load report to the account of its engine.
func (m *Machine) onReported(at time.Duration, e event.Reported, out []event.Action) []event.Action {
	eng, report := m.engines[e.Engine], e.Report
	if eng == nil || !eng.cell.owned || report.GetIncarnation() < eng.incarnation {
		return out
	}
	if report.GetIncarnation() != eng.incarnation {
		m.onRestart(at, eng)
	} else if eng.lost || eng.reported && at-eng.reportedAt > maxReportAge {
		eng.returnedAt = max(at, 1)
	}
	eng.incarnation = report.GetIncarnation()
	eng.applyReport(at, report)
	m.reconcile(at, eng, report)
	eng.setUnscheduled(at, report)
	eng.cell.checkTakeover(at)
	m.findOrphans(at, eng, report)
	return m.cancelOrphans(at, eng, out)
}

// onRestart drops the leases, the cache entries and the queue of an engine that
// has a new incarnation.
func (m *Machine) onRestart(at time.Duration, eng *engineState) {
	if eng.incarnation != 0 {
		eng.returnedAt = max(at, 1)
	}
	for len(eng.leases) > 0 {
		m.revoke(at, eng.leases[len(eng.leases)-1], false)
	}
	for len(eng.prefillQueue.leases) > 0 {
		eng.prefillQueue.remove(eng.prefillQueue.leases[0])
	}
	eng.prefillQueue = prefillQueue{at: at}
	eng.cell.prefixIndex.Drop(eng.id)
	m.orphanCount -= len(eng.orphans)
	eng.orphans, eng.endedAt = nil, nil
}

// reconcile compares the runs in a load report with the leases.
func (m *Machine) reconcile(at time.Duration, eng *engineState, report *engine.Report) {
	eng.reportNumber++
	eng.creditBlocks, eng.creditRuns = 0, 0
	for _, run := range report.GetRunning() {
		m.applyRun(at, eng, run)
	}
	eng.pendingBlocks, eng.pendingRuns = 0, 0
	for i := len(eng.leases) - 1; i >= 0; i-- {
		l := eng.leases[i]
		if l.reportNumber == eng.reportNumber {
			continue
		}
		eng.pendingBlocks += l.blocks
		eng.pendingRuns++
		if l.confirmed {
			// An earlier report listed the run and this one doesn't: it has ended.
			m.counts.Ended++
			m.revoke(at, l, false)
			continue
		}
		m.revokeExpired(at, l)
	}
	for request, ended := range eng.endedAt {
		if eng.measuredAt > ended+clockMargin {
			delete(eng.endedAt, request)
		}
	}
}

// applyRun applies one run of a load report to its lease.
func (m *Machine) applyRun(at time.Duration, eng *engineState, run *engine.Running) {
	l := eng.cell.leases[run.GetRequest()]
	if l == nil {
		m.applyUnknownRun(at, eng, run)
		return
	}
	state := run.GetState()
	if l.prefill != nil && (state == stateDecode || state == stateKept) {
		l.prefill.prefillQueue.remove(l)
	}
	if l.decode != eng {
		return
	}
	l.confirmed, l.reportNumber = true, eng.reportNumber
	if n := run.GetPieces(); n != 0 && n != l.blocks {
		eng.leasedBlocks += n - l.blocks
		l.blocks = n
	}
}

// applyUnknownRun handles a run without a lease. Either it has ended after the
// report was measured, or an earlier owner granted it; the latter gets a lease.
func (m *Machine) applyUnknownRun(at time.Duration, eng *engineState, run *engine.Running) {
	if ended, ok := eng.endedAt[run.GetRequest()]; ok {
		if eng.measuredAt <= ended+clockMargin {
			eng.creditBlocks += run.GetPieces()
			eng.creditRuns++
		}
		return
	}
	if s := run.GetState(); !eng.decodes() || s == stateKept || s == statePrefill && eng.role != "both" {
		return
	}
	l := m.newLease()
	l.request, l.cell, l.decode = run.GetRequest(), eng.cell, eng
	l.decodeIncarnation, l.blocks, l.createdAt = eng.incarnation, run.GetPieces(), at
	l.confirmed, l.reportNumber = true, eng.reportNumber
	eng.cell.leases[l.request] = l
	m.link(l)
	m.counts.Adopted++
}

// setUnscheduled sets the prefill work that the engine reports beyond that of the
// leases in its queue.
func (eng *engineState) setUnscheduled(at time.Duration, report *engine.Report) {
	reported := max(0, eng.prefillTime(report.GetQueue())-report.GetLag().AsDuration())
	eng.prefillQueue.advance(at)
	eng.prefillQueue.unscheduled = 0
	eng.prefillQueue.unscheduled = max(0, reported-eng.prefillQueue.total(at))
}

// findOrphans records the runs in a load report whose edge daemon is gone.
func (m *Machine) findOrphans(at time.Duration, eng *engineState, report *engine.Report) {
	if !m.membersKnown {
		return
	}
	count := 0
	for _, run := range report.GetRunning() {
		wait := m.graceOf(run)
		if wait == 0 {
			continue
		}
		count++
		if o, ok := eng.orphans[run.GetRequest()]; ok {
			if o.wait != wait {
				eng.orphans[run.GetRequest()] = orphan{since: at, wait: wait}
				m.scheduleTick(at + wait)
			}
			continue
		}
		if eng.orphans == nil {
			eng.orphans = map[string]orphan{}
		}
		since := at
		if wait == orphanGrace {
			// The grace period begins with the loss of the connection, while the
			// failure detector still suspects the daemon.
			since -= run.GetIdle().AsDuration()
		}
		eng.orphans[run.GetRequest()] = orphan{since: since, wait: wait}
		m.orphanCount++
		m.scheduleTick(max(since+wait, at))
	}
	if count < len(eng.orphans) {
		m.removeOrphans(eng, report)
	}
}

// graceOf returns the grace period of a run whose edge daemon is gone, zero for
// other runs.
func (m *Machine) graceOf(run *engine.Running) time.Duration {
	name, incarnation := run.GetInstance(), run.GetIncarnation()
	if name == "" {
		return 0
	}
	known, ok := m.running[name]
	_, listed := m.instanceStates[name]
	switch {
	case ok && (known == incarnation || known < incarnation):
		// The daemon runs, or the run belongs to a newer incarnation of it than the
		// membership here.
		return 0
	case run.GetAttached(), !ok && !listed:
		return attachedOrphanGrace
	}
	return orphanGrace
}

// removeOrphans deletes the orphans that a load report no longer lists as such.
func (m *Machine) removeOrphans(eng *engineState, report *engine.Report) {
	kept := make(map[string]orphan, len(eng.orphans))
	for _, run := range report.GetRunning() {
		o, ok := eng.orphans[run.GetRequest()]
		if ok && m.graceOf(run) > 0 {
			kept[run.GetRequest()] = o
		}
	}
	m.orphanCount -= len(eng.orphans) - len(kept)
	eng.orphans = kept
}

// cancelOrphans sends the Cancels that are due, in the order of the request ids.
func (m *Machine) cancelOrphans(at time.Duration, eng *engineState, out []event.Action) []event.Action {
	if len(eng.orphans) == 0 || eng.lost {
		return out
	}
	for _, request := range sortedKeys(eng.orphans) {
		o := eng.orphans[request]
		if at-o.since < o.wait || o.cancelSent && at-o.lastCancel < cancelInterval {
			continue
		}
		out = append(out, event.Cancel{Request: request, Engine: eng.name, Fence: eng.fencingToken, Fresh: o.cancelSent})
		m.counts.Cancels++
		o.lastCancel, o.cancelSent = at, true
		eng.orphans[request] = o
		m.scheduleTick(at + cancelInterval)
	}
	return out
}

// onUnreachable excludes an engine whose report stream broke from new leases until
// its next report.
func (m *Machine) onUnreachable(at time.Duration, name string) {
	eng := m.engines[name]
	if eng == nil || !eng.cell.owned {
		return
	}
	eng.lost = true
	eng.cell.prefixIndex.Drop(eng.id)
	if len(eng.leases) > 0 {
		m.scheduleTick(at + lostEngineTimeout)
	}
}

func (m *Machine) onCached(e event.Cached) {
	eng := m.engines[e.Engine]
	if eng == nil || !eng.cell.owned || !m.usePrefixes {
		return
	}
	eng.cell.prefixIndex.Apply(eng.id, e.Event)
}
