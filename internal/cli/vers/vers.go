// Package vers implements "citronrock version".
package vers

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
)

const usage = "citronrock version"

const help = `Show the version of this program.

Prints the module's version, the revision it was built from and the Go version.

examples:
  citronrock version`

// Options are the streams of the verb.
type Options struct {
	deps *deps.Factory
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	return &Options{deps: f}, flags.New(usage, help).Parse(args, f.Out)
}

// Run prints the version.
func Run(o *Options) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(o.deps.Out, "citronrock %s revision %s %s\n", version, revision, runtime.Version())
	return err
}
