package flow

import "time"

// timer is the one pending deadline of a request or of a release. Times are
// offsets from the machine's first event.
type timer struct {
	at  time.Duration
	pos int
	// One of them is set: whose deadline this is.
	req *request
	rel *release
}

// timers is a binary heap of timers, earliest first. Its order is a function of
// the sequence of calls alone.
type timers []*timer

func (h timers) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h timers) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if h[p].at <= h[i].at {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h timers) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].at < h[c].at {
			c++
		}
		if h[i].at <= h[c].at {
			return
		}
		h.swap(i, c)
		i = c
	}
}

// set arms t for at, or moves it there.
func (h *timers) set(t *timer, at time.Duration) {
	t.at = at
	if t.pos < 0 {
		t.pos = len(*h)
		*h = append(*h, t)
	}
	h.up(t.pos)
	h.down(t.pos)
}

// stop disarms t.
func (h *timers) stop(t *timer) {
	if t.pos < 0 {
		return
	}
	i, last := t.pos, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.up(i)
		h.down(i)
	}
	t.pos = -1
}
