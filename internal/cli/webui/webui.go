// Package webui implements "citronrock console", a web page that edits a draft of the
// configuration document and offers the validated draft as a download.
package webui

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/show"
	"citronrock.example/citronrock/internal/conf/policy"
)

const usage = "citronrock console [--platform ADDRESS | --file FILE] [--listen ADDRESS] [--remote]"

const help = `Edit a document in a browser.

Serves forms for tenants, services, engines and servers, starting from the
published document or from a file. The draft is validated as daemons do it and
compared with the document that it started from. Download it as TOML and publish
it yourself: the console does not write to the platform.

examples:
  citronrock console --platform 127.0.0.1:7000
  citronrock console --file fleet.toml --listen 127.0.0.1:7300`

const (
	defaultListen   = "127.0.0.1:7300"
	ioTimeout       = 10 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Options holds the streams and the parsed flags of the command.
type Options struct {
	deps     *deps.Factory
	file     string
	platform netip.AddrPort
	listen   netip.AddrPort
	// Ready is called with the listening address once it accepts connections.
	Ready func(netip.AddrPort)
}

// New parses the arguments of the command. Unknown flags give a *deps.UsageError, and
// --help gives flags.ErrHelp. It refuses an address that isn't a loopback address
// unless --remote is given, since the console has no authentication.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f, Ready: func(netip.AddrPort) {}}
	var platform, listen string
	var remote bool
	set := flags.New(usage, help)
	set.String(&platform, "platform", "ADDRESS", "address of the platform's configuration service, or CITRONROCK_PLATFORM")
	set.String(&o.file, "file", "FILE", "document to start from, instead of the published one")
	set.String(&listen, "listen", "ADDRESS", "address to listen on (default "+defaultListen+")")
	set.Bool(&remote, "remote", "allow an address that other machines can reach")
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	if listen == "" {
		listen = defaultListen
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("invalid address %q; write it as %s", listen, defaultListen)
	}
	if !addr.Addr().IsLoopback() && !remote {
		return nil, fmt.Errorf("other machines can reach %s and the console has no authentication; use a loopback address, or add --remote", addr)
	}
	o.listen = addr
	if o.file != "" {
		return o, nil
	}
	addrs, err := f.Addresses("platform", platform, "CITRONROCK_PLATFORM")
	if err != nil {
		return nil, fmt.Errorf("%w, or give a document with --file", err)
	}
	o.platform = addrs[0]
	return o, nil
}

// Run serves the console until ctx ends. It fails when the document can't be loaded
// or the address can't be listened on.
func Run(ctx context.Context, o *Options) error {
	doc, err := o.baseDocument(ctx)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.listen.String())
	if err != nil {
		return fmt.Errorf("can't listen on %s: %w; choose another address with --listen", o.listen, err)
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	s := &http.Server{
		Handler: newHandler(doc, addr), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout,
	}
	done := make(chan struct{})
	defer func() { <-done }()
	stopWatch := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(shutdownCtx)
		close(done)
	})
	fmt.Fprintf(o.deps.Err, "console at http://%s/ (stop with Ctrl-C)\n", addr)
	o.Ready(addr)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		if stopWatch() {
			close(done)
		}
		return err
	}
	return nil
}

// baseDocument loads the file or, without one, the published document.
func (o *Options) baseDocument(ctx context.Context) (*policy.Document, error) {
	if o.file == "" {
		reply, err := show.Published(ctx, o.deps, o.platform)
		if err != nil {
			return nil, err
		}
		return policy.Parse("published", reply.Body)
	}
	body, err := os.ReadFile(o.file)
	if err != nil {
		return nil, fmt.Errorf("can't read the document: %w; check its path and permissions", err)
	}
	return policy.Parse(o.file, body)
}
