// Command slopes measures the cost of the control plane for each daemon, by the size
// of the fleet.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"citronrock.example/citronrock/internal/bench/slope"
)

func main() {
	seed := uint64(1)
	duration := 400 * time.Second
	sizes := []int{}
	flaggy.SetName("slopes")
	flaggy.SetDescription("Measures the cost of the control plane for each daemon, by the size of the fleet.")
	flaggy.UInt64(&seed, "s", "seed", "Seed of all runs.")
	flaggy.Duration(&duration, "t", "time", "Simulated time of each run.")
	flaggy.IntSlice(&sizes, "n", "daemons", "Number of daemons; repeat the flag for several runs.")
	flaggy.Parse()
	if len(sizes) == 0 {
		sizes = []int{4, 8, 16, 32, 64, 128, 350}
	}
	if err := slope.Report(os.Stdout, seed, sizes, duration); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
