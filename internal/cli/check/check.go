// Package check implements "citronrock config check".
package check

import (
	"fmt"
	"os"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/conf/policy"
)

const usage = "citronrock config check FILE [--above N]"

const help = `Check a document before it is published.

Runs the validator of the daemons and prints each problem with its position and
what to write instead. Exit code 0 means that daemons accept the document.

examples:
  citronrock config check fleet.toml
  citronrock config check fleet.toml --above 41`

// Options holds the streams and the parsed arguments of the command.
type Options struct {
	deps  *deps.Factory
	file  string
	above int
}

// New parses the arguments of the command. Wrong arguments give a *deps.UsageError,
// and --help gives flags.ErrHelp.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	set := flags.New(usage, help)
	set.Int(&o.above, "above", "N", "published version; the document's must be higher")
	set.Positional(&o.file, "FILE", true)
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	return o, nil
}

// Run validates the document and prints a summary. It fails when the file can't be read
// or the document is invalid; the error lists all problems.
func Run(o *Options) error {
	body, err := os.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("can't read the document: %w; check its path and permissions", err)
	}
	d, err := policy.ParseNext(o.file, body, uint64(max(0, o.above)))
	if err != nil {
		return err
	}
	fmt.Fprintf(o.deps.Out, "%s: version %d is valid: %d tenants, %d services, %d engines, %d servers\n",
		o.file, d.Version, len(d.Tenants), len(d.Services), len(d.Engines), len(d.Servers))
	return nil
}
