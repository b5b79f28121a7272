// Command citronrock-front is the router on the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"citronrock.example/citronrock/internal/back/trip"
	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/front/router"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/sink"
	"citronrock.example/citronrock/platform"
)

const (
	// memoryShare is the part of the memory limit that the Go heap may use; the
	// rest is for stacks, code and bytes that wait in sockets.
	memoryShare = 0.6
	// flushTime is how long the last log lines may take.
	flushTime = 200 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	file := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return deps.ExitUsage
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
	out := sink.New(os.Stdout)
	defer func() {
		out.Close()
		select {
		case <-out.Done():
		case <-time.After(flushTime):
		}
	}()
	log := lines.New(out, settings.Name)
	m, err := meter.New()
	if err != nil {
		log.Error("can't start", "error", err.Error())
		return deps.ExitFailed
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	r, err := router.Start(settings, router.Parts{
		Store:    platform.NewStore(settings.Store, log),
		Backends: platform.NewBackends(trip.New()),
		Ingress:  platform.Ingress{},
		Log:      log,
		Meter:    m,
	})
	if err != nil {
		log.Error("can't start", "error", err.Error())
		return deps.ExitFailed
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		fresh, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("settings not used, the last ones stay in force", "error", err.Error())
			continue
		}
		log.Info("reload", "seeds", len(fresh.Seeds))
		r.Seeds(fresh.Seeds)
	}
	r.Stop()
	return deps.ExitOK
}
