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

// clock is set by tests.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// machine keeps the events other than ticks. It is used on the control goroutine
// only.
type machine struct{ seen []event.Event }

func (m *machine) Step(_ time.Time, e event.Event, out []event.Action) []event.Action {
	if _, tick := e.(event.Tick); tick {
		return out
	}
	m.seen = append(m.seen, e)
	return append(out, event.Cancel{Request: fmt.Sprintf("%T", e)})
}

func (m *machine) Wake() time.Time { return time.Time{} }

// names reads what the machine has seen.
func (m *machine) names(l *loop.Loop) (out []string) {
	l.Do(func(time.Time) {
		for _, e := range m.seen {
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

// Guards against a pause that goes unnoticed, so that void grants are used, and
// against ordinary delays that count as a pause.
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
			var told []time.Duration
			l, m, clock := start(t, loop.WithPaused(func(d time.Duration) { told = append(told, d) }))
			before := l.Epoch()
			m.names(l)
			clock.add(c.gap)
			if fresh := l.Valid(before); fresh != (c.epoch == 0) {
				t.Errorf("fresh %t before the next turn", fresh)
			}
			l.Post(event.Gone{Request: "r"})
			want := []string{"event.Gone"}
			if c.epoch > 0 {
				want = []string{"event.Paused", "event.Gone"}
			}
			if got := m.names(l); !slices.Equal(got, want) {
				t.Errorf("machine saw %v, want %v", got, want)
			}
			if l.Epoch() != c.epoch || l.Valid(before) != (c.epoch == 0) || !l.Valid(l.Epoch()) {
				t.Errorf("epoch %d, want %d", l.Epoch(), c.epoch)
			}
			if c.epoch > 0 && (len(told) != 1 || told[0] != c.gap) {
				t.Errorf("told %v, want %s once", told, c.gap)
			}
		})
	}
}

// Guards against events of the control goroutine that are applied late or that
// wait for their own reader when the queue is full.
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
	got := m.names(l)
	if n := len(got); n != posts+2 {
		t.Fatalf("%d events, want %d", n, posts+2)
	}
	if got[0] != "event.Gone" || got[1] != "event.Granted" {
		t.Errorf("the first events are %v; the injected ones belong to the turn before", got[:2])
	}
}

// Guards against events of a pause's handlers that are applied after later orders.
func TestInjectInPause(t *testing.T) {
	var l *loop.Loop
	l, m, clock := start(t, loop.WithPaused(func(time.Duration) { l.Inject(event.Members{}) }))
	m.names(l)
	clock.add(time.Second)
	l.Do(func(time.Time) {})
	if got := m.names(l); !slices.Equal(got, []string{"event.Paused", "event.Members"}) {
		t.Errorf("machine saw %v", got)
	}
}

// Guards against callers that wait forever for a loop that has ended.
func TestClosed(t *testing.T) {
	l, _, _ := start(t)
	l.Close()
	l.Close()
	// The first calls find room in the queue, the later ones do not.
	for range 10000 {
		if l.Do(func(time.Time) { t.Error("a function ran after Close") }) {
			t.Fatal("Do reports that a function ran after Close")
		}
		l.Post(event.Tick{})
	}
}
