package decide

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
)

// deathAt is the time of the death of the owner, and detectionTime the time from
// then until it is removed from the membership.
const (
	deathAt       = 20 * time.Second
	detectionTime = 3 * time.Second
)

// runOwnerDeath runs a case until the death of the cell's owner is detected. If
// dies is false, the owner lives on, for comparison.
func runOwnerDeath(c Case, dies bool) (f *fleet, owner *daemon) {
	f = newFleet(c)
	f.arrivals(loads.New(c.Load, c.Seed), warmup+c.Span)
	f.q.Run(f.start.Add(deathAt))
	for _, d := range f.daemons {
		if d.watches("") {
			owner = d
		}
	}
	owner.dead = dies
	f.q.Run(f.start.Add(deathAt + detectionTime))
	alive := map[string]uint64{}
	for _, d := range f.daemons {
		if !d.dead {
			alive[d.name] = incarnation
		}
	}
	for _, d := range f.daemons {
		if !d.dead {
			d.setMembers(alive)
		}
	}
	return f, owner
}

// goodAfter counts the requests that arrived from the given time on at other edges
// than skip and met their latency targets.
func (f *fleet) goodAfter(from time.Duration, skip *daemon) int {
	n := 0
	for _, q := range f.records {
		var none Result
		if q.At >= from && f.daemons[q.Edge%daemons].name != skip.name && f.count(&none, q, 1) {
			n++
		}
	}
	return n
}

// Guards against engine memory that stays reserved for the requests of a dead
// edge daemon. The answers are so long that none ends by itself in that time.
func TestOwnerDiesMemoryIsFreed(t *testing.T) {
	for _, l := range loads.Operators() {
		t.Run(l.Name, func(t *testing.T) {
			l.Output, l.MaxOutput, l.Timeout = 2000, 4000, 2*time.Minute
			f, owner := runOwnerDeath(Case{Load: l, Mode: ModeCore, Rate: 2, Seed: 4, Span: 30 * time.Second}, true)
			if f.reservedFor(owner) == 0 {
				t.Fatal("engines have no requests of the dead edge")
			}
			f.q.Run(f.start.Add(deathAt + 8*time.Second))
			if n := f.reservedFor(owner); n > 0 {
				t.Errorf("engines still have %d requests 8 s after the edge's death", n)
			}
		})
	}
}

// reservedFor counts the requests of an edge daemon in the load reports of all
// engines.
func (f *fleet) reservedFor(d *daemon) int {
	n := 0
	for _, e := range f.order {
		for _, r := range e.Report().GetRunning() {
			if r.GetInstance() == d.name {
				n++
			}
		}
	}
	return n
}

// Guards against a failed takeover that leaves a cell without leases after its
// owner's death: from 8 s after the death on, the goodput must reach 95 % of that
// of the same arrivals without it.
func TestOwnerDiesGrantsResume(t *testing.T) {
	for _, l := range loads.Operators() {
		t.Run(l.Name, func(t *testing.T) {
			c := Case{Load: l, Mode: ModeCore, Rate: 0.5, Seed: 4, Span: 30 * time.Second}
			end := warmup + c.Span + l.Timeout
			f, owner := runOwnerDeath(c, true)
			f.q.Run(f.start.Add(end))
			g, _ := runOwnerDeath(c, false)
			g.q.Run(g.start.Add(end))
			with, without := f.goodAfter(deathAt+8*time.Second, owner), g.goodAfter(deathAt+8*time.Second, owner)
			if with*100 < without*95 || without < 20 {
				t.Errorf("%d requests met their targets, %d without the death", with, without)
			}
		})
	}
}
