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

Each named daemon lists the members of its group with their states; rows of two daemons
differ while a change spreads.

examples:
  citronrock instances --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock instances --json`

// New parses the arguments.
func New(f *deps.Factory, args []string) (*lists.Options, error) {
	return lists.New(f, args, usage, help)
}

// Run reads and prints the list.
func Run(ctx context.Context, o *lists.Options) error {
	return lists.Run(ctx, o, table.New("seen by", "name", "state", "incarnation"), func(t *table.Table, all []*admin.Status) {
		for _, s := range all {
			for _, m := range s.Members {
				t.Add(s.Name, m.Name, m.State, m.Incarnation)
			}
		}
	})
}
