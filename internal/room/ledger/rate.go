package ledger

import (
	"slices"
	"time"
)

// Parameters of the estimated prefill rate. Prefills that queue behind others take
// longer, and prompts in the prefix cache of the engine take almost no time.
const (
	// rateSamples is the number of prefills that one daemon keeps, pooledSamples that which
	// the owner of a service keeps of all daemons.
	rateSamples   = 16
	pooledSamples = 48
	// minPooled is the number of pooled prefills from which they replace the estimates of
	// single daemons, and pooledTTL the age from which one counts only while there are
	// fewer.
	minPooled    = 8
	pooledTTL    = 4 * time.Second
	rateQuantile = 0.75
	// pooledQuantile is the quantile of the pooled rates that counts. Most prefills have no
	// queue besides what their owner knows of. Slopes between prefills of different
	// engines say nothing about a fixed part.
	pooledQuantile = 0.55
	// slowQuantile is the share of prefills that are slower than the rate by which decode
	// engines prefill prompts themselves. Engines of one service differ in speed, and a
	// prefill that takes longer than expected there stalls the runs of the engine.
	slowQuantile = 0.1
	// minTokenDiff is the least difference in tokens between two prompts whose times
	// are compared, and minPairs the number of such pairs that are needed.
	minTokenDiff = 500
	minPairs     = 20
	// maxSlopeGain bounds the estimate as a multiple of the rate that whole prefills
	// show.
	maxSlopeGain = 2.0
)

// Prefill is the time that one prefill took at an engine.
type Prefill struct {
	// Number counts the prefills of one incarnation of an edge daemon.
	Number uint64 `cbor:"1,keyasint"`
	// Tokens are those of the prompt and of what was ahead of it in the engine's queue.
	Tokens int           `cbor:"2,keyasint"`
	Took   time.Duration `cbor:"3,keyasint"`
	at     time.Time
}

// PrefillRate estimates the rate of prefill engines from the latest prefills.
type PrefillRate struct {
	samples []Prefill
}

// Add records a prefill of one daemon.
func (e *PrefillRate) Add(p Prefill) { e.add(p, rateSamples) }

func (e *PrefillRate) add(p Prefill, most int) {
	if len(e.samples) >= most {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, p)
}

// Newest returns the newest prefills, n at most.
func (e *PrefillRate) Newest(n int) []Prefill {
	return slices.Clone(e.samples[max(len(e.samples)-n, 0):])
}

// Estimate returns the rate in tokens a second, zero while it is not known. A part
// of each prefill, such as the connection and the response, does not depend on the
// prompt and doesn't delay other prompts. The median of the slopes between pairs of
// prefills (Theil-Sen estimator) excludes it.
func (e *PrefillRate) Estimate() float64 {
	if len(e.samples) == 0 {
		return 0
	}
	var rates, slopes []float64
	for i, a := range e.samples {
		rates = append(rates, float64(a.Tokens)/a.Took.Seconds())
		for _, b := range e.samples[:i] {
			if d := a.Tokens - b.Tokens; d >= minTokenDiff || d <= -minTokenDiff {
				slopes = append(slopes, (a.Took-b.Took).Seconds()/float64(d))
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

// pooledRate is the estimate of the owner from the prefills of all daemons. Each daemon has
// few of them, so that its own estimate stays at the times of a congestion for long after
// that has gone, or until it has seen enough of them after a start.
type pooledRate struct {
	PrefillRate
	rate float64
	// low is the rate that slowQuantile of the prefills don't reach.
	low float64
}

// addAll adds the prefills of a report that are newer than the last one of its daemon, and
// returns the number of the newest.
func (p *pooledRate) addAll(now time.Time, reported []Prefill, last uint64) uint64 {
	added := false
	for _, r := range reported {
		if r.Number <= last || r.Tokens <= 0 || r.Took <= 0 {
			continue
		}
		r.at, last, added = now, r.Number, true
		p.add(r, pooledSamples)
	}
	if !added {
		return last
	}
	for len(p.samples) > minPooled && now.Sub(p.samples[0].at) > pooledTTL {
		p.samples = p.samples[1:]
	}
	if len(p.samples) >= minPooled {
		p.rate, p.low = p.quantile(pooledQuantile), p.quantile(slowQuantile)
	}
	return last
}

// quantile returns a quantile of the rates of whole prefills in tokens a second.
func (e *PrefillRate) quantile(share float64) float64 {
	rates := make([]float64, 0, len(e.samples))
	for _, s := range e.samples {
		rates = append(rates, float64(s.Tokens)/s.Took.Seconds())
	}
	slices.Sort(rates)
	return rates[int(share*float64(len(rates)-1))]
}
