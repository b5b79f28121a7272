// Package follow keeps a daemon's configuration and table of backend servers in
// sync with the platform's store, either by reading it or through the updates of
// other daemons.
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
	"citronrock.example/citronrock/internal/route/delta"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Times of the loop.
const (
	// watchTimeout is how long a reader's watch call waits for a change. Other
	// daemons get an update at least as often.
	watchTimeout = 500 * time.Millisecond
	// batchDelay coalesces changes that come close together.
	batchDelay = 20 * time.Millisecond
	// idleDelay follows a read without relevant changes. Entries of many
	// servers are renewed so often that each watch call would return at once.
	// It is small beside the seconds within which changes have to take effect.
	idleDelay = 250 * time.Millisecond
	// startDelay lets the daemon discover others before its first read.
	startDelay = 50 * time.Millisecond
	// With largeFleet or fewer other daemons, each one does its full read at
	// the store. In a larger fleet, a daemon fetches the state from another
	// one, as the store could not serve all of them at once; about storeLoaders
	// of them read the store meanwhile. peerLoadInterval is the time between
	// attempts. After peerLoadTimeout a daemon reads the store itself.
	largeFleet       = 8
	storeLoaders     = 16
	peerLoadInterval = 100 * time.Millisecond
	peerLoadTimeout  = 5 * time.Second
	// reloadTimeout is how long a daemon that has a state leaves reads of the store to
	// others when changes are missing.
	reloadTimeout = time.Second
	// updateTTL is how long an update replaces a read of the store by a daemon
	// that is no reader. Two lost updates in a row don't cause a read.
	updateTTL = 1200 * time.Millisecond
	// When the readers fall silent in a large fleet, the other daemons read the
	// store at random times, spread over jitterPerPeer for each of them but at
	// most maxJitter. The first one that succeeds broadcasts to the rest.
	jitterPerPeer = 5 * time.Millisecond
	maxJitter     = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failed
	// reads.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// outageThreshold is the number of consecutive failed reads from which the
	// store counts as unavailable.
	outageThreshold = 2
	// slowRead is how much longer than its watch timeout a reader's call may take
	// without a log line.
	slowRead = 100 * time.Millisecond
	// readerInterval is the time between checks whether this daemon is a reader, besides
	// those when a reader says that it can't read the store.
	readerInterval = 250 * time.Millisecond
	// queueSize is the number of received updates that wait to be applied.
	queueSize = 64
)

var (
	// errGap means that changes before the base of an update were missed.
	errGap = errors.New("update does not follow the known revision")
	// errNewEra means that the store was restored from an older copy: the
	// revisions that this daemon knows are no longer comparable.
	errNewEra = errors.New("store was restored and is in a later era")
	errPanic  = errors.New("panic while applying changes")
)

// receivedUpdate is an update and the daemon that sent or relayed it.
type receivedUpdate struct {
	fanout.Update
	from netip.AddrPort
	at   time.Time
}

// sender returns the daemon that has what the update announces: a relay may not have it
// yet.
func (u *receivedUpdate) sender() netip.AddrPort {
	if u.Origin.IsValid() {
		return u.Origin
	}
	return u.from
}

// Peers exchanges updates and states with the other daemons.
type Peers interface {
	// IsReader reports whether this daemon reads the store for others.
	IsReader() bool
	// SetFailing records whether this daemon can't read the store, so that another one
	// replaces it as a reader.
	SetFailing(bool)
	// Broadcast sends an update to all other daemons. It returns how long to
	// wait before the next one.
	Broadcast(fanout.Update) time.Duration
	// HandleUpdates sets the function that receives updates. It must not block.
	HandleUpdates(func(from netip.AddrPort, u fanout.Update))
	// PeerCount returns the number of other daemons.
	PeerCount() int
	// FetchSnapshot returns the snapshot of another daemon, from the newest of several
	// that are asked. from is one of them if it is valid. have is the configuration in
	// force, nil for none.
	FetchSnapshot(ctx context.Context, from netip.AddrPort, have *config.Document) (*citronrock.Snapshot, error)
	// FetchDocument returns a configuration newer than the one in force, in a version
	// or a later one if possible, from the daemon that announced it or another one.
	FetchDocument(ctx context.Context, from netip.AddrPort, have *config.Document, version uint64) (*config.Document, error)
}

// Follower syncs with the store until Close. One goroutine applies updates and what the
// two others have got: one reads the store, one fetches configurations, so that neither
// delays an update.
type Follower struct {
	store      citronrock.Store
	table      *pool.Table
	log        hclog.Logger
	onDocument func(*config.Document)
	peers      Peers

	updates chan receivedUpdate
	reads   chan read
	results chan result
	fetches chan fetch
	fetched chan fetched
	timer   *time.Timer

	// loaded is set once a full read has succeeded, until changes were missed that
	// only another one can bring. reading is set while a read is in progress,
	// failures counts those that have failed since the last success.
	loaded, reading bool
	failures        int
	// wasReader is whether this daemon was a reader when it last looked, at readerAt,
	// failing whether it can't read the store and has said so.
	wasReader, failing bool
	readerAt           time.Time
	// missedSince is the time since which others have had changes that this daemon has
	// missed, zero for none, and missedFrom one of these daemons.
	missedSince time.Time
	missedFrom  netip.AddrPort
	// confirmedAt is when an update or read last showed that no change was
	// missed.
	confirmedAt time.Time
	// jitter is added to updateTTL before this daemon reads the store.
	jitter time.Duration
	// changeLog holds the changes that updates of this daemon repeat.
	changeLog fanout.ChangeLog
	// unsent is set while there are changes that were not broadcast yet. sentAt
	// is when the last update was broadcast, nextSend when the next one may be.
	unsent           bool
	sentAt, nextSend time.Time

	// newestEra is the newest era of the store that this daemon knows of.
	newestEra uint64
	// newestEraAt is when this daemon learned of that era, soon after the
	// store's return.
	newestEraAt time.Time
	// retryAt is when the store may be read again after a failure.
	retryAt time.Time
	// loadingSince is when the daemon began to need a full read.
	loadingSince time.Time

	// wanted is the newest configuration that others announced and that is not in
	// force here, nil for none.
	wanted *announcement
	// encodedPatch is the patch in this daemon's updates, to the version patchVersion.
	encodedPatch            []byte
	patchBase, patchVersion uint64

	document atomic.Pointer[config.Document]
	// loadFailed is set once a full read has failed.
	loadFailed atomic.Bool
	mu         sync.Mutex
	// currentAt is when the state was last known to be the newest.
	currentAt time.Time
	revision  pool.Revision
	// documentRevision is the revision up to which the configuration in force is known
	// to be the newest. It is behind the revision while one is wanted.
	documentRevision pool.Revision
	// versions has the steps between the newest configurations.
	versions delta.Log
	// dropped counts the updates that found the queue full.
	dropped atomic.Int64

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Option changes a setting of a follower.
type Option func(*Follower)

// WithOnDocument sets a function that is called with each new configuration before it
// takes effect.
func WithOnDocument(f func(*config.Document)) Option { return func(o *Follower) { o.onDocument = f } }

// Start starts a follower that keeps table in sync with store.
func Start(store citronrock.Store, table *pool.Table, peers Peers, log hclog.Logger, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{store: store, table: table, log: log, onDocument: func(*config.Document) {},
		peers: peers, updates: make(chan receivedUpdate, queueSize), reads: make(chan read, 1), results: make(chan result, 1),
		fetches: make(chan fetch, 1), fetched: make(chan fetched, 1), loadingSince: time.Now(), cancel: cancel}
	peers.HandleUpdates(func(from netip.AddrPort, u fanout.Update) {
		select {
		case f.updates <- receivedUpdate{u, from, time.Now()}:
		default: // later updates repeat the changes
			f.dropped.Add(1)
		}
	})
	for _, o := range opts {
		o(f)
	}
	f.timer = time.NewTimer(startDelay)
	f.running.Go(func() { f.run(ctx) })
	f.running.Go(func() { f.readStore(ctx) })
	f.running.Go(func() { f.fetchDocuments(ctx) })
	return f
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

// Document returns the configuration in force, nil when there is none yet.
func (f *Follower) Document() *config.Document { return f.document.Load() }

// LacksConfig reports whether there is no configuration yet because reads of the
// store failed.
func (f *Follower) LacksConfig() bool { return f.document.Load() == nil && f.loadFailed.Load() }

// Snapshot returns a snapshot of all that is known, nil while there is no
// configuration.
func (f *Follower) Snapshot() *citronrock.Snapshot {
	d := f.document.Load()
	if d == nil {
		return nil
	}
	f.mu.Lock()
	revision := f.revision
	if f.documentRevision.Before(revision) {
		// A later configuration is being fetched: whoever goes on from this snapshot has to
		// get it, too.
		revision = f.documentRevision
	}
	f.mu.Unlock()
	return &citronrock.Snapshot{Document: d, Servers: f.table.Entries(), Revision: revision}
}

// PatchSince returns the patch from a version to the configuration in force, nil if the
// steps between them are not known.
func (f *Follower) PatchSince(version uint64) *delta.Patch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.Since(version)
}

// Age returns the time since the state was last known to be the newest, and the
// store's revision then; both are zero before the first read.
func (f *Follower) Age() (time.Duration, pool.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return 0, pool.Revision{}
	}
	return time.Since(f.currentAt), f.revision
}

// Dropped returns the number of updates that were not applied, as too many waited.
func (f *Follower) Dropped() int64 { return f.dropped.Load() }

// run applies updates, reads and fetched configurations until ctx ends.
func (f *Follower) run(ctx context.Context) {
	defer f.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-f.updates:
			f.applyUpdate(u)
		case r := <-f.results:
			if ctx.Err() != nil {
				return // the read was cancelled
			}
			f.applyResult(r)
		case d := <-f.fetched:
			f.applyFetched(d)
		case <-f.timer.C:
			if remaining := updateTTL + f.jitter - time.Since(f.confirmedAt); f.loaded && remaining > 0 && !f.peers.IsReader() {
				f.timer.Reset(remaining)
				continue
			}
			f.startRead()
		}
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

func (f *Follower) remove(now time.Time, id string, revision pool.Revision, duringOutage bool) bool {
	changed := f.table.Remove(now, id, revision, duringOutage)
	if changed {
		f.log.Info("server removed", "server", id, "revision", revision.String(), "lapsed", duringOutage)
	}
	return changed
}

// confirm records that no change up to now was missed.
func (f *Follower) confirm(now time.Time) {
	f.confirmedAt, f.jitter = now, 0
	if n := f.peers.PeerCount(); n > largeFleet {
		f.jitter = rand.N(min(time.Duration(n)*jitterPerPeer, maxJitter))
	}
}

// broadcast sends an update with the changes, or a periodic one without any. In a
// large fleet, a daemon that is no reader does so, too, when it had to read since
// the readers are silent: the store may be rejecting all of them.
func (f *Follower) broadcast(now time.Time) {
	if !f.peers.IsReader() {
		if f.peers.PeerCount() > largeFleet && now.Sub(f.confirmedAt) > updateTTL {
			f.peers.Broadcast(f.update())
			f.confirm(now)
		}
		return
	}
	if now.Before(f.nextSend) || !f.unsent && now.Sub(f.sentAt) < watchTimeout {
		return
	}
	f.unsent, f.sentAt = false, now
	f.nextSend = now.Add(f.peers.Broadcast(f.update()))
}

// update returns the update with this daemon's recent changes.
func (f *Follower) update() fanout.Update {
	u := f.changeLog.Update(f.revision, f.version())
	u.PatchBase, u.Patch = f.recentPatch()
	return u
}

// observeEra takes an era of the store that was read or received.
func (f *Follower) observeEra(now time.Time, era uint64) {
	if era > f.newestEra {
		f.newestEra, f.newestEraAt = era, now
	}
}

// markCurrent records that the state is the newest, at a revision of the store.
func (f *Follower) markCurrent(revision pool.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAt, f.revision = time.Now(), revision
	f.table.MarkCurrent(f.currentAt)
}
