package retry

import "time"

// slots is the number of spans of time by which Earned tells the age of retries.
const slots = 8

// Earned is a budget of retries that requests earn and that lapse: each request adds a
// share of one for a limited time. Times count from any fixed moment and never decrease.
type Earned struct {
	share float64
	width time.Duration
	// earned holds what was earned in the last spans, the last one in slot last%slots.
	earned [slots]float64
	last   int64
}

// NewEarned returns a budget to which each request adds share retries. They lapse after
// keep at the latest, and not before seven eighths of it.
func NewEarned(share float64, keep time.Duration) *Earned {
	return &Earned{share: share, width: max(keep/slots, 1)}
}

// advance drops what has lapsed.
func (e *Earned) advance(now time.Duration) {
	slot := int64(now / e.width)
	for ; e.last < slot; e.last++ {
		if slot-e.last > slots {
			e.last = slot - slots - 1
		}
		e.earned[(e.last+1)%slots] = 0
	}
}

// Add counts a request.
func (e *Earned) Add(now time.Duration) {
	e.advance(now)
	e.earned[e.last%slots] += e.share
}

// Left returns the number of retries that are left.
func (e *Earned) Left(now time.Duration) float64 {
	e.advance(now)
	left := 0.0
	for _, n := range e.earned {
		left += n
	}
	return left
}

// Take takes up to n retries, those that lapse first. It returns how many it took and when
// the oldest was earned.
func (e *Earned) Take(now time.Duration, n float64) (taken float64, oldest time.Duration) {
	e.advance(now)
	oldest = now
	for slot := max(e.last-slots+1, 0); slot <= e.last && taken < n; slot++ {
		part := min(e.earned[slot%slots], n-taken)
		if part > 0 && taken == 0 {
			oldest = time.Duration(slot) * e.width
		}
		e.earned[slot%slots] -= part
		taken += part
	}
	return taken, oldest
}

// GiveBack returns retries that were taken. They lapse when the oldest of them does.
func (e *Earned) GiveBack(now time.Duration, n float64, oldest time.Duration) {
	e.advance(now)
	if slot := int64(oldest / e.width); slot > e.last-slots {
		e.earned[slot%slots] += n
	}
}
