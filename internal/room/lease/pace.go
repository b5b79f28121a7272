package lease

import (
	"slices"
	"time"
)

// Parameters of the rate of prefill engines. Prompts that wait for others are read
// slower, prompts that an engine still has in its cache are read in no time.
const (
	readSamples  = 16
	readQuantile = 0.75
	// leastApart is the difference of two prompts in tokens from which their times
	// tell the rate, and leastPairs the number of such pairs that are needed.
	leastApart = 500
	leastPairs = 20
	// mostGain bounds the rate as a multiple of what whole prefills show.
	mostGain = 2.0
)

// prefills estimates the rate at which prefill engines read prompts, from the last
// ones of one daemon.
type prefills struct {
	last []prefill
}

type prefill struct {
	tokens int
	took   time.Duration
}

// add takes a prefill.
func (p *prefills) add(tokens int, took time.Duration) {
	if len(p.last) == readSamples {
		p.last = p.last[1:]
	}
	p.last = append(p.last, prefill{tokens, took})
}

// pace is the rate in tokens a second, zero when it is not known. A part of each
// prefill does not depend on the prompt and keeps no other prompt waiting:
// connections, the way of the answer. The median of the slopes between pairs of
// prefills (Theil and Sen) leaves it out.
func (p *prefills) pace() float64 {
	if len(p.last) == 0 {
		return 0
	}
	var whole, slopes []float64
	for i, a := range p.last {
		whole = append(whole, float64(a.tokens)/a.took.Seconds())
		for _, b := range p.last[:i] {
			if d := a.tokens - b.tokens; d >= leastApart || d <= -leastApart {
				slopes = append(slopes, (a.took-b.took).Seconds()/float64(d))
			}
		}
	}
	slices.Sort(whole)
	plain := whole[int(readQuantile*float64(len(whole)-1))]
	if len(slopes) < leastPairs {
		return plain
	}
	slices.Sort(slopes)
	slope := slopes[len(slopes)/2]
	if slope*plain*mostGain < 1 {
		return plain * mostGain
	}
	return max(1/slope, plain)
}
