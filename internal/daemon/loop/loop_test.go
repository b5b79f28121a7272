package loop_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/loop"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is advanced by the tests.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// machine records the events other than ticks. It is used on the control goroutine
// only.
type machine struct{ events []event.Event }

func (m *machine) Step(_ time.Time, e event.Event, out []event.Action) []event.Action {
	if _, tick := e.(event.Tick); tick {
		return out
	}
	m.events = append(m.events, e)
	return append(out, event.Cancel{Request: fmt.Sprintf("%T", e)})
}

func (m *machine) Wake() time.Time { return time.Time{} }

// eventNames returns the types of the events that the machine got.
func (m *machine) eventNames(l *loop.Loop) (out []string) {
	l.Do(func(time.Time) {
		for _, e := range m.events {
			out = append(out, fmt.Sprintf("%T", e))
		}
	})
	return out
}

func start(t *testing.T, opts ...loop.Option) (*loop.Loop, *machine, *clock) {
	t.Helper()
	c, m := &clock{now: time.Unix(1000, 0)}, &machine{}
	l := loop.New(m, func(event.Action) {}, append([]loop.Option{loop.WithClock(c)}, opts...)...)
	t.Cleanup(l.Close)
	return l, m, c
}

// Guards against undetected process pauses, after which expired leases would be
// used, and against ordinary delays that count as a pause.
func TestPause(t *testing.T) {
	for name, c := range map[string]struct {
		gap   time.Duration
		epoch uint64
	}{
		"none":     {0, 0},
		"delay":    {499 * time.Millisecond, 0},
		"at limit": {loop.PauseLimit, 0},
		"above":    {loop.PauseLimit + 1, 1},
		"long":     {time.Hour, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var reported []time.Duration
			l, m, clock := start(t, loop.WithPaused(func(d time.Duration) { reported = append(reported, d) }))
			before := l.Epoch()
			m.eventNames(l)
			clock.advance(c.gap)
			if valid := l.Valid(before); valid != (c.epoch == 0) {
				t.Errorf("valid %t before the next iteration", valid)
			}
			l.Post(event.Gone{Request: "r"})
			want := []string{"event.Gone"}
			if c.epoch > 0 {
				want = []string{"event.Paused", "event.Gone"}
			}
			if got := m.eventNames(l); !slices.Equal(got, want) {
				t.Errorf("machine got %v, want %v", got, want)
			}
			if l.Epoch() != c.epoch || l.Valid(before) != (c.epoch == 0) || !l.Valid(l.Epoch()) {
				t.Errorf("epoch %d, want %d", l.Epoch(), c.epoch)
			}
			if c.epoch > 0 && (len(reported) != 1 || reported[0] != c.gap) {
				t.Errorf("reported %v, want %s once", reported, c.gap)
			}
		})
	}
}

// Guards against injected events that are applied in a later iteration, and against
// a deadlock when the queue is full.
func TestInject(t *testing.T) {
	l, m, _ := start(t)
	// The queue holds 4,096 events; the next post blocks during the call below.
	const full, posts = 4096, 5000
	filled, done := make(chan struct{}), make(chan struct{})
	l.Do(func(time.Time) {
		go func() {
			defer close(done)
			for i := range posts {
				if i == full {
					close(filled)
				}
				l.Post(event.Unreachable{})
			}
		}()
		<-filled
		l.Inject(event.Gone{Request: "a"})
		l.Inject(event.Granted{})
	})
	<-done
	got := m.eventNames(l)
	if n := len(got); n != posts+2 {
		t.Fatalf("%d events, want %d", n, posts+2)
	}
	if got[0] != "event.Gone" || got[1] != "event.Granted" {
		t.Errorf("the first events are %v; the injected ones belong to the iteration before", got[:2])
	}
}

// Guards against events injected by the handler of a pause that are applied after
// later events.
func TestInjectInPause(t *testing.T) {
	var l *loop.Loop
	l, m, clock := start(t, loop.WithPaused(func(time.Duration) { l.Inject(event.Members{}) }))
	m.eventNames(l)
	clock.advance(time.Second)
	l.Do(func(time.Time) {})
	if got := m.eventNames(l); !slices.Equal(got, []string{"event.Paused", "event.Members"}) {
		t.Errorf("machine got %v", got)
	}
}

// Guards against calls of Do and Post that block forever when the loop has ended.
func TestClosed(t *testing.T) {
	l, _, _ := start(t)
	l.Close()
	l.Close()
	// The first calls fit into the queue, the later ones find it full.
	for range 10000 {
		if l.Do(func(time.Time) { t.Error("a function ran after Close") }) {
			t.Fatal("Do reports that a function ran after Close")
		}
		l.Post(event.Tick{})
	}
}
