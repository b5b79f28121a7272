package stream

import (
	"context"
	"time"
)

// move is the state of a request between two runs.
type move struct {
	// silent is set if the run before was silent. Its engine may have been sound.
	silent bool
	// excluded is the number of engines that were excluded when the run ended.
	excluded int
	// pause is the last time that the request was held.
	pause time.Duration
}

// hold waits before another try of a request whose silent run was given up, if the
// replacement fails and the retry budget or the owner gives no other one: that is no
// reason to end it, as it would have gone on. Engines that refused it since may be asked
// again. hold returns false for other requests, and at the end of ctx.
func (j *job) hold(ctx context.Context) bool {
	if !j.move.silent {
		return false
	}
	j.move.pause = min(max(2*j.move.pause, minSearchPause), maxSearchPause)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(j.move.pause):
	}
	j.freeOldCache(ctx)
	j.excluded, j.leases = j.excluded[:j.move.excluded], 0
	return true
}
