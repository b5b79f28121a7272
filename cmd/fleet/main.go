// Command fleet runs a whole fleet of stand-ins and daemons on this machine.
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
	slow := delay.Defaults()
	latency := flaggy.NewSubcommand("latency")
	latency.Description = "measure the latency that a daemon adds and its processor time"
	latency.String(&slow.Bin, "", "bin", "directory of the programs")
	latency.String(&slow.Work, "", "work", "directory for settings and logs")
	latency.UInt64(&slow.Seed, "", "seed", "seed of the order of requests")
	latency.Int(&slow.Requests, "", "requests", "requests in each case of latency")
	latency.Duration(&slow.Time, "", "time", "time of each case of processor time")
	latency.Int(&slow.Streams, "", "streams", "concurrent streams, up to 600")
	latency.Duration(&slow.Gap, "", "gap", "time between tokens")
	latency.String(&slow.Case, "", "case", "the only case to run")
	pace := procs.Defaults()
	bench := flaggy.NewSubcommand("bench")
	bench.Description = "measure goodput and wasted prefill of both workloads, with daemons and without"
	bench.String(&pace.Bin, "", "bin", "directory of the programs")
	bench.String(&pace.Work, "", "work", "directory for settings and logs")
	bench.UInt64(&pace.Seed, "", "seed", "seed of the load")
	bench.Duration(&pace.Time, "", "time", "time of arrivals in each case")
	bench.String(&pace.Load, "", "load", "the only workload to run, agentschap or xenho")
	parser := flaggy.NewParser("fleet")
	parser.Description = "a fleet of stand-ins and daemons on this machine"
	parser.AttachSubcommand(run, 1)
	parser.AttachSubcommand(latency, 1)
	parser.AttachSubcommand(bench, 1)
	if err := parser.Parse(); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: %v; see fleet --help\n", err)
		os.Exit(2)
	}
	if !run.Used && !latency.Used && !bench.Used {
		parser.ShowHelpWithMessage("name one of the verbs demo, latency and bench")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	name, work := "demo", func() error { return demo.Run(ctx, set, os.Stdout) }
	if latency.Used {
		name, work = "measurement", func() error { return delay.Run(ctx, slow, os.Stdout) }
	}
	if bench.Used {
		name, work = "bench", func() error { return procs.Run(ctx, pace, os.Stdout) }
	}
	if err := work(); err != nil {
		fmt.Fprintf(os.Stderr, "fleet: the %s failed: %v\n", name, err)
		os.Exit(1)
	}
}
