package cell

import (
	"slices"
	"time"
)

// drain is work that one server does at a constant pace.
type drain struct {
	left, at time.Duration
}

// rest returns the work left at the given time.
func (d *drain) rest(at time.Duration) time.Duration {
	if gone := at - d.at; gone > 0 {
		d.left = max(0, d.left-gone)
		d.at = at
	}
	return d.left
}

func (d *drain) add(at, work time.Duration) {
	d.rest(at)
	d.left += work
}

// line is the prefill schedule of an engine: work that grants have scheduled,
// in order of priority, and other work that the engine reports.
type line struct {
	at    time.Duration
	other time.Duration
	jobs  []*grant
}

// advance takes the work that was done since the last call off the schedule.
func (l *line) advance(at time.Duration) {
	gone := at - l.at
	if gone <= 0 {
		return
	}
	l.at = at
	used := min(gone, l.other)
	l.other -= used
	gone -= used
	for len(l.jobs) > 0 && gone > 0 {
		j := l.jobs[0]
		used = min(gone, j.work)
		j.work -= used
		gone -= used
		if j.work > 0 {
			return
		}
		l.remove(j)
	}
}

// wait returns the work ahead of a new job of the given priority; a smaller
// number is more urgent. The job that has started counts in any case.
func (l *line) wait(at time.Duration, priority uint32) time.Duration {
	l.advance(at)
	sum := l.other
	for i, j := range l.jobs {
		if j.priority <= priority || i == 0 && j.started() {
			sum += j.work
		}
	}
	return sum
}

// add schedules a grant's prefill behind those of its priority.
func (l *line) add(at time.Duration, g *grant) {
	l.advance(at)
	if g.work <= 0 {
		return
	}
	i := len(l.jobs)
	for i > 0 && l.jobs[i-1].priority > g.priority && !l.jobs[i-1].started() {
		i--
	}
	l.jobs = slices.Insert(l.jobs, i, g)
	g.queued = true
}

// remove takes a job off the schedule, when it is there.
func (l *line) remove(g *grant) {
	if !g.queued {
		return
	}
	g.queued = false
	if i := slices.Index(l.jobs, g); i >= 0 {
		l.jobs = slices.Delete(l.jobs, i, i+1)
	}
}

// sum returns the work of all jobs.
func (l *line) sum(at time.Duration) time.Duration {
	l.advance(at)
	sum := l.other
	for _, j := range l.jobs {
		sum += j.work
	}
	return sum
}
