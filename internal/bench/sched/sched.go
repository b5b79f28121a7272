// Package sched is an event queue for discrete-event simulation: it runs
// functions at points of injected time in a deterministic order.
package sched

import (
	"container/heap"
	"time"
)

// Queue is an event queue with its own clock. The clock starts at a fixed time,
// so that runs are reproducible.
type Queue struct {
	now   time.Time
	seq   uint64
	items items
}

type item struct {
	at  time.Time
	seq uint64
	f   func()
}

type items []item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *items) Push(x any)   { *h = append(*h, x.(item)) }
func (h *items) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = item{}
	*h = (*h)[:last]
	return x
}

// New returns a queue without events.
func New() *Queue { return &Queue{now: time.Unix(1_800_000_000, 0)} }

// Now implements citronrock.Clock.
func (q *Queue) Now() time.Time { return q.now }

// After schedules f to run once d has passed. Functions of the same time run in
// the order in which they were added.
func (q *Queue) After(d time.Duration, f func()) { q.At(q.now.Add(d), f) }

// At schedules f to run at t, or at the present time if t has passed.
func (q *Queue) At(t time.Time, f func()) {
	if t.Before(q.now) {
		t = q.now
	}
	q.seq++
	heap.Push(&q.items, item{t, q.seq, f})
}

// Run runs all functions that are due up to the given time and sets the clock to it.
func (q *Queue) Run(until time.Time) {
	for len(q.items) > 0 && !q.items[0].at.After(until) {
		next := heap.Pop(&q.items).(item)
		q.now = next.at
		next.f()
	}
	q.now = until
}
