// Package inst implements "citronrock instances".
package inst

import (
	"context"
	"net/netip"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
)

const usage = "citronrock instances [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `List the instances as daemons see them.

Each named daemon lists the members of its group with their states; rows of two daemons
differ while a change spreads.

examples:
  citronrock instances --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock instances --json`

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
	t := table.New("seen by", "name", "state", "incarnation")
	for _, s := range all {
		for _, m := range s.Members {
			t.Add(s.Name, m.Name, m.State, m.Incarnation)
		}
	}
	return t.Print(o.deps.Out, o.deps.Terminal)
}
