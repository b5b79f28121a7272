package watch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/watch"
	"citronrock.example/citronrock/internal/wire/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend is an engine whose streams break after lifetime, or never if it is zero.
type backend struct {
	citronrock.Engine
	lifetime time.Duration

	mu           sync.Mutex
	opened, open int
}

func (b *backend) stream(ctx context.Context, reports bool) error {
	b.mu.Lock()
	if reports {
		b.opened++
	}
	b.open++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
	}()
	if b.lifetime == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(b.lifetime):
		return errors.New("broken")
	}
}

func (b *backend) Watch(ctx context.Context, _ time.Duration, report func(*engine.Report)) error {
	report(&engine.Report{})
	return b.stream(ctx, true)
}

func (b *backend) Events(ctx context.Context, cached func(*engine.CacheEvent)) error {
	cached(&engine.CacheEvent{})
	return b.stream(ctx, false)
}

func (b *backend) counts() (opened, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened, b.open
}

// counter counts events by type.
type counter struct {
	mu                            sync.Mutex
	reports, events, unreachables int
}

func (c *counter) post(e event.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.(type) {
	case event.Reported:
		c.reports++
	case event.Cached:
		c.events++
	case event.Unreachable:
		c.unreachables++
	}
}

// Guards against broken streams that are not reopened, and against reconnecting to
// an engine that is down without backoff. A stream that breaks at once is reopened
// after 0.1, 0.2, 0.4, 0.8, 1.6 s and then every 2 s, one that lasted after 0.1 s.
func TestReopen(t *testing.T) {
	for name, c := range map[string]struct {
		life   time.Duration
		opened int
	}{
		"healthy":   {0, 1},
		"down":      {time.Nanosecond, 9},
		"lives 3 s": {3 * time.Second, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, counts := &backend{lifetime: c.life}, &counter{}
				w := watch.New(func(string) citronrock.Engine { return b }, counts.post)
				w.Set([]string{"e1"})
				time.Sleep(10 * time.Second)
				synctest.Wait()
				opened, _ := b.counts()
				if opened != c.opened || counts.reports != opened || counts.events != opened {
					t.Errorf("opened %d times, want %d; %d reports, %d events", opened, c.opened, counts.reports, counts.events)
				}
				broken := opened - 1
				if c.life == time.Nanosecond {
					broken = opened
				}
				if counts.unreachables != broken {
					t.Errorf("%d times unreachable, want %d", counts.unreachables, broken)
				}
				w.Close()
				if _, open := b.counts(); open != 0 {
					t.Errorf("%d streams are open after Close", open)
				}
			})
		})
	}
}

// Guards against open streams to engines that another daemon owns, and against
// closing streams to engines that remain in the set.
func TestSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := map[string]*backend{"e1": {}, "e2": {}}
		counts := &counter{}
		w := watch.New(func(name string) citronrock.Engine {
			if b := all[name]; b != nil {
				return b
			}
			return nil
		}, counts.post)
		for _, step := range []struct {
			names  []string
			e1, e2 int
		}{
			{[]string{"e1"}, 2, 0},
			{[]string{"e1", "e2", "e3"}, 2, 2},
			{[]string{"e2"}, 0, 2},
			{nil, 0, 0},
		} {
			w.Set(step.names)
			synctest.Wait()
			_, e1 := all["e1"].counts()
			_, e2 := all["e2"].counts()
			if e1 != step.e1 || e2 != step.e2 {
				t.Errorf("%v: %d and %d streams are open, want %d and %d", step.names, e1, e2, step.e1, step.e2)
			}
		}
		if opened, _ := all["e2"].counts(); opened != 1 {
			t.Errorf("the streams of e2 were opened %d times, want once", opened)
		}
		if counts.unreachables != 0 {
			t.Errorf("%d engines were reported as unreachable when their streams were closed on purpose", counts.unreachables)
		}
		w.Close()
	})
}
