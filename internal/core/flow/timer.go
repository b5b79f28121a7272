package flow

import "time"

// timer is the single timer of a request or a cleanup. Times are offsets from the
// machine's first event.
type timer struct {
	at time.Duration
	// index is the position in the heap, -1 while the timer is stopped.
	index int
	// Exactly one is set.
	forRequest *request
	forCleanup *cleanup
}

// timers is a binary heap of timers, earliest first. Its order depends only on the
// sequence of calls.
type timers []*timer

func (h timers) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].at <= h[i].at {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h timers) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if h[i].at <= h[child].at {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// set starts t, or moves it if it is running, to fire at the given time.
func (h *timers) set(t *timer, at time.Duration) {
	t.at = at
	if t.index < 0 {
		t.index = len(*h)
		*h = append(*h, t)
	}
	h.up(t.index)
	h.down(t.index)
}

// stop removes t from the heap if it is running.
func (h *timers) stop(t *timer) {
	if t.index < 0 {
		return
	}
	i, last := t.index, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.up(i)
		h.down(i)
	}
	t.index = -1
}
