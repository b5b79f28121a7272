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

import "time"

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
