package ledger

import (
	"cmp"
	"math"
	"slices"
)

const (
	// block is the unit in which engines allot memory, in tokens.
	block = 16
	// overrun is the share of the expected output that a run is taken to have
	// left at least, since output lengths are spread about the expectation.
	overrun = 0.2
)

// growth is the memory that a run holds now, the tokens that it will add and the
// output that is expected of it in all.
type growth struct{ held, rest, expect int }

func (r *Run) growth() growth {
	rest := max(r.Expected-r.Generated, int(overrun*float64(r.Expected)))
	return growth{held: (r.Prompt + r.Generated + block - 1) / block * block, rest: rest, expect: r.Expected}
}

// deviation is the standard deviation of the memory that runs need, in tokens,
// where that of a single output is spread as a share of what is expected.
func deviation(runs []growth, spread float64) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += float64(r.expect) * float64(r.expect)
	}
	return spread * math.Sqrt(sum)
}

// peak returns the largest memory in tokens that runs on one engine will need
// together. An engine adds one token to each run in each step, so that the runs
// grow at the same rate and the memory of a run is free when its rest is made.
// The peak is reached just before the end of one of the runs.
func peak(runs []growth) int {
	slices.SortFunc(runs, func(a, b growth) int { return cmp.Compare(a.rest, b.rest) })
	held := 0
	for _, r := range runs {
		held += r.held
	}
	top := held
	for i, r := range runs {
		top = max(top, held+(len(runs)-i)*r.rest)
		held -= r.held
	}
	return top
}
