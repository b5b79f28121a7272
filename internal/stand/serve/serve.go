// Package serve provides the HTTP server that all stand-ins share. It serves
// HTTP/1 and unencrypted HTTP/2 on one port and can simulate a network partition
// on the connections that are open at a given moment.
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// CompressMinBytes is the size in bytes from which stand-ins compress messages.
// With compression of small messages, resetting the compressor for each token
// stream took a third of a test's CPU time.
const CompressMinBytes = 1 << 20

type connKey struct{}

// Server is an HTTP server on one TCP port, which accepts until Close.
type Server struct {
	http       *http.Server
	listener   *listener
	acceptDone chan struct{}
}

// New listens on addr and serves h until Close. Port 0 picks a free port. It returns
// an error if the address can't be bound.
func New(addr netip.AddrPort, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %s; choose an address that is not in use", addr)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		listener:   &listener{Listener: l, conns: map[*conn]struct{}{}},
		acceptDone: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:   h,
		Protocols: protocols,
		// Daemons multiplex all requests to a backend server on one connection.
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 2000},
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() {
		defer close(s.acceptDone)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Silence makes all open connections discard what they receive and send nothing
// more, without closing them. The connection of the request that ctx belongs to is
// exempt, so that the request for this fault gets its response.
func (s *Server) Silence(ctx context.Context) {
	exempt, _ := ctx.Value(connKey{}).(*conn)
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		if c != exempt {
			c.mute()
		}
	}
}

// Close closes the listener and all connections and waits for the accept loop.
func (s *Server) Close() error {
	err := s.http.Close()
	s.listener.closeAll()
	<-s.acceptDone
	return err
}

type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept wraps each connection so that Silence can mute it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{}), muted: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) closeAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

type conn struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once
	muteOnce  sync.Once
	closed    chan struct{}
	muted     chan struct{}
}

func (c *conn) mute() { c.muteOnce.Do(func() { close(c.muted) }) }

func (c *conn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

// Read discards data while the connection is muted. It still returns the error
// that ends the connection, so that the server frees it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write blocks on a muted connection until it is closed.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
