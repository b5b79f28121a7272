package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/wire/caller"
)

// defaultRetryDelay is used for failures without a Retry-After delay.
const defaultRetryDelay = 100 * time.Millisecond

// errWrong marks answers that violate the protocol.
var errWrong = errors.New("wrong answer")

func wrongf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errWrong, fmt.Sprintf(format, args...))
}

// request is the state of one arrival over all its attempts.
type request struct {
	*arrival
	sample
	start time.Time
	last  time.Time
	next  uint32
	head  *caller.Head
	text  engine.Text
}

// send executes one request with its retries.
func (g *generator) send(ctx context.Context, a *arrival) *sample {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline)
	defer cancel()
	r := &request{arrival: a, start: time.Now()}
	r.sample.class, r.sample.at = a.class, a.at
	r.head = &caller.Head{Tenant: a.class.Tenant, Service: a.class.Service}
	r.text = engine.NewText(a.prompt)
	if a.class.plain() {
		r.hash = plain.Sum(a.class.Path, a.body)
	} else {
		// Calls to plain services carry no idempotency key, since a key binds a call
		// to one daemon. Those that must not be executed twice carry an execution
		// token instead.
		r.head.Key = newKey()
	}
	for {
		r.head.Attempt++
		err := g.attempt(ctx, r)
		r.classify(err)
		if r.outcome == Answered || r.outcome == Wrong || r.retries >= g.set.Retries {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(retryAfter(err))) {
			break
		}
		r.retries++
	}
	if r.tokens > 1 {
		r.gap = r.last.Sub(r.start.Add(r.first)) / time.Duration(r.tokens-1)
	}
	return &r.sample
}

func (g *generator) attempt(ctx context.Context, r *request) error {
	c := g.clients[r.rnd.IntN(len(g.clients))]
	if d, ok := ctx.Deadline(); ok {
		r.head.Deadline = durationpb.New(time.Until(d))
	}
	if !r.arrival.class.plain() {
		return r.generate(ctx, c)
	}
	if r.arrival.class.AtMostOnce && r.head.Token == "" {
		t, err := c.Token(ctx, connect.NewRequest(&caller.TokenRequest{Tenant: r.head.Tenant, Count: 1}))
		if err != nil || len(t.Msg.Tokens) == 0 {
			return &unsent{fmt.Errorf("no execution token: %w", err)}
		}
		r.head.Token = t.Msg.Tokens[0]
	}
	return r.call(ctx, c)
}

// unsent is an error that occurred before the request itself was sent.
type unsent struct{ error }

func (u *unsent) Unwrap() error { return u.error }

// newKey returns a UUID of version 7, which contains its creation time.
func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func (r *request) call(ctx context.Context, c caller.RouterClient) error {
	reply, err := c.Call(ctx, connect.NewRequest(&caller.CallRequest{
		Head: r.head, Path: r.arrival.class.Path, Body: r.body,
	}))
	if err != nil {
		return err
	}
	r.first = time.Since(r.start)
	if reply.Msg.Replay {
		r.replays++
	}
	if reply.Msg.Status != 200 {
		return fmt.Errorf("status %d", reply.Msg.Status)
	}
	if !bytes.Equal(reply.Msg.Body, plain.Answer(r.arrival.class.Path, r.body)) {
		return wrongf("response body %q does not match the request", reply.Msg.Body)
	}
	return nil
}

func (r *request) generate(ctx context.Context, c caller.RouterClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := c.Generate(ctx, connect.NewRequest(&caller.GenerateRequest{
		Head: r.head, Prompt: r.prompt, Max: r.output, From: r.next,
	}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	finished := false
	for s.Receive() {
		if finished {
			return wrongf("chunk received after the finish reason")
		}
		if finished, err = r.accept(s.Msg()); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	if !finished {
		return wrongf("stream ended at token %d without a finish reason", r.next)
	}
	return nil
}

// accept validates one chunk and reports whether it is the last.
func (r *request) accept(m *caller.GenerateChunk) (bool, error) {
	length, finish := r.text.Len(r.output)
	if m.Index != r.next {
		return false, wrongf("got token index %d, want %d", m.Index, r.next)
	}
	// A stream that broke after the last token is resumed with a chunk that
	// contains no token, only the finish reason.
	if r.next < length {
		if m.Text != r.text.Token(r.next) {
			return false, wrongf("token %d is %q, which does not match the prompt", m.Index, m.Text)
		}
		r.last = time.Now()
		if r.tokens == 0 {
			r.first = r.last.Sub(r.start)
		}
		r.next++
		r.tokens++
	} else if m.Text != "" {
		return false, wrongf("text %q after the last token", m.Text)
	}
	if m.Finish == "" {
		return false, nil
	}
	if r.next != length || m.Finish != finish {
		return false, wrongf("finish reason %q after %d of %d tokens", m.Finish, r.next, length)
	}
	return true, nil
}

// classify sets the outcome from the last attempt. After an attempt that may have
// been executed, a later refusal doesn't make the request count as not run.
func (r *request) classify(err error) {
	previous := r.outcome
	r.cause = ""
	if err != nil {
		r.cause = err.Error()
	}
	var u *unsent
	switch {
	case err == nil:
		r.outcome = Answered
	case errors.Is(err, errWrong):
		r.outcome = Wrong
	case errors.As(err, &u):
		r.outcome = NotRun
	default:
		r.outcome = outcomeOf(err)
	}
	if r.outcome == NotRun && previous != "" && previous != NotRun {
		r.outcome = previous
	}
}

// outcomeOf maps the error of an attempt to an outcome. RPC errors without the
// router's failure detail, such as broken connections, are Unknown.
func outcomeOf(err error) Outcome {
	f := Failure(err)
	switch f.GetKind() {
	case caller.Failure_NOTRUN:
		return NotRun
	case caller.Failure_FAILED:
		return Failed
	}
	var c *connect.Error
	if !errors.As(err, &c) && f == nil {
		return Failed
	}
	return Unknown
}

// Failure returns the failure detail that the router attached to an RPC error, or
// nil if there is none.
func Failure(err error) *caller.Failure {
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil
	}
	for _, d := range c.Details() {
		v, err := d.Value()
		if err != nil {
			continue
		}
		if f, ok := v.(*caller.Failure); ok {
			return f
		}
	}
	return nil
}

func retryAfter(err error) time.Duration {
	if d := Failure(err).GetAfter().AsDuration(); d > 0 {
		return d
	}
	return defaultRetryDelay
}
