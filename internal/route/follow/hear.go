package follow

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
)

// safely returns a panic of do as an error: what was read stays in force.
func (f *Follower) safely(work string, do func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Note(f.log, work, v)
			err = errPanic
		}
	}()
	return do()
}

// hear takes the notice of another daemon. The error tells that this daemon has
// to read the store itself.
func (f *Follower) hear(ctx context.Context, n heardNotice) error {
	switch {
	case n.Era < f.revision.Era:
		return nil // its sender has not read the store since it came back
	case n.Era > f.revision.Era:
		f.hearEra(time.Now(), n.Era)
		return errEra
	case n.Revision <= f.revision.Number && n.Version <= f.version():
		f.markHeard(time.Now())
		f.note(f.revision)
		return nil
	case n.Base > f.revision.Number:
		return errMissed
	}
	now := time.Now()
	f.table.SetOutage(now, false)
	var events []fanout.Event
	for _, e := range n.Events {
		if e.Revision <= f.revision.Number {
			continue
		}
		events = append(events, e)
		if e.Deleted {
			f.remove(now, e.ID, e.RevisionIn(n.Era), e.DuringOutage)
		} else {
			f.put(e.Server(n.Era))
		}
	}
	// Notices of this daemon must have these changes, too: they tell of all
	// changes after their base.
	f.changed.Add(now, f.revision, events)
	if err := f.reach(ctx, n); err != nil {
		return err // the read has to begin before the configuration
	}
	f.markHeard(now)
	f.note(pool.Revision{Era: n.Era, Number: max(n.Revision, f.revision.Number)})
	return nil
}

// reach puts the configuration that a notice tells of in force. In a large fleet
// the daemons that told of it give it; the store could not serve all at once.
func (f *Follower) reach(ctx context.Context, n heardNotice) error {
	if n.Version <= f.version() {
		return nil
	}
	if f.peers.PeerCount() <= crowd && n.Revision > f.revision.Number {
		return errMissed // the store has it
	}
	d, err := f.peers.FetchDocument(ctx, n.from, n.Version)
	if err != nil {
		return err
	}
	f.install(d)
	return nil
}
