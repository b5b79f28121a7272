// Command fleet runs a whole fleet of stand-ins and daemons on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"citronrock.example/citronrock/internal/bench/demo"
)

func main() {
	set := demo.Defaults()
	run := flaggy.NewSubcommand("demo")
	run.Description = "run the Agentschap's fleet under mixed traffic and check every answer"
	run.String(&set.Bin, "", "bin", "directory of the programs")
	run.String(&set.Work, "", "work", "directory for settings and logs")
	run.UInt64(&set.Seed, "", "seed", "seed of the load")
	run.Float64(&set.Rate, "", "rate", "requests a second")
	run.Duration(&set.Time, "", "time", "time of the load")
	run.Bool(&set.Direct, "", "direct", "use a round robin router instead of the daemons")
	run.Bool(&set.Keep, "", "keep", "leave all processes running")
	parser := flaggy.NewParser("fleet")
	parser.Description = "a fleet of stand-ins and daemons on this machine"
	parser.AttachSubcommand(run, 1)
	if err := parser.Parse(); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: %v; see fleet --help\n", err)
		os.Exit(2)
	}
	if !run.Used {
		parser.ShowHelpWithMessage("name the verb demo")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, set, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: the demo failed: %v\n", err)
		os.Exit(1)
	}
}
