// Package engine is the client of a model engine. It carries out actions of the
// decision core and returns how far each attempt came.
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
	dialTimeout  = 500 * time.Millisecond
	pingInterval = 2 * time.Second
	// pingTimeout is the wait for the response to a ping, after which the connection
	// is closed.
	pingTimeout = time.Second
	// minRenewInterval is the least time between two replacements of the transport.
	minRenewInterval = 100 * time.Millisecond
	// maxMessageBytes is the largest message accepted from an engine.
	maxMessageBytes = 4 << 20
	// maxHeaderBytes bounds the header of a response, with 32 bytes for each field.
	maxHeaderBytes = 16 << 10
)

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	name        string
	instance    string
	incarnation uint64
	url         string

	mu        sync.Mutex
	transport *http.Transport
	rpcClient wire.EngineClient
	renewedAt time.Time
}

// Option changes a Client under construction.
type Option func(*Client)

// WithOrigin sets the daemon, by name and incarnation, that requests to the engine
// state as their origin.
func WithOrigin(instance string, incarnation uint64) Option {
	return func(c *Client) { c.instance, c.incarnation = instance, incarnation }
}

// New returns a client of the engine with that name and address. It connects at the
// first call.
func New(name string, addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{name: name, url: "http://" + addr.String()}
	for _, o := range opts {
		o(c)
	}
	c.renewTransport()
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport.CloseIdleConnections()
}

// renewTransport replaces the transport, so that the next attempt opens a new
// connection. Streams on the old connection go on. It does nothing within
// minRenewInterval of the last replacement, since all requests on a stalled
// connection time out together.
func (c *Client) renewTransport() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.renewedAt) < minRenewInterval {
		return
	}
	c.renewedAt = time.Now()
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c.transport = &http.Transport{
		Protocols:       &protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		IdleConnTimeout: time.Minute,
		DialContext:     dialer.DialContext,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c.rpcClient = wire.NewEngineClient(&http.Client{Transport: c.transport}, c.url, connect.WithReadMaxBytes(maxMessageBytes))
}

func (c *Client) rpc() wire.EngineClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rpcClient
}

func (c *Client) origin(fence uint64) *wire.Origin {
	return &wire.Origin{Instance: c.instance, Incarnation: c.incarnation, Fence: fence}
}

// withConnTrace returns a context that records whether an attempt got a connection.
func withConnTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), &connected
}

// classify returns the fault for the error of an attempt.
func classify(ctx context.Context, err error, connected bool) event.Fault {
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

// renewIfStalled makes later attempts use a new connection when an attempt has
// stalled.
func (c *Client) renewIfStalled(f event.Fault) event.Fault {
	if f == event.FaultStalled {
		c.renewTransport()
	}
	return f
}

// Hold reserves decode memory at the engine. A refusal gives FaultRefused.
func (c *Client) Hold(ctx context.Context, a event.Hold) event.Held {
	ctx, connected := withConnTrace(ctx)
	reply, err := c.rpc().Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Pieces: a.Pieces, Term: durationpb.New(a.Term),
	}))
	out := event.Held{Request: a.Request, Engine: a.Engine, Fault: c.renewIfStalled(classify(ctx, err, connected.Load()))}
	if err != nil {
		return out
	}
	out.Free = reply.Msg.Free
	if !reply.Msg.Granted {
		out.Fault = event.FaultRefused
	}
	return out
}

// Prefill computes the KV cache of a prompt and returns its handle. pieces are the
// hashes of the prompt's KV blocks.
func (c *Client) Prefill(ctx context.Context, a event.Prefill, prompt string, pieces []uint64) event.Prefilled {
	ctx, connected := withConnTrace(ctx)
	reply, err := c.rpc().Prefill(ctx, connect.NewRequest(&wire.PrefillRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Prompt: prompt, Priority: a.Priority, Pieces: pieces,
	}))
	out := event.Prefilled{Request: a.Request, Engine: a.Engine, Fault: c.renewIfStalled(c.classifyCrash(ctx, err, connected.Load()))}
	if err == nil {
		out.Handle, out.Tokens, out.Cached = reply.Msg.Handle, reply.Msg.Tokens, reply.Msg.Cached
	}
	return out
}

// Move makes the engine fetch a KV cache from the engine at address source.
func (c *Client) Move(ctx context.Context, a event.Move, source string) event.Moved {
	ctx, connected := withConnTrace(ctx)
	_, err := c.rpc().Import(ctx, connect.NewRequest(&wire.ImportRequest{
		Request: a.Request, Origin: c.origin(a.Fence), Handle: a.Handle, Source: source,
	}))
	return event.Moved{Request: a.Request, Engine: a.To, Fault: c.renewIfStalled(classify(ctx, err, connected.Load()))}
}

// Decode passes generated tokens to emit until the stream ends. Streams after the
// first use a new connection, since the one before broke or stalled.
func (c *Client) Decode(ctx context.Context, a event.Decode, emit func(*wire.DecodeChunk) error) event.Ended {
	if a.Stream > 1 {
		c.renewTransport()
	}
	out := event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: a.From}
	traceCtx, connected := withConnTrace(ctx)
	stream, err := c.rpc().Decode(traceCtx, connect.NewRequest(&wire.DecodeRequest{
		Request: a.Request, Origin: c.origin(a.Fence), From: a.From, Max: a.Max, Priority: a.Priority,
	}))
	if err != nil {
		out.Fault = c.classifyCrash(ctx, err, connected.Load())
		return out
	}
	defer func() { _ = stream.Close() }()
	finished := false
	for stream.Receive() {
		chunk := stream.Msg()
		if chunk.Request != a.Request {
			// A token of another request must never reach this client.
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
	out.Fault = c.classifyCrash(ctx, err, connected.Load())
	return out
}

// exitDelay is the longest time between the close of the connections of an exiting
// process and the close of its listener. A probe sent within a millisecond of the
// break is sometimes still accepted by an engine that is exiting.
const exitDelay = 50 * time.Millisecond

// classifyCrash is classify, but returns FaultCrashed instead of FaultBroken when
// the engine refuses connections, since a process that no longer listens has
// crashed.
func (c *Client) classifyCrash(ctx context.Context, err error, connected bool) event.Fault {
	f := classify(ctx, err, connected)
	if f != event.FaultBroken || ctx.Err() != nil {
		return f
	}
	if c.refusesConnections(ctx, exitDelay) || c.refusesConnections(ctx, 0) {
		return event.FaultCrashed
	}
	return f
}

// refusesConnections reports whether the engine refuses a new connection. An
// accepted connection is kept for the given time, or until the engine closes it.
func (c *Client) refusesConnections(ctx context.Context, hold time.Duration) bool {
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

// Cancel ends a request on the engine. An engine that refuses connections counts as
// one that holds nothing.
func (c *Client) Cancel(ctx context.Context, a event.Cancel) event.Cancelled {
	if a.Fresh {
		c.renewTransport()
	}
	ctx, connected := withConnTrace(ctx)
	reply, err := c.rpc().Cancel(ctx, connect.NewRequest(&wire.CancelRequest{
		Request: a.Request, Origin: c.origin(a.Fence),
	}))
	out := event.Cancelled{Request: a.Request, Engine: a.Engine, Held: true, Fault: classify(ctx, err, connected.Load())}
	if err == nil {
		out.Held = reply.Msg.Held
		return out
	}
	if refused(err) {
		// A process that no longer listens has crashed, and its memory is freed.
		out.Held, out.Fault = false, event.FaultNone
	}
	return out
}

// Watch passes load reports to report, one each interval every, until the stream
// breaks or ctx ends.
func (c *Client) Watch(ctx context.Context, every time.Duration, report func(*wire.Report)) error {
	stream, err := c.rpc().Watch(ctx, connect.NewRequest(&wire.WatchRequest{Every: durationpb.New(every)}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		report(stream.Msg())
	}
	return stream.Err()
}

// Events passes prefix cache events to cached until the stream breaks or ctx ends.
func (c *Client) Events(ctx context.Context, cached func(*wire.CacheEvent)) error {
	stream, err := c.rpc().Events(ctx, connect.NewRequest(&wire.EventsRequest{}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		cached(stream.Msg())
	}
	return stream.Err()
}

// Order tells the engine to load a model or to change its role.
func (c *Client) Order(ctx context.Context, a event.Order) (*wire.OrderReply, error) {
	reply, err := c.rpc().Order(ctx, connect.NewRequest(&wire.OrderRequest{
		Origin: c.origin(a.Fence), Model: a.Model, Role: a.Role,
	}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}
