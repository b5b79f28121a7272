package delay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/serve"
	"citronrock.example/citronrock/internal/wire/caller"
)

// deadline is the deadline of each request, long enough that none expires.
const deadline = time.Minute

// path sends requests to the simulated servers, directly or through the daemon.
type path interface {
	Stream(ctx context.Context, q *caller.GenerateRequest, emit func(*caller.GenerateChunk) error) error
	Post(ctx context.Context, q *caller.CallRequest) (*caller.CallReply, error)
}

// daemon is the path through a daemon.
type daemon struct {
	client caller.RouterClient
	idle   func()
}

func dial(address string) *daemon {
	var c *http.Client
	d := &daemon{}
	c, d.idle = serve.Client()
	d.client = caller.NewRouterClient(c, "http://"+address)
	return d
}

func (d *daemon) Stream(ctx context.Context, q *caller.GenerateRequest, emit func(*caller.GenerateChunk) error) error {
	s, err := d.client.Generate(ctx, connect.NewRequest(q))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		if err := emit(s.Msg()); err != nil {
			return err
		}
	}
	return s.Err()
}

func (d *daemon) Post(ctx context.Context, q *caller.CallRequest) (*caller.CallReply, error) {
	r, err := d.client.Call(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// sample is the measurement of one request: the time to first token, for a call
// the time until the answer, and the gaps between tokens.
type sample struct {
	first  time.Duration
	gaps   []time.Duration
	tokens int
}

// generate sends a generate request with a unique prompt and checks that the
// answer is complete: its tokens are consecutive and the last one is marked.
func generate(ctx context.Context, p path, name string, prompt, output int) (sample, error) {
	q := &caller.GenerateRequest{
		Head:   &caller.Head{Tenant: tenant, Service: model, Deadline: durationpb.New(deadline)},
		Prompt: text(name, prompt*4), Max: uint32(output),
	}
	var out sample
	var last time.Time
	finished := false
	begin := time.Now()
	err := p.Stream(ctx, q, func(c *caller.GenerateChunk) error {
		now := time.Now()
		switch {
		case c.Index != uint32(out.tokens):
			return fmt.Errorf("token %d of %s, want %d", c.Index, name, out.tokens)
		case out.tokens == 0:
			out.first = now.Sub(begin)
		default:
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
		out.tokens++
		finished = c.Finish != ""
		return nil
	})
	if err == nil && !finished {
		err = fmt.Errorf("the answer of %s ended after %d tokens", name, out.tokens)
	}
	return out, err
}

// call sends a call with a unique body and checks that its status is 200.
func call(ctx context.Context, p path, service, name string) (sample, error) {
	q := &caller.CallRequest{
		Head: &caller.Head{Tenant: tenant, Service: service, Deadline: durationpb.New(deadline)},
		Path: "/" + service, Body: []byte(text(name, 200)),
	}
	begin := time.Now()
	r, err := p.Post(ctx, q)
	out := sample{first: time.Since(begin)}
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("call %s got status %d", name, r.Status)
	}
	return out, err
}

func text(name string, size int) string {
	name += " "
	return strings.Repeat(name, size/len(name)+1)[:max(size, len(name))]
}
