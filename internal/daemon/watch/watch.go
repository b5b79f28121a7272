// Package watch keeps the report and event streams of the engines that this
// daemon accounts for.
package watch

import (
	"context"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// Times of the streams.
const (
	// reportEach is the time between reports of an engine for each watched engine,
	// up to reportMost. A report of twenty runs takes about a kilobyte, so that
	// reports stay at about 6 KB/s however many engines a daemon watches.
	reportEach = 200 * time.Millisecond
	reportMost = time.Second
	retryFirst = 100 * time.Millisecond
	retryLimit = 2 * time.Second
)

// Watcher keeps streams open.
type Watcher struct {
	find func(name string) citronrock.Engine
	post func(event.Event)

	mu      sync.Mutex
	every   time.Duration
	running map[string]context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Watch that finds clients by find and passes events to post.
func New(find func(name string) citronrock.Engine, post func(event.Event)) *Watcher {
	return &Watcher{find: find, post: post, running: map[string]context.CancelFunc{}}
}

// Set opens streams to the named engines and closes all others.
func (w *Watcher) Set(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Streams that are open keep their pace; the engines of a cell come together.
	w.every = min(max(reportEach*time.Duration(len(names)), reportEach), reportMost)
	want := make(map[string]bool, len(names))
	for _, n := range names {
		want[n] = true
		if w.running[n] == nil {
			w.start(n)
		}
	}
	for n, cancel := range w.running {
		if !want[n] {
			cancel()
			delete(w.running, n)
		}
	}
}

// Close ends all streams and waits for them.
func (w *Watcher) Close() {
	w.Set(nil)
	w.wg.Wait()
}

func (w *Watcher) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.running[name] = cancel
	every := w.every
	w.wg.Go(func() {
		w.keep(ctx, func(c citronrock.Engine) {
			err := c.Watch(ctx, every, func(r *engine.Report) {
				w.post(event.Reported{Engine: name, Report: r})
			})
			if err != nil && ctx.Err() == nil {
				w.post(event.Unreachable{Engine: name})
			}
		}, name)
	})
	w.wg.Go(func() {
		w.keep(ctx, func(c citronrock.Engine) {
			// A broken stream shows as a gap in the sequence of later events.
			_ = c.Events(ctx, func(e *engine.CacheEvent) {
				w.post(event.Cached{Engine: name, Event: e})
			})
		}, name)
	})
}

// keep runs f again and again, with growing pauses while it ends soon.
func (w *Watcher) keep(ctx context.Context, f func(citronrock.Engine), name string) {
	wait := retryFirst
	for ctx.Err() == nil {
		begin := time.Now()
		if c := w.find(name); c != nil {
			f(c)
		}
		if time.Since(begin) > retryLimit {
			wait = retryFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, retryLimit)
	}
}
