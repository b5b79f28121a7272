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

Reads the document with the validator that daemons use and prints each problem
with its place and what to write instead. Exit code 0 means that daemons accept it.

examples:
  citronrock config check fleet.toml
  citronrock config check fleet.toml --above 41`

// Options are the streams and parsed flags of the verb.
type Options struct {
	deps  *deps.Factory
	file  string
	above int
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	set := flags.New(usage, help)
	set.Int(&o.above, "above", "N", "version that is published; the document's must be higher")
	set.Positional(&o.file, "FILE", true)
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	return o, nil
}

// Run reads and checks the document.
func Run(o *Options) error {
	body, err := os.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("can't read the document: %w; name a readable file", err)
	}
	d, err := policy.ParseNext(o.file, body, uint64(max(0, o.above)))
	if err != nil {
		return err
	}
	fmt.Fprintf(o.deps.Out, "%s: version %d is valid: %d tenants, %d services, %d engines, %d servers\n",
		o.file, d.Version, len(d.Tenants), len(d.Service), len(d.Engines), len(d.Servers))
	return nil
}
