package serve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/front/serve"
	"citronrock.example/citronrock/internal/route/config"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// client is a client with one connection.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, addr netip.AddrPort) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer is the status of an answer and whether its connection is closed.
type answer struct {
	status int
	last   bool
}

func (c *client) get() (answer, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{resp.StatusCode, resp.Close}, err
}

const plainGet = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"

func start(t *testing.T, h http.HandlerFunc) (*serve.Server, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	s, err := serve.Listen(addr, h, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return s, addr
}

// Guards against a request that is accepted long after the signal to stop and then
// aborted at the end of the grace period: idle connections are closed once the load
// balancer has had time to move clients elsewhere, and requests in flight are
// answered.
func TestStopClosesKeptConnections(t *testing.T) {
	const notice, work = 150 * time.Millisecond, 400 * time.Millisecond
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow/" {
			time.Sleep(work)
		}
		_, _ = io.WriteString(w, "ok")
	})
	kept, slow, late := dial(t, addr), dial(t, addr), dial(t, addr)
	for _, c := range []*client{kept, late} {
		c.send(plainGet)
		if got, err := c.get(); err != nil || got.last {
			t.Fatalf("before the stop: %v, close %v", err, got.last)
		}
	}
	slow.send("GET /slow/ HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(notice / 3)
	stopped := make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() {
		s.Stop(ctx, notice)
		close(stopped)
	}()
	time.Sleep(notice / 3)
	late.send(plainGet)
	if got, err := late.get(); err != nil || !got.last {
		t.Errorf("request within the notice period: %v; want an answer that closes the connection", err)
	}
	begun := time.Now()
	if got, err := kept.get(); err != nil || got.status != http.StatusRequestTimeout || !got.last {
		t.Errorf("idle connection after the notice period: %+v, %v; want an answer that closes it", got, err)
	}
	if _, err := kept.r.ReadByte(); err != io.EOF || time.Since(begun) > notice+work/2 {
		t.Errorf("idle connection after the notice period: %v after %v, want it closed while another request is in flight", err, time.Since(begun))
	}
	if got, err := slow.get(); err != nil || got.status != http.StatusOK {
		t.Errorf("request in flight: %v, want its answer", err)
	}
	<-stopped
}

// Guards against limits that stay at those of the first configuration.
func TestSetLimits(t *testing.T) {
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	s.SetLimits(config.Limits{Header: 1024, HeaderWait: time.Second, Idle: time.Second})
	c := dial(t, addr)
	c.send("GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + longHeader() + "\r\n\r\n")
	got, err := c.get()
	if err != nil || got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header over the limit: %v %v, want 431", got, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Stop(ctx, 0)
}

func longHeader() string {
	b := make([]byte, 8<<10)
	for i := range b {
		b[i] = 'x'
	}
	return string(b)
}

// Guards against request smuggling with a body whose end is ambiguous: no further
// request is read from such a connection.
func TestChunkedBodyEndsConnection(t *testing.T) {
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/hidden/" {
			t.Error("hidden request was served")
		}
		_, _ = io.WriteString(w, "ok")
	})
	c := dial(t, addr)
	c.send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"GET /hidden/ HTTP/1.1\r\nHost: h\r\n\r\n")
	if got, err := c.get(); err == nil && !got.last {
		t.Error("connection is kept open")
	}
	if _, err := c.get(); err == nil {
		t.Error("second answer on the connection")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Stop(ctx, 0)
}
