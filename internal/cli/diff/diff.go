// Package diff implements "citronrock config diff".
package diff

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/show"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/conf/policy"
)

const usage = "citronrock config diff FILE [OTHER] [--platform ADDRESS] [--json]"

const help = `Show what a document would change.

Compares the published document with FILE or, if OTHER is given, FILE with OTHER, by
entries and keys. The order of entries does not matter.

examples:
  citronrock config diff fleet.toml --platform 127.0.0.1:7000
  citronrock config diff old.toml new.toml`

// Options holds the streams and the parsed arguments of the command.
type Options struct {
	deps        *deps.Factory
	file, other string
	platform    netip.AddrPort
	json        bool
}

// New parses the arguments of the command. Unknown flags and a wrong number of arguments
// give a *deps.UsageError, --help gives flags.ErrHelp, and a missing or invalid address
// is an error when it is needed.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	var platform string
	set := flags.New(usage, help)
	set.String(&platform, "platform", "ADDRESS", "address of the platform's configuration service, or CITRONROCK_PLATFORM")
	set.Bool(&o.json, "json", "print the changes as JSON")
	set.Positional(&o.file, "FILE", true)
	set.Positional(&o.other, "OTHER", false)
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	if o.other != "" {
		return o, nil
	}
	addrs, err := f.Addresses("platform", platform, "CITRONROCK_PLATFORM")
	if err != nil {
		return nil, err
	}
	o.platform = addrs[0]
	return o, nil
}

// Run prints what changes from the first document to the second. Differences are no
// error; a document that can't be loaded is.
func Run(ctx context.Context, o *Options) error {
	old, updated, err := o.documents(ctx)
	if err != nil {
		return err
	}
	changes, err := policy.Diff(old, updated)
	if err != nil {
		return err
	}
	if o.json {
		return table.JSON(o.deps.Out, changes)
	}
	t := table.New("entry", "old", "new")
	for _, c := range changes {
		t.Add(c.Path, c.Old, c.New)
	}
	return t.Print(o.deps.Out, o.deps.Terminal)
}

// documents loads the documents to compare: the published one and FILE, or FILE and OTHER.
func (o *Options) documents(ctx context.Context) (from, to *policy.Document, err error) {
	first, err := parseFile(o.file)
	if err != nil {
		return nil, nil, err
	}
	if o.other != "" {
		second, err := parseFile(o.other)
		return first, second, err
	}
	reply, err := show.Published(ctx, o.deps, o.platform)
	if err != nil {
		return nil, nil, err
	}
	published, err := policy.Parse("published", reply.Body)
	return published, first, err
}

func parseFile(file string) (*policy.Document, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("can't read the document: %w; check its path and permissions", err)
	}
	return policy.Parse(file, body)
}
