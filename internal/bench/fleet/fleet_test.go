package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"github.com/pelletier/go-toml/v2"
	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/stand/serve"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// bin is a directory with the stand-in program and this test binary as citronrockd.
var bin string

func TestMain(m *testing.M) {
	if filepath.Base(os.Args[0]) == "citronrockd" {
		os.Exit(fakeDaemon(os.Args[2]))
	}
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		_ = os.RemoveAll(bin)
		os.Exit(code)
	}))
}

func build() error {
	var err error
	if bin, err = os.MkdirTemp("", "fleet"); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.Symlink(self, filepath.Join(bin, "citronrockd")); err != nil {
		return err
	}
	out, err := exec.Command("go", "build", "-o", bin, "../../../cmd/standin").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// fakeDaemon serves the readiness check and tokens until SIGTERM. It is ready once the
// platform lists it. The fake named d2 exits with code 3.
func fakeDaemon(file string) int {
	b, err := os.ReadFile(file)
	var s settings
	if err != nil || toml.Unmarshal(b, &s) != nil {
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	router := http.NewServeMux()
	router.Handle(caller.NewRouterHandler(&namedRouter{name: s.Name}))
	r, err := serve.New(netip.MustParseAddrPort(s.Caller), router)
	if err != nil {
		return 1
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /ready", func(w http.ResponseWriter, q *http.Request) {
		c, idle := serve.Client()
		defer idle()
		l, err := platfm.NewPlatformClient(c, "http://"+s.Platform).Instances(q.Context(), connect.NewRequest(&platfm.InstancesRequest{}))
		if err != nil || !strings.Contains(l.Msg.String(), s.Caller) {
			http.Error(w, "not listed", http.StatusServiceUnavailable)
		}
	})
	a, err := serve.New(netip.MustParseAddrPort(s.Admin), admin)
	if err != nil {
		return 1
	}
	<-stop
	_ = r.Close()
	_ = a.Close()
	if s.Name == "d2" {
		return 3
	}
	return 0
}

type namedRouter struct {
	caller.UnimplementedRouterHandler
	name string
}

func (n *namedRouter) Token(context.Context, *connect.Request[caller.TokenRequest]) (*connect.Response[caller.TokenReply], error) {
	return connect.NewResponse(&caller.TokenReply{Tokens: []string{n.name}}), nil
}

// smallFleet plans a fleet of 3 daemons, 2 engines and 1 plain server.
func smallFleet(t *testing.T) Option {
	return func(s *Settings) {
		s.Bin, s.Work = bin, t.TempDir()
		p := Agentschap()
		p.Daemons = 3
		p.Document.Engines = p.Document.Engines[3:5]
		p.Document.Servers = p.Document.Servers[:1]
		s.Plan = p
	}
}

// Guards against processes that outlive the fleet, and against faults that are
// injected into another process than the named one.
func TestFleet(t *testing.T) {
	ctx := t.Context()
	f, err := Start(ctx, smallFleet(t))
	if f != nil {
		defer func() { _ = f.Close() }()
	}
	if err != nil {
		t.Fatal(err)
	}
	if n := len(f.Pids()); n != 7 {
		t.Fatalf("%d processes, want 7", n)
	}
	c, idle := serve.Client()
	defer idle()
	for i, a := range f.Callers() {
		r, err := caller.NewRouterClient(c, "http://"+a).Token(ctx, connect.NewRequest(&caller.TokenRequest{}))
		if err != nil || r.Msg.Tokens[0] != f.Daemons()[i].Name {
			t.Fatalf("daemon %d: %v, %v", i, r, err)
		}
	}
	work := func() error {
		e := f.Document().Engines[0]
		_, err := engine.NewEngineClient(c, "http://"+e.Address.String()).Prefill(ctx,
			connect.NewRequest(&engine.PrefillRequest{Request: "a", Prompt: "0123456789"}))
		return err
	}
	counted := func() error {
		if sum, err := f.Total(ctx); err != nil || sum.Computed != 3 {
			return fmt.Errorf("total %+v, %w", sum, err)
		}
		return nil
	}
	ended := func(name string, code int) error {
		p, _ := f.process(name)
		p.wait(startTimeout)
		if got := f.ExitCodes(); len(got) != 1 || got[name] != code {
			return fmt.Errorf("ended %v", got)
		}
		return nil
	}
	steps := []struct {
		name string
		do   func() error
		fail bool
	}{
		{"held", func() error { _, err := f.Held(ctx); return err }, false},
		{"work", work, false},
		{"kill engine", func() error { return f.Kill("e4") }, false},
		{"held without e4", func() error { _, err := f.Held(ctx); return err }, true},
		{"total without e4", func() error { _, err := f.Total(ctx); return err }, true},
		{"ended by a kill", func() error { return ended("e4", -1) }, false},
		{"restart engine", func() error { return f.Restart(ctx, "e4") }, false},
		{"total with the earlier run", counted, false},
		{"held again", func() error { _, err := f.Held(ctx); return err }, false},
		{"fault", func() error { return f.Fault(ctx, "e4", `{"stall":true}`) }, false},
		{"unknown fault", func() error { return f.Fault(ctx, "e4", `{"stalled":true}`) }, true},
		{"fault of a daemon", func() error { return f.Fault(ctx, "d1", `{}`) }, true},
		{"crash", func() error { _ = f.Fault(ctx, "e4", `{"crash":true}`); return nil }, false},
		{"ended by a crash", func() error { return ended("e4", 70) }, false},
		{"restart after the crash", func() error { return f.Restart(ctx, "e4") }, false},
		{"stop", func() error { return f.Pause("d1") }, false},
		{"continue", func() error { return f.Resume("d1") }, false},
		{"drain", func() error { return f.Drain(ctx, "d1") }, false},
		{"stop what has ended", func() error { return f.Pause("d1") }, true},
		{"back", func() error { return f.Restart(ctx, "d1") }, false},
		{"drain with a wrong exit code", func() error { return f.Drain(ctx, "d2") }, true},
		{"runs", func() error { _, err := f.Runs(ctx, "/order"); return err }, false},
		{"reads", func() error { _, err := f.Reads(ctx); return err }, false},
	}
	for _, s := range steps {
		if err := s.do(); (err != nil) != s.fail {
			t.Fatalf("%s: %v", s.name, err)
		}
	}
	if err := f.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
	if p := f.Pids(); len(p) != 0 {
		t.Errorf("%v still run", p)
	}
}

// Guards against processes that keep running after a failed start.
func TestFailedStart(t *testing.T) {
	empty := t.TempDir()
	if err := os.Symlink(filepath.Join(bin, "standin"), filepath.Join(empty, "standin")); err != nil {
		t.Fatal(err)
	}
	f, err := Start(t.Context(), smallFleet(t), func(s *Settings) { s.Bin = empty })
	if f == nil || err == nil || !strings.Contains(err.Error(), "build it first") {
		t.Fatalf("fleet %v, error %v", f, err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if p := f.Pids(); len(p) != 0 {
		t.Errorf("%v still run", p)
	}
}
