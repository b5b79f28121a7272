package decide

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
)

// deathAt is when the owner dies, and suspectTime when the others notice.
const (
	deathAt     = 20 * time.Second
	suspectTime = 3 * time.Second
)

// playOwner starts a case, in which the owner of the cell may die.
func playOwner(c Case, dies bool) (f *fleet, owner *daemon) {
	f = newFleet(c)
	f.arrivals(loads.New(c.Load, c.Seed), warm+c.Span)
	f.q.Run(f.start.Add(deathAt))
	for _, d := range f.daemons {
		if d.watches("") {
			owner = d
		}
	}
	owner.gone = dies
	f.q.Run(f.start.Add(deathAt + suspectTime))
	alive := map[string]uint64{}
	for _, d := range f.daemons {
		if !d.gone {
			alive[d.name] = incarnation
		}
	}
	for _, d := range f.daemons {
		if !d.gone {
			d.join(alive)
		}
	}
	return f, owner
}

// goodAfter counts the requests of the edges other than skip that arrived after from
// and met their targets.
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

// Guards against engine memory that stays held for the callers of a dead edge.
// The answers are so long that none ends by itself in that time.
func TestOwnerDiesMemoryIsFreed(t *testing.T) {
	for _, l := range loads.Operators() {
		t.Run(l.Name, func(t *testing.T) {
			l.Output, l.MaxOutput, l.Timeout = 2000, 4000, 2*time.Minute
			f, owner := playOwner(Case{Load: l, Mode: ModeCore, Rate: 2, Seed: 4, Span: 30 * time.Second}, true)
			if f.heldFor(owner) == 0 {
				t.Fatal("engines hold nothing for the dead edge")
			}
			f.q.Run(f.start.Add(deathAt + 8*time.Second))
			if n := f.heldFor(owner); n > 0 {
				t.Errorf("engines hold %d requests 8 s after the edge's death", n)
			}
		})
	}
}

// heldFor counts the requests that engines hold for an edge.
func (f *fleet) heldFor(d *daemon) int {
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

// Guards against a cell that stays without grants after its owner has died: from
// 8 s after the death on, the goodput is that of the same arrivals without it.
func TestOwnerDiesGrantsResume(t *testing.T) {
	for _, l := range loads.Operators() {
		t.Run(l.Name, func(t *testing.T) {
			c := Case{Load: l, Mode: ModeCore, Rate: 0.5, Seed: 4, Span: 30 * time.Second}
			end := warm + c.Span + l.Timeout
			f, owner := playOwner(c, true)
			f.q.Run(f.start.Add(end))
			g, _ := playOwner(c, false)
			g.q.Run(g.start.Add(end))
			with, without := f.goodAfter(deathAt+8*time.Second, owner), g.goodAfter(deathAt+8*time.Second, owner)
			if with*100 < without*95 || without < 20 {
				t.Errorf("%d requests met their targets, %d without the death", with, without)
			}
		})
	}
}
