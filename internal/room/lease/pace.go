package lease

import (
	"slices"
	"time"
)

// Parameters of the estimated prefill rate. Prefills that queue behind others take
// longer, and prompts in the prefix cache of the engine take almost no time.
const (
	rateSamples  = 16
	rateQuantile = 0.75
	// minTokenDiff is the least difference in tokens between two prompts whose times
	// are compared, and minPairs the number of such pairs that are needed.
	minTokenDiff = 500
	minPairs     = 20
	// maxSlopeGain bounds the estimate as a multiple of the rate that whole prefills
	// show.
	maxSlopeGain = 2.0
)

// rateEstimator estimates the rate of prefill engines from the latest prefills of
// one daemon.
type rateEstimator struct {
	samples []sample
}

type sample struct {
	tokens int
	took   time.Duration
}

// add records a prefill.
func (e *rateEstimator) add(tokens int, took time.Duration) {
	if len(e.samples) == rateSamples {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, sample{tokens, took})
}

// estimate returns the rate in tokens a second, zero while it is not known. A part
// of each prefill, such as the connection and the response, does not depend on the
// prompt and doesn't delay other prompts. The median of the slopes between pairs of
// prefills (Theil-Sen estimator) excludes it.
func (e *rateEstimator) estimate() float64 {
	if len(e.samples) == 0 {
		return 0
	}
	var rates, slopes []float64
	for i, a := range e.samples {
		rates = append(rates, float64(a.tokens)/a.took.Seconds())
		for _, b := range e.samples[:i] {
			if d := a.tokens - b.tokens; d >= minTokenDiff || d <= -minTokenDiff {
				slopes = append(slopes, (a.took-b.took).Seconds()/float64(d))
			}
		}
	}
	slices.Sort(rates)
	wholeRate := rates[int(rateQuantile*float64(len(rates)-1))]
	if len(slopes) < minPairs {
		return wholeRate
	}
	slices.Sort(slopes)
	slope := slopes[len(slopes)/2]
	if slope*wholeRate*maxSlopeGain < 1 {
		return wholeRate * maxSlopeGain
	}
	return max(1/slope, wholeRate)
}
