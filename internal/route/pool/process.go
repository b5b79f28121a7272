package pool

import (
	"maps"
	"time"
)

const (
	// currentTime is the time without news of the store after which entries may be out of
	// date: updates come at least twice in it.
	currentTime = 1200 * time.Millisecond
	// evidenceTTL is how long evidence about a process is kept. It is longer than a request.
	evidenceTTL = 5 * time.Minute
)

// evidence is what this daemon has observed of a process while its entry was the newest of
// its server. All times are on this daemon's monotonic clock: the start of a process is
// only compared with other starts, as clocks differ and are set.
type evidence struct {
	// confirmed is the latest time after which the process itself reported its start.
	confirmed time.Time
	// doubted is when it was last silent, or its connections failed; lost when they failed.
	doubted, lost time.Time
}

// MarkCurrent records that the entries were the newest ones of the store at a time. After a
// gap servers may not have been able to write theirs, and the first entries after a start may
// be those of another daemon that could not read the store.
func (t *Table) MarkCurrent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.currentAt) > currentTime {
		t.unsettled = now.Add(outageWindow)
	}
	t.currentAt = now
}

// ConfirmProcess records that a server reported the start of its entry in answer to a
// question that was asked at a time.
func (t *Table) ConfirmProcess(asked time.Time, s Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(asked, s, func(e *evidence) {
		if asked.After(e.confirmed) {
			e.confirmed = asked
		}
	})
}

// doubt records that a process may have ended. The caller holds mu.
func (t *Table) doubt(now time.Time, s Server, lost bool) {
	t.note(now, s, func(e *evidence) {
		e.doubted = now
		if lost {
			e.lost = now
		}
	})
}

// note changes the evidence of a process unless a newer one is known. The caller holds mu.
func (t *Table) note(now time.Time, s Server, change func(*evidence)) {
	p := s.Process()
	if r := t.servers[s.ID]; r == nil || r.Process() != p {
		return
	}
	e, known := t.evidence[p]
	if !known {
		maps.DeleteFunc(t.evidence, func(_ Process, e evidence) bool {
			return now.Sub(e.confirmed) > evidenceTTL && now.Sub(e.doubted) > evidenceTTL
		})
	}
	change(&e)
	t.evidence[p] = e
}

// IsConfirmed reports whether the process of an entry can be taken to run at its address
// without asking it: since it was last confirmed nothing has shown that it may have ended,
// and this daemon's entries, or the confirmation, are 1.2 s old at most. So another process
// under its ID runs unnoticed for 1.2 s at most, by the daemon's monotonic clock, plus the
// time that it takes to write its entry.
func (t *Table) IsConfirmed(now time.Time, s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.evidence[s.Process()]
	if !e.doubted.Before(e.confirmed) && !e.doubted.IsZero() {
		return false
	}
	current := t.currentAt.IsZero() || now.Sub(t.currentAt) <= currentTime && t.currentAt.After(t.unsettled)
	return current || now.Sub(e.confirmed) <= currentTime
}

// HasServed reports whether a response that began at a time came from the process of s,
// although a newer process has its ID now: after that time the process itself was heard
// of, or its end was seen. A process that has ended never returns with the same start.
func (t *Table) HasServed(s Server, begun time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.evidence[s.Process()]
	return e.confirmed.After(begun) || e.lost.After(begun)
}
