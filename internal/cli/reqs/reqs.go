// Package reqs implements "citronrock requests".
package reqs

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/lists"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

const usage = "citronrock requests [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `List the requests in flight.

Each request is listed by its edge daemon, which holds the connection of the client.

examples:
  citronrock requests --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock requests --json`

// New parses the arguments of the command. Its errors are those of lists.New.
func New(f *deps.Factory, args []string) (*lists.Options, error) {
	return lists.New(f, args, usage, help)
}

// Run fetches the status of the daemons and prints a row for each request in flight. Its
// errors are those of lists.Run.
func Run(ctx context.Context, o *lists.Options) error {
	return lists.Run(ctx, o, table.New("id", "daemon", "tenant", "service", "age"), func(t *table.Table, all []*admin.Status) {
		for _, s := range all {
			for _, r := range s.Requests {
				t.Add(r.ID, s.Name, r.Tenant, r.Service, r.Age.Round(time.Millisecond))
			}
		}
	})
}
