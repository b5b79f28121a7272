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

// ran returns the number of runs at one plain server.
func (r *rig) ran(name string) int {
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
	r.t.Fatalf("there is no server %s", name)
	return 0
}

// held returns the requests that the named engines hold.
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

// Guards against new work for a backend server that leaves, and against running
// work that is cut off there.
func TestBackendLeaves(t *testing.T) {
	r := newRig(t, 3)
	names := r.others()
	gone := []string{"e3", "e5"} // one prefill and one decode engine
	wait := r.streams(9, "d1", "blijven")
	bg := r.load(16, 12, 12*time.Second, 20, names)
	r.within(5*time.Second, "work on the engines that leave", func() bool { return len(r.held("e5")) > 0 && r.ran("s1") > 0 })
	for _, n := range append(gone, "s1") {
		r.must(r.f.SetState(r.ctx, n, "leaving"))
	}
	time.Sleep(leaving)
	known, calls := r.held(gone...), r.ran("s1")
	// Longer than a request of the load may wait.
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); {
		for id := range r.held(gone...) {
			if !known[id] {
				t.Errorf("new work %s more than %s after the change", id, leaving)
				known[id] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := r.ran("s1"); n != calls {
		t.Errorf("%d calls to a server that left", n-calls)
	}
	for i, err := range wait() {
		if err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	bg.whole()
	r.settled()
}

// balancer sends requests to the daemons that are in its set.
type balancer struct {
	r   *rig
	mu  sync.Mutex
	set []string
	// answered counts answers, elsewhere refusals by a stopping daemon.
	answered, elsewhere atomic.Int32
}

func (b *balancer) pick(rnd *rand.Rand) (string, caller.RouterClient) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.set[rnd.IntN(len(b.set))]
	return n, b.r.router(n)
}

func (b *balancer) replace(old, fresh string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var set []string
	for _, n := range b.set {
		if n != old {
			set = append(set, n)
		}
	}
	if fresh != "" {
		set = append(set, fresh)
	}
	b.set = set
}

// unsent tells whether a request was refused as not run or had no connection to
// be sent on, so that it may go to another daemon.
func unsent(err error) bool {
	return load.Failure(err).GetKind() == caller.Failure_NOTRUN || strings.Contains(err.Error(), "connection refused")
}

// work sends requests one after the other until ctx ends, and finishes the last.
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
			b.elsewhere.Add(1)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// order takes a token and sends an order with it to the same daemon.
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

// Guards against a replacement of all daemons that cuts off, loses or doubles
// requests. The balancer learns of a stop late, so that requests still reach
// daemons that stop.
func TestRollingReplacement(t *testing.T) {
	r := newRig(t, 7)
	b := &balancer{r: r, set: r.others()}
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
	r.settled()
	if b.answered.Load() == 0 || len(runs) == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answered, %d sent again elsewhere, %d orders", b.answered.Load(), b.elsewhere.Load(), len(runs))
}

// Guards against one prompt that takes down engine after engine, and against
// other requests that are lost with it.
func TestPoisonedPrompt(t *testing.T) {
	const poison = "broken lace"
	r := newRig(t, 3, func(s *fleet.Settings) {
		s.Plan.Document.Engines = fleet.Agentschap().Document.Engines[:8]
		s.Plan.Engine = []string{"--poison", poison}
	})
	names := r.others()
	bg := r.load(18, 8, 10*time.Second, 20, names)
	time.Sleep(time.Second)
	// The caller comes back after the given time until the refusal is final, and
	// then asks every daemon again.
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
		t.Errorf("%v ended, want one or two engines", dead)
	}
	if final < 2*len(names) {
		t.Errorf("the prompt was refused as suspect %d times", final)
	}
	bg.whole()
	r.settled()
	if after := r.f.ExitCodes(); len(after) != len(dead) {
		t.Errorf("%v ended, later %v", dead, after)
	}
}
