package follow

import (
	"errors"
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

// applyUpdate applies an update of another daemon and starts a read if that shows that
// changes were missed.
func (f *Follower) applyUpdate(u receivedUpdate) {
	if !f.loaded {
		return
	}
	if u.Failing || u.at.Sub(f.readerAt) >= readerInterval {
		f.checkReader(u.at)
	}
	if u.Failing {
		return
	}
	err := f.catchPanic("notice", func() error { return f.handleUpdate(u) })
	if err == nil {
		return
	}
	if errors.Is(err, errNewEra) {
		f.log.Warn("store restored from an older copy; reading it in full", "era", u.Era, "revision", f.revision.String())
		f.loaded, f.loadingSince = false, time.Now()
	}
	missed := errors.Is(err, errGap)
	if missed {
		f.missedFrom = u.sender()
		if f.missedSince.IsZero() {
			f.missedSince = u.at
		}
	}
	// Other daemons are asked also during the backoff after a failed read of the store.
	if missed || time.Now().After(f.retryAt) {
		f.startRead()
	}
}

// checkReader starts a read if this daemon has become a reader, in place of one that
// can't read the store.
func (f *Follower) checkReader(now time.Time) {
	f.readerAt = now
	if reader := f.peers.IsReader(); reader != f.wasReader {
		if f.wasReader = reader; reader {
			f.startRead()
		}
	}
}

// handleUpdate applies an update of another daemon. On an error this daemon has to
// read what it has missed.
func (f *Follower) handleUpdate(u receivedUpdate) error {
	switch {
	case u.Era < f.revision.Era:
		return nil // the sender has not read the store since the restore
	case u.Era > f.revision.Era:
		f.observeEra(time.Now(), u.Era)
		return errNewEra
	}
	now := time.Now()
	if u.Revision > f.revision.Number && u.Base <= f.revision.Number {
		f.applyEvents(now, u)
	}
	f.considerVersion(u)
	if u.Revision > f.revision.Number {
		return errGap
	}
	f.confirm(now)
	if u.Revision == f.revision.Number { // the sender of an older one has not read the store since
		f.markCurrent(f.revision)
	}
	return nil
}

// applyEvents applies the changes of entries in an update that follows the known
// revision.
func (f *Follower) applyEvents(now time.Time, u receivedUpdate) {
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
	f.markCurrent(pool.Revision{Era: u.Era, Number: u.Revision})
}
