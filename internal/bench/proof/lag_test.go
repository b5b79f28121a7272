package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// lagEvery is the pause whose excess is measured. It is of the order of the times
// that the daemons' protocols allow for a datagram.
const lagEvery = 10 * time.Millisecond

// lag measures how late timers of the test's process fire. A failed test logs it,
// since processes on a machine without free processors are late by as much.
type lag struct {
	mu    sync.Mutex
	begun time.Time
	late  []time.Duration
}

// measureLag measures until the test ends.
func measureLag(t *testing.T) {
	l := &lag{begun: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			due := time.Now().Add(lagEvery)
			select {
			case <-stop:
				return
			case <-time.After(lagEvery):
			}
			l.mu.Lock()
			l.late = append(l.late, time.Since(due))
			l.mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
		if t.Failed() {
			t.Log(l)
		}
	})
}

// String tells how late the timers were.
func (l *lag) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.late) == 0 {
		return "no timer fired"
	}
	sorted := slices.Sorted(slices.Values(l.late))
	at := func(share float64) time.Duration {
		return sorted[int(share*float64(len(sorted)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("timers of %s were late by %s (median), %s (99%%) and %s at most in %s",
		lagEvery, at(0.5), at(0.99), at(1), time.Since(l.begun).Round(time.Second))
}
