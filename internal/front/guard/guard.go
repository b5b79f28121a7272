// Package guard accounts for the connections of clients in the memory budget of the
// process, and closes those that the budget evicts. A request is refused only while its
// header or body is read, when it has not run.
package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/grace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// lastWriteTime bounds the last write to a client that is evicted. Its memory is held
	// that long.
	lastWriteTime = 100 * time.Millisecond
	// chargedWrite is the size in bytes from which a write is charged: net/http passes on
	// larger ones from buffers of their own.
	chargedWrite = 4 << 10
	// logInterval is the time between log lines of one cause.
	logInterval = time.Second
)

// Answers to a client that is evicted before its request was read: to a part of a request,
// and to a connection that waits for one, on which it may be on its way.
var (
	unavailable = Refusal(http.StatusServiceUnavailable)
	timedOut    = Refusal(http.StatusRequestTimeout)
)

// Refusal returns an answer that is written without knowing the request, and after which the
// connection is closed.
func Refusal(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: %g\r\n\r\n",
		status, http.StatusText(status), grace.RetryAfter.Seconds())
}

// Guard accounts for connections. A nil guard does nothing.
type Guard struct {
	budget *memory.Budget
	log    hclog.Logger
	lines  [len(memory.CauseNames)]rate.Sometimes
}

// New returns a guard that charges connections to a budget.
func New(b *memory.Budget, log hclog.Logger) *Guard {
	g := &Guard{budget: b, log: log}
	for i := range g.lines {
		g.lines[i].Interval = logInterval
	}
	return g
}

// note logs that clients were evicted or refused.
func (g *Guard) note(cause memory.Cause) {
	g.lines[cause].Do(func() {
		n := g.budget.Clients()
		g.log.Warn("clients evicted or refused", "cause", memory.CauseNames[cause], "evicted", n.Evicted[cause],
			"refused", n.Refused[cause], "conns", n.Conns, "bytes", n.Bytes)
	})
}

// Conn is the connection of a client.
type Conn struct {
	*net.TCPConn
	guard  *Guard
	client *memory.Client
	// charges is set if what is written is charged here.
	charges bool

	mu sync.Mutex
	// evicted is set when the connection has to be closed. Its deadlines stay then.
	evicted bool
}

// Accept adds a connection. It returns nil if the connection was refused and closed.
func (g *Guard) Accept(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, guard: g}
	if g == nil {
		return c
	}
	var err error
	if c.client, err = g.budget.Open(c.evict); err != nil {
		_ = tcp.Close() // it carried nothing yet
		g.noteRefusal(err)
		return nil
	}
	return c
}

// noteRefusal logs why a connection or request was refused.
func (g *Guard) noteRefusal(err error) {
	cause := memory.CauseMemory
	if errors.Is(err, memory.ErrConns) {
		cause = memory.CauseConns
	}
	g.note(cause)
}

// evict makes the goroutine that serves the connection close it.
func (c *Conn) evict(cause memory.Cause) {
	c.mu.Lock()
	c.evicted = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // it fails if the connection is closed
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lastWriteTime))
	c.mu.Unlock()
	c.guard.note(cause)
}

// Read reads a part of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if refused := c.client.Receive(p[:n]); refused != nil {
			if !errors.Is(refused, memory.ErrEvicted) {
				c.evict(memory.CauseMemory)
			}
			return 0, c.refuse()
		}
		return n, err
	}
	if err != nil && c.isEvicted() {
		return 0, c.refuse()
	}
	return n, err
}

// refuse answers a client that is evicted while nothing of a request was passed on, and
// returns the error for the reader.
func (c *Conn) refuse() error {
	switch c.client.Unread() {
	case memory.UnreadNone:
		return os.ErrDeadlineExceeded // the handler answers
	case memory.UnreadWaiting:
		_, _ = io.WriteString(c.TCPConn, timedOut) // the client may have left
	case memory.UnreadHeader:
		_, _ = io.WriteString(c.TCPConn, unavailable) // as above
	}
	return io.EOF // net/http writes no answer of its own
}

// Write writes a part of a response.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.client.Write()()
	if c.charges && len(p) > chargedWrite {
		hold := c.client.Response()
		if err := hold.Resize(int64(len(p))); err != nil {
			return 0, err
		}
		defer hold.Release()
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.client.Close()
	return c.TCPConn.Close()
}

// SetDeadline sets both deadlines, unless the connection has to be closed.
func (c *Conn) SetDeadline(t time.Time) error { return c.unlessEvicted(c.TCPConn.SetDeadline, t) }

// SetReadDeadline is SetDeadline for reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.unlessEvicted(c.TCPConn.SetReadDeadline, t)
}

// SetWriteDeadline is SetDeadline for writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.unlessEvicted(c.TCPConn.SetWriteDeadline, t)
}

func (c *Conn) unlessEvicted(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return set(t)
}

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Client returns what the connection holds.
func (c *Conn) Client() *memory.Client { return c.client }

// Handle calls a handler for a request on the connection, unless there is no memory for
// its header.
func (c *Conn) Handle(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if err := c.client.Begin(fields); err != nil {
		c.guard.noteRefusal(err)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", fmt.Sprint(grace.RetryAfter.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer c.client.End()
	handler.ServeHTTP(w, r)
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ClientOf returns what the connection of a request holds, nil if it has no guard.
func ClientOf(ctx context.Context) *memory.Client {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return c.client
}

// WithConn adds a connection to the contexts of its requests.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Serve serves a small port: what it writes is charged as well. It returns when the
// listener is closed.
func (g *Guard) Serve(l net.Listener, s *http.Server) error {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.Handle(w, r, handler)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own, ok := c.(*Conn); ok {
			return WithConn(ctx, own)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok && state == http.StateIdle {
			own.client.Wait()
		}
	}
	return s.Serve(&listener{Listener: l, guard: g})
}

// listener accepts connections that the guard accounts for.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if own := l.guard.Accept(tcp); own != nil {
			own.charges = true
			return own, nil
		}
	}
}
