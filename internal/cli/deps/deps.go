// Package deps holds the dependencies that the commands share: streams, environment,
// clock and clients.
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
	ExitFailed = 1 // the command failed, or a check found a problem
	ExitUsage  = 2 // wrong arguments
)

// requestTimeout bounds each HTTP request of a command, including reading the response.
const requestTimeout = 5 * time.Second

// maxStatusBytes bounds the status that is read from a daemon.
const maxStatusBytes = 16 << 20

// UsageError reports wrong arguments of a command. The exit code is ExitUsage.
type UsageError struct {
	// Usage is the usage line of the command.
	Usage string
	// Problem says what is wrong with the arguments.
	Problem string
}

// Error returns the problem and, on a second line, the usage.
func (e *UsageError) Error() string { return e.Problem + "\nusage: " + e.Usage }

// Factory provides the streams, environment, clock and clients of a command. Tests
// replace them.
type Factory struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
	Getenv   func(string) string
	Now      func() time.Time
	HTTP     *http.Client
	// Platform returns a client of the platform's configuration service at an address.
	Platform func(addr netip.AddrPort) platfm.PlatformClient
}

// New returns a factory with the streams, environment and clock of the process.
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

// Addresses parses a list of addresses separated by commas: value, which is that of the
// flag, or if it is empty the environment variable env. It fails when both are empty or
// an address is invalid.
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
			return nil, fmt.Errorf("invalid address %q; write it as 127.0.0.1:7201", part)
		}
		out = append(out, addr)
	}
	return out, nil
}

// Status fetches the status of one daemon from its admin address. It fails when the
// daemon can't be reached or the response is not a status.
func (f *Factory) Status(ctx context.Context, addr netip.AddrPort) (*admin.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("can't reach daemon %s: %w; check that it runs and that this is its admin address", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s admin.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s did not return a daemon's status (HTTP %d); give the admin address of a daemon", addr, resp.StatusCode)
	}
	return &s, nil
}

// Statuses fetches the status of each daemon, one after another. It prints the errors
// of those that fail to f.Err, and returns an error only when all fail.
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
