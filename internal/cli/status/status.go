// Package status implements "citronrock status".
package status

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

const usage = "citronrock status [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `Show the state of daemons.

Reads the status of each named daemon: whether it is ready, the version of its document,
the revision of its instance list, and its load.

examples:
  citronrock status --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock status --json`

// Options are the streams and parsed flags of the verb.
type Options struct {
	deps    *deps.Factory
	daemons []netip.AddrPort
	json    bool
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	var daemons string
	set := flags.New(usage, help)
	set.String(&daemons, "daemon", "ADDRESS", "admin addresses of daemons, or CITRONROCK_DAEMON")
	set.Bool(&o.json, "json", "print the status of the daemons as JSON")
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	var err error
	o.daemons, err = f.Addresses("daemon", daemons, "CITRONROCK_DAEMON")
	return o, err
}

// Run reads and prints the list.
func Run(ctx context.Context, o *Options) error {
	all, err := o.deps.Statuses(ctx, o.daemons)
	if err != nil {
		return err
	}
	if o.json {
		return table.JSON(o.deps.Out, all)
	}
	t := table.New("name", "domain", "ready", "version", "revision", "requests", "engines", "heap", "age")
	for _, s := range all {
		t.Add(s.Name, s.Domain, state(s), s.Version, s.Revision, len(s.Requests), len(s.Engines),
			fmt.Sprintf("%dMiB", s.Memory.Heap>>20), o.deps.Now().Sub(s.Started).Round(time.Second))
	}
	return t.Print(o.deps.Out, o.deps.Terminal)
}

func state(s *admin.Status) string {
	switch {
	case s.Drain:
		return "drain"
	case s.Ready:
		return "yes"
	}
	return "no"
}
