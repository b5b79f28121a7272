package parts

import (
	"cmp"
	"slices"
	"time"
)

// Tick judges the crashes that have settled and releases parts. It returns the verdicts
// that changed.
func (t *Table) Tick(now time.Time) []Verdict {
	t.runs = slices.DeleteFunc(t.runs, func(r Run) bool {
		expired := now.Sub(r.At) >= crashTTL
		if expired {
			t.count(r, -1)
		}
		return expired
	})
	var out []Verdict
	for p, v := range t.verdicts {
		switch {
		case v.blocked() && now.Sub(v.SeenAt) >= quietTime:
			v.Ended = now
			v.Round++
			out = append(out, *v)
		case !v.blocked() && now.Sub(v.Ended) >= memoryTime:
			delete(t.verdicts, p)
		}
	}
	if t.dirtyAt.IsZero() || now.Sub(t.dirtyAt) < settleTime {
		return out
	}
	t.dirtyAt = time.Time{}
	for {
		s := t.worst(now)
		if s == nil || !t.makeRoom(s.part) {
			return out
		}
		v := &Verdict{Part: s.part, Since: now, SeenAt: now, Crashes: s.crashes, Round: 1}
		if old := t.verdicts[s.part]; old != nil {
			v.Round = old.Round + 1
		}
		t.verdicts[s.part] = v
		out = append(out, *v)
	}
}

// suspect is a part with the crashes that speak against it.
type suspect struct {
	part Part
	// crashes are the processes, times when they crashed.
	crashes []string
	times   []time.Time
	// causes is the number of crashes that can't have had one cause other than the part.
	causes int
	// place is the greatest index of the part in a prompt.
	place int
	// known is set if sound requests are known to share the part.
	known bool
}

// worst returns the part that explains most of the crashes that no blocked part explains,
// nil if none has enough of them. Of parts that explain the same, one that no sound
// request is known to share comes first, then the one that comes last in the prompts:
// fewest other requests have that.
func (t *Table) worst(now time.Time) *suspect {
	suspects := map[Part]*suspect{}
	explained := t.explained()
	for _, r := range t.runs {
		if explained[r.Crash] {
			continue
		}
		for i, id := range r.Parts {
			p := Part{r.Service, id}
			at, known := t.sound[p]
			if known && !r.At.After(at) {
				continue // a run with it has gone on since
			}
			s := suspects[p]
			if s == nil {
				s = &suspect{part: p, known: known && r.At.Sub(at) < soundHistory}
				suspects[p] = s
			}
			s.place = max(s.place, i)
			if !slices.Contains(s.crashes, r.Crash) {
				s.crashes, s.times = append(s.crashes, r.Crash), append(s.times, r.At)
			}
		}
	}
	var best *suspect
	for _, s := range suspects {
		crashes, contents := t.needed(now, s)
		if len(s.crashes) < crashes {
			continue
		}
		causes, n := s.byCause()
		if s.causes = n; n >= crashes && (best == nil || s.compare(best) > 0) && t.contents(causes, contents) >= contents {
			best = s
		}
	}
	return best
}

// explained returns the crashes under runs that had a blocked part.
func (t *Table) explained() map[string]bool {
	out := map[string]bool{}
	for _, r := range t.runs {
		for _, id := range r.Parts {
			if t.verdicts[Part{r.Service, id}].blocked() {
				out[r.Crash] = true
			}
		}
	}
	return out
}

// needed returns the numbers of crashes and of contents from which a part is blocked.
func (t *Table) needed(now time.Time, s *suspect) (crashes, contents int) {
	v := t.verdicts[s.part]
	switch {
	case v != nil && !v.Sound && now.Sub(v.Ended) < memoryTime:
		return repeatCrashes, 1
	case s.known:
		return knownCrashes, minContents
	}
	return unknownCrashes, minContents
}

// compare returns a positive number if s is to be blocked before o.
func (s *suspect) compare(o *suspect) int {
	known := func(s *suspect) int {
		if s.known {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(known(s), known(o)), cmp.Compare(s.causes, o.causes), cmp.Compare(s.place, o.place),
		cmp.Compare(s.part.Service, o.part.Service), cmp.Compare(s.part.ID, o.part.ID))
}
