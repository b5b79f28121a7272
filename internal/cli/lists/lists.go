// Package lists is shared by the commands that list a part of the status of daemons.
package lists

import (
	"context"
	"net/netip"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

// Options holds the streams and the parsed flags of such a command.
type Options struct {
	// Deps provides the streams and clients.
	Deps    *deps.Factory
	daemons []netip.AddrPort
	json    bool
}

// New parses the arguments of the command with that usage line and help. Unknown flags
// give a *deps.UsageError, --help gives flags.ErrHelp, and a missing or invalid address
// of a daemon is an error.
func New(f *deps.Factory, args []string, usage, help string) (*Options, error) {
	o := &Options{Deps: f}
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

// Run fetches the status of the daemons and prints the rows that fill adds to t or, with
// --json, the status itself. Daemons that can't be reached are reported and left out; it
// fails when none can be reached.
func Run(ctx context.Context, o *Options, t *table.Table, fill func(t *table.Table, all []*admin.Status)) error {
	all, err := o.Deps.Statuses(ctx, o.daemons)
	if err != nil {
		return err
	}
	if o.json {
		return table.JSON(o.Deps.Out, all)
	}
	fill(t, all)
	return t.Print(o.Deps.Out, o.Deps.Terminal)
}
