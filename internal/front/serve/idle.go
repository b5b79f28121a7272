package serve

import (
	"sync"
	"time"
)

// staleTime is how long clients may go by an idle timeout that was replaced.
const staleTime = 5 * time.Second

// idleTimes holds the published idle timeouts. It is safe for concurrent use.
type idleTimes struct {
	mu      sync.Mutex
	current time.Duration
	// replaced are earlier timeouts, the oldest and longest first: one that is not longer
	// than a later one doesn't matter.
	replaced []replacedTime
}

// replacedTime is a timeout and when it was replaced.
type replacedTime struct {
	timeout time.Duration
	at      time.Time
}

// set replaces the idle timeout.
func (t *idleTimes) set(now time.Time, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timeout == t.current {
		return
	}
	t.replaced = append(t.replaced, replacedTime{t.current, now})
	t.current = timeout
	for n := len(t.replaced); n > 0 && t.replaced[n-1].timeout <= timeout; n-- {
		t.replaced = t.replaced[:n-1]
	}
	for len(t.replaced) > 0 && now.Sub(t.replaced[0].at) > t.replaced[0].timeout+idleMargin+staleTime {
		t.replaced = t.replaced[1:]
	}
}

// end returns when a connection is closed that has been idle since a time: after the
// longest timeout that was in force since staleTime before, as its client may go by any
// of these.
func (t *idleTimes) end(since time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.current
	for _, r := range t.replaced {
		if r.at.After(since.Add(-staleTime)) {
			longest = max(longest, r.timeout)
		}
	}
	return since.Add(longest + idleMargin)
}
