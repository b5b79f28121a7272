package decide

import (
	"time"

	"citronrock.example/citronrock/internal/bench/fakes"
	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/conf/policy"
)

// Modes: the core, the core with one part switched off, and the baselines.
const (
	ModeCore    = "core"
	ModeReports = "noreserve"
	ModeOwner   = "noowner"
	ModePrefix  = "noprefix"
	ModeRandom  = "random"
	ModeLeast   = "least"
	ModeTwo     = "two"
)

// Modes lists all modes in the order of the table.
var Modes = []string{ModeCore, ModeReports, ModeOwner, ModePrefix, ModeRandom, ModeLeast, ModeTwo}

// Rates are multiples of the capacity.
var Rates = []float64{0.7, 1.0, 1.5, 2.0}

// Case is one run of the bench.
type Case struct {
	Load   loads.Load
	Mode   string
	Rate   float64
	Faults bool
	Seed   uint64
	// Span is the measured time, after the warm-up.
	Span time.Duration
}

// Cases returns all cases for a seed.
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

// Run plays a case.
func Run(c Case) Result { return newFleet(c).run() }

// rate returns the arrivals a second.
func (c Case) rate() float64 { return c.Rate * Capacity(c.Load) }

// Capacity returns the requests a second that the engines of a load can serve
// when each shared piece is cached, all prefill engines are busy and each decode
// engine runs as many requests as fit.
func Capacity(l loads.Load) float64 {
	prompt, rest, output := l.Means(1)
	prefill := float64(l.Prefill) * fakes.Speed / rest
	pieces := (prompt+output)/policy.BlockTokens + 0.5
	runs := min(fakes.Slots, fakes.Pieces/pieces)
	decode := float64(l.Decode) * runs / (output * fakes.StepTime(int(runs)).Seconds())
	return min(prefill, decode)
}
