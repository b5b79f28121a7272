package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rankTime is the time over which the prefill work of a priority is averaged.
	rankTime = 5 * time.Second
	// rankLimit bounds the priorities that are told apart, since callers choose
	// them; further ones count as the least urgent one that is known.
	rankLimit = 16
	// overtaken is the part of the more urgent work by which a wait grows. With
	// all of it, less urgent requests were refused at the capacity that would
	// have met their target; with none, more were granted that missed it.
	overtaken = 0.5
	// rankMost bounds the share that more urgent work is assumed to take.
	rankMost = 0.8
)

// ranks measures the prefill work that is granted at each priority. More urgent
// requests that come later overtake a request that waits for its prefill.
type ranks struct {
	at   time.Duration
	rows []rank
}

type rank struct {
	priority uint32
	// work is in seconds, decayed with rankTime.
	work float64
}

// add counts granted work.
func (k *ranks) add(at time.Duration, priority uint32, work time.Duration) {
	decay := math.Exp(-float64(at-k.at) / float64(rankTime))
	k.at = at
	for i := range k.rows {
		k.rows[i].work *= decay
	}
	i, found := slices.BinarySearchFunc(k.rows, priority, func(r rank, p uint32) int { return cmp.Compare(r.priority, p) })
	switch {
	case found:
	case len(k.rows) < rankLimit:
		k.rows = slices.Insert(k.rows, i, rank{priority: priority})
	default:
		i = min(i, rankLimit-1)
	}
	k.rows[i].work += work.Seconds()
}

// share returns the part of the time of n prefill engines that requests more
// urgent than a priority take.
func (k *ranks) share(priority uint32, n int) float64 {
	sum := 0.0
	for _, r := range k.rows {
		if r.priority >= priority {
			break
		}
		sum += r.work
	}
	return min(rankMost, sum/(rankTime.Seconds()*float64(max(n, 1))))
}
