// Package proof tests the invariants of the router (section 1.2 of the design) under
// the faults of section 1.5, such as process death, pauses and network partitions, in
// fleets of real processes. It contains only tests.
package proof
