package procs

import (
	"testing"

	"citronrock.example/citronrock/internal/bench/load"
)

// Guards against a capacity that is not inversely proportional to the prompt length,
// so that load factors would mean nothing.
func TestCapacity(t *testing.T) {
	for _, l := range workloads() {
		t.Run(l.name, func(t *testing.T) {
			base := Capacity(l.plan, l.classes)
			longer := append([]load.Class(nil), l.classes...)
			for i := range longer {
				longer[i].Prompt.Median *= 2
			}
			if got := Capacity(l.plan, longer); base <= 0 || got < 0.49*base || got > 0.51*base {
				t.Errorf("capacity %g falls to %g with prompts of twice the length", base, got)
			}
		})
	}
}
