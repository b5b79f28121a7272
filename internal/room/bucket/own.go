package bucket

import "time"

// Own is what a daemon may use by itself. It starts empty, so that daemons that are started
// again and again get nothing.
type Own struct {
	level float64
	at    time.Time
}

// Take uses units if the daemon's own part has them.
func (o *Own) Take(now time.Time, r Rate, units float64) bool {
	if !o.at.IsZero() {
		o.level = min(o.level+r.PerSecond*max(now.Sub(o.at), 0).Seconds(), r.Burst)
	}
	o.at = now
	if o.level < units {
		return false
	}
	o.level -= units
	return true
}
