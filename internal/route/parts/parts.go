// Package parts finds out which parts of prompts crash the engines that begin to write an
// answer on them. A crash breaks off all runs on an engine, nearly all of which are sound,
// so that there is evidence for and against a part: the crashes under runs that had it, and
// the runs with it that went on. Table is a state machine without I/O; daemons exchange its
// records and come to the same verdicts.
package parts

import (
	"slices"
	"time"
)

const (
	// A part is blocked from unknownCrashes crashes under runs that had it, if no run
	// with it has gone on since the first of these, and from knownCrashes if runs with it
	// went on in the soundHistory before: sound requests share it.
	unknownCrashes = 3
	knownCrashes   = 5
	// minContents is the number of contents that these crashes need at least: one request
	// that crashes each engine which runs it, and one other crash, are explained by two.
	// It is also the least number that explains five crashes if no request runs at more than two
	// engines, so that a part which crashes engines is blocked by the fifth.
	minContents = 3
	// repeatCrashes is the number for a part that was blocked before and has been
	// released since requests with it stopped.
	repeatCrashes = 1
	// sameCause is the time within which crashes count as one: engines that lose power
	// together crash under all that they run.
	sameCause = 150 * time.Millisecond
	// settleTime is the time after a crash before parts are blocked by it: the runs that
	// it broke off are known to several daemons.
	settleTime = 200 * time.Millisecond
	// soundHistory is how long a run that went on is known.
	soundHistory = 30 * time.Second
	// crashTTL is how long a crash counts.
	crashTTL = time.Minute
	// quietTime is the time without requests after which a part is released.
	// memoryTime is how long it is then known as one that crashed engines.
	quietTime  = time.Minute
	memoryTime = 10 * time.Minute
	// probeInterval is the time after which one request with a blocked part is let
	// through while such requests still come, to find out whether the cause has gone. It
	// is three times as long after each such request, and there are maxProbes.
	probeInterval = 30 * time.Second
	probeFactor   = 3
	maxProbes     = 3
	// probeSlot is the time for which one daemon may let that request through.
	probeSlot = time.Second
)

// Bounds of a table, as clients choose the parts.
const (
	maxRuns    = 512
	maxParts   = 32
	maxSound   = 8192
	maxBlocked = 256
	maxNameLen = 64
)

// Part is a part of prompts for one service.
type Part struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Run is a run that the crash of its engine broke off before it had gone on.
type Run struct {
	Service string
	// Parts are the parts of its prompt in order, without the last one.
	Parts []string
	// Content is the fingerprint of the request, zero if it is not known: the run then
	// counts as one of a content of its own.
	Content uint64
	// Crash identifies the process that crashed.
	Crash string
	At    time.Time
}

// Verdict is that requests with a part are refused.
type Verdict struct {
	Part Part
	// Since is when the part was blocked, SeenAt when the last request with it came.
	Since, SeenAt time.Time
	// Crashes identify the processes that had crashed under it.
	Crashes []string
	// Probes is the number of requests that were let through since, ProbedAt when the
	// last one was, zero for none.
	Probes   int
	ProbedAt time.Time
	// Ended is when the part was released, zero while it is blocked. Sound is set if a
	// run with it went on.
	Ended time.Time
	Sound bool
	// Round counts the changes between blocked and released. The verdict with the
	// higher one is the later.
	Round uint32
}

// blocked reports whether requests are refused.
func (v *Verdict) blocked() bool { return v != nil && v.Ended.IsZero() }

// Table holds what a daemon knows.
type Table struct {
	runs []Run
	// inRuns counts the runs that had a part.
	inRuns   map[Part]int
	sound    map[Part]time.Time
	verdicts map[Part]*Verdict
	// dirtyAt is when runs were last added that have not been judged.
	dirtyAt time.Time
	// isOwner reports whether this daemon may let through a request in a slot.
	isOwner func(p Part, slot int64) bool
}

// New returns an empty table. isOwner reports whether this daemon is the one that may let
// through a request with a blocked part in a slot of time.
func New(isOwner func(p Part, slot int64) bool) *Table {
	return &Table{inRuns: map[Part]int{}, sound: map[Part]time.Time{}, verdicts: map[Part]*Verdict{}, isOwner: isOwner}
}

// Active reports whether there is anything to be judged, exchanged or expired.
func (t *Table) Active() bool { return len(t.runs)+len(t.verdicts) > 0 }

// Blocking reports whether any part is blocked.
func (t *Table) Blocking() bool {
	for _, v := range t.verdicts {
		if v.blocked() {
			return true
		}
	}
	return false
}

// Check returns the verdict by which a request is refused, nil for none. probe is set if
// the request is let through in spite of a verdict; the caller has to tell the others.
func (t *Table) Check(now time.Time, service string, ids []string) (refused *Verdict, probe bool) {
	if len(t.verdicts) == 0 {
		return nil, false
	}
	for _, id := range ids {
		v := t.verdicts[Part{service, id}]
		if !v.blocked() {
			continue
		}
		v.SeenAt = now
		if refused = v; !t.probeDue(now, v) {
			return v, false
		}
	}
	if refused == nil {
		return nil, false
	}
	refused.Probes, refused.ProbedAt = refused.Probes+1, now
	return nil, true
}

// probeDue reports whether this daemon may let through a request with a blocked part.
func (t *Table) probeDue(now time.Time, v *Verdict) bool {
	if v.Probes >= maxProbes {
		return false
	}
	due, interval := v.Since, probeInterval
	if v.Probes > 0 {
		due = v.ProbedAt
	}
	for range v.Probes {
		interval *= probeFactor
	}
	late := now.Sub(due.Add(interval))
	return late >= 0 && t.isOwner(v.Part, int64(late/probeSlot))
}

// AddRun records a run that a crash broke off, and reports whether it was new.
func (t *Table) AddRun(now time.Time, r Run) bool {
	if len(r.Parts) == 0 || now.Sub(r.At) >= crashTTL || r.At.After(now) {
		return false
	}
	r.Parts = bounded(r.Parts)
	for i, o := range t.runs {
		switch {
		case o.Crash != r.Crash || o.Service != r.Service || !slices.Equal(o.Parts, r.Parts):
		case o.Content == r.Content || r.Content == 0:
			return false
		case o.Content == 0:
			// The run without a content may be this one, repeated by a daemon that
			// doesn't send contents.
			t.runs[i].Content = r.Content
			t.dirtyAt = now
			return true
		}
	}
	if len(t.runs) >= maxRuns && !t.dropCrash(r.Crash) {
		return false
	}
	t.runs = append(t.runs, r)
	t.count(r, 1)
	t.dirtyAt = now
	return true
}

// dropCrash makes room by dropping all runs of the oldest crash, since the rest of them may
// lack the one that explains it. It reports whether that is another crash than the one
// named.
func (t *Table) dropCrash(other string) bool {
	oldest := t.runs[0].Crash
	if oldest == other {
		return false
	}
	t.runs = slices.DeleteFunc(t.runs, func(r Run) bool {
		if r.Crash == oldest {
			t.count(r, -1)
		}
		return r.Crash == oldest
	})
	return true
}

// bounded returns the first and the last of too many parts, and none with long names.
func bounded(ids []string) []string {
	out := make([]string, 0, min(len(ids), maxParts))
	for i, id := range ids {
		if len(id) <= maxNameLen && (i < maxParts/2 || i >= len(ids)-maxParts/2) {
			out = append(out, id)
		}
	}
	return out
}

// AddSound records that a run with these parts went on after a crash at most. It returns
// the parts which other daemons suspect or refuse, so that they have to be told.
func (t *Table) AddSound(now, at time.Time, service string, ids []string) []Part {
	var out []Part
	for _, id := range ids {
		p := Part{service, id}
		if len(id) > maxNameLen {
			continue
		}
		if last, ok := t.sound[p]; ok && !at.After(last) {
			continue
		}
		if len(t.sound) >= maxSound {
			t.dropSound(now)
		}
		t.sound[p] = at
		if t.suspected(p) {
			out = append(out, p)
		}
		if v := t.verdicts[p]; v.blocked() && at.After(v.Since) {
			v.Ended, v.Sound = now, true
			v.Round++
		}
	}
	return out
}

// dropSound makes room by dropping expired entries, and else any, but so many that it is
// rarely needed.
func (t *Table) dropSound(now time.Time) {
	for p, at := range t.sound {
		if now.Sub(at) >= soundHistory || len(t.sound) > maxSound*3/4 {
			delete(t.sound, p)
		}
	}
}

// suspected reports whether a part was in a run that a crash broke off, or is blocked.
func (t *Table) suspected(p Part) bool {
	return t.verdicts[p].blocked() || t.inRuns[p] > 0
}

// count adds n to the number of runs for each part of one.
func (t *Table) count(r Run, n int) {
	for _, id := range r.Parts {
		p := Part{r.Service, id}
		if t.inRuns[p] += n; t.inRuns[p] == 0 {
			delete(t.inRuns, p)
		}
	}
}

// SoundSince returns when a run with a part last went on, if that is within the history.
func (t *Table) SoundSince(now time.Time, p Part) (time.Time, bool) {
	at, ok := t.sound[p]
	return at, ok && now.Sub(at) < soundHistory
}

// Verdicts returns the verdicts, ended ones too, ordered by time.
func (t *Table) Verdicts() []Verdict {
	var out []Verdict
	for _, v := range t.verdicts {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Verdict) int { return a.Since.Compare(b.Since) })
	return out
}

// RecentRuns returns the newest runs that crashes broke off, at most n of them.
func (t *Table) RecentRuns(n int) []Run { return slices.Clone(t.runs[max(len(t.runs)-n, 0):]) }

// Merge applies the verdict of another daemon and reports whether it was news.
func (t *Table) Merge(now time.Time, v Verdict) bool {
	old := t.verdicts[v.Part]
	if old != nil && old.Round == v.Round {
		if v.SeenAt.After(old.SeenAt) {
			old.SeenAt = v.SeenAt
		}
		if v.Probes > old.Probes {
			old.Probes, old.ProbedAt = v.Probes, v.ProbedAt
		}
		return false
	}
	if old != nil && old.Round > v.Round || len(v.Part.ID) > maxNameLen || !t.makeRoom(v.Part) {
		return false
	}
	// Runs that went on after another daemon had blocked the part release it, also those
	// that the other daemon doesn't know of.
	if at, ok := t.sound[v.Part]; ok && v.Ended.IsZero() && at.After(v.Since) {
		v.Ended, v.Sound = now, true
		v.Round++
	}
	t.verdicts[v.Part] = &v
	return true
}

// makeRoom reports whether there is room for a verdict on a part, and drops one that has
// ended if it needs to.
func (t *Table) makeRoom(p Part) bool {
	if t.verdicts[p] != nil || len(t.verdicts) < maxBlocked {
		return true
	}
	var oldest *Verdict
	for _, v := range t.verdicts {
		if !v.blocked() && (oldest == nil || v.Ended.Before(oldest.Ended)) {
			oldest = v
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.verdicts, oldest.Part)
	return true
}

// Size returns the number of entries.
func (t *Table) Size() int { return len(t.runs) + len(t.inRuns) + len(t.sound) + len(t.verdicts) }
