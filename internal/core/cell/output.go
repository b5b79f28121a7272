package cell

import (
	"maps"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// refresh is the number of outputs after which the quantile is computed
	// again, since a query costs more than an addition.
	refresh = 32
	// window is the weight at which old outputs are halved.
	window = 4096
)

// output estimates how many tokens a service's answers have.
type output struct {
	sketch   *ddsketch.DDSketch
	quantile float64
	fresh    int
	expected uint32
}

// output returns the estimate of a service.
func (m *Machine) output(service string) *output {
	o := m.outputs[service]
	if o == nil {
		s, _ := ddsketch.LogCollapsingLowestDenseDDSketch(0.02, 1024)
		o = &output{sketch: s, quantile: m.quantile}
		m.outputs[service] = o
	}
	return o
}

// wasteShare is the part of the range above the base quantile that a service
// uses whose weight of wasted prefill is 1.
const wasteShare = 0.9

// weigh sets the quantile from the base and the service's weight of wasted
// prefill against goodput, from 0 to 1. An answer that outgrows its reservation
// may be preempted, and its prefill is then computed again; a higher quantile
// avoids that and lets fewer answers run at a time.
func (o *output) weigh(base, waste float64) {
	o.quantile = base + (1-base)*wasteShare*waste
}

// add counts a complete answer.
func (o *output) add(tokens uint32) {
	if o.sketch == nil || tokens == 0 {
		return
	}
	_ = o.sketch.Add(float64(tokens))
	o.fresh++
	if o.fresh < refresh {
		return
	}
	o.fresh = 0
	if v, err := o.sketch.GetValueAtQuantile(o.quantile); err == nil {
		o.expected = uint32(v) + 1
	}
	if o.sketch.GetCount() > window {
		_ = o.sketch.Reweight(0.5)
	}
}

// expect returns the tokens to reserve for an answer of at most limit tokens.
func (o *output) expect(limit uint32) uint32 {
	if o.expected == 0 {
		return limit
	}
	return min(limit, o.expected)
}

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
