// Package origin keeps at which software version of its service each stream began, so
// that a stream that is taken up goes on at that version only.
//
// The record of a stream is held by the daemon that began it and by the first three others
// in rendezvous order that confirm it, until two seconds after its client's time is up and
// for 122 s at most after it was last made or found, so that any three daemons may die at
// once without its loss.
//
// What is not known is never guessed: if no daemon that is asked has a record, the version
// is known only where a list that is certainly complete names one version.
package origin

import (
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// List is what a daemon knows of the versions at which engines of a service were listed in
// the store, an empty one for an engine whose version is not known.
type List struct {
	Versions []string
	// From and To are the revisions of the store between which the list has all versions.
	From, To pool.Revision
	// Complete is set if it has all versions up to To that can have begun a stream which is
	// still going on.
	Complete bool
	// Confirmed is set if a read of the store that began after the question found all
	// changes since, so that the list has all versions from From until the question.
	Confirmed bool
}

// Origin tells at which version a client's attempt began its stream. It never changes:
// an attempt that brought the first event at one version can't bring it at another.
type Origin struct {
	// Attempt is the ID of the client's attempt that brought the first event.
	Attempt string
	Service string
	// Version is the version of the engine's software, empty if that can't be known.
	Version string
	// Until is when the client's time is up.
	Until time.Time
}
