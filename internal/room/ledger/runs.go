package ledger

import (
	"net/netip"
	"time"
)

// trackedRun is a run with the ledger's own observations of it.
type trackedRun struct {
	Run
	grantedAt time.Time
	// listed is set once a report has named the run. reportedAt is the time of the last
	// such report.
	listed     bool
	reportedAt time.Time
	// prefillBy is the estimated end of the prefill, zero while the prefill rate is not
	// known.
	prefillBy time.Time
}

// estimate extrapolates the output of the run from its last report.
func (e *trackedRun) estimate(now time.Time, decodeRate float64) Run {
	r := e.Run
	if r.Generated > 0 {
		r.Generated += int(decodeRate * now.Sub(e.reportedAt).Seconds())
	}
	return r
}

// runs indexes the runs of a ledger by edge daemon and by engine, so that the cost
// of a lease request or report grows only with what it concerns.
type runs struct {
	all                 map[runKey]*trackedRun
	byEdge              map[netip.AddrPort]map[runKey]*trackedRun
	byDecode, byPrefill map[string]map[runKey]*trackedRun
}

func newRuns() runs {
	return runs{all: map[runKey]*trackedRun{}, byEdge: map[netip.AddrPort]map[runKey]*trackedRun{},
		byDecode: map[string]map[runKey]*trackedRun{}, byPrefill: map[string]map[runKey]*trackedRun{}}
}

// put adds a run or updates it.
func (r *runs) put(k runKey, e *trackedRun, run Run) {
	if r.all[k] == e && e.Decode == run.Decode && e.Prefill == run.Prefill {
		e.Run = run
		return
	}
	r.remove(k)
	e.Run = run
	r.all[k] = e
	index(r.byEdge, k.edge, k, e)
	index(r.byDecode, e.Decode, k, e)
	index(r.byPrefill, e.Prefill, k, e)
}

func (r *runs) remove(k runKey) {
	e := r.all[k]
	if e == nil {
		return
	}
	delete(r.all, k)
	unindex(r.byEdge, k.edge, k)
	unindex(r.byDecode, e.Decode, k)
	unindex(r.byPrefill, e.Prefill, k)
}

func index[T comparable](m map[T]map[runKey]*trackedRun, key T, k runKey, e *trackedRun) {
	list := m[key]
	if list == nil {
		list = map[runKey]*trackedRun{}
		m[key] = list
	}
	list[k] = e
}

func unindex[T comparable](m map[T]map[runKey]*trackedRun, key T, k runKey) {
	delete(m[key], k)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}
