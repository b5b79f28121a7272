// Package edge serves the caller protocol: it validates clients' requests, hands
// them to the decision core, and streams the answers.
package edge

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/exec"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/engine"
)

// Limits of requests.
const (
	maxPromptBytes  = 1 << 20
	maxInFlight     = 8192
	defaultDeadline = time.Minute
	maxDeadline     = 15 * time.Minute
	// bytesPerToken estimates the number of tokens of a prompt from its length.
	bytesPerToken = 4
	blockBytes    = policy.BlockTokens * bytesPerToken
	// answerGrace is the time after its deadline at which a request ends here if
	// the core has not answered it.
	answerGrace       = time.Second
	defaultRetryAfter = time.Second
)

// Calls handles calls to plain services. Errors are *citronrock.Error.
type Calls interface {
	Call(ctx context.Context, r *caller.CallRequest) (*caller.CallReply, error)
	Token(ctx context.Context, r *caller.TokenRequest) (*caller.TokenReply, error)
}

// Meter records the metrics of requests.
type Meter interface {
	FirstToken(service, tenant string, d time.Duration)
	TokenGaps(service, tenant string, gaps []time.Duration)
	Answer(service, tenant, outcome, reason string, took time.Duration)
	WastedTokens(service string, tokens int64)
}

// Edge implements the Router service of the caller protocol.
type Edge struct {
	idPrefix     string
	requestCount atomic.Uint64
	post         func(event.Event)
	exec         *exec.Exec
	calls        Calls
	meter        Meter
	log          hclog.Logger
	doc          atomic.Pointer[policy.Document]
	draining     atomic.Bool
	inFlight     atomic.Int64
}

// Option configures an Edge in New.
type Option func(*Edge)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(log hclog.Logger) Option { return func(e *Edge) { e.log = log } }

// New returns an Edge for the daemon with that name and incarnation. It passes
// events for the decision core to post.
func New(name string, incarnation uint64, post func(event.Event), executor *exec.Exec, calls Calls, m Meter, opts ...Option) *Edge {
	e := &Edge{
		idPrefix: fmt.Sprintf("%s-%x-", name, incarnation),
		post:     post, exec: executor, calls: calls, meter: m, log: hclog.NewNullLogger(),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Publish replaces the document that requests are validated against.
func (e *Edge) Publish(d *policy.Document) { e.doc.Store(d) }

// Drain makes the edge refuse new requests.
func (e *Edge) Drain() { e.draining.Store(true) }

// Active returns the number of requests in flight.
func (e *Edge) Active() int64 { return e.inFlight.Load() }

// Generate streams the generated tokens of one request. It returns a Connect error
// with a caller.Failure.
func (e *Edge) Generate(ctx context.Context, req *connect.Request[caller.GenerateRequest], out *connect.ServerStream[caller.GenerateChunk]) error {
	begin := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	arrive, err := e.admit(req.Msg, begin)
	if err != nil {
		return e.refuse(req.Msg.GetHead(), "", begin, err)
	}
	out.ResponseHeader().Set("Citronrock-Request", arrive.Request)
	r := exec.NewRequest(ctx, arrive.Request, arrive.Max)
	r.Tenant, r.Service, r.Prompt = arrive.Tenant, arrive.Service, req.Msg.Prompt
	r.Pieces, r.Started, r.Deadline = arrive.Pieces, begin, arrive.Deadline
	e.exec.Register(r)
	defer func() {
		e.exec.Remove(r)
		e.meter.WastedTokens(r.Service, int64(r.WastedTokens()))
	}()
	e.post(arrive)
	s := &stream{edge: e, request: r, out: out, next: arrive.From, begin: begin, last: begin}
	if err := s.run(ctx); err != nil {
		// The core has not ended the request: let it free what the request holds.
		e.post(event.Gone{Request: r.ID})
		return e.refuse(req.Msg.Head, r.ID, begin, err)
	}
	if s.failure != nil {
		return e.refuse(req.Msg.Head, r.ID, begin, s.failure)
	}
	e.meter.TokenGaps(r.Service, r.Tenant, s.gaps)
	e.meter.Answer(r.Service, r.Tenant, "ok", "", time.Since(begin))
	return nil
}

// Call handles a call to a plain service.
func (e *Edge) Call(ctx context.Context, req *connect.Request[caller.CallRequest]) (*connect.Response[caller.CallReply], error) {
	begin := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.draining.Load() {
		return nil, e.refuse(req.Msg.GetHead(), "", begin, drainError())
	}
	reply, err := e.calls.Call(ctx, req.Msg)
	if err != nil {
		return nil, e.refuse(req.Msg.GetHead(), "", begin, err)
	}
	head := req.Msg.GetHead()
	e.meter.Answer(head.GetService(), head.GetTenant(), "ok", "", time.Since(begin))
	return connect.NewResponse(reply), nil
}

// Token issues execution tokens.
func (e *Edge) Token(ctx context.Context, req *connect.Request[caller.TokenRequest]) (*connect.Response[caller.TokenReply], error) {
	if e.draining.Load() {
		return nil, connectError(drainError(), "")
	}
	reply, err := e.calls.Token(ctx, req.Msg)
	if err != nil {
		return nil, connectError(err, "")
	}
	return connect.NewResponse(reply), nil
}

func drainError() error {
	return &citronrock.Error{
		Kind: citronrock.NotRun, Reason: citronrock.ReasonDrain, RetryAfter: defaultRetryAfter,
		Remedy: "this daemon is stopping; send the request again, the balancer picks another",
	}
}

// admit validates a request and returns the event that announces it to the core.
func (e *Edge) admit(m *caller.GenerateRequest, now time.Time) (event.Arrive, error) {
	var none event.Arrive
	head := m.GetHead()
	doc := e.doc.Load()
	if err := e.check(doc, head, m); err != nil {
		return none, err
	}
	service := doc.FindService(head.Service)
	deadline := defaultDeadline
	if head.Deadline != nil {
		deadline = head.Deadline.AsDuration()
	}
	if deadline <= 0 || deadline > maxDeadline {
		return none, invalid("deadline %v is out of range; give the time left for the answer, up to %v", deadline, maxDeadline)
	}
	fingerprint, blocks := hashPrompt(head.Service, m.Prompt)
	return event.Arrive{
		Request: fmt.Sprintf("%s%d", e.idPrefix, e.requestCount.Add(1)),
		Tenant:  head.Tenant, Service: head.Service,
		// A client may lower the priority of its service, never raise it.
		Priority: max(service.Priority, head.Priority),
		Tokens:   uint32((len(m.Prompt) + bytesPerToken - 1) / bytesPerToken),
		Max:      m.Max, From: m.From, Pieces: blocks, Print: fingerprint,
		Deadline: now.Add(deadline),
	}, nil
}

func (e *Edge) check(doc *policy.Document, head *caller.Head, m *caller.GenerateRequest) error {
	switch {
	case e.draining.Load():
		return drainError()
	case doc == nil:
		return &citronrock.Error{
			Kind: citronrock.NotRun, Reason: citronrock.ReasonConfig, RetryAfter: defaultRetryAfter,
			Remedy: "this daemon has no document yet; send the request again soon",
		}
	case head == nil:
		return invalid("head is missing; give tenant and service")
	case doc.FindTenant(head.Tenant) == nil:
		return invalid("tenant %.80q is not in the document; use a published tenant", head.Tenant)
	case m.Prompt == "":
		return invalid("prompt is empty; give a text")
	case len(m.Prompt) > maxPromptBytes:
		return invalid("prompt has %d bytes; send at most %d", len(m.Prompt), maxPromptBytes)
	case m.Max == 0 || m.Max > exec.MaxOutput:
		return invalid("max is %d; ask for 1 to %d tokens", m.Max, exec.MaxOutput)
	case m.From >= m.Max:
		return invalid("from is %d; it must be below max, %d", m.From, m.Max)
	case e.exec.Count() >= maxInFlight:
		return &citronrock.Error{
			Kind: citronrock.NotRun, Reason: citronrock.ReasonOverload, RetryAfter: defaultRetryAfter,
			Remedy: fmt.Sprintf("this daemon has %d open requests, its limit; send the request again later", maxInFlight),
		}
	}
	s := doc.FindService(head.Service)
	if s == nil || s.Kind != policy.KindModel {
		return invalid("service %.80q is not a published service of kind model; use Call for plain services", head.Service)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return &citronrock.Error{
		Kind: citronrock.NotRun, Reason: citronrock.ReasonInvalid,
		Remedy: fmt.Sprintf(format, args...),
	}
}

// hashPrompt returns the fingerprint of a request's content and the hashes of the
// full KV blocks of its prompt. The hash of a block covers all bytes up to its end.
func hashPrompt(service, prompt string) (uint64, []uint64) {
	var blocks []uint64
	digest := xxhash.New()
	for rest := prompt; len(rest) >= blockBytes; rest = rest[blockBytes:] {
		_, _ = digest.WriteString(rest[:blockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64(), blocks
}

// stream sends the tokens of one answer to the client.
type stream struct {
	edge    *Edge
	request *exec.Request
	out     *connect.ServerStream[caller.GenerateChunk]
	next    uint32
	begin   time.Time
	last    time.Time
	gaps    []time.Duration
	started bool
	ended   bool
	failure error
}

// run returns an error when the answer can't be continued and the core does not
// know that yet. When the core has failed the request, it sets failure instead.
func (s *stream) run(ctx context.Context) error {
	grace := time.NewTimer(time.Until(s.request.Deadline) + answerGrace)
	defer grace.Stop()
	for {
		select {
		case <-s.request.Ready():
			if err := s.sendAll(); err != nil {
				return err
			}
		case a := <-s.request.Answer():
			return s.finish(a)
		case <-ctx.Done():
			return ctx.Err()
		case <-grace.C:
			return &citronrock.Error{
				Kind: citronrock.Failed, Reason: citronrock.ReasonDeadline,
				Remedy: "the deadline passed; allow more time",
			}
		}
	}
}

// finish sends the buffered tokens and checks that the answer is complete.
func (s *stream) finish(a event.Answer) error {
	if a.Kind != 0 {
		s.failure = &citronrock.Error{
			Kind: citronrock.Kind(a.Kind), Reason: citronrock.Reason(a.Reason), RetryAfter: a.After,
			Remedy: remedy(citronrock.Reason(a.Reason)),
		}
		return nil
	}
	if err := s.sendAll(); err != nil {
		return err
	}
	if !s.ended {
		return &citronrock.Error{
			Kind: citronrock.Failed, Reason: citronrock.ReasonBackend,
			Remedy: fmt.Sprintf("the answer broke off; resume with from = %d", s.next),
		}
	}
	return nil
}

func (s *stream) sendAll() error {
	for _, c := range s.request.Take() {
		if err := s.send(c); err != nil {
			return err
		}
	}
	return nil
}

// send sends a token if it is the next one. Duplicates of a resumed stream are
// dropped.
func (s *stream) send(c *engine.DecodeChunk) error {
	if c.Index != s.next || s.ended {
		return nil
	}
	now := time.Now()
	if s.started {
		s.gaps = append(s.gaps, now.Sub(s.last))
	} else {
		s.edge.meter.FirstToken(s.request.Service, s.request.Tenant, now.Sub(s.begin))
	}
	chunk := &caller.GenerateChunk{Index: c.Index, Text: c.Text, Finish: c.Finish}
	if !s.started {
		chunk.Request = s.request.ID
	}
	s.started, s.last = true, now
	s.next++
	s.ended = c.Finish != ""
	return s.out.Send(chunk)
}
