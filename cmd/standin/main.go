// Command standin runs one simulated backend server or the simulated platform.
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

// crashed is the exit code of a crash that a fault asked for.
const crashed = 70

// stand is one server, ready to listen.
type stand interface {
	Listen(addr netip.AddrPort) error
	Addr() netip.AddrPort
	Close() error
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", JSONFormat: true, Output: os.Stderr})
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	parser := flaggy.NewParser("standin")
	parser.Description = "simulated backend servers and platform"
	makers := map[*flaggy.Subcommand]func() stand{}
	for _, add := range []func(*netip.AddrPort) (*flaggy.Subcommand, func() stand){addEngine, addPlain, addPlatform} {
		sub, build := add(&addr)
		parser.AttachSubcommand(sub, 1)
		makers[sub] = build
	}
	if err := parser.Parse(); err != nil {
		log.Error("wrong arguments; see standin --help", "error", err.Error())
		os.Exit(2)
	}
	for sub, build := range makers {
		if sub.Used {
			os.Exit(run(log, build(), addr))
		}
	}
	parser.ShowHelpWithMessage("name one of the subcommands engine, plain and platform")
	os.Exit(2)
}

// run serves until SIGINT or SIGTERM.
func run(log hclog.Logger, s stand, addr netip.AddrPort) int {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	if err := s.Listen(addr); err != nil {
		log.Error("can't listen", "error", err.Error())
		return 1
	}
	log.Info("listening", "address", s.Addr().String())
	<-stop
	_ = s.Close()
	return 0
}

func crash() { os.Exit(crashed) }

func addEngine(addr *netip.AddrPort) (*flaggy.Subcommand, func() stand) {
	c := flaggy.NewSubcommand("engine")
	c.Description = "a model engine"
	s := engine.Defaults()
	s.Crash = crash
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.String(&s.Name, "n", "name", "name of the engine")
	c.String(&s.Model, "m", "model", "model that is loaded")
	c.String(&s.Role, "r", "role", "prefill, decode or both")
	c.UInt32(&s.Pieces, "", "pieces", "memory in pieces of 2,000 tokens")
	c.UInt32(&s.Slots, "", "slots", "number of requests at a time")
	c.Duration(&s.Gap, "", "gap", "time between tokens with one busy slot")
	c.Float64(&s.Growth, "", "growth", "share by which the gap grows with all slots busy")
	c.UInt32(&s.Speed, "", "speed", "prefill rate in tokens a second")
	c.Int(&s.Cache, "", "cache", "prefix cache in pieces")
	c.Duration(&s.Keep, "", "keep", "time until the result of a prefill is evicted")
	c.UInt64(&s.Link, "", "link", "rate of the KV link in bytes a second")
	c.UInt64(&s.Bytes, "", "bytes", "KV cache of one token in bytes")
	c.Duration(&s.Lag, "", "lag", "age of reports")
	c.Duration(&s.Delay, "", "delay", "age of cache events")
	c.Bool(&s.Checks, "", "checks", "refuse old fencing numbers")
	c.Duration(&s.Load, "", "load", "time that an order takes")
	c.String(&s.Poison, "", "poison", "text that crashes the engine when a prompt contains it")
	return c, func() stand { return engine.New(engine.With(s)) }
}

func addPlain(addr *netip.AddrPort) (*flaggy.Subcommand, func() stand) {
	c := flaggy.NewSubcommand("plain")
	c.Description = "a backend server of a plain service"
	s := plain.Defaults()
	s.Crash = crash
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.String(&s.Name, "n", "name", "name of the server")
	c.Duration(&s.Latency, "", "latency", "time of a run when idle")
	c.Float64(&s.Growth, "", "growth", "share by which the latency grows with all places taken")
	c.Int(&s.Places, "", "places", "number of runs at a time")
	return c, func() stand { return plain.New(plain.With(s)) }
}

func addPlatform(addr *netip.AddrPort) (*flaggy.Subcommand, func() stand) {
	c := flaggy.NewSubcommand("platform")
	c.Description = "the platform"
	s := platfm.Defaults()
	c.NetipAddrPort(addr, "a", "address", "address to listen on")
	c.Duration(&s.Lag, "", "lag", "time until a published list is visible")
	c.Duration(&s.Latency, "", "latency", "time of an answer")
	c.Float64(&s.Rate, "", "rate", "limit on reads a second")
	return c, func() stand { return platfm.New(platfm.With(s)) }
}
