package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
)

// read is a read of the store, or of another daemon's state.
type read struct {
	// full is set for the whole state, else the changes since a revision are read.
	full bool
	// missed is the time since which others have had changes that this daemon has
	// missed, zero for none. from is one of them.
	missed time.Time
	from   netip.AddrPort
	// backoff is set while the store must not be asked after a failed read.
	backoff bool
	since   pool.Revision
	// wait is how long the store may wait for a change.
	wait time.Duration
	// have is the configuration in force, nil for none, era the newest known era of
	// the store, and loading the time since which the state has been needed.
	have    *config.Document
	era     uint64
	loading time.Time
	begun   time.Time
}

// result is what a read has got: changes, after a snapshot if that isn't nil.
type result struct {
	read
	snapshot *citronrock.Snapshot
	changes  *citronrock.Changes
	// answered is set when the store has answered.
	answered bool
	err      error
}

// startRead starts a read, unless one is in progress.
func (f *Follower) startRead() {
	if f.reading {
		return
	}
	f.reading = true
	r := read{full: !f.loaded, missed: f.missedSince, from: f.missedFrom, backoff: f.loaded && time.Now().Before(f.retryAt), since: f.revision, have: f.document.Load(), era: f.newestEra, loading: f.loadingSince, begun: time.Now()}
	if f.documentRevision.Before(r.since) {
		r.since = f.documentRevision
	}
	switch {
	case !f.peers.IsReader():
	case f.unsent:
		r.wait = min(max(time.Until(f.nextSend), 0), watchTimeout)
	default:
		r.wait = watchTimeout
	}
	f.timer.Stop()
	f.reads <- r // there is room, as no other read is in progress
}

// readStore does the reads until ctx ends.
func (f *Follower) readStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.reads:
			out := result{read: r}
			if err := f.catchPanic("read of the store", func() error { f.do(ctx, &out); return nil }); err != nil {
				out.err = err
			}
			f.results <- out // there is room, as no other read is in progress
		}
	}
}

// do does one read.
func (f *Follower) do(ctx context.Context, r *result) {
	if r.full {
		f.load(ctx, r)
		return
	}
	if r.missed.IsZero() {
		r.changes, r.err = f.store.Watch(ctx, r.since, r.wait)
		r.answered = r.err == nil
		return
	}
	// In a large fleet the store could not serve all that have missed changes.
	large := f.peers.PeerCount() > largeFleet
	if (large || r.backoff) && f.catchUp(ctx, r) {
		return
	}
	if r.backoff || large && !f.peers.IsReader() && time.Since(r.missed) < reloadTimeout {
		r.err = errLoadDeferred
		return
	}
	r.changes, r.err = f.store.Watch(ctx, r.since, r.wait)
	r.answered = r.err == nil
	if !large && r.err != nil && f.catchUp(ctx, r) {
		r.err = nil
	}
}

// catchUp takes the changes that were missed from the state of another daemon: the store
// may refuse this one. It returns false if no other daemon has them.
func (f *Follower) catchUp(ctx context.Context, r *result) bool {
	s, err := f.peers.FetchSnapshot(ctx, r.from, r.have)
	if err != nil || checkEra(s, r.era) != nil || !r.since.Before(s.Revision) {
		return false
	}
	r.snapshot, r.changes = s, &citronrock.Changes{Revision: s.Revision}
	return true
}

// applyResult applies what a read has got and sets the time of the next one.
func (f *Follower) applyResult(r result) {
	f.reading = false
	err := r.err
	if err == nil {
		err = f.catchPanic("changes", func() error { f.apply(r); return nil })
	}
	f.logRead(r, err)
	f.timer.Reset(f.pause(r, err))
}

func (f *Follower) apply(r result) {
	now := time.Now()
	f.missedSince = time.Time{}
	if f.failing && r.answered {
		f.log.Info("store answers this daemon again", "revision", f.revision.String())
		f.failing, f.unsent = false, true
		f.peers.SetFailing(false)
	}
	if r.snapshot != nil {
		if r.snapshot.Revision.Before(f.revision) && f.loaded {
			return // updates have brought later changes meanwhile
		}
		f.replaceAll(r.snapshot, r.changes, !r.full)
		return
	}
	f.unsent = f.applyChanges(now, r.changes) || f.unsent
	f.broadcast(now)
}

// pause returns the time until the next read.
func (f *Follower) pause(r result, err error) time.Duration {
	switch {
	case errors.Is(err, citronrock.ErrCompacted):
		f.log.Warn("store no longer has the changes; reading it in full", "revision", f.revision.String(), "error", err.Error())
		f.loaded, f.loadingSince = false, time.Now()
		return 0
	case errors.Is(err, errLoadDeferred):
		return peerLoadInterval
	case err != nil:
		return f.readFailed(err)
	}
	if f.failures >= outageThreshold {
		f.log.Info("store available again", "fails", f.failures, "revision", f.revision.String())
	}
	f.failures, f.loaded = 0, true
	switch {
	case !f.peers.IsReader():
		return updateTTL
	case f.unsent || f.sentAt.After(r.begun):
		return batchDelay
	}
	return idleDelay
}

// readFailed returns the time until the next read after one has failed.
func (f *Follower) readFailed(err error) time.Duration {
	f.failures++
	if f.failing || f.loaded && f.peers.IsReader() {
		f.failing, f.wasReader = true, false
		f.peers.SetFailing(true)
		u := f.update()
		u.Failing = true
		f.peers.Broadcast(u)
	}
	pause := min(minBackoff<<min(f.failures-1, 8), maxBackoff)
	f.retryAt = time.Now().Add(pause)
	if f.loaded && f.failures >= outageThreshold && !f.peers.IsReader() && f.peers.PeerCount() > largeFleet {
		// The readers keep trying and broadcast when the store is back.
		pause = maxJitter + rand.N(maxJitter)
	}
	if f.failures == outageThreshold {
		f.log.Warn("store unavailable", "error", err.Error(), "revision", f.revision.String())
	}
	if f.failures >= outageThreshold {
		f.table.SetOutage(time.Now(), true)
	}
	return pause
}

// logRead logs a full read, a read of changes by a daemon that is no reader, or a slow
// one.
func (f *Follower) logRead(r result, err error) {
	took := time.Since(r.begun)
	if !r.full && f.peers.IsReader() && took < watchTimeout+slowRead {
		return
	}
	text := ""
	if err != nil {
		text = err.Error()
	}
	f.log.Info("read of the store", "full", r.full, "reader", f.peers.IsReader(), "peer", r.snapshot != nil && !r.full, "took", lines.Ms(took),
		"revision", f.revision.String(), "version", f.version(), "error", text)
}

// applyChanges applies changes and reports whether there is anything to broadcast.
func (f *Follower) applyChanges(now time.Time, c *citronrock.Changes) bool {
	// The outage ends first: DuringOutage depends on how long the store has been back.
	f.table.SetOutage(now, false)
	duringOutage := f.table.DuringOutage(now)
	var events []fanout.Event
	for _, s := range c.Servers {
		if f.put(s) {
			events = append(events, fanout.PutEvent(s))
		}
	}
	for _, r := range c.Removed {
		if f.remove(now, r.ID, r.Revision, duringOutage) {
			events = append(events, fanout.Event{Revision: r.Revision.Number, ID: r.ID, Deleted: true, DuringOutage: duringOutage})
		}
	}
	before := f.version()
	f.install(c.Document, "changes", now)
	f.changeLog.Add(now, f.revision, events)
	if c.Revision.Before(f.revision) {
		f.markCurrent(f.revision) // updates have brought later changes meanwhile
	} else {
		f.markCurrent(c.Revision)
	}
	f.markDocument(c.Revision)
	return len(events) > 0 || f.version() > before
}
