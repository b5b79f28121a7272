package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/back/engine"
	"citronrock.example/citronrock/internal/core/event"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler handles one request; send sends a token.
type handler func(ctx context.Context, s *server, send func(*wire.DecodeChunk)) error

// server is an HTTP/2 server whose connections can be reset at any point.
type server struct {
	wire.UnimplementedEngineHandler
	listener net.Listener
	handler  handler

	// received gets a value for each token that has reached the client.
	received chan struct{}

	mu    sync.Mutex
	conns []net.Conn
}

// await waits until the client has received the next n tokens.
func (s *server) await(ctx context.Context, n int) {
	for range n {
		select {
		case <-s.received:
		case <-ctx.Done():
		}
	}
}

// resetConns resets all connections.
func (s *server) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = nil
}

// crash also closes the listener, as the end of a process does.
func (s *server) crash() {
	_ = s.listener.Close()
	s.resetConns()
}

func (s *server) Reserve(ctx context.Context, _ *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveReply], error) {
	if err := s.handler(ctx, s, func(*wire.DecodeChunk) {}); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.ReserveReply{Granted: true, Free: 7}), nil
}

func (s *server) Cancel(ctx context.Context, _ *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelReply], error) {
	if err := s.handler(ctx, s, func(*wire.DecodeChunk) {}); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.CancelReply{}), nil
}

func (s *server) Decode(ctx context.Context, _ *connect.Request[wire.DecodeRequest], out *connect.ServerStream[wire.DecodeChunk]) error {
	return s.handler(ctx, s, func(c *wire.DecodeChunk) { _ = out.Send(c) })
}

// start runs a server and returns a client of it.
func start(t *testing.T, do handler) (*engine.Client, *server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, handler: do, received: make(chan struct{}, 10)}
	mux := http.NewServeMux()
	mux.Handle(wire.NewEngineHandler(s))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Server{Handler: mux, Protocols: &protocols, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
		}
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(l)
	}()
	c := engine.New("e1", l.Addr().(*net.TCPAddr).AddrPort(), engine.WithOrigin("d1", 7))
	t.Cleanup(func() {
		c.Close()
		_ = h.Close()
		<-done
	})
	return c, s
}

func failWith(code connect.Code) handler {
	return func(context.Context, *server, func(*wire.DecodeChunk)) error {
		return connect.NewError(code, errors.New("x"))
	}
}

// stall blocks until the client times out.
func stall(ctx context.Context, _ *server, _ func(*wire.DecodeChunk)) error {
	<-ctx.Done()
	return ctx.Err()
}

func resetConns(_ context.Context, s *server, _ func(*wire.DecodeChunk)) error {
	s.resetConns()
	return nil
}

func crash(_ context.Context, s *server, _ func(*wire.DecodeChunk)) error {
	s.crash()
	return nil
}

// Guards against a reservation that the engine may hold but that counts as never
// sent, so that it is not cancelled, and against refusals that count as other
// faults.
func TestHold(t *testing.T) {
	for name, c := range map[string]struct {
		act  handler
		want event.Fault
	}{
		"granted":       {func(context.Context, *server, func(*wire.DecodeChunk)) error { return nil }, event.FaultNone},
		"no memory":     {failWith(connect.CodeResourceExhausted), event.FaultRefused},
		"old fence":     {failWith(connect.CodeFailedPrecondition), event.FaultRefused},
		"unknown":       {failWith(connect.CodeNotFound), event.FaultRefused},
		"invalid":       {failWith(connect.CodeInvalidArgument), event.FaultFailed},
		"internal":      {failWith(connect.CodeInternal), event.FaultBroken},
		"no answer":     {stall, event.FaultStalled},
		"cut":           {resetConns, event.FaultBroken},
		"died":          {crash, event.FaultBroken},
		"engine's time": {failWith(connect.CodeDeadlineExceeded), event.FaultStalled},
	} {
		t.Run(name, func(t *testing.T) {
			client, _ := start(t, c.act)
			ctx, cancel := context.WithTimeout(t.Context(), timeout(c.want))
			defer cancel()
			got := client.Hold(ctx, event.Hold{Request: "r", Engine: "e1", Pieces: 2})
			want := event.Held{Request: "r", Engine: "e1", Fault: c.want}
			if c.want == event.FaultNone {
				want.Free = 7
			}
			if got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}

// timeout returns the timeout of an attempt, which only stalled ones reach.
func timeout(want event.Fault) time.Duration {
	if want == event.FaultStalled {
		return 200 * time.Millisecond
	}
	return 20 * time.Second
}

// Guards against a stream that resumes at the wrong token, that passes on a token of
// another request, or that counts as finished when it broke; and against a crashed
// process that counts as a broken connection, which would give no strike.
func TestDecode(t *testing.T) {
	token := func(i uint32, finish string) *wire.DecodeChunk {
		return &wire.DecodeChunk{Request: "r", Index: i, Text: "x", Finish: finish}
	}
	// two sends tokens 3 and 4 and waits until the client has both.
	two := func(then handler) handler {
		return func(ctx context.Context, s *server, send func(*wire.DecodeChunk)) error {
			send(token(3, ""))
			send(token(4, ""))
			s.await(ctx, 2)
			return then(ctx, s, send)
		}
	}
	for name, c := range map[string]struct {
		act  handler
		next uint32
		want event.Fault
	}{
		"whole": {two(func(_ context.Context, _ *server, send func(*wire.DecodeChunk)) error {
			send(token(5, "stop"))
			return nil
		}), 6, event.FaultNone},
		"cut before the first": {resetConns, 3, event.FaultBroken},
		"cut between":          {two(resetConns), 5, event.FaultBroken},
		"cut after the last": {two(func(ctx context.Context, s *server, send func(*wire.DecodeChunk)) error {
			send(token(5, "stop"))
			s.await(ctx, 1)
			s.resetConns()
			return nil
		}), 6, event.FaultNone},
		"died before the first": {crash, 3, event.FaultCrashed},
		"died between":          {two(crash), 5, event.FaultCrashed},
		"no end": {two(func(context.Context, *server, func(*wire.DecodeChunk)) error {
			return nil
		}), 5, event.FaultBroken},
		"stalled": {two(stall), 5, event.FaultStalled},
		"refused": {failWith(connect.CodeNotFound), 3, event.FaultRefused},
		"other's token": {two(func(_ context.Context, _ *server, send func(*wire.DecodeChunk)) error {
			send(&wire.DecodeChunk{Request: "q", Index: 5})
			return nil
		}), 5, event.FaultBroken},
	} {
		t.Run(name, func(t *testing.T) {
			client, s := start(t, c.act)
			ctx, cancel := context.WithTimeout(t.Context(), timeout(c.want))
			defer cancel()
			var tokens []uint32
			ended := client.Decode(ctx, event.Decode{Request: "r", Engine: "e1", Stream: 2, From: 3}, func(m *wire.DecodeChunk) error {
				tokens = append(tokens, m.Index)
				s.received <- struct{}{}
				return nil
			})
			want := event.Ended{Request: "r", Engine: "e1", Stream: 2, Next: c.next, Fault: c.want}
			if ended != want || len(tokens) != int(c.next-3) {
				t.Errorf("%+v with tokens %v, want %+v", ended, tokens, want)
			}
		})
	}
}

// Guards against an engine that holds memory forever because a cancel that never
// reached it counts as confirmed, and against endless cancels to a crashed process.
func TestCancel(t *testing.T) {
	for name, c := range map[string]struct {
		act   handler
		held  bool
		fault event.Fault
	}{
		"confirmed": {func(context.Context, *server, func(*wire.DecodeChunk)) error { return nil }, false, event.FaultNone},
		"cut":       {resetConns, true, event.FaultBroken},
		"no answer": {stall, true, event.FaultStalled},
		"old fence": {failWith(connect.CodeFailedPrecondition), true, event.FaultRefused},
	} {
		t.Run(name, func(t *testing.T) {
			client, _ := start(t, c.act)
			ctx, cancel := context.WithTimeout(t.Context(), timeout(c.fault))
			defer cancel()
			got := client.Cancel(ctx, event.Cancel{Request: "r", Engine: "e1"})
			if want := (event.Cancelled{Request: "r", Engine: "e1", Held: c.held, Fault: c.fault}); got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}

// Guards against an attempt that counts as possibly received although no connection
// was opened.
func TestNotListening(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	c := engine.New("e1", addr)
	defer c.Close()
	if got := c.Hold(t.Context(), event.Hold{}); got.Fault != event.FaultUnsent {
		t.Errorf("hold: %+v", got)
	}
	if got := c.Move(t.Context(), event.Move{}, "127.0.0.1:1"); got.Fault != event.FaultUnsent {
		t.Errorf("move: %+v", got)
	}
	if got := c.Prefill(t.Context(), event.Prefill{}, "x", nil); got.Fault != event.FaultUnsent {
		t.Errorf("prefill: %+v", got)
	}
	none := func(*wire.DecodeChunk) error { return nil }
	if got := c.Decode(t.Context(), event.Decode{From: 4}, none); got.Fault != event.FaultUnsent || got.Next != 4 {
		t.Errorf("decode: %+v", got)
	}
	if got := c.Cancel(t.Context(), event.Cancel{}); got.Held || got.Fault != event.FaultNone {
		t.Errorf("cancel: %+v; a process that doesn't listen holds nothing", got)
	}
}
