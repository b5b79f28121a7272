package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
)

// errOthersLoad means that other daemons read the store for this one.
var errOthersLoad = errors.New("other daemons read the store")

// loadCrowd takes everything from another daemon, and what has changed since
// from the store.
func (f *Follower) loadCrowd(ctx context.Context) error {
	state, err := f.peers.FetchState(ctx)
	if err == nil {
		err = f.current(state)
	}
	if err != nil {
		return err
	}
	c, err := f.store.Watch(ctx, state.Revision, 0)
	if errors.Is(err, citronrock.ErrCompacted) || ctx.Err() != nil {
		return err
	}
	if err != nil {
		f.tellTaken(state, err)
		c = &citronrock.Changes{Revision: state.Revision}
	}
	f.replace(state, c)
	return nil
}

// current tells whether a state is of the newest era that this daemon has heard of.
// One of an earlier era lacks what the store has taken since it came back.
func (f *Follower) current(state *citronrock.Snapshot) error {
	if state.Revision.Era < f.newest {
		return fmt.Errorf("state of era %d is not used: %w", state.Revision.Era, errEra)
	}
	return nil
}

// replace takes everything, and what has changed since.
func (f *Follower) replace(state *citronrock.Snapshot, c *citronrock.Changes) {
	now := time.Now()
	f.table.SetOutage(now, false)
	f.hearEra(now, state.Revision.Era)
	if state.Revision.Era > f.revision.Era && !f.revision.IsZero() {
		f.log.Warn("store has come back from an older copy", "was", f.revision.String(), "revision", state.Revision.String())
		f.table.StoreRestored(f.returned)
		f.untold = true
	}
	f.table.Reset(now, state.Servers, state.Revision)
	f.changed.Reset()
	f.note(state.Revision)
	f.take(now, c)
	f.install(state.Document) // after what is newer
	f.markHeard(now)
}

// readAll reads everything from the store: a stale state and what has changed
// since, where the store still knows that.
func (f *Follower) readAll(ctx context.Context) (*citronrock.Snapshot, *citronrock.Changes, error) {
	state, err := f.store.Load(ctx, true)
	if err == nil {
		err = f.current(state)
	}
	if err == nil {
		var c *citronrock.Changes
		if c, err = f.store.Watch(ctx, state.Revision, 0); err == nil {
			return state, c, nil
		}
	}
	if !errors.Is(err, citronrock.ErrCompacted) && !errors.Is(err, errEra) {
		return nil, nil, err
	}
	if state, err = f.store.Load(ctx, false); err != nil {
		return nil, nil, err
	}
	if err := f.current(state); err != nil {
		return nil, nil, err
	}
	return state, &citronrock.Changes{Revision: state.Revision}, nil
}

// tellTaken logs that the state of another daemon stands for a read of the store.
func (f *Follower) tellTaken(s *citronrock.Snapshot, err error) {
	f.log.Warn("store not read, state taken from another daemon", "revision", s.Revision.String(),
		"version", s.Document.Version, "error", err.Error())
}

// load reads everything.
func (f *Follower) load(ctx context.Context) error {
	if n := f.peers.PeerCount(); n > crowd {
		err := f.loadCrowd(ctx)
		if err == nil {
			return nil
		}
		if time.Since(f.loading) < crowdPatience && rand.IntN(n) >= loaders {
			return errOthersLoad
		}
	}
	state, changes, err := f.readAll(ctx)
	if err != nil && f.document.Load() == nil {
		// Without a store a fresh daemon serves by what the others know.
		if known, lack := f.peers.FetchState(ctx); lack == nil && f.current(known) == nil {
			f.tellTaken(known, err)
			state, changes, err = known, &citronrock.Changes{Revision: known.Revision}, nil
		}
	}
	if err != nil {
		f.failed.Store(true)
		return err
	}
	f.replace(state, changes)
	return nil
}
