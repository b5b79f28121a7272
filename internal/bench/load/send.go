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

// pause is the wait before a repeat when the failure names none.
const pause = 100 * time.Millisecond

// errWrong marks answers that break the protocol's promises.
var errWrong = errors.New("wrong answer")

func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errWrong, fmt.Sprintf(format, args...))
}

// request is one planned request while it is sent.
type request struct {
	*arrival
	ended
	start time.Time
	last  time.Time
	next  uint32
	head  *caller.Head
	text  engine.Text
}

// send carries out one request, with repeats, and returns how it ended.
func (g *generator) send(ctx context.Context, a *arrival) *ended {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline)
	defer cancel()
	r := &request{arrival: a, start: time.Now()}
	r.ended.class, r.ended.at = a.class, a.at
	r.head = &caller.Head{Tenant: a.class.Tenant, Service: a.class.Service}
	r.text = engine.NewText(a.prompt)
	if a.class.plain() {
		r.sum = plain.Sum(a.class.Path, a.body)
	} else {
		// Calls that may be repeated carry no key, as a key ties a call to one
		// daemon; those that may not carry a token.
		r.head.Key = newKey()
	}
	for {
		r.head.Attempt++
		err := g.attempt(ctx, r)
		r.judge(err)
		if r.outcome == Answered || r.outcome == Wrong || r.repeats >= g.set.Retries {
			break
		}
		if !until(ctx, time.Now().Add(retryAfter(err))) {
			break
		}
		r.repeats++
	}
	if r.tokens > 1 {
		r.gap = r.last.Sub(r.start.Add(r.first)) / time.Duration(r.tokens-1)
	}
	return &r.ended
}

func (g *generator) attempt(ctx context.Context, r *request) error {
	c := g.clients[r.pick.IntN(len(g.clients))]
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

// unsent is a failure before the request itself was sent.
type unsent struct{ error }

func (u *unsent) Unwrap() error { return u.error }

// newKey returns a UUID of version 7, which also states when it was made.
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
		return wrong("the body %q is not the request's own", reply.Msg.Body)
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
			return wrong("a chunk after the last one")
		}
		if finished, err = r.take(s.Msg()); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	if !finished {
		return wrong("the stream ended at token %d without a finish", r.next)
	}
	return nil
}

// take checks one chunk and tells whether it is the last.
func (r *request) take(m *caller.GenerateChunk) (bool, error) {
	length, finish := r.text.Len(r.output)
	if m.Index != r.next {
		return false, wrong("token %d, want %d", m.Index, r.next)
	}
	// After a break at the very end, the last chunk has no token.
	if r.next < length {
		if m.Text != r.text.Token(r.next) {
			return false, wrong("token %d is %q, not the request's own", m.Index, m.Text)
		}
		r.last = time.Now()
		if r.tokens == 0 {
			r.first = r.last.Sub(r.start)
		}
		r.next++
		r.tokens++
	} else if m.Text != "" {
		return false, wrong("text %q after the end", m.Text)
	}
	if m.Finish == "" {
		return false, nil
	}
	if r.next != length || m.Finish != finish {
		return false, wrong("finish %q after %d of %d tokens", m.Finish, r.next, length)
	}
	return true, nil
}

// judge sets the outcome from the last attempt. An earlier attempt that may
// have run keeps a later refusal from counting as not run.
func (r *request) judge(err error) {
	before := r.outcome
	r.why = ""
	if err != nil {
		r.why = err.Error()
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
		r.outcome = kindOf(err)
	}
	if r.outcome == NotRun && before != "" && before != NotRun {
		r.outcome = before
	}
}

// kindOf returns Unknown for errors without the router's detail, as for broken
// connections.
func kindOf(err error) Outcome {
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

// Failure returns the typed failure that the router attached to an error, nil for
// none.
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
	return pause
}
