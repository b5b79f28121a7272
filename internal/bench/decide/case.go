package decide

import (
	"time"

	"citronrock.example/citronrock/internal/bench/fakes"
	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/conf/policy"
)

// Modes of placement: the core, the core with one mechanism switched off, and
// simple baselines.
const (
	ModeCore    = "core"
	ModeReports = "noreserve" // places by load reports alone, without counting leases
	ModeOwner   = "noowner"   // each daemon places its own requests
	ModePrefix  = "noprefix"  // ignores prefix caches
	ModeRandom  = "random"    // random choice
	ModeLeast   = "least"     // least loaded by the last reports
	ModeTwo     = "two"       // power of two random choices
)

// Modes lists all modes in the order of the result table.
var Modes = []string{ModeCore, ModeReports, ModeOwner, ModePrefix, ModeRandom, ModeLeast, ModeTwo}

// Rates are the arrival rates of the cases, as multiples of Capacity.
var Rates = []float64{0.7, 1.0, 1.5, 2.0}

// Case is the configuration of one run of the benchmark.
type Case struct {
	Load loads.Load
	Mode string
	// Rate is the arrival rate as a multiple of Capacity.
	Rate float64
	// Faults makes engines crash at regular intervals.
	Faults bool
	Seed   uint64
	// Span is the measured simulated time, after the warm-up.
	Span time.Duration
}

// Cases returns all combinations of load, faults, rate and mode for a seed.
func Cases(seed uint64, span time.Duration) []Case {
	var all []Case
	for _, l := range loads.Operators() {
		for _, faults := range []bool{false, true} {
			for _, rate := range Rates {
				for _, mode := range Modes {
					all = append(all, Case{l, mode, rate, faults, seed, span})
				}
			}
		}
	}
	return all
}

// Run simulates a case and returns its result.
func Run(c Case) Result { return newFleet(c).run() }

// rate returns the arrivals per second.
func (c Case) rate() float64 { return c.Rate * Capacity(c.Load) }

// Capacity returns the requests per second that the engines of a load can serve
// when each shared block is cached, all prefill engines are busy and each decode
// engine runs as many requests as its slots and memory allow.
func Capacity(l loads.Load) float64 {
	prompt, rest, output := l.Means(1)
	prefill := float64(l.Prefill) * fakes.Speed / rest
	pieces := (prompt+output)/policy.BlockTokens + 0.5
	runs := min(fakes.Slots, fakes.Pieces/pieces)
	decode := float64(l.Decode) * runs / (output * fakes.StepTime(int(runs)).Seconds())
	return min(prefill, decode)
}
