// Package status implements "citronrock status".
package status

import (
	"context"
	"fmt"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/lists"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/daemon/admin"
)

const usage = "citronrock status [--daemon ADDRESS[,ADDRESS...]] [--json]"

const help = `Show the state of daemons.

Fetches the status of each given daemon: whether it is ready, the version of its
document, the revision of its instance list, and its load.

examples:
  citronrock status --daemon 127.0.0.1:7201,127.0.0.1:7202
  CITRONROCK_DAEMON=127.0.0.1:7201 citronrock status --json`

// New parses the arguments of the command. Its errors are those of lists.New.
func New(f *deps.Factory, args []string) (*lists.Options, error) {
	return lists.New(f, args, usage, help)
}

// Run fetches the status of the daemons and prints a row for each. Its errors are those
// of lists.Run.
func Run(ctx context.Context, o *lists.Options) error {
	return lists.Run(ctx, o, table.New("name", "domain", "ready", "version", "revision", "requests", "engines", "heap", "age"), func(t *table.Table, all []*admin.Status) {
		for _, s := range all {
			t.Add(s.Name, s.Domain, readiness(s), s.Version, s.Revision, len(s.Requests), len(s.Engines),
				fmt.Sprintf("%dMiB", s.Memory.Heap>>20), o.Deps.Now().Sub(s.Started).Round(time.Second))
		}
	})
}

// readiness returns the text of the column "ready": "drain" for a daemon that takes no
// new work, even if it is ready.
func readiness(s *admin.Status) string {
	switch {
	case s.Draining:
		return "drain"
	case s.Ready:
		return "yes"
	}
	return "no"
}
