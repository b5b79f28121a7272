package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnTime is how long a stopping server keeps a connection that has not carried
// anything yet.
const newConnTime = 5 * time.Second

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// conn is a connection of a client. It is closed for want of a request only while no
// part of one has been read: http.Server.Shutdown may close a connection, or drop a
// request, between the arrival of the request and the call of its handler.
type conn struct {
	*net.TCPConn
	opened  time.Time
	onClose func(*conn)

	mu sync.Mutex
	// waiting is set while no part of the next request has been read, unused before the
	// first one.
	waiting, unused, closed bool
}

func newConn(c *net.TCPConn, onClose func(*conn)) *conn {
	return &conn{TCPConn: c, opened: time.Now(), onClose: onClose, waiting: true, unused: true}
}

// Read reads a part of a request. What is read after the connection was closed is
// dropped.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.claim() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if !was {
		c.onClose(c)
	}
	return c.TCPConn.Close()
}

// claim notes that a request arrives, and returns false if the connection is closed.
func (c *conn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.unused = false, false
	return !c.closed
}

// setWaiting notes that the next request is waited for.
func (c *conn) setWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
}

// closeWaiting closes the connection if no part of a request has been read, and, unless
// all is set, only if it has carried one before or is newConnTime old.
func (c *conn) closeWaiting(all bool) {
	c.mu.Lock()
	ok := c.waiting && (all || !c.unused || time.Since(c.opened) > newConnTime)
	c.closed = c.closed || ok
	c.mu.Unlock()
	if ok {
		c.onClose(c)
		_ = c.TCPConn.Close() // the client has to go elsewhere in any case
	}
}

// onState follows the state of a connection in an http.Server.
func onState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.setWaiting()
	}
}

// claimed returns whether the connection of a request is still open, so that the
// request may be served.
func claimed(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || c.claim()
}

// withConn adds a connection to the contexts of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closeWaiting closes connections without a request, and returns how many are left.
func (s *Server) closeWaiting(all bool) int {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.closeWaiting(all)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// track adds a connection to those that a stop closes.
func (s *Server) track(tcp *net.TCPConn) *conn {
	c := newConn(tcp, func(c *conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}
