// Package webui implements "citronrock console": forms whose only output is one
// validated document.
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
published document or a file. The draft is checked with the validator of the
daemons, compared with what is published, and downloaded as one TOML document
to publish. Nothing else changes: the console does not write to the platform.

examples:
  citronrock console --platform 127.0.0.1:7000
  citronrock console --file fleet.toml --listen 127.0.0.1:7300`

const (
	defaultListen = "127.0.0.1:7300"
	readTimeout   = 10 * time.Second
	closeTimeout  = 2 * time.Second
)

// Options are the streams and parsed flags of the verb.
type Options struct {
	deps     *deps.Factory
	file     string
	platform netip.AddrPort
	listen   netip.AddrPort
	// Ready is called with the address once the console accepts requests.
	Ready func(netip.AddrPort)
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f, Ready: func(netip.AddrPort) {}}
	var platform, listen string
	var remote bool
	set := flags.New(usage, help)
	set.String(&platform, "platform", "ADDRESS", "address of the platform, or CITRONROCK_PLATFORM")
	set.String(&o.file, "file", "FILE", "start from this document")
	set.String(&listen, "listen", "ADDRESS", "address to serve, "+defaultListen+" by default")
	set.Bool(&remote, "remote", "allow an address that other machines reach")
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	if listen == "" {
		listen = defaultListen
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("address %q is not valid; write it as %s", listen, defaultListen)
	}
	if !addr.Addr().IsLoopback() && !remote {
		return nil, fmt.Errorf("%s is reached by other machines and the console asks for no password; use a loopback address, or add --remote", addr)
	}
	o.listen = addr
	if o.file != "" {
		return o, nil
	}
	addrs, err := f.Addresses("platform", platform, "CITRONROCK_PLATFORM")
	if err != nil {
		return nil, fmt.Errorf("%w, or start from a file with --file", err)
	}
	o.platform = addrs[0]
	return o, nil
}

// Run serves the console until ctx ends.
func Run(ctx context.Context, o *Options) error {
	base, err := o.base(ctx)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.listen.String())
	if err != nil {
		return fmt.Errorf("can't listen on %s: %w; choose another with --listen", o.listen, err)
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	s := &http.Server{
		Handler: newHandler(base, addr), ReadTimeout: readTimeout, WriteTimeout: readTimeout,
	}
	done := make(chan struct{})
	defer func() { <-done }()
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = s.Shutdown(closing)
		close(done)
	})
	fmt.Fprintf(o.deps.Err, "console at http://%s/ (stop with Ctrl-C)\n", addr)
	o.Ready(addr)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		if stop() {
			close(done)
		}
		return err
	}
	return nil
}

// base reads the document to start from.
func (o *Options) base(ctx context.Context) (*policy.Document, error) {
	if o.file == "" {
		reply, err := show.Published(ctx, o.deps, o.platform)
		if err != nil {
			return nil, err
		}
		return policy.Parse("published", reply.Body)
	}
	body, err := os.ReadFile(o.file)
	if err != nil {
		return nil, fmt.Errorf("can't read the document: %w; name a readable file", err)
	}
	return policy.Parse(o.file, body)
}
