// Package engine is the client of one model engine. It carries out actions of
// the decision core and reports how far each attempt came.
package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/core/event"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

// Limits of a connection to an engine.
const (
	dialTimeout = 500 * time.Millisecond
	pingEvery   = 2 * time.Second
	// pingTimeout ends connections that have gone silent.
	pingTimeout = time.Second
	// renewPause is the least time between two new connections for stalled ones.
	renewPause = 100 * time.Millisecond
	// maxMessage bounds a message of an engine, in bytes.
	maxMessage = 4 << 20
)

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	name     string
	instance string
	number   uint64
	url      string

	mu        sync.Mutex
	transport *http.Transport
	client    wire.EngineClient
	renewed   time.Time
}

// Option changes a Client under construction.
type Option func(*Client)

// WithOrigin names the daemon on whose behalf the client acts.
func WithOrigin(instance string, incarnation uint64) Option {
	return func(c *Client) { c.instance, c.number = instance, incarnation }
}

// New returns a client of the engine with that name and address.
func New(name string, addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{name: name, url: "http://" + addr.String()}
	for _, o := range opts {
		o(c)
	}
	c.renew()
	return c
}

// Close ends idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport.CloseIdleConnections()
}

// renew replaces the transport, so that the next attempt opens a connection.
// Streams on the old connection go on. It does nothing soon after the last
// time, since all requests on a silent connection ask for it together.
func (c *Client) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.renewed) < renewPause {
		return
	}
	c.renewed = time.Now()
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c.transport = &http.Transport{
		Protocols:       &protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingEvery, PingTimeout: pingTimeout},
		IdleConnTimeout: time.Minute,
		DialContext:     dialer.DialContext,
	}
	c.client = wire.NewEngineClient(&http.Client{Transport: c.transport}, c.url, connect.WithReadMaxBytes(maxMessage))
}

func (c *Client) current() wire.EngineClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client
}

func (c *Client) origin(fence uint64) *wire.Origin {
	return &wire.Origin{Instance: c.instance, Incarnation: c.number, Fence: fence}
}

// traced returns a context that records whether an attempt had a connection.
func traced(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), &connected
}

// fault classifies an error of an attempt.
func fault(ctx context.Context, err error, connected bool) event.Fault {
	switch {
	case err == nil:
		return event.FaultNone
	case !connected:
		return event.FaultUnsent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return event.FaultStalled
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodeNotFound:
		return event.FaultRefused
	case connect.CodeDeadlineExceeded:
		return event.FaultStalled
	case connect.CodeUnavailable, connect.CodeCanceled, connect.CodeUnknown, connect.CodeInternal:
		return event.FaultBroken
	}
	return event.FaultFailed
}

// seen opens a new connection for later attempts when one got no answer.
func (c *Client) seen(f event.Fault) event.Fault {
	if f == event.FaultStalled {
		c.renew()
	}
	return f
}

// Hold reserves decode memory.
func (c *Client) Hold(ctx context.Context, a event.Hold) event.Held {
	ctx, connected := traced(ctx)
	reply, err := c.current().Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Pieces: a.Pieces, Term: durationpb.New(a.Term),
	}))
	out := event.Held{Request: a.Request, Engine: a.Engine, Fault: c.seen(fault(ctx, err, connected.Load()))}
	if err != nil {
		return out
	}
	out.Free = reply.Msg.Free
	if !reply.Msg.Granted {
		out.Fault = event.FaultRefused
	}
	return out
}

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, a event.Prefill, prompt string, pieces []uint64) event.Prefilled {
	ctx, connected := traced(ctx)
	reply, err := c.current().Prefill(ctx, connect.NewRequest(&wire.PrefillRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Prompt: prompt, Priority: a.Priority, Pieces: pieces,
	}))
	out := event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: c.seen(c.lost(ctx, err, connected.Load()))}
	if err == nil {
		out.Handle, out.Tokens, out.Cached = reply.Msg.Handle, reply.Msg.Tokens, reply.Msg.Cached
	}
	return out
}

// Move makes the engine pull a KV cache from the engine at address source.
func (c *Client) Move(ctx context.Context, a event.Move, source string) event.Moved {
	ctx, connected := traced(ctx)
	_, err := c.current().Import(ctx, connect.NewRequest(&wire.ImportRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Handle: a.Handle, Source: source,
	}))
	return event.Moved{Request: a.Request, Engine: a.To, Fault: c.seen(fault(ctx, err, connected.Load()))}
}

// Decode streams tokens to emit until the stream ends. Streams after the first
// use a new connection, since the last one broke or stalled.
func (c *Client) Decode(ctx context.Context, a event.Decode, emit func(*wire.DecodeChunk) error) event.Ended {
	if a.Stream > 1 {
		c.renew()
	}
	out := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: a.From}
	traceCtx, connected := traced(ctx)
	stream, err := c.current().Decode(traceCtx, connect.NewRequest(&wire.DecodeRequest{
		Request: a.Request, Origin: c.origin(a.Fence), From: a.From, Max: a.Max, Priority: a.Priority,
	}))
	if err != nil {
		out.Fault = c.lost(ctx, err, connected.Load())
		return out
	}
	defer func() { _ = stream.Close() }()
	finished := false
	for stream.Receive() {
		chunk := stream.Msg()
		if chunk.Request != a.Request {
			// An answer of another request on this stream is never passed on.
			out.Fault = event.FaultBroken
			return out
		}
		if err := emit(chunk); err != nil {
			out.Fault = event.FaultBroken
			return out
		}
		out.Next = chunk.Index + 1
		finished = chunk.Finish != ""
	}
	if finished {
		return out
	}
	err = stream.Err()
	if err == nil {
		out.Fault = event.FaultBroken
		return out
	}
	out.Fault = c.lost(ctx, err, connected.Load())
	return out
}

// dying bounds the time in which a process that ends has closed its connections
// and not its listener yet. In a fleet of processes, a probe within a millisecond
// of the break was accepted by an engine that was ending.
const dying = 50 * time.Millisecond

// lost refines FaultBroken to FaultCrashed when the engine refuses connections,
// since a process that listens no more has died.
func (c *Client) lost(ctx context.Context, err error, connected bool) event.Fault {
	f := fault(ctx, err, connected)
	if f != event.FaultBroken || ctx.Err() != nil {
		return f
	}
	if c.gone(ctx, dying) || c.gone(ctx, 0) {
		return event.FaultCrashed
	}
	return f
}

// gone reports whether the engine refuses a new connection. An accepted one is
// held for the given time, or until the engine ends it.
func (c *Client) gone(ctx context.Context, hold time.Duration) bool {
	probe, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialer.DialContext(probe, "tcp", c.url[len("http://"):])
	if err != nil {
		return refused(err)
	}
	defer conn.Close()
	if hold > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(hold))
		_, _ = conn.Read(make([]byte, 1))
	}
	return false
}

// Cancel ends a request on the engine.
func (c *Client) Cancel(ctx context.Context, a event.Cancel) event.Cancelled {
	if a.Fresh {
		c.renew()
	}
	ctx, connected := traced(ctx)
	reply, err := c.current().Cancel(ctx, connect.NewRequest(&wire.CancelRequest{
		Request: a.Request, Origin: c.origin(a.Fence),
	}))
	out := event.Cancelled{Request: a.Request, Engine: a.Engine, Held: true, Fault: fault(ctx, err, connected.Load())}
	if err == nil {
		out.Held = reply.Msg.Held
		return out
	}
	if refused(err) {
		// A process that listens no more has died with all that it held.
		out.Held, out.Fault = false, event.FaultNone
	}
	return out
}

// Watch passes load reports until the stream breaks or ctx ends.
func (c *Client) Watch(ctx context.Context, every time.Duration, report func(*wire.Report)) error {
	stream, err := c.current().Watch(ctx, connect.NewRequest(&wire.WatchRequest{Every: durationpb.New(every)}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		report(stream.Msg())
	}
	return stream.Err()
}

// Events passes prefix cache events until the stream breaks or ctx ends.
func (c *Client) Events(ctx context.Context, cached func(*wire.CacheEvent)) error {
	stream, err := c.current().Events(ctx, connect.NewRequest(&wire.EventsRequest{}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		cached(stream.Msg())
	}
	return stream.Err()
}

// Order sends an order to load a model or to change role.
func (c *Client) Order(ctx context.Context, a event.Order) (*wire.OrderReply, error) {
	reply, err := c.current().Order(ctx, connect.NewRequest(&wire.OrderRequest{
		Origin: c.origin(a.Fence), Model: a.Model, Role: a.Role,
	}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}
