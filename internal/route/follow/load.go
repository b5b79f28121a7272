package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
)

// errLoadDeferred means that this daemon leaves the full read to others for now.
var errLoadDeferred = errors.New("full read of the store deferred")

// loadFromPeer takes the snapshot of another daemon, and the changes since then
// from the store.
func (f *Follower) loadFromPeer(ctx context.Context) error {
	snapshot, err := f.peers.FetchSnapshot(ctx)
	if err == nil {
		err = f.checkEra(snapshot)
	}
	if err != nil {
		return err
	}
	c, err := f.store.Watch(ctx, snapshot.Revision, 0)
	if errors.Is(err, citronrock.ErrCompacted) || ctx.Err() != nil {
		return err
	}
	if err != nil {
		f.logPeerSnapshot(snapshot, err)
		c = &citronrock.Changes{Revision: snapshot.Revision}
	}
	f.replaceAll(snapshot, c)
	return nil
}

// checkEra rejects a snapshot of an earlier era than the newest known one: it lacks
// the writes since the store was restored.
func (f *Follower) checkEra(snapshot *citronrock.Snapshot) error {
	if snapshot.Revision.Era < f.newestEra {
		return fmt.Errorf("snapshot of era %d is outdated: %w", snapshot.Revision.Era, errNewEra)
	}
	return nil
}

// replaceAll replaces the whole state by a snapshot and applies the changes since
// then.
func (f *Follower) replaceAll(snapshot *citronrock.Snapshot, c *citronrock.Changes) {
	now := time.Now()
	f.table.SetOutage(now, false)
	f.observeEra(now, snapshot.Revision.Era)
	if snapshot.Revision.Era > f.revision.Era && !f.revision.IsZero() {
		f.log.Warn("store restored from an older copy", "was", f.revision.String(), "revision", snapshot.Revision.String())
		f.table.StoreRestored(f.newestEraAt)
		f.unsent = true
	}
	f.table.Reset(now, snapshot.Servers, snapshot.Revision)
	f.changeLog.Reset()
	f.markCurrent(snapshot.Revision)
	f.applyChanges(now, c)
	f.install(snapshot.Document, "snapshot", f.loadingSince) // ignored if the changes had a newer one
	f.confirm(now)
}

// loadFromStore reads everything from the store: a stale snapshot and the changes
// since then, or a current snapshot if the store no longer has these changes.
func (f *Follower) loadFromStore(ctx context.Context) (*citronrock.Snapshot, *citronrock.Changes, error) {
	snapshot, err := f.store.Load(ctx, true)
	if err == nil {
		err = f.checkEra(snapshot)
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
	if err := f.checkEra(snapshot); err != nil {
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

// load does a full read.
func (f *Follower) load(ctx context.Context) error {
	if n := f.peers.PeerCount(); n > largeFleet {
		err := f.loadFromPeer(ctx)
		if err == nil {
			return nil
		}
		if time.Since(f.loadingSince) < peerLoadTimeout && rand.IntN(n) >= storeLoaders {
			return errLoadDeferred
		}
	}
	snapshot, changes, err := f.loadFromStore(ctx)
	if err != nil && f.document.Load() == nil {
		// While the store is unavailable, a new daemon uses another one's snapshot.
		if peerSnapshot, fetchErr := f.peers.FetchSnapshot(ctx); fetchErr == nil && f.checkEra(peerSnapshot) == nil {
			f.logPeerSnapshot(peerSnapshot, err)
			snapshot, changes, err = peerSnapshot, &citronrock.Changes{Revision: peerSnapshot.Revision}, nil
		}
	}
	if err != nil {
		f.loadFailed.Store(true)
		return err
	}
	f.replaceAll(snapshot, changes)
	return nil
}
