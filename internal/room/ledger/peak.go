package ledger

import (
	"cmp"
	"math"
	"slices"
)

const (
	// kvBlock is the allocation unit of KV cache memory, in tokens.
	kvBlock = 16
	// minRemainingShare is the share of the expected output that a run is always
	// assumed to have left, since outputs may exceed the expectation.
	minRemainingShare = 0.2
)

// growth is the memory of a run in tokens: what it holds now, what it will add, and
// the output expected of it in all.
type growth struct{ held, remaining, expected int }

func (r *Run) growth() growth {
	rest := max(r.Expected-r.Generated, int(minRemainingShare*float64(r.Expected)))
	return growth{held: (r.Prompt + r.Generated + kvBlock - 1) / kvBlock * kvBlock, remaining: rest, expected: r.Expected}
}

// deviation returns the standard deviation in tokens of the total output of some
// runs, given the standard deviation of one output as a share of the expectation.
func deviation(runs []growth, spread float64) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += float64(r.expected) * float64(r.expected)
	}
	return spread * math.Sqrt(sum)
}

// peak returns the largest amount of memory in tokens that the runs on one engine
// will hold together. An engine adds one token to each run per step, so that all
// runs grow at the same rate and a run frees its memory after its remaining tokens.
// The peak is therefore reached just before one of the runs ends.
func peak(runs []growth) int {
	slices.SortFunc(runs, func(a, b growth) int { return cmp.Compare(a.remaining, b.remaining) })
	held := 0
	for _, r := range runs {
		held += r.held
	}
	top := held
	for i, r := range runs {
		top = max(top, held+(len(runs)-i)*r.remaining)
		held -= r.held
	}
	return top
}
