// Package proof tests what must always hold (section 1.2 of the design) under
// faults (section 1.5) in fleets of real processes. It has tests only.
package proof
