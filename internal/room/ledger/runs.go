package ledger

import (
	"net/netip"
	"time"
)

// entry is a run with what the ledger itself knows about it.
type entry struct {
	Run
	granted time.Time
	// listed is set once a report has named the run, which was at reported.
	listed   bool
	reported time.Time
	// readBy is when its prefill engine has probably read the prompt, zero when the
	// rate of the engines is not known.
	readBy time.Time
}

// at returns the run with the output that it probably has by now.
func (e *entry) at(now time.Time, pace float64) Run {
	r := e.Run
	if r.Generated > 0 {
		r.Generated += int(pace * now.Sub(e.reported).Seconds())
	}
	return r
}

// runs are the runs of a ledger, found by their daemon and by their engines, so
// that an ask or a report costs as much as what it concerns.
type runs struct {
	all             map[runKey]*entry
	edges           map[netip.AddrPort]map[runKey]*entry
	decode, prefill map[string]map[runKey]*entry
}

func newRuns() runs {
	return runs{all: map[runKey]*entry{}, edges: map[netip.AddrPort]map[runKey]*entry{},
		decode: map[string]map[runKey]*entry{}, prefill: map[string]map[runKey]*entry{}}
}

// put adds a run or replaces what is known of it.
func (r *runs) put(k runKey, e *entry, run Run) {
	if r.all[k] == e && e.Decode == run.Decode && e.Prefill == run.Prefill {
		e.Run = run
		return
	}
	r.remove(k)
	e.Run = run
	r.all[k] = e
	index(r.edges, k.edge, k, e)
	index(r.decode, e.Decode, k, e)
	index(r.prefill, e.Prefill, k, e)
}

func (r *runs) remove(k runKey) {
	e := r.all[k]
	if e == nil {
		return
	}
	delete(r.all, k)
	unindex(r.edges, k.edge, k)
	unindex(r.decode, e.Decode, k)
	unindex(r.prefill, e.Prefill, k)
}

func index[T comparable](m map[T]map[runKey]*entry, at T, k runKey, e *entry) {
	list := m[at]
	if list == nil {
		list = map[runKey]*entry{}
		m[at] = list
	}
	list[k] = e
}

func unindex[T comparable](m map[T]map[runKey]*entry, at T, k runKey) {
	delete(m[at], k)
	if len(m[at]) == 0 {
		delete(m, at)
	}
}
