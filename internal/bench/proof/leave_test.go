package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/bench/fleet"
	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/wire/caller"
)

// callsAt returns the number of calls that one plain server has executed.
func (r *rig) callsAt(name string) int {
	r.t.Helper()
	for _, s := range r.f.Document().Servers {
		if s.Name != name {
			continue
		}
		q, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+s.Address.String()+"/runs", nil)
		r.must(err)
		resp, err := http.DefaultClient.Do(q)
		r.must(err)
		defer func() { _ = resp.Body.Close() }()
		var runs plain.Runs
		r.must(json.NewDecoder(resp.Body).Decode(&runs))
		n := 0
		for _, path := range runs.Paths {
			for _, k := range path {
				n += k
			}
		}
		http.DefaultClient.CloseIdleConnections()
		return n
	}
	r.t.Fatalf("unknown server %s", name)
	return 0
}

// held returns the requests that run at the named engines, as engine and request ID.
func (r *rig) held(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, rep := range r.reports() {
		for _, n := range names {
			if rep.Engine != n {
				continue
			}
			for _, run := range rep.Running {
				out[n+" "+run.Request] = true
			}
		}
	}
	return out
}

// Guards against new work for a backend server that is marked as leaving, and against
// running work that is aborted there.
func TestBackendLeaves(t *testing.T) {
	r := newRig(t, 3)
	names := r.daemonsExcept()
	gone := []string{"e3", "e5"} // one prefill and one decode engine
	wait := r.startStreams(9, "d1", "blijven")
	bg := r.startLoad(16, 12, 12*time.Second, 20, names)
	r.await(5*time.Second, "work on the engines that leave", func() bool { return len(r.held("e5")) > 0 && r.callsAt("s1") > 0 })
	for _, n := range append(gone, "s1") {
		r.must(r.f.SetState(r.ctx, n, "leaving"))
	}
	time.Sleep(drainTimeout)
	known, calls := r.held(gone...), r.callsAt("s1")
	// Longer than a request of the load may wait in a queue.
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); {
		for id := range r.held(gone...) {
			if !known[id] {
				t.Errorf("new work %s more than %s after the change", id, drainTimeout)
				known[id] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := r.callsAt("s1"); n != calls {
		t.Errorf("%d new calls to a server that leaves", n-calls)
	}
	for i, err := range wait() {
		if err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	bg.mustSucceed()
	r.awaitIdle()
}

// balancer is a load balancer in front of the daemons.
type balancer struct {
	r       *rig
	mu      sync.Mutex
	daemons []string
	// answered counts answers, retried the attempts that were refused by a stopping
	// daemon and sent again.
	answered, retried atomic.Int32
}

func (b *balancer) pick(rnd *rand.Rand) (string, caller.RouterClient) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.daemons[rnd.IntN(len(b.daemons))]
	return n, b.r.router(n)
}

func (b *balancer) replace(old, fresh string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var set []string
	for _, n := range b.daemons {
		if n != old {
			set = append(set, n)
		}
	}
	if fresh != "" {
		set = append(set, fresh)
	}
	b.daemons = set
}

// unsent reports whether a request was refused as not run or its connection was
// refused, so that it may be retried at another daemon.
func unsent(err error) bool {
	return load.Failure(err).GetKind() == caller.Failure_NOTRUN || strings.Contains(err.Error(), "connection refused")
}

// work sends requests one after the other until ctx ends, and completes the last one.
func (b *balancer) work(ctx context.Context, worker int) {
	rnd := rand.New(rand.NewPCG(17, uint64(worker)))
	for i := 0; ctx.Err() == nil; i++ {
		text := fmt.Sprintf("worker %d request %d", worker, i)
		for {
			name, c := b.pick(rnd)
			var err error
			if worker%2 == 0 {
				err = b.r.generate(b.r.ctx, name, text, 150, nil)
			} else {
				err = b.order(c, text)
			}
			if err == nil {
				b.answered.Add(1)
				break
			}
			if !unsent(err) {
				b.r.t.Errorf("%s at %s: %v", text, name, err)
				break
			}
			b.retried.Add(1)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// order gets an execution token and sends an order with it to the same daemon.
func (b *balancer) order(c caller.RouterClient, body string) error {
	tokens, err := c.Token(b.r.ctx, connect.NewRequest(&caller.TokenRequest{Tenant: "agentschap", Count: 1}))
	if err != nil {
		return err
	}
	_, err = c.Call(b.r.ctx, connect.NewRequest(&caller.CallRequest{
		Head: &caller.Head{
			Tenant: "agentschap", Service: "bestelbalie", Deadline: durationpb.New(10 * time.Second),
			Token: tokens.Msg.Tokens[0], Attempt: 1,
		},
		Path: "/order", Body: []byte(body),
	}))
	return err
}

// Guards against requests that are aborted, lost or executed twice while all daemons
// are replaced one by one. The load balancer removes a daemon 300 ms after its stop
// has begun, so that requests still reach stopping daemons.
func TestRollingReplacement(t *testing.T) {
	r := newRig(t, 7)
	b := &balancer{r: r, daemons: r.daemonsExcept()}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() { b.work(ctx, i) })
	}
	for _, d := range r.f.Daemons() {
		fresh := "n" + d.Name
		r.must(r.f.Announce(r.ctx, fresh, d.Domain))
		r.must(r.f.Launch(r.ctx, fresh))
		r.connect()
		b.replace("", fresh)
		time.AfterFunc(300*time.Millisecond, func() { b.replace(d.Name, "") })
		if err := r.f.Drain(r.ctx, d.Name); err != nil {
			t.Errorf("graceful stop of %s: %v", d.Name, err)
		}
	}
	time.Sleep(time.Second)
	stop()
	group.Wait()
	runs, err := r.f.Runs(r.ctx, "/order")
	r.must(err)
	for sum, n := range runs {
		if n != 1 {
			t.Errorf("order %s ran %d times", sum, n)
		}
	}
	r.awaitIdle()
	if b.answered.Load() == 0 || len(runs) == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answered, %d sent again elsewhere, %d orders", b.answered.Load(), b.retried.Load(), len(runs))
}

// Guards against one prompt that crashes engine after engine because it is retried,
// and against the loss of other requests in these crashes.
func TestPoisonedPrompt(t *testing.T) {
	const poison = "broken lace"
	r := newRig(t, 3, func(s *fleet.Settings) {
		s.Plan.Document.Engines = fleet.Agentschap().Document.Engines[:8]
		s.Plan.Engine = []string{"--poison", poison}
	})
	names := r.daemonsExcept()
	bg := r.startLoad(18, 8, 10*time.Second, 20, names)
	time.Sleep(time.Second)
	// The caller retries after the Retry-After delay until the prompt is blocked, and
	// then sends it to every daemon again.
	final := 0
	for i := 0; i < 60 && final < 2*len(names); i++ {
		err := r.generate(r.ctx, names[i%len(names)], "a "+poison+" "+strings.Repeat("z", 100), 5, nil)
		f := load.Failure(err)
		switch {
		case err == nil:
			t.Fatal("the prompt was answered")
		case f.GetReason() == "suspect":
			final++
		default:
			time.Sleep(min(f.GetAfter().AsDuration(), time.Second))
		}
	}
	dead := r.f.ExitCodes()
	if len(dead) == 0 || len(dead) > 2 {
		t.Errorf("%v exited, want one or two engines", dead)
	}
	if final < 2*len(names) {
		t.Errorf("the prompt was refused as suspect %d times", final)
	}
	bg.mustSucceed()
	r.awaitIdle()
	if after := r.f.ExitCodes(); len(after) != len(dead) {
		t.Errorf("%v had exited, later %v", dead, after)
	}
}
