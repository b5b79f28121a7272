// Package limit adapts the number of calls in flight to a backend server to its
// measured latency.
//
// The limit follows additive increase and multiplicative decrease, in windows of
// at least 100 ms and 8 responses. A window whose mean latency exceeds 1.5 times
// the base latency, or in which the server refused a call, multiplies the limit by
// 0.85. Any other window that used the whole limit adds the limit's square root,
// or doubles it during slow start. The base latency is the least mean of a window.
// Every 30 s it is discarded and the limit halved, so that the queue in the server
// drains; the new base is measured from the second window after that.
package limit

import (
	"math"
	"time"
)

// Parameters of the adaptation.
const (
	initialLimit   = 16 // for a server that is in use already
	slowStartLimit = 2  // at the start of a slow start
	maxLimit       = 512
	minWindow      = 100 * time.Millisecond
	minAnswers     = 8
	tolerance      = 1.5
	decrease       = 0.85
	baseInterval   = 30 * time.Second
	drainWindows   = 1 // windows in which the queue drains before the base is measured
)

// Backoff during which a server that is down gets no calls, doubled by each further
// fault.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// downFaults is the number of successive faults, without a response between
	// them, after which a server counts as down. Fewer may be single stalled
	// connections.
	downFaults = 3
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that the server responded; the latency is measured.
	Answered Outcome = iota
	// Refused means that the server refused the call before it ran it.
	Refused
	// NoAnswer means that the server could not be reached or gave no response.
	NoAnswer
	// Cancelled means that the caller ended the attempt; it is not measured.
	Cancelled
)

// Limit bounds the calls in flight to one server. It must not be used concurrently.
type Limit struct {
	limit     float64
	inFlight  int
	slowStart bool
	closed    bool

	faults    int
	downUntil time.Time

	baseLatency time.Duration
	drainLeft   int
	baseReset   time.Time
	meanLatency time.Duration
	window      window
}

// window collects the outcomes of calls since start.
type window struct {
	start     time.Time
	count     int
	sum       time.Duration
	refused   bool
	saturated bool // the limit was reached
}

// New returns the limit of a server that is in use already, as all servers are
// when a daemon starts. For a server that is back, call Reopen.
func New() *Limit { return &Limit{limit: initialLimit} }

// Acquire counts a call in flight, or returns false when the server must not get
// it. Release must be called when the call ends.
func (l *Limit) Acquire(now time.Time) bool {
	if l.closed || now.Before(l.downUntil) {
		return false
	}
	if l.inFlight >= l.allowed() {
		l.window.saturated = true
		return false
	}
	l.inFlight++
	if l.inFlight >= l.allowed() {
		l.window.saturated = true
	}
	return true
}

// allowed returns the number of calls in flight that are allowed. A server that is
// down gets a single call, as a probe, until it responds.
func (l *Limit) allowed() int {
	if l.faults >= downFaults {
		return 1
	}
	return int(l.limit)
}

// Load returns the calls in flight as a share of those allowed.
func (l *Limit) Load() float64 { return float64(l.inFlight) / float64(l.allowed()) }

// Wait returns the expected time until Acquire succeeds.
func (l *Limit) Wait(now time.Time) time.Duration {
	if now.Before(l.downUntil) {
		return l.downUntil.Sub(now)
	}
	return max(l.meanLatency/time.Duration(l.allowed()), time.Millisecond)
}

// Release ends a call in flight. The latency counts only for Answered.
func (l *Limit) Release(now time.Time, latency time.Duration, o Outcome) {
	if l.inFlight > 0 {
		l.inFlight--
	}
	switch o {
	case Answered:
		if l.faults >= downFaults {
			l.beginSlowStart()
		}
		l.faults = 0
		l.window.count++
		l.window.sum += latency
	case Refused:
		l.window.refused = true
	case NoAnswer:
		l.countFault(now)
	case Cancelled:
	}
	l.rollWindow(now)
}

// countFault counts a fault. It starts a backoff when the server is down.
func (l *Limit) countFault(now time.Time) {
	if now.Before(l.downUntil) {
		return // was in flight before the server went down
	}
	l.faults++
	if over := l.faults - downFaults; over >= 0 {
		l.downUntil = now.Add(min(minBackoff<<min(over, 10), maxBackoff))
	}
}

// Reopen allows calls again after Close, and begins a slow start.
func (l *Limit) Reopen() {
	l.closed = false
	l.beginSlowStart()
}

func (l *Limit) beginSlowStart() {
	l.limit, l.slowStart = slowStartLimit, true
	l.faults, l.downUntil = 0, time.Time{}
	l.baseLatency, l.drainLeft, l.window = 0, 0, window{}
}

// Close refuses all new calls to a server that is draining. Calls in flight go on.
func (l *Limit) Close() { l.closed = true }

// Closed reports whether Close was called after the last Reopen.
func (l *Limit) Closed() bool { return l.closed }

// rollWindow adapts the limit and starts a new window when the current one is long
// enough.
func (l *Limit) rollWindow(now time.Time) {
	w := l.window
	if w.start.IsZero() {
		l.window.start = now
		return
	}
	if now.Sub(w.start) < minWindow || w.count < minAnswers && !w.refused {
		return
	}
	if w.count > 0 {
		l.meanLatency = w.sum / time.Duration(w.count)
	}
	l.updateBase(w)
	l.adapt(w)
	l.window = window{start: now}
	l.resetBase(now)
}

// updateBase keeps the least mean as the base latency, except in windows in which
// the queue drains.
func (l *Limit) updateBase(w window) {
	switch {
	case l.drainLeft > 0:
		l.drainLeft--
	case w.count > 0 && (l.baseLatency == 0 || l.meanLatency < l.baseLatency):
		l.baseLatency = l.meanLatency
	}
}

func (l *Limit) adapt(w window) {
	switch {
	case l.baseLatency == 0 && !w.refused:
	case w.refused || float64(l.meanLatency) > tolerance*float64(l.baseLatency):
		l.limit *= decrease
		l.slowStart = false
	case !w.saturated:
	case l.slowStart:
		l.limit *= 2
	default:
		l.limit += math.Sqrt(l.limit)
	}
	l.limit = min(max(l.limit, 1), maxLimit)
}

// resetBase discards the base latency every baseInterval, since a server may have
// become slower for good.
func (l *Limit) resetBase(now time.Time) {
	if l.baseReset.IsZero() {
		l.baseReset = now
	}
	if now.Sub(l.baseReset) < baseInterval || l.slowStart {
		return
	}
	l.baseReset, l.baseLatency, l.drainLeft = now, 0, drainWindows
	l.limit = max(l.limit/2, 1)
}
