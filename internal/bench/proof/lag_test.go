package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// lagInterval is the timer whose lag is measured. It is of the order of the delays
// that the daemons' protocols tolerate for a datagram.
const lagInterval = 10 * time.Millisecond

// timerLag measures how late timers fire in the test's process. A failed test logs it,
// since on an overloaded machine the daemons' timers are late by as much.
type timerLag struct {
	mu    sync.Mutex
	begun time.Time
	late  []time.Duration
}

// measureLag measures the lag until the test ends, and logs it if the test failed.
func measureLag(t *testing.T) {
	l := &timerLag{begun: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			due := time.Now().Add(lagInterval)
			select {
			case <-stop:
				return
			case <-time.After(lagInterval):
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

// String returns quantiles of the lag.
func (l *timerLag) String() string {
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
		lagInterval, at(0.5), at(0.99), at(1), time.Since(l.begun).Round(time.Second))
}
