// Command citronrockd runs a daemon, which routes calls to backend servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/conf/local"
	"citronrock.example/citronrock/internal/daemon/start"
)

const usage = "citronrockd --settings FILE"

const help = `Run a citronrock daemon.

The settings give its name, its failure domain, its addresses and the platform's
address; everything else is in the published document. SIGTERM and SIGINT stop it
gracefully. Exit codes: 0 stopped, 1 failed, 2 invalid settings.

examples:
  citronrockd --settings d1.toml`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var file string
	set := flags.New(usage, help)
	set.String(&file, "settings", "FILE", "TOML file with the settings of this daemon")
	if err := set.Parse(args, os.Stdout); errors.Is(err, flags.ErrHelp) {
		return deps.ExitOK
	} else if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return deps.ExitUsage
	}
	settings, err := local.Read(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return deps.ExitUsage
	}
	return serve(*settings)
}

func serve(settings local.Settings) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := start.Logger(os.Stderr, settings.Name)
	d, err := start.New(settings, log)
	if err != nil {
		log.Error("cannot start the daemon", "error", err.Error())
		return deps.ExitFailed
	}
	err = d.Wait(ctx)
	stop()
	d.Stop()
	if err != nil {
		log.Error("daemon failed", "error", err.Error())
		return deps.ExitFailed
	}
	return deps.ExitOK
}
