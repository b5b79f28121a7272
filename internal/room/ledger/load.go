package ledger

import (
	"math"

	"citronrock.example/citronrock/internal/route/pool"
)

// load returns the share of decode memory that the runs are expected to need.
func (l *Ledger) load() float64 {
	total, used := 0, 0
	for _, e := range l.engines {
		if e.Stage == pool.Decode {
			total += e.Tokens
		}
	}
	for _, r := range l.runs.all {
		used += r.Prompt + max(r.Expected, r.Generated)
	}
	if total == 0 {
		return 1
	}
	return float64(used) / float64(total)
}

// outputDeviation returns the standard deviation of outputs as a share of the
// expectation.
func (l *Ledger) outputDeviation() float64 { return math.Sqrt(l.outputVariance) }

// Load returns the number of runs, the number of queued requests and the share of
// decode memory that the runs are expected to need.
func (l *Ledger) Load() (runs, queued int, load float64) {
	return len(l.runs.all), len(l.queue), l.load()
}
