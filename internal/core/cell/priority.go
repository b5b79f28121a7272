package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorityDecay is the time constant of the average prefill work of a priority.
	priorityDecay = 5 * time.Second
	// maxPriorities bounds the number of priorities with an average of their own,
	// since callers choose them. Further ones count towards the next less urgent
	// one, or the least urgent one.
	maxPriorities = 16
	// overtakingShare is the part of the more urgent work that lengthens an
	// estimated wait. With all of it, less urgent requests are refused that would
	// meet their target at full capacity; with none, more are granted that miss it.
	overtakingShare = 0.5
	// maxUrgentShare bounds the share of the prefill time that more urgent work is
	// assumed to take.
	maxUrgentShare = 0.8
)

// priorityLoad measures the prefill work that is granted at each priority. It
// estimates how much more urgent work will arrive later and overtake a request
// that waits in a prefill queue.
type priorityLoad struct {
	updated time.Duration
	rows    []priorityRow
}

type priorityRow struct {
	priority uint32
	// work is in seconds and decays exponentially with priorityDecay.
	work float64
}

// add counts the prefill work of a new lease.
func (l *priorityLoad) add(at time.Duration, priority uint32, work time.Duration) {
	decay := math.Exp(-float64(at-l.updated) / float64(priorityDecay))
	l.updated = at
	for i := range l.rows {
		l.rows[i].work *= decay
	}
	i, found := slices.BinarySearchFunc(l.rows, priority, func(r priorityRow, p uint32) int { return cmp.Compare(r.priority, p) })
	switch {
	case found:
	case len(l.rows) < maxPriorities:
		l.rows = slices.Insert(l.rows, i, priorityRow{priority: priority})
	default:
		i = min(i, maxPriorities-1)
	}
	l.rows[i].work += work.Seconds()
}

// share returns the share of the time of n prefill engines that requests more
// urgent than a priority take.
func (l *priorityLoad) share(priority uint32, n int) float64 {
	sum := 0.0
	for _, r := range l.rows {
		if r.priority >= priority {
			break
		}
		sum += r.work
	}
	return min(maxUrgentShare, sum/(priorityDecay.Seconds()*float64(max(n, 1))))
}
