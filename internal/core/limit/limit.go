// Package limit adapts the number of open calls to a backend server to its
// measured latency.
//
// The rule is additive increase and multiplicative decrease by windows of at
// least 100 ms and 8 answers. A window whose mean latency is above 1.5 times the
// base latency, or in which the server refused, multiplies the limit by 0.85. A
// window that used the whole limit otherwise adds the limit's square root, or
// doubles it during slow start. The base is the least mean of a window; every
// 30 s it is forgotten and the limit halved, so that the new base is measured
// without a queue, in the second window after that.
package limit

import (
	"math"
	"time"
)

// Figures of the rule.
const (
	initial   = 16 // limit of a new server
	first     = 2  // limit at the begin of a slow start
	most      = 512
	span      = 100 * time.Millisecond
	answers   = 8
	tolerance = 1.5
	decrease  = 0.85
	forget    = 30 * time.Second
	drained   = 1 // windows in which the queue drains before the base counts
)

// Times without work for a server that is down, doubled by each further fault.
const (
	downFirst = 100 * time.Millisecond
	downMost  = 5 * time.Second
	// faultsDown is the number of faults without an answer between them that
	// take a server out of use. Fewer may be single stalled connections.
	faultsDown = 3
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that the server answered; its latency counts.
	Answered Outcome = iota
	// Refused means that the server refused before it started.
	Refused
	// NoAnswer means that the server could not be reached or gave no answer.
	NoAnswer
	// Cancelled means that the caller ended the attempt; nothing is learnt.
	Cancelled
)

// Limit bounds the open calls to one server. It must not be used concurrently.
type Limit struct {
	limit  float64
	open   int
	slow   bool
	closed bool

	faults int
	until  time.Time

	base   time.Duration
	drain  int
	forgot time.Time
	mean   time.Duration
	window window
}

// window collects the answers since start.
type window struct {
	start time.Time
	count int
	sum   time.Duration
	busy  bool
	full  bool // the limit was reached
}

// New returns the limit of a server that is in use already, such as all servers
// when a daemon starts. Return begins a slow start.
func New() *Limit { return &Limit{limit: initial} }

// Acquire counts an open call, or returns false when the server must get none.
func (l *Limit) Acquire(now time.Time) bool {
	if l.closed || now.Before(l.until) {
		return false
	}
	if l.open >= l.room() {
		l.window.full = true
		return false
	}
	l.open++
	if l.open >= l.room() {
		l.window.full = true
	}
	return true
}

// room is the number of open calls allowed. A server that is down gets a single
// call until it answers.
func (l *Limit) room() int {
	if l.faults >= faultsDown {
		return 1
	}
	return int(l.limit)
}

// Load returns the open calls as a share of the limit.
func (l *Limit) Load() float64 { return float64(l.open) / float64(l.room()) }

// Wait returns the time after which a call is likely to find room.
func (l *Limit) Wait(now time.Time) time.Duration {
	if now.Before(l.until) {
		return l.until.Sub(now)
	}
	return max(l.mean/time.Duration(l.room()), time.Millisecond)
}

// Release ends an open call after latency.
func (l *Limit) Release(now time.Time, latency time.Duration, o Outcome) {
	if l.open > 0 {
		l.open--
	}
	switch o {
	case Answered:
		if l.faults >= faultsDown {
			l.begin()
		}
		l.faults = 0
		l.window.count++
		l.window.sum += latency
	case Refused:
		l.window.busy = true
	case NoAnswer:
		l.fail(now)
	case Cancelled:
	}
	l.roll(now)
}

// fail takes a server that is down out of use for a time.
func (l *Limit) fail(now time.Time) {
	if now.Before(l.until) {
		return // was open before the server went down
	}
	l.faults++
	if over := l.faults - faultsDown; over >= 0 {
		l.until = now.Add(min(downFirst<<min(over, 10), downMost))
	}
}

// Reopen begins a slow start, for a server that is back.
func (l *Limit) Reopen() {
	l.closed = false
	l.begin()
}

func (l *Limit) begin() {
	l.limit, l.slow = first, true
	l.faults, l.until = 0, time.Time{}
	l.base, l.drain, l.window = 0, 0, window{}
}

// Close keeps all new work off a leaving server. Open calls go on.
func (l *Limit) Close() { l.closed = true }

// Closed reports whether Close was called after the last Return.
func (l *Limit) Closed() bool { return l.closed }

// roll ends the window when it is long enough.
func (l *Limit) roll(now time.Time) {
	w := l.window
	if w.start.IsZero() {
		l.window.start = now
		return
	}
	if now.Sub(w.start) < span || w.count < answers && !w.busy {
		return
	}
	if w.count > 0 {
		l.mean = w.sum / time.Duration(w.count)
	}
	l.learn(w)
	l.adapt(w)
	l.window = window{start: now}
	l.refresh(now)
}

// learn keeps the least mean as the base.
func (l *Limit) learn(w window) {
	switch {
	case l.drain > 0:
		l.drain--
	case w.count > 0 && (l.base == 0 || l.mean < l.base):
		l.base = l.mean
	}
}

func (l *Limit) adapt(w window) {
	switch {
	case l.base == 0 && !w.busy:
	case w.busy || float64(l.mean) > tolerance*float64(l.base):
		l.limit *= decrease
		l.slow = false
	case !w.full:
	case l.slow:
		l.limit *= 2
	default:
		l.limit += math.Sqrt(l.limit)
	}
	l.limit = min(max(l.limit, 1), most)
}

// refresh forgets the base from time to time, since a server may have become
// slower for good.
func (l *Limit) refresh(now time.Time) {
	if l.forgot.IsZero() {
		l.forgot = now
	}
	if now.Sub(l.forgot) < forget || l.slow {
		return
	}
	l.forgot, l.base, l.drain = now, 0, drained
	l.limit = max(l.limit/2, 1)
}
