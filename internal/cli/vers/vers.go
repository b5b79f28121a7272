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

// Options holds the streams of the command.
type Options struct {
	deps *deps.Factory
}

// New parses the arguments of the command, which takes none. Any argument gives a
// *deps.UsageError, and --help gives flags.ErrHelp.
func New(f *deps.Factory, args []string) (*Options, error) {
	return &Options{deps: f}, flags.New(usage, help).Parse(args, f.Out)
}

// Run prints the module's version, the revision of the source and the Go version. What
// the build did not record is "unknown".
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
