// Package show implements "citronrock config show".
package show

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/platfm"
)

const usage = "citronrock config show [--platform ADDRESS] [--json]"

const help = `Show the published document.

Fetches the document from the platform's configuration service and prints it as
it was published or, with --json, in parsed form.

examples:
  citronrock config show --platform 127.0.0.1:7000
  citronrock config show --json`

// Options holds the streams and the parsed flags of the command.
type Options struct {
	deps     *deps.Factory
	platform netip.AddrPort
	json     bool
}

// New parses the arguments of the command. Unknown flags give a *deps.UsageError, --help
// gives flags.ErrHelp, and a missing or invalid address is an error.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	var platform string
	set := flags.New(usage, help)
	set.String(&platform, "platform", "ADDRESS", "address of the platform's configuration service, or CITRONROCK_PLATFORM")
	set.Bool(&o.json, "json", "print the parsed document as JSON")
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	addrs, err := f.Addresses("platform", platform, "CITRONROCK_PLATFORM")
	if err != nil {
		return nil, err
	}
	o.platform = addrs[0]
	return o, nil
}

// Published fetches the published document from the platform's configuration service at
// addr. It fails when the service can't be reached or no document is published.
func Published(ctx context.Context, f *deps.Factory, addr netip.AddrPort) (*platfm.DocumentReply, error) {
	reply, err := f.Platform(addr).Document(ctx, connect.NewRequest(&platfm.DocumentRequest{}))
	if err != nil {
		return nil, fmt.Errorf("can't reach the platform's configuration service at %s: %w; check the address", addr, err)
	}
	if reply.Msg.Version == 0 {
		return nil, fmt.Errorf("no document is published at %s; publish one first", addr)
	}
	return reply.Msg, nil
}

// Run prints the published document. With --json it fails if the document is invalid.
func Run(ctx context.Context, o *Options) error {
	reply, err := Published(ctx, o.deps, o.platform)
	if err != nil {
		return err
	}
	if !o.json {
		_, err = o.deps.Out.Write(reply.Body)
		return err
	}
	d, err := policy.Parse("published", reply.Body)
	if err != nil {
		return err
	}
	return table.JSON(o.deps.Out, d)
}
