// Command slopes measures what control costs a daemon by the size of the fleet.
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
	length := 400 * time.Second
	sizes := []int{}
	flaggy.SetName("slopes")
	flaggy.SetDescription("Measures what control costs a daemon by the size of the fleet.")
	flaggy.UInt64(&seed, "s", "seed", "Seed of all runs.")
	flaggy.Duration(&length, "t", "time", "Simulated time of each run.")
	flaggy.IntSlice(&sizes, "n", "daemons", "Number of daemons, repeated for several runs.")
	flaggy.Parse()
	if len(sizes) == 0 {
		sizes = []int{4, 8, 16, 32, 64, 128, 350}
	}
	if err := slope.Report(os.Stdout, seed, sizes, length); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
