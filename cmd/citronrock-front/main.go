// Command citronrock-front runs the router on the users' platform.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"citronrock.example/citronrock/internal/back/http1"
	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/front/router"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/sink"
	"citronrock.example/citronrock/platform"
)

const (
	// memoryFraction is the fraction of the memory limit that the Go heap may use; the
	// rest is for stacks, code and socket buffers.
	memoryFraction = 0.6
	// flushTimeout is the time limit for writing queued log lines at exit.
	flushTimeout = 200 * time.Millisecond
)

const usage = "citronrock-front [--metrics PORT]"

const help = `Run a router on the users' platform.

The environment variable ` + platform.SettingsVariable + ` names the file with the settings of
this instance. Logs go to standard output as JSON lines. SIGTERM and SIGINT stop the
router gracefully; SIGHUP makes it read the settings again and use the new seeds. Exit
codes: 0 stopped, 1 failed, 2 invalid settings.

examples:
  citronrock-front --metrics 9464`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// First of all: until then a SIGHUP that comes with the start ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	var metrics int
	set := flags.New(usage, help)
	set.Int(&metrics, "metrics", "PORT", "additional port for metrics and status, besides the control address")
	if err := set.Parse(args, os.Stdout); errors.Is(err, flags.ErrHelp) {
		return deps.ExitOK
	} else if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return deps.ExitUsage
	}
	file := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return deps.ExitUsage
	}
	if metrics > 0 {
		settings.Metrics = netip.AddrPortFrom(settings.Front.Addr(), uint16(metrics))
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(settings.Memory)))
	}
	out := sink.New(os.Stdout)
	defer func() {
		out.Close()
		select {
		case <-out.Done():
		case <-time.After(flushTimeout):
		}
	}()
	var suppressed, storeCalls, serverConns atomic.Int64
	log := lines.New(out, settings.Name, lines.WithSuppressed(func() { suppressed.Add(1) }))
	m, err := meter.New()
	if err == nil {
		err = errors.Join(
			m.Gauge("lines_left", "log lines suppressed by rate limits", suppressed.Load),
			m.Gauge("lines_lost", "log lines dropped at a full queue, and failed writes of log lines", func() int64 { return int64(out.Dropped()) }),
			m.Gauge("store_calls", "calls to the store since the start", storeCalls.Load),
			m.Gauge("server_conns", "connections opened to backend servers since the start", serverConns.Load))
	}
	if err != nil {
		log.Error("cannot start the router", "error", err.Error())
		return deps.ExitFailed
	}
	bodies := router.NewMemory(settings)
	r, err := router.Start(settings, router.Deps{
		Store:        platform.NewStore(settings.Store, log, platform.WithOnCall(func() { storeCalls.Add(1) })),
		Backends:     platform.NewBackends(http1.New(http1.WithOpened(func() { serverConns.Add(1) }), http1.WithMemory(bodies)), log),
		Ingress:      platform.Ingress{},
		Log:          log,
		Meter:        m,
		Memory:       bodies,
		DroppedLines: func() (int64, int64) { return suppressed.Load(), int64(out.Dropped()) },
	})
	if err != nil {
		log.Error("cannot start the router", "error", err.Error())
		return deps.ExitFailed
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		fresh, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("new settings rejected; previous settings stay in use", "error", err.Error())
			continue
		}
		log.Info("reload", "seeds", len(fresh.Seeds))
		r.SetSeeds(fresh.Seeds)
	}
	r.Stop()
	return deps.ExitOK
}
