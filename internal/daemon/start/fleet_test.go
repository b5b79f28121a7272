package start_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/conf/local"
	"citronrock.example/citronrock/internal/daemon/start"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/stand/platfm"
	"citronrock.example/citronrock/internal/wire/caller"
	wire "citronrock.example/citronrock/internal/wire/platfm"
)

// waitTimeout bounds every wait of these tests; a test that reaches it fails.
const waitTimeout = 20 * time.Second

const document = `version = 1
[[tenant]]
name = "agentschap"
rate = 1000.0
burst = 1000
open = 100
[[tenant]]
name = "small"
rate = 1.0
burst = 2
open = 2
[[service]]
name = "taalpost"
kind = "model"
model = "stand"
first = "2s"
gap = "100ms"
priority = 2
idempotent = true
deferrable = true
orders = true
queue = 200
[[service]]
name = "bestelbalie"
kind = "plain"
first = "300ms"
priority = 1
idempotent = false
window = "10m"
`

// fleet is a small fleet in one process: daemons and simulated backend servers on
// loopback addresses.
type fleet struct {
	t        testing.TB
	platform *platfm.Platform
	engines  []*engine.Engine
	server   *plain.Server
	daemons  []*start.Daemon
	callers  []string
	admins   []string
	list     []*wire.Instance
	client   *http.Client
}

// freeAddr returns a free loopback address with a port below the range of ephemeral
// ports.
func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(22_000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

func newFleet(t testing.TB, daemons int) *fleet {
	t.Helper()
	return newFleetOf(t, daemons, []string{"prefill", "decode", "decode"}, func(int, *engine.Settings) {})
}

// newFleetOf starts a fleet with one engine for each role. The function change
// may modify the settings of an engine.
func newFleetOf(t testing.TB, daemons int, roles []string, change func(i int, s *engine.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, client: &http.Client{}}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	doc := document
	f.platform = platfm.New()
	f.must(f.platform.Listen(loopback))
	for i, role := range roles {
		name := fmt.Sprintf("tp-%d", i+1)
		e := engine.New(func(s *engine.Settings) {
			s.Name, s.Role, s.TokenGap = name, role, 2*time.Millisecond
			change(i, s)
		})
		f.must(e.Listen(loopback))
		f.engines = append(f.engines, e)
		doc += fmt.Sprintf("[[engine]]\nname = %q\nservice = \"taalpost\"\ncell = \"a\"\nrole = %q\naddress = %q\ndomain = \"gent\"\nchecks = true\n", name, role, e.Addr())
		f.list = append(f.list, &wire.Instance{Name: name, Kind: "engine", Address: e.Addr().String(), Domain: "gent", State: "live"})
	}
	f.server = plain.New()
	f.must(f.server.Listen(loopback))
	doc += fmt.Sprintf("[[server]]\nname = \"bb-1\"\nservice = \"bestelbalie\"\naddress = %q\ndomain = \"gent\"\n", f.server.Addr())
	f.list = append(f.list, &wire.Instance{Name: "bb-1", Kind: "plain", Address: f.server.Addr().String(), Domain: "gent", State: "live"})
	f.platform.PublishDocument(1, []byte(doc))
	for i := range daemons {
		f.start(fmt.Sprintf("d%d", i+1))
	}
	t.Cleanup(f.close)
	f.platform.PublishInstances(f.list)
	for _, a := range f.admins {
		f.await("readiness", func() bool { return f.get("http://"+a+"/ready") == http.StatusOK })
	}
	return f
}

func (f *fleet) start(name string) {
	f.t.Helper()
	var d *start.Daemon
	var s local.Settings
	var err error
	// Another process may bind the free port before the daemon does.
	for range 5 {
		s = local.Settings{Name: name, Domain: "gent", Caller: freeAddr(f.t), Peer: freeAddr(f.t), Admin: freeAddr(f.t), Platform: f.platform.Addr()}
		if d, err = start.New(s, start.Logger(io.Discard, name)); err == nil {
			break
		}
	}
	f.must(err)
	f.list = append(f.list, &wire.Instance{
		Name: name, Kind: "daemon", Address: s.Caller.String(), Peer: s.Peer.String(), Domain: s.Domain, State: "live",
	})
	f.daemons = append(f.daemons, d)
	f.callers = append(f.callers, s.Caller.String())
	f.admins = append(f.admins, s.Admin.String())
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.Stop()
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	_ = f.server.Close()
	_ = f.platform.Close()
	f.client.CloseIdleConnections()
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) get(url string) int {
	resp, err := f.client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// await polls until ok returns true, and fails the test after waitTimeout.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	f.awaitWithin(waitTimeout, what, ok)
}

func (f *fleet) awaitWithin(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("no %s within %v", what, limit)
}

// setFault sets a fault of the simulated server at an address.
func (f *fleet) setFault(addr netip.AddrPort, body string) {
	f.t.Helper()
	resp, err := f.client.Post("http://"+addr.String()+"/fault", "application/json", strings.NewReader(body))
	f.must(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("fault %s gave status %d", body, resp.StatusCode)
	}
}

// held returns the number of KV blocks plus requests that all engines hold.
func (f *fleet) held() (n int) {
	for _, e := range f.engines {
		h := e.Stats()
		n += int(h.Pieces) + h.Requests
	}
	return n
}

func (f *fleet) router(i int) caller.RouterClient {
	return caller.NewRouterClient(f.client, "http://"+f.callers[i])
}

func head(service string) *caller.Head {
	return &caller.Head{Tenant: "agentschap", Service: service, Deadline: durationpb.New(waitTimeout)}
}

// generate returns the text and the finish reason of an answer. It calls seen, if not
// nil, with the index of each token.
func (f *fleet) generate(ctx context.Context, i int, r *caller.GenerateRequest, seen func(uint32)) (string, string, error) {
	s, err := f.router(i).Generate(ctx, connect.NewRequest(r))
	if err != nil {
		return "", "", err
	}
	defer func() { _ = s.Close() }()
	var text strings.Builder
	finish := ""
	next := r.From
	for s.Receive() {
		if s.Msg().Index != next {
			return "", "", fmt.Errorf("index %d after %d", s.Msg().Index, next)
		}
		next++
		text.WriteString(s.Msg().Text)
		finish = s.Msg().Finish
		if seen != nil {
			seen(s.Msg().Index)
		}
	}
	return text.String(), finish, s.Err()
}

// failure returns the typed failure of an error.
func failure(t *testing.T, err error) *caller.Failure {
	t.Helper()
	f := load.Failure(err)
	if f == nil {
		t.Fatalf("%v carries no failure", err)
	}
	return f
}
