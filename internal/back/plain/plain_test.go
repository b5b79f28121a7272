package plain_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/back/plain"
	"citronrock.example/citronrock/internal/core/event"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend is a TCP server that handles each connection with a function.
type backend struct {
	address netip.AddrPort
	opened  atomic.Int32
	close   func()
}

// serve starts a backend. handle gets the number of the connection, from 1.
func serve(t *testing.T, handle func(c net.Conn, number int32)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{address: l.Addr().(*net.TCPAddr).AddrPort()}
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := b.opened.Add(1)
			stop := context.AfterFunc(contextUntil(done), func() { c.Close() })
			wg.Go(func() {
				defer stop()
				defer c.Close()
				handle(c, n)
			})
		}
	})
	b.close = sync.OnceFunc(func() { close(done); l.Close(); wg.Wait() })
	t.Cleanup(b.close)
	return b
}

func contextUntil(done chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-done; cancel() }()
	return ctx
}

func respond(c net.Conn, r *bufio.Reader, text string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, text)
	return err == nil
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func send(t *testing.T, s *plain.Server, fresh bool) citronrock.PlainReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return s.Send(ctx, citronrock.PlainRequest{
		Request: "r1", Attempt: 1, Path: "/book", Body: []byte("order"), NewConn: fresh,
	})
}

// Guards against a wrong fault when a connection is cut, which would lead to a
// second run or to the answer not run for a call that ran.
func TestSendCut(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	cases := map[string]struct {
		handle func(c net.Conn)
		want   event.Fault
		status int
	}{
		"within the request": {func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			reset(c)
		}, event.FaultBroken, 0},
		"after the request": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), "")
		}, event.FaultBroken, 0},
		"within the status line": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), "HTTP/1.")
		}, event.FaultBroken, 0},
		"within the headers": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nContent-Le")
		}, event.FaultBroken, 0},
		"within the answer": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe")
		}, event.FaultBroken, 200},
		"refusal without its body": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), "HTTP/1.1 503 Busy\r\nCitronrock-Run: no\r\nContent-Length: 5\r\n\r\n")
		}, event.FaultRefused, 503},
		"after the answer": {func(c net.Conn) {
			respond(c, bufio.NewReader(c), ok)
		}, event.FaultNone, 200},
	}
	for name, c := range cases {
		for _, fresh := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fresh=%v", name, fresh), func(t *testing.T) {
				b := serve(t, func(conn net.Conn, _ int32) { c.handle(conn) })
				s := plain.New(b.address)
				defer s.Close()
				got := send(t, s, fresh)
				if got.Fault != c.want || got.Status != c.status {
					t.Errorf("Send = fault %d status %d, want %d and %d", got.Fault, got.Status, c.want, c.status)
				}
			})
		}
	}
}

// Guards against an attempt that counts as possibly received although the server
// can't be reached, or although it was cancelled before its first byte.
func TestSendUnsent(t *testing.T) {
	t.Run("refused connection", func(t *testing.T) {
		b := serve(t, func(net.Conn, int32) {})
		b.close()
		s := plain.New(b.address)
		defer s.Close()
		if got := send(t, s, true); got.Fault != event.FaultUnsent {
			t.Errorf("fault %d, want unsent", got.Fault)
		}
	})
	t.Run("cancelled before", func(t *testing.T) {
		b := serve(t, func(c net.Conn, _ int32) { respond(c, bufio.NewReader(c), ok) })
		s := plain.New(b.address)
		defer s.Close()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if got := s.Send(ctx, citronrock.PlainRequest{Path: "/"}); got.Fault != event.FaultUnsent {
			t.Errorf("fault %d, want unsent", got.Fault)
		}
	})
	t.Run("path that is no URL", func(t *testing.T) {
		s := plain.New(netip.MustParseAddrPort("127.0.0.1:1"))
		defer s.Close()
		if got := s.Send(t.Context(), citronrock.PlainRequest{Path: "/%zz"}); got.Fault != event.FaultUnsent {
			t.Errorf("fault %d, want unsent", got.Fault)
		}
	})
}

// Guards against the answer not run for a call whose attempt was cancelled at a
// random point but still reached the server.
func TestSendCancelRace(t *testing.T) {
	var runs atomic.Int32
	h := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer h.Close()
	s := plain.New(h.Listener.Addr().(*net.TCPAddr).AddrPort())
	defer s.Close()
	unsent, total := int32(0), int32(400)
	for i := range total {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		if s.Send(ctx, citronrock.PlainRequest{Path: "/", NewConn: i%2 == 0}).Fault == event.FaultUnsent {
			unsent++
		}
		cancel()
	}
	h.Close()
	if runs.Load()+unsent > total {
		t.Errorf("%d runs and %d attempts reported unsent, of %d attempts", runs.Load(), unsent, total)
	}
	t.Logf("%d runs, %d unsent of %d", runs.Load(), unsent, total)
}

// serveSilent starts a backend that stops responding on its first connection after
// one request. It answers all requests on later connections.
func serveSilent(t *testing.T) *backend {
	return serve(t, func(c net.Conn, number int32) {
		r := bufio.NewReader(c)
		for i := 0; number > 1 || i < 1; i++ {
			if !respond(c, r, ok) {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r)
	})
}

// Guards against a stalled idle connection on which calls that are not idempotent
// end as unknown. On a fresh connection they complete.
func TestSendFreshPastSilent(t *testing.T) {
	b := serveSilent(t)
	s := plain.New(b.address, plain.WithFirstByteTimeout(30*time.Millisecond))
	defer s.Close()
	if got := send(t, s, false); got.Fault != event.FaultNone {
		t.Fatalf("first call: fault %d", got.Fault)
	}
	for i := range 20 {
		if got := send(t, s, true); got.Fault != event.FaultNone {
			t.Fatalf("call %d on a fresh connection: fault %d, want none", i, got.Fault)
		}
	}
	if n := b.opened.Load(); n != 21 {
		t.Errorf("%d connections opened, want 21", n)
	}
}

// Guards against the reuse of a stalled pooled connection.
func TestSendPooledSilent(t *testing.T) {
	b := serveSilent(t)
	s := plain.New(b.address, plain.WithFirstByteTimeout(30*time.Millisecond))
	defer s.Close()
	for i, want := range []event.Fault{event.FaultNone, event.FaultStalled, event.FaultNone, event.FaultNone} {
		if got := send(t, s, false); got.Fault != want {
			t.Errorf("call %d: fault %d, want %d", i, got.Fault, want)
		}
	}
	if n := b.opened.Load(); n != 2 {
		t.Errorf("%d connections opened, want 2", n)
	}
}

// Guards against the first-byte timeout of pooled connections on a new connection
// to a slow server.
func TestSendSlowOnNewConnection(t *testing.T) {
	release := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() { close(release) })
	b := serve(t, func(c net.Conn, _ int32) {
		<-release
		respond(c, bufio.NewReader(c), ok)
	})
	s := plain.New(b.address, plain.WithFirstByteTimeout(20*time.Millisecond))
	defer s.Close()
	if got := send(t, s, false); got.Fault != event.FaultNone {
		t.Errorf("fault %d, want none", got.Fault)
	}
}

// Guards against responses of unbounded size, and against a body that is sent again
// to follow a redirect.
func TestSendAnswers(t *testing.T) {
	var posts atomic.Int32
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posts.Add(1)
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(bytes.Repeat([]byte("x"), 101))
		case "/move":
			http.Redirect(w, r, "/book", http.StatusTemporaryRedirect)
		case "/busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/refuse":
			w.Header().Set("Citronrock-Run", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.Header.Get("Citronrock-Request"), r.Header.Get("Citronrock-Attempt"))
		}
	}))
	defer h.Close()
	s := plain.New(h.Listener.Addr().(*net.TCPAddr).AddrPort(), plain.WithMaxBody(100))
	defer s.Close()
	cases := map[string]struct {
		fault  event.Fault
		status int
		body   string
	}{
		"/book":   {event.FaultNone, 200, "POST r1 3"},
		"/large":  {event.FaultFailed, 200, ""},
		"/move":   {event.FaultNone, 307, ""},
		"/busy":   {event.FaultNone, 503, ""},
		"/refuse": {event.FaultRefused, 503, ""},
	}
	for path, c := range cases {
		t.Run(path, func(t *testing.T) {
			before := posts.Load()
			got := s.Send(t.Context(), citronrock.PlainRequest{Request: "r1", Attempt: 3, Path: path})
			if got.Fault != c.fault || got.Status != c.status || string(got.Body) != c.body {
				t.Errorf("Send = %d %d %q, want %+v", got.Fault, got.Status, got.Body, c)
			}
			if n := posts.Load() - before; n != 1 {
				t.Errorf("the server got %d requests, want 1", n)
			}
		})
	}
}

// Guards against a server that takes a daemon's memory by headers of many short fields,
// each of which holds far more memory than it has bytes.
func TestHeaderOfManyLines(t *testing.T) {
	fields := func(n int) string { return strings.Repeat("X: y\r\n", n) }
	answer := func(n int) string {
		return "HTTP/1.1 200 OK\r\n" + fields(n) + "Content-Length: 600\r\n\r\n" + strings.Repeat("\n", 600)
	}
	cases := map[string]struct {
		answers []string // one after the other, on one connection if possible
		want    event.Fault
	}{
		"two of many lines":     {[]string{answer(200), answer(200)}, event.FaultNone},
		"after interim ones":    {[]string{strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 3) + answer(200)}, event.FaultNone},
		"too many":              {[]string{answer(300)}, event.FaultBroken},
		"too many in the next":  {[]string{answer(200), answer(300)}, event.FaultBroken},
		"too many with interim": {[]string{"HTTP/1.1 103 Early Hints\r\n" + fields(100) + "\r\n" + answer(200)}, event.FaultBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := serve(t, func(conn net.Conn, _ int32) {
				r := bufio.NewReader(conn)
				for _, text := range c.answers {
					if !respond(conn, r, text) {
						return
					}
				}
			})
			s := plain.New(b.address)
			defer s.Close()
			var reply citronrock.PlainReply
			for range c.answers {
				reply = send(t, s, false)
			}
			if reply.Fault != c.want || reply.Fault == event.FaultNone && len(reply.Body) != 600 {
				t.Errorf("fault %v, %d bytes; want %v", reply.Fault, len(reply.Body), c.want)
			}
		})
	}
}
