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

Compares FILE with the published document, or with OTHER, by entries and keys; the
order of entries does not count.

examples:
  citronrock config diff fleet.toml --platform 127.0.0.1:7000
  citronrock config diff old.toml new.toml`

// Options are the streams and parsed flags of the verb.
type Options struct {
	deps        *deps.Factory
	file, other string
	platform    netip.AddrPort
	json        bool
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	var platform string
	set := flags.New(usage, help)
	set.String(&platform, "platform", "ADDRESS", "address of the platform, or CITRONROCK_PLATFORM")
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

// Run compares the two documents.
func Run(ctx context.Context, o *Options) error {
	from, to, err := o.documents(ctx)
	if err != nil {
		return err
	}
	changes, err := policy.Diff(from, to)
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

func (o *Options) documents(ctx context.Context) (from, to *policy.Document, err error) {
	first, err := parse(o.file)
	if err != nil {
		return nil, nil, err
	}
	if o.other != "" {
		second, err := parse(o.other)
		return first, second, err
	}
	reply, err := show.Published(ctx, o.deps, o.platform)
	if err != nil {
		return nil, nil, err
	}
	published, err := policy.Parse("published", reply.Body)
	return published, first, err
}

func parse(file string) (*policy.Document, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("can't read the document: %w; name a readable file", err)
	}
	return policy.Parse(file, body)
}
