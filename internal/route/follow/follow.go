// Package follow keeps a daemon's configuration and list of backend servers up
// to date with the store.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/fleet"
	"citronrock.example/citronrock/internal/route/plan"
	"github.com/hashicorp/go-hclog"
)

// Times of the loop.
const (
	// readEvery is the time between reads of the changes. The entries of servers
	// change many times a second, so that a waiting read would return at once.
	readEvery = 500 * time.Millisecond
	// againFirst and againLimit bound the time before a failed read is repeated.
	againFirst = 100 * time.Millisecond
	againLimit = 600 * time.Millisecond
	// downAfter is the number of failed reads in a row from which the store
	// counts as lost.
	downAfter = 2
)

// Follower reads the store until Close.
type Follower struct {
	store citronrock.Store
	table *fleet.Table
	log   hclog.Logger
	apply func(*plan.Document)

	document atomic.Pointer[plan.Document]
	mu       sync.Mutex
	read     time.Time
	revision uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// Option changes a setting of a follower.
type Option func(*Follower)

// WithApply sets a function that is called with each new configuration before
// it is in force.
func WithApply(f func(*plan.Document)) Option { return func(w *Follower) { w.apply = f } }

// Start begins to read the store.
func Start(store citronrock.Store, table *fleet.Table, log hclog.Logger, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{store: store, table: table, log: log, apply: func(*plan.Document) {},
		cancel: cancel, done: make(chan struct{})}
	for _, o := range opts {
		o(f)
	}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Close ends the reads.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Document returns the configuration in force, nil when there is none yet.
func (f *Follower) Document() *plan.Document { return f.document.Load() }

// Age returns the time since the last successful read and the store's revision
// then.
func (f *Follower) Age() (time.Duration, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.read), f.revision
}

func (f *Follower) run(ctx context.Context) {
	fails, loaded := 0, false
	for ctx.Err() == nil {
		var err error
		if loaded {
			err = f.changes(ctx)
		} else {
			err = f.load(ctx)
		}
		pause := readEvery
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, citronrock.ErrHistory):
			f.log.Warn("history of the store lost, reading everything", "revision", f.revision)
			loaded, pause = false, 0
		case err != nil:
			fails++
			pause = min(againFirst<<min(fails-1, 8), againLimit)
			if fails == downAfter {
				f.log.Warn("store lost", "error", err.Error(), "revision", f.revision)
			}
			if fails >= downAfter {
				f.table.Outage(time.Now(), true)
			}
		default:
			if fails >= downAfter {
				f.log.Info("store regained", "fails", fails, "revision", f.revision)
			}
			fails, loaded = 0, true
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// load reads everything.
func (f *Follower) load(ctx context.Context) error {
	state, err := f.store.Load(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	f.table.Outage(now, false)
	f.table.Reset(now, state.Servers, state.Revision)
	f.install(state.Document)
	f.note(state.Revision)
	return nil
}

// changes reads what changed since the last read.
func (f *Follower) changes(ctx context.Context) error {
	c, err := f.store.Watch(ctx, f.revision, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	// Removals are judged by how long the store has been back.
	f.table.Outage(now, false)
	for _, s := range c.Servers {
		if f.table.Put(s) {
			f.log.Info("server changed", "server", s.ID, "service", s.Service, "addr", s.Addr.String(),
				"stage", s.Stage.String(), "leaving", s.Leaving, "revision", s.Revision)
		}
	}
	for _, r := range c.Removed {
		if f.table.Remove(now, r.ID, r.Revision) {
			f.log.Info("server removed", "server", r.ID, "revision", r.Revision)
		}
	}
	f.install(c.Document)
	f.note(c.Revision)
	return nil
}

// install puts a configuration in force unless it is older than the one that
// is.
func (f *Follower) install(d *plan.Document) {
	was := f.document.Load()
	if d == nil || was != nil && d.Version <= was.Version {
		return
	}
	f.apply(d)
	f.document.Store(d)
	f.log.Info("configuration in force", "version", d.Version, "routes", len(d.Routes), "services", len(d.Services))
}

func (f *Follower) note(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read, f.revision = time.Now(), revision
}
