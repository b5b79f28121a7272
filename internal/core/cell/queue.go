package cell

import (
	"slices"
	"time"
)

// backlog is the work of a server that processes it one item after the other.
type backlog struct {
	// left is the time that the work takes from at on.
	left, at time.Duration
}

// remaining returns the work left at the given time.
func (b *backlog) remaining(at time.Duration) time.Duration {
	if elapsed := at - b.at; elapsed > 0 {
		b.left = max(0, b.left-elapsed)
		b.at = at
	}
	return b.left
}

func (b *backlog) add(at, work time.Duration) {
	b.remaining(at)
	b.left += work
}

// prefillQueue models the prefill queue of an engine, as of the time at: the
// prefills of leases in order of priority, and other work that the engine reports.
type prefillQueue struct {
	at time.Duration
	// unscheduled is the work that the engine reports beyond that of the leases.
	unscheduled time.Duration
	leases      []*lease
}

// advance subtracts the work that the engine has done since the last call.
func (q *prefillQueue) advance(at time.Duration) {
	elapsed := at - q.at
	if elapsed <= 0 {
		return
	}
	q.at = at
	used := min(elapsed, q.unscheduled)
	q.unscheduled -= used
	elapsed -= used
	for len(q.leases) > 0 && elapsed > 0 {
		first := q.leases[0]
		used = min(elapsed, first.prefillLeft)
		first.prefillLeft -= used
		elapsed -= used
		if first.prefillLeft > 0 {
			return
		}
		q.remove(first)
	}
}

// wait returns the queueing delay of a new prefill with the given priority; a
// smaller number is more urgent. A prefill that has started is not preempted and
// counts in any case.
func (q *prefillQueue) wait(at time.Duration, priority uint32) time.Duration {
	q.advance(at)
	total := q.unscheduled
	for i, l := range q.leases {
		if l.priority <= priority || i == 0 && l.started() {
			total += l.prefillLeft
		}
	}
	return total
}

// add queues the prefill of a lease behind those of the same priority.
func (q *prefillQueue) add(at time.Duration, l *lease) {
	q.advance(at)
	if l.prefillLeft <= 0 {
		return
	}
	i := len(q.leases)
	for i > 0 && q.leases[i-1].priority > l.priority && !q.leases[i-1].started() {
		i--
	}
	q.leases = slices.Insert(q.leases, i, l)
	l.queued = true
}

// remove takes the prefill of a lease out of the queue, if it is there.
func (q *prefillQueue) remove(l *lease) {
	if !l.queued {
		return
	}
	l.queued = false
	if i := slices.Index(q.leases, l); i >= 0 {
		q.leases = slices.Delete(q.leases, i, i+1)
	}
}

// total returns the work in the queue.
func (q *prefillQueue) total(at time.Duration) time.Duration {
	q.advance(at)
	total := q.unscheduled
	for _, l := range q.leases {
		total += l.prefillLeft
	}
	return total
}
