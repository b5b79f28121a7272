// Package direct is a round-robin router: it serves the caller protocol by forwarding
// requests to backend servers in turn, without admission, retries or idempotency
// records. It replaces the daemon in tests of the load generator and the fleet
// harness, and is the baseline of measurements.
package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/serve"
	"citronrock.example/citronrock/internal/wire/caller"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

const (
	// reservationTerm is longer than any queue for prefill in tests.
	reservationTerm = time.Minute
	// cancelTimeout bounds the cancel calls after the end of a request.
	cancelTimeout = 5 * time.Second
	// retryDelay is the Retry-After delay of failures.
	retryDelay = 200 * time.Millisecond
)

// Router forwards requests to backend servers in turn.
type Router struct {
	caller.UnimplementedRouterHandler
	prefill, decode map[string][]backend
	servers         map[string][]backend
	next            atomic.Uint64
	client          *http.Client
	closeIdle       func()
	server          *serve.Server
}

type backend struct {
	address string
	engine  wire.EngineClient
}

// New returns a router for the engines and servers of a document. It listens on a free
// loopback port; an error to listen is returned.
func New(d *policy.Document) (*Router, error) {
	r := &Router{prefill: map[string][]backend{}, decode: map[string][]backend{}, servers: map[string][]backend{}}
	r.client, r.closeIdle = serve.Client()
	for _, e := range d.Engines {
		b := backend{e.Address.String(), wire.NewEngineClient(r.client, "http://"+e.Address.String())}
		if e.Role != policy.RoleDecode {
			r.prefill[e.Service] = append(r.prefill[e.Service], b)
		}
		if e.Role != policy.RolePrefill {
			r.decode[e.Service] = append(r.decode[e.Service], b)
		}
	}
	for _, s := range d.Servers {
		r.servers[s.Service] = append(r.servers[s.Service], backend{address: s.Address.String()})
	}
	mux := http.NewServeMux()
	mux.Handle(caller.NewRouterHandler(r, connect.WithCompressMinBytes(serve.CompressMinBytes)))
	var err error
	r.server, err = serve.New(netip.MustParseAddrPort("127.0.0.1:0"), mux)
	return r, err
}

// Addr returns the address at which the router accepts callers.
func (r *Router) Addr() netip.AddrPort { return r.server.Addr() }

// Close stops the server and closes all connections.
func (r *Router) Close() error {
	err := r.server.Close()
	r.closeIdle()
	return err
}

func (r *Router) pick(backends []backend) backend {
	return backends[r.next.Add(1)%uint64(len(backends))]
}

func failure(code connect.Code, kind caller.Failure_Kind, reason string) error {
	err := connect.NewError(code, errors.New(reason))
	if d, e := connect.NewErrorDetail(&caller.Failure{Kind: kind, Reason: reason, After: durationpb.New(retryDelay)}); e == nil {
		err.AddDetail(d)
	}
	return err
}

// Generate serves a model request; see Stream.
func (r *Router) Generate(ctx context.Context, q *connect.Request[caller.GenerateRequest], out *connect.ServerStream[caller.GenerateChunk]) error {
	return r.Stream(ctx, q.Msg, out.Send)
}

// Stream runs a request on one prefill and one decode engine and passes the generated
// tokens to emit. Errors carry a caller.Failure, except those of emit.
func (r *Router) Stream(ctx context.Context, q *caller.GenerateRequest, emit func(*caller.GenerateChunk) error) error {
	service := q.GetHead().GetService()
	if len(r.prefill[service]) == 0 || len(r.decode[service]) == 0 {
		return failure(connect.CodeNotFound, caller.Failure_NOTRUN, "unknown service "+service)
	}
	p, d := r.pick(r.prefill[service]), r.pick(r.decode[service])
	id := uuid.NewString()
	defer cancelRequest(ctx, id, p, d)
	if err := transferPrompt(ctx, id, q.Prompt, p, d); err != nil {
		return err
	}
	s, err := d.engine.Decode(ctx, connect.NewRequest(&wire.DecodeRequest{Request: id, From: q.From, Max: q.Max}))
	if err != nil {
		return failure(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		m := s.Msg()
		if err := emit(&caller.GenerateChunk{Request: id, Index: m.Index, Text: m.Text, Finish: m.Finish}); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return failure(connect.CodeUnavailable, caller.Failure_FAILED, s.Err().Error())
	}
	return nil
}

// transferPrompt prefills the prompt and imports its KV cache into the decode engine,
// after a reservation of memory there.
func transferPrompt(ctx context.Context, id, prompt string, p, d backend) error {
	// Room for the prompt and for one more KV block of output.
	pieces := engine.CountTokens(prompt)/engine.BlockTokens + 2
	held, err := d.engine.Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Request: id, Pieces: pieces, Term: durationpb.New(reservationTerm),
	}))
	if err != nil || !held.Msg.Granted {
		return failure(connect.CodeResourceExhausted, caller.Failure_NOTRUN, "no memory on the engine")
	}
	done, err := p.engine.Prefill(ctx, connect.NewRequest(&wire.PrefillRequest{
		Request: id, Prompt: prompt, Pieces: engine.BlockHashes(prompt),
	}))
	if err != nil {
		return failure(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	_, err = d.engine.Import(ctx, connect.NewRequest(&wire.ImportRequest{
		Request: id, Handle: done.Msg.Handle, Source: p.address,
	}))
	if err != nil {
		return failure(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	return nil
}

// cancelRequest frees the memory that the engines hold for a request, also if the
// caller's context has been cancelled.
func cancelRequest(ctx context.Context, id string, from ...backend) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for _, b := range from {
		_, _ = b.engine.Cancel(ctx, connect.NewRequest(&wire.CancelRequest{Request: id}))
	}
}

// Call serves a call to a plain service; see Post.
func (r *Router) Call(ctx context.Context, q *connect.Request[caller.CallRequest]) (*connect.Response[caller.CallReply], error) {
	reply, err := r.Post(ctx, q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(reply), nil
}

// Post sends a call to the next server of the service and returns its response with any
// status but a 503 that says the call was not run. Errors carry a caller.Failure: NOTRUN
// if the call was certainly not executed, UNKNOWN if it may have been.
func (r *Router) Post(ctx context.Context, q *caller.CallRequest) (*caller.CallReply, error) {
	service := q.GetHead().GetService()
	if len(r.servers[service]) == 0 {
		return nil, failure(connect.CodeNotFound, caller.Failure_NOTRUN, "unknown service "+service)
	}
	id := uuid.NewString()
	url := "http://" + r.pick(r.servers[service]).address + q.Path
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.Body))
	if err != nil {
		return nil, failure(connect.CodeInvalidArgument, caller.Failure_NOTRUN, err.Error())
	}
	h.Header.Set("Citronrock-Request", id)
	h.Header.Set("Citronrock-Attempt", "1")
	resp, err := r.client.Do(h)
	if err != nil {
		return nil, failure(connect.CodeUnavailable, caller.Failure_UNKNOWN, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, failure(connect.CodeUnavailable, caller.Failure_UNKNOWN, err.Error())
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Citronrock-Run") == "no" {
		return nil, failure(connect.CodeUnavailable, caller.Failure_NOTRUN, "the server is full")
	}
	return &caller.CallReply{Request: id, Status: uint32(resp.StatusCode), Body: body}, nil
}

// Token issues up to 100 execution tokens. They are not recorded, and Post ignores them.
func (r *Router) Token(_ context.Context, q *connect.Request[caller.TokenRequest]) (*connect.Response[caller.TokenReply], error) {
	t := &caller.TokenReply{}
	for range min(q.Msg.Count, 100) {
		t.Tokens = append(t.Tokens, uuid.NewString())
	}
	return connect.NewResponse(t), nil
}
