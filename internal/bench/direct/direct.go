// Package direct serves the caller protocol by passing requests to backend
// servers in turn, without admission, retries or records. It stands for the
// daemon in tests of the load generator and the fleet harness.
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
	// term is longer than any queue for prefill in tests.
	term = time.Minute
	// cleanup bounds the cancel of a request that has ended.
	cleanup = 5 * time.Second
	// after is the retry-after time of refusals.
	after = 200 * time.Millisecond
)

// Router passes requests on.
type Router struct {
	caller.UnimplementedRouterHandler
	prefill, decode map[string][]backend
	servers         map[string][]backend
	turn            atomic.Uint64
	client          *http.Client
	idle            func()
	server          *serve.Server
}

type backend struct {
	address string
	engine  wire.EngineClient
}

// New returns a router for the engines and servers of a document, listening on
// a free loopback port.
func New(d *policy.Document) (*Router, error) {
	r := &Router{prefill: map[string][]backend{}, decode: map[string][]backend{}, servers: map[string][]backend{}}
	r.client, r.idle = serve.Client()
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

// Addr returns the address for callers.
func (r *Router) Addr() netip.AddrPort { return r.server.Addr() }

// Close ends all connections.
func (r *Router) Close() error {
	err := r.server.Close()
	r.idle()
	return err
}

func (r *Router) pick(of []backend) backend {
	return of[r.turn.Add(1)%uint64(len(of))]
}

func fail(code connect.Code, kind caller.Failure_Kind, reason string) error {
	err := connect.NewError(code, errors.New(reason))
	if d, e := connect.NewErrorDetail(&caller.Failure{Kind: kind, Reason: reason, After: durationpb.New(after)}); e == nil {
		err.AddDetail(d)
	}
	return err
}

// Generate runs a request on one prefill and one decode engine.
func (r *Router) Generate(ctx context.Context, q *connect.Request[caller.GenerateRequest], out *connect.ServerStream[caller.GenerateChunk]) error {
	return r.Stream(ctx, q.Msg, out.Send)
}

// Stream runs a request on one prefill and one decode engine and passes the
// tokens to emit.
func (r *Router) Stream(ctx context.Context, q *caller.GenerateRequest, emit func(*caller.GenerateChunk) error) error {
	service := q.GetHead().GetService()
	if len(r.prefill[service]) == 0 || len(r.decode[service]) == 0 {
		return fail(connect.CodeNotFound, caller.Failure_NOTRUN, "unknown service "+service)
	}
	p, d := r.pick(r.prefill[service]), r.pick(r.decode[service])
	id := uuid.NewString()
	defer release(ctx, id, p, d)
	if err := place(ctx, id, q.Prompt, p, d); err != nil {
		return err
	}
	s, err := d.engine.Decode(ctx, connect.NewRequest(&wire.DecodeRequest{Request: id, From: q.From, Max: q.Max}))
	if err != nil {
		return fail(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		m := s.Msg()
		if err := emit(&caller.GenerateChunk{Request: id, Index: m.Index, Text: m.Text, Finish: m.Finish}); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return fail(connect.CodeUnavailable, caller.Failure_FAILED, s.Err().Error())
	}
	return nil
}

// place brings the KV cache of the prompt to the decode engine.
func place(ctx context.Context, id, prompt string, p, d backend) error {
	// Room for the prompt and for one more piece of output.
	pieces := engine.CountTokens(prompt)/engine.PieceTokens + 2
	held, err := d.engine.Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Request: id, Pieces: pieces, Term: durationpb.New(term),
	}))
	if err != nil || !held.Msg.Granted {
		return fail(connect.CodeResourceExhausted, caller.Failure_NOTRUN, "no memory on the engine")
	}
	done, err := p.engine.Prefill(ctx, connect.NewRequest(&wire.PrefillRequest{
		Request: id, Prompt: prompt, Pieces: engine.PieceHashes(prompt),
	}))
	if err != nil {
		return fail(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	_, err = d.engine.Import(ctx, connect.NewRequest(&wire.ImportRequest{
		Request: id, Handle: done.Msg.Handle, Source: p.address,
	}))
	if err != nil {
		return fail(connect.CodeUnavailable, caller.Failure_FAILED, err.Error())
	}
	return nil
}

// release frees what the engines hold, also after the caller has left.
func release(ctx context.Context, id string, from ...backend) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanup)
	defer cancel()
	for _, b := range from {
		_, _ = b.engine.Cancel(ctx, connect.NewRequest(&wire.CancelRequest{Request: id}))
	}
}

// Call sends a call to one server.
func (r *Router) Call(ctx context.Context, q *connect.Request[caller.CallRequest]) (*connect.Response[caller.CallReply], error) {
	reply, err := r.Post(ctx, q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(reply), nil
}

// Post sends a call to one server.
func (r *Router) Post(ctx context.Context, q *caller.CallRequest) (*caller.CallReply, error) {
	service := q.GetHead().GetService()
	if len(r.servers[service]) == 0 {
		return nil, fail(connect.CodeNotFound, caller.Failure_NOTRUN, "unknown service "+service)
	}
	id := uuid.NewString()
	url := "http://" + r.pick(r.servers[service]).address + q.Path
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.Body))
	if err != nil {
		return nil, fail(connect.CodeInvalidArgument, caller.Failure_NOTRUN, err.Error())
	}
	h.Header.Set("Citronrock-Request", id)
	h.Header.Set("Citronrock-Attempt", "1")
	resp, err := r.client.Do(h)
	if err != nil {
		return nil, fail(connect.CodeUnavailable, caller.Failure_UNKNOWN, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fail(connect.CodeUnavailable, caller.Failure_UNKNOWN, err.Error())
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Citronrock-Run") == "no" {
		return nil, fail(connect.CodeUnavailable, caller.Failure_NOTRUN, "the server is full")
	}
	return &caller.CallReply{Request: id, Status: uint32(resp.StatusCode), Body: body}, nil
}

// Token issues tokens that nothing checks.
func (r *Router) Token(_ context.Context, q *connect.Request[caller.TokenRequest]) (*connect.Response[caller.TokenReply], error) {
	t := &caller.TokenReply{}
	for range min(q.Msg.Count, 100) {
		t.Tokens = append(t.Tokens, uuid.NewString())
	}
	return connect.NewResponse(t), nil
}
