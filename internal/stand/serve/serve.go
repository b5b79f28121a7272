// Package serve holds the HTTP server that all stand-ins share. It serves
// HTTP/1 and unencrypted HTTP/2 on one port and can make the connections that
// are open at a given moment fall silent.
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

// CompressMinBytes is the size in bytes from which stand-ins compress messages. Resetting
// the compressor for each stream of tokens took a third of a test's CPU time.
const CompressMinBytes = 1 << 20

type connKey struct{}

// Server is an HTTP server on one TCP port.
type Server struct {
	http *http.Server
	lis  *listener
	done chan struct{}
}

// New listens on addr; port 0 takes a free port. It serves h until Close.
func New(addr netip.AddrPort, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %s; choose a free address", addr)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		lis:  &listener{Listener: l, conns: map[*conn]struct{}{}},
		done: make(chan struct{}),
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
		defer close(s.done)
		_ = s.http.Serve(s.lis)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.lis.Addr().(*net.TCPAddr).AddrPort()
}

// Silence makes all open connections discard what they receive and send
// nothing more. The connection that ctx came from is spared, so that the
// request that asks for silence is answered.
func (s *Server) Silence(ctx context.Context) {
	spared, _ := ctx.Value(connKey{}).(*conn)
	s.lis.mu.Lock()
	defer s.lis.mu.Unlock()
	for c := range s.lis.conns {
		if c != spared {
			c.mute()
		}
	}
}

// Close closes the listener and all connections and waits for the accept loop.
func (s *Server) Close() error {
	err := s.http.Close()
	s.lis.closeAll()
	<-s.done
	return err
}

type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept wraps each connection so that it can be silenced.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, lis: l, closed: make(chan struct{}), muted: make(chan struct{})}
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
	lis    *listener
	once   sync.Once
	quiet  sync.Once
	closed chan struct{}
	muted  chan struct{}
}

func (c *conn) mute() { c.quiet.Do(func() { close(c.muted) }) }

func (c *conn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

// Read discards data while the connection is silent; it still reports the end
// of the connection, so that the server frees it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write blocks while the connection is silent, until it is closed.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.lis.mu.Lock()
		delete(c.lis.conns, c)
		c.lis.mu.Unlock()
	})
	return c.Conn.Close()
}
