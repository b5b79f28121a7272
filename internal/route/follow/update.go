package follow

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
)

// catchPanic runs do and turns a panic into errPanic, so that the last state stays
// in force.
func (f *Follower) catchPanic(work string, do func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Record(f.log, work, v)
			err = errPanic
		}
	}()
	return do()
}

// handleUpdate applies an update of another daemon. On an error this daemon has to
// read the store itself.
func (f *Follower) handleUpdate(ctx context.Context, u receivedUpdate) error {
	switch {
	case u.Era < f.revision.Era:
		return nil // the sender has not read the store since the restore
	case u.Era > f.revision.Era:
		f.observeEra(time.Now(), u.Era)
		return errNewEra
	case u.Revision <= f.revision.Number && u.Version <= f.version():
		f.confirm(time.Now())
		f.markCurrent(f.revision)
		return nil
	case u.Base > f.revision.Number:
		return errGap
	}
	now := time.Now()
	f.table.SetOutage(now, false)
	var events []fanout.Event
	for _, e := range u.Events {
		if e.Revision <= f.revision.Number {
			continue
		}
		events = append(events, e)
		if e.Deleted {
			f.remove(now, e.ID, e.RevisionIn(u.Era), e.DuringOutage)
		} else {
			f.put(e.Server(u.Era))
		}
	}
	// Updates of this daemon must have these changes, too: an update has all changes
	// after its base.
	f.changeLog.Add(now, f.revision, events)
	if err := f.fetchDocument(ctx, u); err != nil {
		return err // without advancing the revision, so that the read covers the configuration
	}
	f.confirm(now)
	f.markCurrent(pool.Revision{Era: u.Era, Number: max(u.Revision, f.revision.Number)})
	return nil
}

// fetchDocument puts in force the configuration that an update announces. In a
// large fleet it comes from the daemon that announced it, as the store could not
// serve all at once.
func (f *Follower) fetchDocument(ctx context.Context, u receivedUpdate) error {
	if u.Version <= f.version() {
		return nil
	}
	if f.peers.PeerCount() <= largeFleet && u.Revision > f.revision.Number {
		return errGap // read it from the store
	}
	d, err := f.peers.FetchDocument(ctx, u.from, u.Version)
	if err != nil {
		return err
	}
	f.install(d, "peer", u.at)
	return nil
}
