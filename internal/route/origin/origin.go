// Package origin keeps at which software version of its service each stream began, so
// that a stream that is taken up goes on at that version only.
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
