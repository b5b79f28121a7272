package cell

import (
	"maps"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// updateInterval is the number of outputs after which the quantile is computed
	// again, since a query of the sketch costs more than an addition.
	updateInterval = 32
	// maxSketchWeight is the weight above which all weights in the sketch are
	// halved, so that old outputs fade out.
	maxSketchWeight = 4096
)

// outputLength estimates the number of output tokens of a service's requests.
type outputLength struct {
	sketch      *ddsketch.DDSketch
	quantile    float64
	sinceUpdate int
	expected    uint32
}

// outputOf returns the estimate for a service.
func (m *Machine) outputOf(service string) *outputLength {
	o := m.outputLengths[service]
	if o == nil {
		s, _ := ddsketch.LogCollapsingLowestDenseDDSketch(0.02, 1024)
		o = &outputLength{sketch: s, quantile: m.quantile}
		m.outputLengths[service] = o
	}
	return o
}

// wasteRange is the part of the range from the base quantile to 1 that a service
// with a weight of 1 for wasted prefill uses.
const wasteRange = 0.9

// setWaste sets the quantile from the base quantile and the service's weight of
// wasted prefill against goodput, from 0 to 1. A request whose output exceeds its
// reservation may be preempted, and its prompt is then prefilled again; a higher
// quantile avoids that but lets fewer requests run at a time.
func (o *outputLength) setWaste(base, waste float64) {
	o.quantile = base + (1-base)*wasteRange*waste
}

// add counts the output of a completed request.
func (o *outputLength) add(tokens uint32) {
	if o.sketch == nil || tokens == 0 {
		return
	}
	_ = o.sketch.Add(float64(tokens))
	o.sinceUpdate++
	if o.sinceUpdate < updateInterval {
		return
	}
	o.sinceUpdate = 0
	if v, err := o.sketch.GetValueAtQuantile(o.quantile); err == nil {
		o.expected = uint32(v) + 1
	}
	if o.sketch.GetCount() > maxSketchWeight {
		_ = o.sketch.Reweight(0.5)
	}
}

// expect returns the number of output tokens to plan for, at most limit.
func (o *outputLength) expect(limit uint32) uint32 {
	if o.expected == 0 {
		return limit
	}
	return min(limit, o.expected)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
