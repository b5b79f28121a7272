// Command fleet runs daemons and simulated backend servers on this machine, as a demo
// or to measure latency and goodput.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"citronrock.example/citronrock/internal/bench/delay"
	"citronrock.example/citronrock/internal/bench/demo"
	"citronrock.example/citronrock/internal/bench/procs"
)

func main() {
	demoSettings := demo.Defaults()
	demoCmd := flaggy.NewSubcommand("demo")
	demoCmd.Description = "run the fleet of the Agentschap under mixed load and check every answer"
	demoCmd.String(&demoSettings.Bin, "", "bin", "directory with the executables")
	demoCmd.String(&demoSettings.Work, "", "work", "directory for settings and logs")
	demoCmd.UInt64(&demoSettings.Seed, "", "seed", "seed of the load")
	demoCmd.Float64(&demoSettings.Rate, "", "rate", "requests per second")
	demoCmd.Duration(&demoSettings.Time, "", "time", "duration of the load")
	demoCmd.Bool(&demoSettings.Direct, "", "direct", "use a round-robin router instead of the daemons")
	demoCmd.Bool(&demoSettings.Keep, "", "keep", "keep all processes running at the end")
	latencySettings := delay.Defaults()
	latencyCmd := flaggy.NewSubcommand("latency")
	latencyCmd.Description = "measure the latency that a daemon adds and the processor time that it uses"
	latencyCmd.String(&latencySettings.Bin, "", "bin", "directory with the executables")
	latencyCmd.String(&latencySettings.Work, "", "work", "directory for settings and logs")
	latencyCmd.UInt64(&latencySettings.Seed, "", "seed", "seed of the order of requests")
	latencyCmd.Int(&latencySettings.Requests, "", "requests", "number of requests in each latency case")
	latencyCmd.Duration(&latencySettings.Time, "", "time", "duration of each processor time case")
	latencyCmd.Int(&latencySettings.Streams, "", "streams", "concurrent streams, up to 600")
	latencyCmd.Duration(&latencySettings.Gap, "", "gap", "time between tokens")
	latencyCmd.String(&latencySettings.Case, "", "case", "run this case only")
	benchSettings := procs.Defaults()
	benchCmd := flaggy.NewSubcommand("bench")
	benchCmd.Description = "measure goodput and wasted prefill under both workloads, with and without daemons"
	benchCmd.String(&benchSettings.Bin, "", "bin", "directory with the executables")
	benchCmd.String(&benchSettings.Work, "", "work", "directory for settings and logs")
	benchCmd.UInt64(&benchSettings.Seed, "", "seed", "seed of the load")
	benchCmd.Duration(&benchSettings.Time, "", "time", "duration of arrivals in each case")
	benchCmd.String(&benchSettings.Load, "", "load", "run this workload only: agentschap or xenho")
	parser := flaggy.NewParser("fleet")
	parser.Description = "daemons and simulated backend servers on this machine"
	parser.AttachSubcommand(demoCmd, 1)
	parser.AttachSubcommand(latencyCmd, 1)
	parser.AttachSubcommand(benchCmd, 1)
	if err := parser.Parse(); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: %v; see fleet --help\n", err)
		os.Exit(2)
	}
	if !demoCmd.Used && !latencyCmd.Used && !benchCmd.Used {
		parser.ShowHelpWithMessage("specify one of the subcommands demo, latency and bench")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	name, work := "demo", func() error { return demo.Run(ctx, demoSettings, os.Stdout) }
	if latencyCmd.Used {
		name, work = "measurement", func() error { return delay.Run(ctx, latencySettings, os.Stdout) }
	}
	if benchCmd.Used {
		name, work = "bench", func() error { return procs.Run(ctx, benchSettings, os.Stdout) }
	}
	if err := work(); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: the %s failed: %v\n", name, err)
		os.Exit(1)
	}
}
