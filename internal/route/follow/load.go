package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/fanout"
)

// errLoadDeferred means that this daemon leaves the full read to others for now.
var errLoadDeferred = errors.New("full read of the store deferred")

// load does a full read: of the snapshot of another daemon in a large fleet, else of the
// store. Readers read the store at once, as others wait for what they find.
func (f *Follower) load(ctx context.Context, r *result) {
	if n := f.peers.PeerCount(); n > largeFleet && !f.peers.IsReader() {
		if r.err = f.loadFromPeer(ctx, r); r.err == nil {
			return
		}
		waited := time.Since(r.loading)
		if r.have != nil && waited < reloadTimeout || waited < peerLoadTimeout && rand.IntN(n) >= storeLoaders {
			r.err = errLoadDeferred
			return
		}
	}
	r.snapshot, r.changes, r.err = f.loadFromStore(ctx, r.era)
	r.answered = r.err == nil
	if r.err != nil && r.have == nil {
		// While the store is unavailable, a new daemon uses another one's snapshot.
		if s, err := f.peers.FetchSnapshot(ctx, r.from, nil); err == nil && checkEra(s, r.era) == nil {
			f.logPeerSnapshot(s, r.err)
			r.snapshot, r.changes, r.err = s, &citronrock.Changes{Revision: s.Revision}, nil
		}
	}
	if r.err != nil {
		f.loadFailed.Store(true)
	}
}

// loadFromPeer takes the snapshot of another daemon, and the changes since then
// from the store.
func (f *Follower) loadFromPeer(ctx context.Context, r *result) error {
	snapshot, err := f.peers.FetchSnapshot(ctx, r.from, r.have)
	if err == nil {
		err = checkEra(snapshot, r.era)
	}
	if err != nil {
		return err
	}
	if r.have != nil {
		// The daemon served before, so that another one's later state is enough. The
		// readers have read the store, or will.
		if !r.since.Before(snapshot.Revision) {
			return errLoadDeferred
		}
		r.snapshot, r.changes = snapshot, &citronrock.Changes{Revision: snapshot.Revision}
		return nil
	}
	c, err := f.store.Watch(ctx, snapshot.Revision, 0)
	if errors.Is(err, citronrock.ErrCompacted) || ctx.Err() != nil {
		return err
	}
	if err != nil {
		f.logPeerSnapshot(snapshot, err)
		c = &citronrock.Changes{Revision: snapshot.Revision}
	}
	r.snapshot, r.changes = snapshot, c
	return nil
}

// checkEra rejects a snapshot of an earlier era than the newest known one: it lacks
// the writes since the store was restored.
func checkEra(snapshot *citronrock.Snapshot, newest uint64) error {
	if snapshot.Revision.Era < newest {
		return fmt.Errorf("snapshot of era %d is outdated: %w", snapshot.Revision.Era, errNewEra)
	}
	return nil
}

// replaceAll replaces the whole state by a snapshot and applies the changes since
// then.
//
// missed is set when another daemon's state replaces changes that this daemon has missed.
// Entries that are missing there have not lapsed in an outage of the store, even if the
// store refuses this daemon.
func (f *Follower) replaceAll(snapshot *citronrock.Snapshot, c *citronrock.Changes, missed bool) {
	now := time.Now()
	f.table.SetOutage(now, false)
	f.observeEra(now, snapshot.Revision.Era)
	if snapshot.Revision.Era > f.revision.Era && !f.revision.IsZero() {
		f.log.Warn("store restored from an older copy", "was", f.revision.String(), "revision", snapshot.Revision.String())
		f.table.StoreRestored(f.newestEraAt)
		f.unsent = true
	}
	f.resetEntries(now, snapshot, !missed && f.table.DuringOutage(now))
	f.markCurrent(snapshot.Revision)
	f.applyChanges(now, c)
	f.install(snapshot.Document, "snapshot", f.loadingSince) // ignored if the changes had a newer one
	f.confirm(now)
}

// resetEntries replaces the entries by those of a snapshot. Daemons that had the same
// entries before get the difference by updates, so that they need no full read.
func (f *Follower) resetEntries(now time.Time, snapshot *citronrock.Snapshot, duringOutage bool) {
	changed, removed := f.table.Reset(now, snapshot.Servers, snapshot.Revision, duringOutage)
	if f.revision.IsZero() || f.revision.Era != snapshot.Revision.Era {
		f.changeLog.Reset()
		return
	}
	var events []fanout.Event
	for _, s := range changed {
		events = append(events, fanout.PutEvent(s))
	}
	for _, id := range removed {
		events = append(events, fanout.Event{Revision: snapshot.Revision.Number, ID: id, Deleted: true, DuringOutage: duringOutage})
	}
	f.changeLog.Add(now, f.revision, events)
	f.unsent = true
}

// loadFromStore reads everything from the store: a stale snapshot and the changes
// since then, or a current snapshot if the store no longer has these changes. era is the
// newest known one.
func (f *Follower) loadFromStore(ctx context.Context, era uint64) (*citronrock.Snapshot, *citronrock.Changes, error) {
	snapshot, err := f.store.Load(ctx, true)
	if err == nil {
		err = checkEra(snapshot, era)
	}
	if err == nil {
		var c *citronrock.Changes
		if c, err = f.store.Watch(ctx, snapshot.Revision, 0); err == nil {
			return snapshot, c, nil
		}
	}
	if !errors.Is(err, citronrock.ErrCompacted) && !errors.Is(err, errNewEra) {
		return nil, nil, err
	}
	if snapshot, err = f.store.Load(ctx, false); err != nil {
		return nil, nil, err
	}
	if err := checkEra(snapshot, era); err != nil {
		return nil, nil, err
	}
	return snapshot, &citronrock.Changes{Revision: snapshot.Revision}, nil
}

// logPeerSnapshot logs that the snapshot of another daemon replaces a read of the
// store.
func (f *Follower) logPeerSnapshot(s *citronrock.Snapshot, err error) {
	f.log.Warn("cannot read the store; using the snapshot of another daemon", "revision", s.Revision.String(),
		"version", s.Document.Version, "error", err.Error())
}
