// Package watch receives the report and cache event streams of the engines that
// this daemon owns, and reconnects them with backoff.
package watch

import (
	"context"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// Report intervals and backoff of the streams.
const (
	// reportIntervalPerEngine times the number of watched engines is the interval of
	// an engine's reports, up to maxReportInterval. A report with twenty running
	// requests has about a kilobyte, so that reports stay at about 6 KB/s however
	// many engines a daemon watches.
	reportIntervalPerEngine = 200 * time.Millisecond
	maxReportInterval       = time.Second
	minBackoff              = 100 * time.Millisecond
	maxBackoff              = 2 * time.Second
)

// Watcher keeps the streams of a set of engines open. It is safe for concurrent use.
type Watcher struct {
	find func(name string) citronrock.Engine
	post func(event.Event)

	mu       sync.Mutex
	interval time.Duration
	cancels  map[string]context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a Watcher that gets clients from find, which returns nil for an
// unknown engine, and passes events to post.
func New(find func(name string) citronrock.Engine, post func(event.Event)) *Watcher {
	return &Watcher{find: find, post: post, cancels: map[string]context.CancelFunc{}}
}

// Set opens streams to the named engines and closes all others.
func (w *Watcher) Set(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Open streams keep their report interval. That suffices because all engines of a
	// cell are added at once.
	w.interval = min(max(reportIntervalPerEngine*time.Duration(len(names)), reportIntervalPerEngine), maxReportInterval)
	want := make(map[string]bool, len(names))
	for _, n := range names {
		want[n] = true
		if w.cancels[n] == nil {
			w.start(n)
		}
	}
	for n, cancel := range w.cancels {
		if !want[n] {
			cancel()
			delete(w.cancels, n)
		}
	}
}

// Close closes all streams and waits for them to end.
func (w *Watcher) Close() {
	w.Set(nil)
	w.wg.Wait()
}

func (w *Watcher) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancels[name] = cancel
	interval := w.interval
	w.wg.Go(func() {
		w.retry(ctx, func(c citronrock.Engine) {
			err := c.Watch(ctx, interval, func(r *engine.Report) {
				w.post(event.Reported{Engine: name, Report: r})
			})
			if err != nil && ctx.Err() == nil {
				w.post(event.Unreachable{Engine: name})
			}
		}, name)
	})
	w.wg.Go(func() {
		w.retry(ctx, func(c citronrock.Engine) {
			// The error is not needed: lost events show as a gap in the sequence
			// numbers of later ones.
			_ = c.Events(ctx, func(e *engine.CacheEvent) {
				w.post(event.Cached{Engine: name, Event: e})
			})
		}, name)
	})
}

// retry runs f until ctx ends, with exponential backoff between the runs. A run of
// more than maxBackoff resets the backoff.
func (w *Watcher) retry(ctx context.Context, f func(citronrock.Engine), name string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		if c := w.find(name); c != nil {
			f(c)
		}
		if time.Since(start) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
