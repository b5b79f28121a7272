package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/front/guard"
)

// newConnTime is how long a stopping server keeps a connection that has not carried
// anything yet.
const newConnTime = 5 * time.Second

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Answers that are written without knowing the request: stopped to one that has not been
// read completely when the server stops, timedOut to one that may be on its way when an idle
// connection is closed. Clients without a request discard it (RFC 9110, 15.5.9).
var (
	stopped  = guard.Refusal(http.StatusServiceUnavailable)
	timedOut = guard.Refusal(http.StatusRequestTimeout)
)

// phase is what a connection carries.
type phase int

const (
	unused  phase = iota // nothing yet
	idle                 // nothing since the last answer
	reading              // a part of a request
	serving              // a request that is being served
)

// conn is a connection of a client. It is closed for want of a request only while no
// part of one has arrived: http.Server.Shutdown may close a connection, or drop a
// request, between the arrival of the request and the call of its handler.
type conn struct {
	*guard.Conn
	opened time.Time
	server *Server

	mu    sync.Mutex
	phase phase
	// since is when the connection became idle.
	since time.Time
	// closed is set when no more requests are served, refused when they are answered
	// beforehand.
	closed, refused bool
}

func newConn(c *guard.Conn, s *Server) *conn {
	return &conn{Conn: c, opened: time.Now(), server: s}
}

// Read reads a part of a request. What is read after the connection was closed is
// dropped. The rest of a refused request is read, as unread bytes would reset the
// connection before the client has read the answer.
func (c *conn) Read(p []byte) (int, error) {
	for c.awaits(); ; {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.awaits() {
			continue
		}
		if n == 0 || c.claim() {
			return n, err
		}
		if !c.isRefused() {
			return 0, net.ErrClosed
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.server.remove(c)
	return c.Conn.Close()
}

// claim notes that a part of a request was read, and returns false if the connection is
// closed.
func (c *conn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && !c.closed {
		c.setHeaderDeadline()
	}
	if c.phase < reading {
		c.phase = reading
	}
	return !c.closed
}

// serve notes that a request is served, and returns false if the connection is closed.
func (c *conn) serve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	return !c.closed
}

func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// setIdle notes that the next request is waited for.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = idle, time.Now()
}

// awaits sets the deadline for the next request of an idle connection, and refuses it once
// that has passed and no part of it has arrived. It returns false if the connection isn't
// idle, or was refused before.
func (c *conn) awaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.closed {
		return false
	}
	end := c.server.idle.end(c.since)
	_ = c.SetReadDeadline(end) // an error shows in the read
	switch {
	case time.Now().Before(end):
	case c.hasUnread():
		c.setHeaderDeadline()
	default:
		c.refuse(timedOut)
	}
	return true
}

// setHeaderDeadline gives a request whose first byte has arrived the time for its header.
// net/http does so only after four bytes.
func (c *conn) setHeaderDeadline() {
	var end time.Time
	if wait := c.server.headerWait(); wait > 0 {
		end = time.Now().Add(wait)
	}
	_ = c.SetReadDeadline(end) // an error shows in the read
}

// closeWaiting refuses the next request if the connection waits for one, and the first one
// if it does not come in newConnTime.
func (c *conn) closeWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.hasUnread():
	case c.phase == idle:
		c.refuse(timedOut)
	case c.phase == unused && time.Since(c.opened) > newConnTime:
		c.refuse(stopped)
	}
}

// hasUnread returns whether a part of the request that is waited for has arrived.
func (c *conn) hasUnread() bool {
	if c.phase >= reading {
		return false
	}
	arrived, err := unread(c.TCPConn)
	return arrived && err == nil // after an error nothing can be read
}

// refuseWaiting refuses the request that is waited for, or being read.
func (c *conn) refuseWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.phase != serving {
		c.refuse(stopped)
	}
}

// refuse answers the next request and closes the connection for writing. It is closed
// when the client has closed it, too, or lingerTime later: until then a request that crosses
// the answer is read, as unread bytes would reset the connection.
func (c *conn) refuse(answer string) {
	c.closed, c.refused = true, true
	_ = c.SetDeadline(time.Now().Add(lingerTime)) // an error shows in the write
	if _, err := io.WriteString(c.TCPConn, answer); err != nil || c.CloseWrite() != nil {
		_ = c.TCPConn.Close() // the client has left
	}
}

// onState follows the state of a connection in an http.Server.
func onState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.Client().Wait()
		own.setIdle()
	}
}

// connOf returns the connection of a request, nil if it is of another kind.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// withConn adds a connection to the contexts of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*conn); ok {
		ctx = guard.WithConn(ctx, own.Conn)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// track adds a connection to those that a stop closes. It returns nil if there is no room
// for it.
func (s *Server) track(tcp *net.TCPConn) *conn {
	guarded := s.guard.Accept(tcp)
	if guarded == nil {
		return nil
	}
	c := newConn(guarded, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.accepted = c.opened
	return c
}

// remove removes a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// headerWait returns the time for a request's header, zero for any.
func (s *Server) headerWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.HeaderWait
}
