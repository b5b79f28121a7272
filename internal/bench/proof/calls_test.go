package proof

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/bench/demo"
	"citronrock.example/citronrock/internal/bench/load"
	stand "citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/engine"
)

// checkCalls compares the executions of at-most-once calls with the outcomes that
// their callers got.
func (b *background) checkCalls() {
	b.r.t.Helper()
	for path, calls := range b.result.AtMostOnce {
		runs, err := b.r.f.Runs(b.r.ctx, path)
		b.r.must(err)
		if err := demo.CheckRuns(calls, runs); err != nil {
			b.r.t.Errorf("path %s: %v", path, err)
		}
	}
	if _, n := b.result.Count(load.Wrong); n > 0 {
		b.r.t.Errorf("%d wrong answers: %q", n, b.result.Failures)
	}
}

// reports returns one load report of each engine that answers within 1 s.
func (r *rig) reports() []*engine.Report {
	var mu sync.Mutex
	var out []*engine.Report
	var group sync.WaitGroup
	for _, c := range r.engines {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			s, err := c.Watch(ctx, connect.NewRequest(&engine.WatchRequest{Every: durationpb.New(20 * time.Millisecond)}))
			if err != nil {
				return
			}
			defer func() { _ = s.Close() }()
			if s.Receive() {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, s.Msg())
			}
		})
	}
	group.Wait()
	return out
}

// order is one call that must not be executed twice, with the outcomes of its attempts.
type order struct {
	body       string
	token, key string
	attempts   uint32

	mu      sync.Mutex
	answers int
	notrun  int
	unknown int
}

// send makes one attempt at a daemon and counts its outcome. Attempts that fail
// without the router's answer that the call did not run count as unknown.
func (o *order) send(ctx context.Context, r *rig, daemon string) {
	o.mu.Lock()
	o.attempts++
	head := &caller.Head{
		Tenant: "agentschap", Service: "bestelbalie", Deadline: durationpb.New(4 * time.Second),
		Token: o.token, Key: o.key, Attempt: o.attempts,
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	reply, err := r.router(daemon).Call(ctx, connect.NewRequest(&caller.CallRequest{Head: head, Path: "/order", Body: []byte(o.body)}))
	o.mu.Lock()
	defer o.mu.Unlock()
	f := load.Failure(err)
	switch {
	case err == nil && bytes.Equal(reply.Msg.Body, plain.Answer("/order", []byte(o.body))):
		o.answers++
	case err == nil:
		r.t.Errorf("order %s was answered with %q", o.body, reply.Msg.Body)
	case f.GetKind() == caller.Failure_NOTRUN:
		o.notrun++
	default:
		o.unknown++
	}
}

// check compares the executions with the outcomes. The answer to a retry with the same
// token or key covers all attempts, so that "not run" excludes any earlier execution.
// Since later retries may execute the order, it must not be sent again between answer
// and the count of runs.
func (o *order) check(r *rig, runs map[string]int, answer caller.Failure_Kind) {
	r.t.Helper()
	n := runs[plain.Sum("/order", []byte(o.body))]
	if n > 1 {
		r.t.Errorf("order %s ran %d times", o.body, n)
	}
	if n == 0 && o.answers > 0 {
		r.t.Errorf("order %s was answered and did not run", o.body)
	}
	if n > 0 && answer == caller.Failure_NOTRUN {
		r.t.Errorf("order %s ran %d times and was last reported as not run", o.body, n)
	}
}

// retryAt sends the order to each daemon in turn and checks it after each attempt.
func (o *order) retryAt(r *rig, daemons []string) {
	r.t.Helper()
	for _, d := range daemons {
		before := o.notrun
		o.send(r.ctx, r, d)
		answer := caller.Failure_NONE
		if o.notrun > before {
			answer = caller.Failure_NOTRUN
		}
		runs, err := r.f.Runs(r.ctx, "/order")
		r.must(err)
		o.check(r, runs, answer)
	}
}

// awaitKeyOwnership waits until each daemon has owned its idempotency keys for the
// hold time. Before that, first attempts with a key are not run.
func (r *rig) awaitKeyOwnership(daemons []string) {
	r.t.Helper()
	n := 0
	r.await(20*time.Second, "ownership of idempotency keys", func() bool {
		for _, d := range daemons {
			n++
			o := &order{body: fmt.Sprintf("cover %d", n), key: fmt.Sprintf("cover key %d", n)}
			o.send(r.ctx, r, d)
			if o.answers == 0 {
				return false
			}
		}
		return true
	})
}

// newOrders returns n orders with execution tokens of the issuer and n with
// idempotency keys.
func (r *rig) newOrders(n int, text, issuer string) []*order {
	r.t.Helper()
	reply, err := r.router(issuer).Token(r.ctx, connect.NewRequest(&caller.TokenRequest{Tenant: "agentschap", Count: uint32(n)}))
	r.must(err)
	if len(reply.Msg.Tokens) != n {
		r.t.Fatalf("%d tokens, want %d", len(reply.Msg.Tokens), n)
	}
	var out []*order
	for i := range n {
		out = append(out,
			&order{body: fmt.Sprintf("%s by token %d", text, i), token: reply.Msg.Tokens[i]},
			&order{body: fmt.Sprintf("%s by key %d", text, i), key: fmt.Sprintf("%s key %d", text, i)})
	}
	return out
}

// generate sends a model request to a daemon and validates the stream; onChunk, if not
// nil, is called after each chunk.
func (r *rig) generate(ctx context.Context, daemon, prompt string, limit uint32, onChunk func()) error {
	s, err := r.router(daemon).Generate(ctx, connect.NewRequest(&caller.GenerateRequest{
		Head:   &caller.Head{Tenant: "agentschap", Service: "taalpost", Deadline: durationpb.New(40 * time.Second)},
		Prompt: prompt, Max: limit,
	}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	var text strings.Builder
	var next uint32
	finish := ""
	for s.Receive() {
		m := s.Msg()
		if m.Index != next && m.Text != "" {
			return fmt.Errorf("got token index %d, want %d", m.Index, next)
		}
		if m.Text != "" {
			next++
		}
		text.WriteString(m.Text)
		finish = m.Finish
		if onChunk != nil {
			onChunk()
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	if want, end := stand.Answer(prompt, limit); text.String() != want || finish != end {
		return fmt.Errorf("got %d bytes with finish reason %q, want %d with %q", text.Len(), finish, len(want), end)
	}
	return nil
}

// longPrompt returns the i-th prompt that begins with text and has an output of 900
// tokens or more, which takes over 13 s.
func longPrompt(text string, i int) string {
	for k := 0; ; k++ {
		p := fmt.Sprintf("%s %d/%d %s", text, i, k, strings.Repeat("kant ", 200))
		if n, _ := stand.NewText(p).Len(1 << 20); n >= 900 {
			return p
		}
	}
}

// startStreams starts n long streams at a daemon and returns when each has delivered a
// chunk. The returned function waits for their ends and returns their errors.
func (r *rig) startStreams(n int, daemon, text string) func() []error {
	r.t.Helper()
	errs := make([]error, n)
	var all, begun sync.WaitGroup
	begun.Add(n)
	for i := range n {
		all.Go(func() {
			var once sync.Once
			errs[i] = r.generate(r.ctx, daemon, longPrompt(text, i), 1040, func() { once.Do(begun.Done) })
			once.Do(func() {
				r.t.Errorf("stream %d ended before its first chunk: %v", i, errs[i])
				begun.Done()
			})
		})
	}
	begun.Wait()
	r.t.Cleanup(all.Wait)
	return func() []error {
		all.Wait()
		return errs
	}
}
