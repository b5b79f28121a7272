package bucket

import "time"

// Contract is the bound on what the requests of one tenant may use in any window, over all
// daemons: (rate x Window + burst) x (1 + Overage) + Slack.
type Contract struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// reserveShare is the part of what the contract allows beyond the limit that is kept
	// for daemons which can't reach the owner of an account. The rest covers units that
	// daemons hold for their next requests, refunds and changes of owners.
	reserveShare = 0.45
	// minorGrace is the time for which a part that has lost most of the fleet still grants
	// the whole limit. Daemons that are killed at once are mostly back by then, and a cut
	// shows in all parts at about the same time. It adds to the time in which the parts do
	// not know of the cut: with 750 ms, halves of a fleet admitted 1.03 of the contract.
	minorGrace = 250 * time.Millisecond
	// joinTime is the time after which a daemon that has not met most of its seeds stops
	// waiting for them.
	joinTime = 5 * time.Second
)

// reserve returns the limit of all daemons together that can't reach the owners of accounts.
func (c Contract) reserve(r Rate) Rate {
	w := max(c.Window.Seconds(), 1)
	beyond := reserveShare * (c.Overage*(r.PerSecond*w+r.Burst) + c.Slack)
	// Of what may be used in a window, half comes with time and half may be saved.
	return Rate{PerSecond: beyond / 2 / w, Burst: beyond / 2}
}

// part returns a share of a limit.
func (r Rate) part(share float64) Rate { return Rate{r.PerSecond * share, r.Burst * share} }

// View is what a daemon knows of the fleet.
type View struct {
	// Alive counts the live daemons, this one included, Known those that were alive within
	// the last minute.
	Alive, Known int
	// Seeds is the number of daemons that this one was told of at its start, SeedsAlive how
	// many of them are alive.
	Seeds, SeedsAlive int
}

// Part decides whether a daemon belongs to the part of the fleet that may grant whole limits.
// It is not safe for concurrent use.
type Part struct {
	started time.Time
	joined  bool
	most    int
	// minorSince is when most of the fleet was lost, zero while it is not.
	minorSince time.Time
	share      float64
}

// NewPart returns the state of a daemon that starts now.
func NewPart(now time.Time) *Part { return &Part{started: now} }

// Update takes the view of the fleet.
func (p *Part) Update(now time.Time, v View) {
	p.joined = p.joined || 2*v.SeedsAlive > v.Seeds || now.Sub(p.started) > joinTime
	known := max(v.Known, v.Alive, 1)
	if v.Alive == 1 {
		known = max(known, v.Seeds) // a daemon that has met nobody
	}
	p.most = max(p.most, known)
	p.share = float64(v.Alive) / float64(known)
	switch {
	case 2*v.Alive > known:
		p.minorSince = time.Time{}
	case p.minorSince.IsZero():
		p.minorSince = now
	}
}

// Main reports whether this part of the fleet may grant whole limits: it has more than half
// of the daemons, which holds for one part at most, or lost the others a moment ago.
func (p *Part) Main(now time.Time) bool {
	return p.joined && (p.minorSince.IsZero() || now.Sub(p.minorSince) < minorGrace)
}

// Limits returns what an owner may grant of a limit. A smaller part of the fleet uses its
// share of the reserve.
func (c Contract) Limits(now time.Time, p *Part, r Rate) Rate {
	switch {
	case p.Main(now):
		return r
	case !p.joined:
		return Rate{}
	}
	return c.reserve(r).part(p.share)
}

// Own returns what a daemon may use of a limit by itself while no owner answers.
func (c Contract) Own(p *Part, r Rate) Rate {
	if !p.joined || p.most == 0 {
		return Rate{}
	}
	return c.reserve(r).part(1 / float64(p.most))
}
