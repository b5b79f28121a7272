// Package follow keeps a daemon's configuration and list of backend servers up
// to date with the store.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Times of the loop.
const (
	// readEvery is the time that a reader's read waits for a change, so that other
	// daemons hear from it as often.
	readEvery = 500 * time.Millisecond
	// readPause joins changes that come together.
	readPause = 20 * time.Millisecond
	// idlePause follows a read that changed nothing: entries of many servers are
	// renewed so often that each read would return at once. It is small beside the
	// seconds in which changes have to be in force.
	idlePause = 250 * time.Millisecond
	// startPause lets the daemon hear of others before its first read.
	startPause = 50 * time.Millisecond
	// crowd is the number of other daemons from which one that needs everything
	// takes it from another one; the store could not serve all of them at once.
	// Meanwhile loaders of them read the store. crowdPause is the time between
	// tries, and crowdPatience the time after which each reads the store itself.
	crowd         = 8
	loaders       = 16
	crowdPause    = 100 * time.Millisecond
	crowdPatience = 5 * time.Second
	// noticeLife is how long a notice of a reader stands for a read of this
	// daemon: two lost notices don't cause a read.
	noticeLife = 1200 * time.Millisecond
	// silentEach is the time for each other daemon of a large fleet over which the
	// reads are spread that follow when the readers are silent, up to silentLimit.
	// The first daemon that can read tells the rest.
	silentEach  = 5 * time.Millisecond
	silentLimit = 1500 * time.Millisecond
	// againFirst and againLimit bound the time before a failed read is repeated.
	againFirst = 100 * time.Millisecond
	againLimit = 600 * time.Millisecond
	// downAfter is the number of failed reads in a row from which the store
	// counts as lost.
	downAfter = 2
	// backlog is the number of notices that wait to be applied.
	backlog = 16
)

var (
	errMissed = errors.New("changes before the notice were missed")
	// errEra means that the store has come back from an older copy, so that the
	// revisions that this daemon knows say nothing any more.
	errEra   = errors.New("store has come back in a later era")
	errPanic = errors.New("what was read could not be applied")
)

// heardNotice is a notice and the daemon that sent it.
type heardNotice struct {
	fanout.Update
	from netip.AddrPort
}

// Peers tell each other what they read.
type Peers interface {
	// IsReader tells whether this daemon reads for others.
	IsReader() bool
	// Broadcast tells all other daemons. It returns the time until the next notice may
	// be sent.
	Broadcast(fanout.Update) time.Duration
	HandleUpdates(func(from netip.AddrPort, n fanout.Update))
	// PeerCount is the number of other daemons.
	PeerCount() int
	// FetchState returns what another daemon knows.
	FetchState(ctx context.Context) (*citronrock.Snapshot, error)
	// FetchDocument returns a version of the configuration, or a newer one, from the
	// daemon that told of it or another one.
	FetchDocument(ctx context.Context, from netip.AddrPort, version uint64) (*config.Document, error)
}

// Follower reads the store until Close.
type Follower struct {
	store citronrock.Store
	table *pool.Table
	log   hclog.Logger
	apply func(*config.Document)
	peers Peers

	notices chan heardNotice
	// heard is when a notice last showed that nothing was missed.
	heard time.Time
	// patience is how much longer than noticeLife this daemon waits for one.
	patience time.Duration
	changed  fanout.ChangeLog
	// untold is set while there are changes that were not told yet, told is when
	// the last notice was sent and next when another one may be.
	untold     bool
	told, next time.Time

	// newest is the newest era of the store that this daemon has heard of.
	newest uint64
	// returned is when this daemon first heard of that era, soon after the store's
	// return.
	returned time.Time
	// again is when the store may be read again after a failure.
	again time.Time
	// loading is when the daemon began to need everything.
	loading time.Time

	document atomic.Pointer[config.Document]
	// failed is set when the first read failed.
	failed   atomic.Bool
	mu       sync.Mutex
	read     time.Time
	revision pool.Revision

	cancel context.CancelFunc
	done   chan struct{}
}

// Option changes a setting of a follower.
type Option func(*Follower)

// WithApply sets a function that is called with each new configuration before
// it is in force.
func WithApply(f func(*config.Document)) Option { return func(w *Follower) { w.apply = f } }

// Start begins to read the store.
func Start(store citronrock.Store, table *pool.Table, peers Peers, log hclog.Logger, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{store: store, table: table, log: log, apply: func(*config.Document) {},
		peers: peers, notices: make(chan heardNotice, backlog), cancel: cancel, done: make(chan struct{})}
	peers.HandleUpdates(func(from netip.AddrPort, n fanout.Update) {
		select {
		case f.notices <- heardNotice{n, from}:
		default: // the next notice repeats it
		}
	})
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
func (f *Follower) Document() *config.Document { return f.document.Load() }

// LacksConfig tells whether there is no configuration since the store does not answer.
func (f *Follower) LacksConfig() bool { return f.document.Load() == nil && f.failed.Load() }

// State returns all that is known, nil while that is nothing.
func (f *Follower) State() *citronrock.Snapshot {
	d := f.document.Load()
	if d == nil {
		return nil
	}
	_, revision := f.Age()
	return &citronrock.Snapshot{Document: d, Servers: f.table.All(), Revision: revision}
}

// Age returns the time since the state was last known to be the newest and the
// store's revision then, zero before the first read.
func (f *Follower) Age() (time.Duration, pool.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.read.IsZero() {
		return 0, pool.Revision{}
	}
	return time.Since(f.read), f.revision
}

func (f *Follower) run(ctx context.Context) {
	fails, loaded := 0, false
	f.loading = time.Now()
	timer := time.NewTimer(startPause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-f.notices:
			if !loaded {
				continue
			}
			err := f.safely("notice", func() error { return f.hear(ctx, n) })
			if err == nil {
				continue
			}
			if errors.Is(err, errEra) {
				f.log.Warn("store has come back from an older copy, reading everything", "era", n.Era, "revision", f.revision.String())
				loaded, f.loading = false, time.Now()
			}
			if time.Now().Before(f.again) {
				continue // the store refused a moment ago
			}
		case <-timer.C:
			if rest := noticeLife + f.patience - time.Since(f.heard); loaded && rest > 0 && !f.peers.IsReader() {
				timer.Reset(rest)
				continue
			}
		}
		begun := time.Now()
		var err error
		if loaded {
			err = f.safely("read of changes", func() error { return f.changes(ctx) })
		} else {
			err = f.safely("read of everything", func() error { return f.load(ctx) })
		}
		pause := idlePause
		switch {
		case !f.peers.IsReader():
			pause = noticeLife
		case f.untold || f.told.After(begun):
			pause = readPause
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, citronrock.ErrCompacted):
			f.log.Warn("history of the store lost, reading everything", "revision", f.revision.String(), "error", err.Error())
			loaded, pause, f.loading = false, 0, time.Now()
		case errors.Is(err, errOthersLoad):
			pause = crowdPause
		case err != nil:
			fails++
			pause = min(againFirst<<min(fails-1, 8), againLimit)
			f.again = time.Now().Add(pause)
			if loaded && fails >= downAfter && !f.peers.IsReader() && f.peers.PeerCount() > crowd {
				// The readers try on, and tell when the store is back.
				pause = silentLimit + rand.N(silentLimit)
			}
			if fails == downAfter {
				f.log.Warn("store lost", "error", err.Error(), "revision", f.revision.String())
			}
			if fails >= downAfter {
				f.table.SetOutage(time.Now(), true)
			}
		default:
			if fails >= downAfter {
				f.log.Info("store regained", "fails", fails, "revision", f.revision.String())
			}
			fails, loaded = 0, true
		}
		timer.Reset(pause)
	}
}

func (f *Follower) version() uint64 {
	if d := f.document.Load(); d != nil {
		return d.Version
	}
	return 0
}

func (f *Follower) put(s pool.Server) bool {
	changed := f.table.Put(s)
	if changed {
		f.log.Info("server changed", "server", s.ID, "service", s.Service, "addr", s.Addr.String(),
			"stage", s.Stage.String(), "leaving", s.Draining, "revision", s.Revision.String(), "beat", s.Sequence)
	}
	return changed
}

func (f *Follower) remove(now time.Time, id string, revision pool.Revision, lapsed bool) bool {
	changed := f.table.Remove(now, id, revision, lapsed)
	if changed {
		f.log.Info("server removed", "server", id, "revision", revision.String(), "lapsed", lapsed)
	}
	return changed
}

// markHeard notes that nothing was missed until now.
func (f *Follower) markHeard(now time.Time) {
	f.heard, f.patience = now, 0
	if n := f.peers.PeerCount(); n > crowd {
		f.patience = rand.N(min(time.Duration(n)*silentEach, silentLimit))
	}
}

// changes reads what changed since the last read and tells the others.
func (f *Follower) changes(ctx context.Context) error {
	wait := time.Duration(0)
	switch {
	case !f.peers.IsReader():
	case f.untold:
		wait = min(max(time.Until(f.next), 0), readEvery)
	default:
		wait = readEvery
	}
	c, err := f.store.Watch(ctx, f.revision, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	f.untold = f.take(now, c) || f.untold
	f.tell(now)
	return nil
}

// take applies changes and reports whether there were any.
func (f *Follower) take(now time.Time, c *citronrock.Changes) bool {
	// Removals are judged by how long the store has been back.
	f.table.SetOutage(now, false)
	lapsed := f.table.DuringOutage(now)
	var events []fanout.Event
	for _, s := range c.Servers {
		if f.put(s) {
			events = append(events, fanout.PutEvent(s))
		}
	}
	for _, r := range c.Removed {
		if f.remove(now, r.ID, r.Revision, lapsed) {
			events = append(events, fanout.Event{Revision: r.Revision.Number, ID: r.ID, Deleted: true, DuringOutage: lapsed})
		}
	}
	before := f.version()
	f.install(c.Document)
	f.changed.Add(now, f.revision, events)
	f.note(c.Revision)
	return len(events) > 0 || f.version() > before
}

// tell tells the others what changed, and now and then that nothing has. In a
// large fleet a daemon that has read since the readers are silent does so, too:
// the store may turn away all of them.
func (f *Follower) tell(now time.Time) {
	if !f.peers.IsReader() {
		if f.peers.PeerCount() > crowd && now.Sub(f.heard) > noticeLife {
			f.peers.Broadcast(f.notice())
			f.markHeard(now)
		}
		return
	}
	if now.Before(f.next) || !f.untold && now.Sub(f.told) < readEvery {
		return
	}
	f.untold, f.told = false, now
	f.next = now.Add(f.peers.Broadcast(f.notice()))
}

// install puts a configuration in force unless it is older than the one that
// is.
func (f *Follower) install(d *config.Document) {
	was := f.document.Load()
	if d == nil || was != nil && d.Version <= was.Version {
		return
	}
	f.apply(d)
	f.document.Store(d)
	f.log.Info("configuration in force", "version", d.Version, "routes", len(d.Routes), "services", len(d.Services))
}

// notice returns what this daemon tells the others.
func (f *Follower) notice() fanout.Update {
	return f.changed.Update(f.revision, f.version())
}

// hearEra notes an era of the store.
func (f *Follower) hearEra(now time.Time, era uint64) {
	if era > f.newest {
		f.newest, f.returned = era, now
	}
}

func (f *Follower) note(revision pool.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read, f.revision = time.Now(), revision
}
