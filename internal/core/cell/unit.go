package cell

import (
	"math"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/engine"
)

// unit is the account of one engine: its last report, corrected by what was
// granted and released since the time of the report.
type unit struct {
	name, domain, role, model string
	group                     *group
	id                        int
	checks, leaving           bool

	// lost is set while the report stream is broken.
	lost, reported bool
	incarnation    uint64
	// heard is when the last report came, asof the time of its figures.
	heard, asof time.Duration
	// back is when the engine came back, zero when it was never away.
	back time.Duration

	serving string
	// fence is the fencing number of the last order that the engine accepted.
	// Requests repeat it: two owners in a partition must not lock each other out.
	fence                uint64
	pieces, base         uint32
	slots, busy          uint32
	speed, link          float64
	gap                  time.Duration
	generation           uint64
	live                 []*grant
	held                 uint32
	pending, pendingRuns uint32
	credit, creditRuns   uint32
	done                 map[string]time.Duration
	orphans              map[string]orphan

	line line
	wire drain
}

// orphan is a run whose daemon is gone.
type orphan struct {
	// wait is the time between since and the first cancel.
	wait        time.Duration
	since, last time.Duration
	sent        bool
}

// reset forgets what reports said; the document's figures stay.
func (u *unit) reset() {
	*u = unit{
		name: u.name, domain: u.domain, role: u.role, model: u.model,
		group: u.group, id: u.id, checks: u.checks, leaving: u.leaving,
	}
}

// usable reports whether the engine may get new work.
func (u *unit) usable(at time.Duration) bool {
	switch {
	case u.leaving || u.lost || !u.reported:
		return false
	case at-u.heard > stale:
		return false
	case u.model != "" && u.serving != "" && u.model != u.serving:
		return false
	}
	return u.checks || at-u.group.since >= term
}

// room returns the pieces that may be granted now.
func (u *unit) room(at time.Duration, ramp time.Duration) uint32 {
	free := u.free()
	if !u.group.settled {
		// The old owner's grants may be missing in the reports seen so far.
		free = min(free, minus(u.base/4, u.pending))
	}
	if u.back > 0 && at-u.back < ramp {
		part := 0.125 + 0.875*float64(at-u.back)/float64(ramp)
		used := minus(u.pieces, u.free())
		free = min(free, minus(uint32(part*float64(u.pieces)), used))
	}
	return free
}

// free returns the engine's free pieces as accounted: the report's figure less
// the grants that it doesn't show plus what was released since. The sum of live
// grants bounds it, whatever the report says.
func (u *unit) free() uint32 {
	if u.group.plain {
		return u.base
	}
	free := minus(u.base+u.credit, u.pending)
	return min(free, minus(u.pieces, u.held))
}

// slack returns the free decode slots, at most math.MaxUint32 when the engine
// reports no limit.
func (u *unit) slack() uint32 {
	if u.slots == 0 {
		return math.MaxUint32
	}
	if u.group.plain {
		return minus(u.slots, u.busy)
	}
	return minus(u.slots+u.creditRuns, u.busy+u.pendingRuns)
}

// decodes and prefills tell what the role allows.
func (u *unit) decodes() bool  { return u.role != policy.RolePrefill }
func (u *unit) prefills() bool { return u.role != policy.RoleDecode }

// figures takes over the figures of a report.
func (u *unit) figures(at time.Duration, r *engine.Report) {
	u.heard, u.asof = at, at-r.GetLag().AsDuration()
	u.pieces, u.base = r.GetPieces(), r.GetFree()
	u.slots, u.busy = r.GetSlots(), r.GetBusy()
	u.speed, u.link = float64(r.GetSpeed()), float64(r.GetLink())
	u.gap = r.GetGap().AsDuration()
	u.serving, u.fence = r.GetModel(), r.GetFence()
	if r.GetRole() != "" {
		u.role = r.GetRole()
	}
	u.reported, u.lost = true, false
}

// prefillTime returns the time to prefill tokens, zero when no speed is known.
func (u *unit) prefillTime(tokens uint32) time.Duration {
	if u.speed <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / u.speed * float64(time.Second))
}

func minus(a, b uint32) uint32 {
	if b >= a {
		return 0
	}
	return a - b
}
