// Package deps holds what the verbs of the command line share: streams, clients
// and the clock, made when first used.
package deps

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"citronrock.example/citronrock/internal/daemon/admin"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Exit codes of the command line.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command ran and failed, or a check found a problem
	ExitUsage  = 2 // the command was called wrongly
)

// requestTimeout bounds each request of a verb.
const requestTimeout = 5 * time.Second

// maxReply bounds an answer of a daemon, in bytes.
const maxReply = 16 << 20

// UsageError reports a command that was called wrongly.
type UsageError struct {
	// Usage is the usage line of the command.
	Usage   string
	Problem string
}

// Error returns what was wrong and the usage.
func (e *UsageError) Error() string { return e.Problem + "\nusage: " + e.Usage }

// Factory gives verbs their streams and clients.
type Factory struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal tells whether Out is a terminal.
	Terminal bool
	Getenv   func(string) string
	Now      func() time.Time
	HTTP     *http.Client
	// Platform returns a client of the platform at an address.
	Platform func(addr netip.AddrPort) platfm.PlatformClient
}

// New returns a factory for the process's own streams.
func New() *Factory {
	client := &http.Client{Timeout: requestTimeout}
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
		Getenv:   os.Getenv,
		Now:      time.Now,
		HTTP:     client,
		Platform: func(addr netip.AddrPort) platfm.PlatformClient {
			return platfm.NewPlatformClient(client, "http://"+addr.String())
		},
	}
}

// Addresses parses a list of addresses separated by commas, from a flag or else
// from an environment variable.
func (f *Factory) Addresses(flag, value, env string) ([]netip.AddrPort, error) {
	if value == "" {
		value = f.Getenv(env)
	}
	if value == "" {
		return nil, fmt.Errorf("no address given; use --%s ADDRESS or set %s", flag, env)
	}
	var out []netip.AddrPort
	for part := range strings.SplitSeq(value, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, fmt.Errorf("address %q is not valid; write it as 127.0.0.1:7201", part)
		}
		out = append(out, addr)
	}
	return out, nil
}

// Status reads the status of one daemon from its admin address.
func (f *Factory) Status(ctx context.Context, addr netip.AddrPort) (*admin.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("daemon %s does not answer: %w; check that it runs and that this is its admin address", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s admin.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&s); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s gave no status (HTTP %d); name the admin address of a daemon", addr, resp.StatusCode)
	}
	return &s, nil
}

// Statuses reads the status of each daemon. It returns those that answer, and
// reports the others on the error stream.
func (f *Factory) Statuses(ctx context.Context, addrs []netip.AddrPort) ([]*admin.Status, error) {
	var out []*admin.Status
	for _, a := range addrs {
		s, err := f.Status(ctx, a)
		if err != nil {
			fmt.Fprintln(f.Err, err)
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no daemon answered; check the addresses")
	}
	return out, nil
}
