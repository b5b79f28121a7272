// Command standin runs a simulated backend server or the simulated platform.
package main

import (
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/stand/platfm"
)

// crashExitCode is the exit code of an injected crash.
const crashExitCode = 70

// server is a simulated server.
type server interface {
	Listen(addr netip.AddrPort) error
	Addr() netip.AddrPort
	Close() error
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", JSONFormat: true, Output: os.Stderr})
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	parser := flaggy.NewParser("standin")
	parser.Description = "simulated backend servers and platform"
	builders := map[*flaggy.Subcommand]func() server{}
	for _, add := range []func(*netip.AddrPort) (*flaggy.Subcommand, func() server){addEngine, addPlain, addPlatform} {
		sub, build := add(&addr)
		parser.AttachSubcommand(sub, 1)
		builders[sub] = build
	}
	if err := parser.Parse(); err != nil {
		log.Error("invalid arguments; see standin --help", "error", err.Error())
		os.Exit(2)
	}
	for sub, build := range builders {
		if sub.Used {
			os.Exit(run(log, build(), addr))
		}
	}
	parser.ShowHelpWithMessage("specify one of the subcommands engine, plain and platform")
	os.Exit(2)
}

// run serves until SIGINT or SIGTERM and returns the exit code.
func run(log hclog.Logger, s server, addr netip.AddrPort) int {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	if err := s.Listen(addr); err != nil {
		log.Error("cannot listen", "error", err.Error())
		return 1
	}
	log.Info("listening", "address", s.Addr().String())
	<-stop
	_ = s.Close()
	return 0
}

func crash() { os.Exit(crashExitCode) }

func addEngine(addr *netip.AddrPort) (*flaggy.Subcommand, func() server) {
	c := flaggy.NewSubcommand("engine")
	c.Description = "a model engine"
	s := engine.Defaults()
	s.Crash = crash
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.String(&s.Name, "n", "name", "name of the engine")
	c.String(&s.Model, "m", "model", "loaded model")
	c.String(&s.Role, "r", "role", "prefill, decode or both")
	c.UInt32(&s.Pieces, "", "pieces", "memory in KV blocks of 2,000 tokens")
	c.UInt32(&s.Slots, "", "slots", "number of concurrent requests")
	c.Duration(&s.TokenGap, "", "gap", "time between tokens with one busy slot")
	c.Float64(&s.Growth, "", "growth", "relative increase of the gap with all slots busy")
	c.UInt32(&s.PrefillRate, "", "speed", "prefill rate in tokens per second")
	c.Int(&s.CachePieces, "", "cache", "size of the prefix cache in KV blocks")
	c.Duration(&s.Retention, "", "keep", "time until the KV cache of a finished prefill is evicted")
	c.UInt64(&s.LinkRate, "", "link", "bandwidth of the KV link in bytes per second")
	c.UInt64(&s.TokenBytes, "", "bytes", "size of the KV cache of one token in bytes")
	c.Duration(&s.ReportLag, "", "lag", "age of load reports when they are sent")
	c.Duration(&s.EventDelay, "", "delay", "age of cache events when they are sent")
	c.Bool(&s.CheckFence, "", "checks", "reject outdated fencing tokens")
	c.Duration(&s.LoadTime, "", "load", "time to carry out an order")
	c.String(&s.Poison, "", "poison", "text that crashes the engine when a prompt contains it")
	return c, func() server { return engine.New(engine.With(s)) }
}

func addPlain(addr *netip.AddrPort) (*flaggy.Subcommand, func() server) {
	c := flaggy.NewSubcommand("plain")
	c.Description = "a backend server of a plain service"
	s := plain.Defaults()
	s.Crash = crash
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.String(&s.Name, "n", "name", "name of the server")
	c.Duration(&s.Latency, "", "latency", "latency of a run on an idle server")
	c.Float64(&s.Growth, "", "growth", "relative increase of the latency at the maximum number of runs")
	c.Int(&s.MaxConcurrent, "", "places", "maximum number of concurrent runs")
	return c, func() server { return plain.New(plain.With(s)) }
}

func addPlatform(addr *netip.AddrPort) (*flaggy.Subcommand, func() server) {
	c := flaggy.NewSubcommand("platform")
	c.Description = "the simulated platform"
	s := platfm.Defaults()
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.Duration(&s.Lag, "", "lag", "delay until a published instance list is visible")
	c.Duration(&s.Latency, "", "latency", "response time")
	c.Float64(&s.Rate, "", "rate", "limit on reads per second")
	return c, func() server { return platfm.New(platfm.With(s)) }
}
