package ledger

import (
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Census counts the engines of a version by their state. An engine counts once, in the
// first state that it is in of: changing its stage, prefill, unhealthy, usable.
type Census struct {
	Usable, Unhealthy, Switching, Prefill int
}

// census counts the engines of a version.
func (l *Ledger) census(now time.Time, version string) Census {
	unhealthy, c := l.unhealthy(), Census{}
	for id, e := range l.engines {
		switch {
		case e.Version != version:
		case l.isSwitching(now, id):
			c.Switching++
		case e.Stage == pool.Prefill:
			c.Prefill++
		case unhealthy[id]:
			c.Unhealthy++
		default:
			c.Usable++
		}
	}
	return c
}
