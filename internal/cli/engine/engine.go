// Package engine implements "citronrock engines".
package engine

import (
	"context"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/lists"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

const usage = "citronrock engines [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `List the engines with their load.

Each engine is listed by its owner, the daemon that accounts for it; give all daemons to
see all engines. Pieces are KV blocks of 2,000 tokens in the memory of an engine.

examples:
  citronrock engines --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock engines --json`

// New parses the arguments of the command. Its errors are those of lists.New.
func New(f *deps.Factory, args []string) (*lists.Options, error) {
	return lists.New(f, args, usage, help)
}

// Run fetches the status of the daemons and prints a row for each engine. Its errors are
// those of lists.Run.
func Run(ctx context.Context, o *lists.Options) error {
	return lists.Run(ctx, o, table.New("name", "cell", "role", "state", "owner", "pieces", "free", "busy", "queue"), func(t *table.Table, all []*admin.Status) {
		for _, s := range all {
			for _, e := range s.Engines {
				t.Add(e.Name, e.Cell, e.Role, e.State, s.Name, e.Pieces, e.Free, e.Busy, e.Queue)
			}
		}
	})
}
