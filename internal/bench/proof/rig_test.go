package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/bench/fleet"
	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/daemon/admin"
	"citronrock.example/citronrock/internal/stand/serve"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/engine"
)

// Time limits that the design promises.
const (
	// orphanTimeout bounds the time that engines hold work of a dead daemon.
	orphanTimeout = 8 * time.Second
	// publishTimeout bounds the time until all daemons use a new document.
	publishTimeout = 18 * time.Second
	// drainTimeout bounds the time until a leaving server gets no new work.
	drainTimeout = 3 * time.Second
	// suspectTimeout is the time after which an unresponsive daemon loses the
	// ownership of its cells.
	suspectTimeout = 3 * time.Second
	// idleTimeout bounds the release of engine memory after the last answer, including
	// a retried cancel and one load report.
	idleTimeout = 8 * time.Second
)

// bin is the directory of the programs that fleets run.
var bin string

func TestMain(m *testing.M) {
	var err error
	if bin, err = os.MkdirTemp("", "proof"); err == nil {
		var out []byte
		out, err = exec.Command("go", "build", "-o", bin, "../../../cmd/standin", "../../../cmd/citronrockd").CombinedOutput()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		_ = os.RemoveAll(bin)
		os.Exit(code)
	}))
}

// fleetSlots bounds the fleets that run at a time, so that they use less than half of
// the machine.
var fleetSlots = make(chan struct{}, 3)

// rig is a fleet under test.
type rig struct {
	t       *testing.T
	ctx     context.Context
	f       *fleet.Fleet
	http    *http.Client
	mu      sync.Mutex
	clients map[string]caller.RouterClient
	engines map[string]engine.EngineClient
}

// newRig starts a fleet of n daemons, 2 prefill and 3 decode engines and 3 plain
// servers. At the end of the test the fleet must stop gracefully.
func newRig(t *testing.T, n int, changes ...func(*fleet.Settings)) *rig {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	measureLag(t)
	plan := fleet.Agentschap()
	plan.Daemons = n
	plan.Document.Engines = plan.Document.Engines[2:7]
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	// PROOF_LOGS names a directory in which the logs of all processes are kept.
	work := t.TempDir()
	if dir := os.Getenv("PROOF_LOGS"); dir != "" {
		work = filepath.Join(dir, t.Name())
	}
	f, err := fleet.Start(ctx, func(s *fleet.Settings) {
		s.Bin, s.Work, s.Plan = bin, work, plan
		for _, change := range changes {
			change(s)
		}
	})
	c, idle := serve.Client()
	t.Cleanup(func() {
		cancel()
		idle()
		if f == nil {
			return
		}
		if err := f.Close(); err != nil {
			t.Errorf("graceful stop: %v", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, ctx: ctx, f: f, clients: map[string]caller.RouterClient{}, engines: map[string]engine.EngineClient{}}
	r.http = c
	r.connect()
	for _, e := range f.Document().Engines {
		r.engines[e.Name] = engine.NewEngineClient(c, "http://"+e.Address.String())
	}
	r.await(10*time.Second, "full membership", func() bool {
		for _, d := range f.Daemons() {
			if s, err := f.Status(ctx, d.Name); err != nil || len(s.Members) < n {
				return false
			}
		}
		return true
	})
	return r
}

// connect creates clients for the daemons that have none.
func (r *rig) connect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.f.Daemons() {
		if r.clients[d.Name] == nil {
			r.clients[d.Name] = caller.NewRouterClient(r.http, "http://"+d.Caller.String())
		}
	}
}

// router returns the client of a daemon.
func (r *rig) router(name string) caller.RouterClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clients[name]
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// await polls until cond returns true, for at most limit, and returns the time that
// it took.
func (r *rig) await(limit time.Duration, what string, cond func() bool) time.Duration {
	r.t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > limit {
			r.t.Fatalf("timed out waiting for %s after %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// daemonsExcept returns the names of all daemons but the named ones.
func (r *rig) daemonsExcept(names ...string) []string {
	var out []string
	for _, d := range r.f.Daemons() {
		skip := false
		for _, n := range names {
			skip = skip || n == d.Name
		}
		if !skip {
			out = append(out, d.Name)
		}
	}
	return out
}

func (r *rig) status(name string) admin.Status {
	r.t.Helper()
	s, err := r.f.Status(r.ctx, name)
	r.must(err)
	return s
}

// owner returns the owner of the only cell in the view of the named daemon.
func (r *rig) owner(name string) string {
	r.t.Helper()
	owner := ""
	r.await(10*time.Second, "an owner of the cell", func() bool {
		for _, c := range r.status(name).Cells {
			owner = c.Owner
		}
		return owner != ""
	})
	return owner
}

// requestsOf counts the requests of an edge daemon that run at the engines.
func (r *rig) requestsOf(daemon string) int {
	n := 0
	for _, rep := range r.reports() {
		for _, run := range rep.Running {
			if run.Instance == daemon {
				n++
			}
		}
	}
	return n
}

// awaitIdle waits until no engine holds memory or requests.
func (r *rig) awaitIdle() {
	r.t.Helper()
	r.await(idleTimeout, "release of all memory", func() bool {
		held, _ := r.f.Held(r.ctx)
		for _, h := range held {
			if h.Pieces > 0 || h.Requests > 0 {
				return false
			}
		}
		return true
	})
}

// background is a load that runs beside a test.
type background struct {
	r      *rig
	stop   context.CancelFunc
	result *load.Result
	group  sync.WaitGroup
}

// startLoad starts the workloads of the Agentschap's two services against the named
// daemons, for the time span.
func (r *rig) startLoad(seed uint64, rate float64, span time.Duration, repeats int, daemons []string) *background {
	var at []string
	for _, d := range r.f.Daemons() {
		for _, n := range daemons {
			if d.Name == n {
				at = append(at, d.Caller.String())
			}
		}
	}
	ctx, stop := context.WithCancel(r.ctx)
	b := &background{r: r, stop: stop}
	b.group.Go(func() {
		var err error
		b.result, err = load.Run(ctx, at, func(s *load.Settings) {
			s.Seed, s.Rate, s.Time, s.Retries = seed, rate, span, repeats
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			r.t.Errorf("load: %v", err)
		}
	})
	r.t.Cleanup(func() {
		stop()
		b.group.Wait()
	})
	return b
}

// mustSucceed waits for the end of the load. All of its requests must have been
// answered completely, and its calls executed as their outcomes say.
func (b *background) mustSucceed() *load.Result {
	b.r.t.Helper()
	b.group.Wait()
	if b.result == nil {
		b.r.t.Fatal("the load did not start")
	}
	if n, answered := b.result.Count(load.Answered); n != answered || b.result.Unsent > 0 || n == 0 {
		b.r.t.Errorf("%d of %d requests answered, %d not sent: %q", answered, n, b.result.Unsent, b.result.Failures)
	}
	b.checkCalls()
	return b.result
}
