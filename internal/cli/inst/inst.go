// Package inst implements "citronrock instances".
package inst

import (
	"context"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/lists"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

const usage = "citronrock instances [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `List the instances as daemons see them.

Each given daemon lists the members that it knows, with their states. The lists of two
daemons can differ until gossip has carried a change to both.

examples:
  citronrock instances --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock instances --json`

// New parses the arguments of the command. Its errors are those of lists.New.
func New(f *deps.Factory, args []string) (*lists.Options, error) {
	return lists.New(f, args, usage, help)
}

// Run fetches the status of the daemons and prints a row for each member that each of
// them knows. Its errors are those of lists.Run.
func Run(ctx context.Context, o *lists.Options) error {
	return lists.Run(ctx, o, table.New("seen by", "name", "state", "incarnation"), func(t *table.Table, all []*admin.Status) {
		for _, s := range all {
			for _, m := range s.Members {
				t.Add(s.Name, m.Name, m.State, m.Incarnation)
			}
		}
	})
}
