package parts

import (
	"math/bits"
	"slices"
	"time"
)

// byCause returns for each crash of a suspect which cause it counts as, from 0, and the
// number of causes.
func (s *suspect) byCause() (causes map[string]int, n int) {
	order := make([]int, len(s.crashes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return s.times[a].Compare(s.times[b]) })
	causes = make(map[string]int, len(order))
	var last time.Time
	for _, i := range order {
		if at := s.times[i]; n == 0 || at.Sub(last) >= sameCause {
			n, last = n+1, at
		}
		causes[s.crashes[i]] = n - 1
	}
	return causes, n
}

// causeSet is a set of causes, of which there are no more than runs.
type causeSet [maxRuns / 64]uint64

func (c *causeSet) add(cause int) { c[cause/64] |= 1 << (cause % 64) }

// contents returns the number of contents that explain the crashes with these causes, limit
// at most, by a greedy cover. A content explains a crash that broke off a run of it, whether
// that had the suspected part or not: a request may crash engines on which harmless ones
// with the part run.
func (t *Table) contents(causes map[string]int, limit int) int {
	var open causeSet
	explains := make([]causeSet, 0, len(t.runs))
	fingerprints := make([]uint64, 0, len(t.runs))
	index := map[uint64]int{}
	for _, r := range t.runs {
		cause, ok := causes[r.Crash]
		if !ok {
			continue
		}
		i, ok := index[r.Content]
		if !ok || r.Content == 0 {
			i = len(explains)
			index[r.Content] = i
			explains, fingerprints = append(explains, causeSet{}), append(fingerprints, r.Content)
		}
		explains[i].add(cause)
		open.add(cause)
	}
	for n := range limit {
		if open == (causeSet{}) {
			return n
		}
		best, most := 0, 0
		for i, set := range explains {
			left := 0
			for w := range set {
				left += bits.OnesCount64(set[w] & open[w])
			}
			// The order by fingerprint makes daemons that know the same runs agree.
			if left > most || left == most && fingerprints[i] > fingerprints[best] {
				best, most = i, left
			}
		}
		for w := range open {
			open[w] &^= explains[best][w]
		}
	}
	return limit
}
