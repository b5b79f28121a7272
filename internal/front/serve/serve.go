// Package serve accepts clients' connections under the published limits and
// answers the balancer's question for readiness.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/route/config"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// Limits until a configuration is in force.
const (
	defaultHeader     = 16 << 10
	defaultHeaderWait = 5 * time.Second
	defaultIdle       = 30 * time.Second
	// idleSpare is added to the published idle time, so that a client that keeps
	// to it never meets a closed connection.
	idleSpare = 2 * time.Second
	// writeTimeout bounds the time in which a client reads an answer, unless the
	// handler sets another one.
	writeTimeout = 40 * time.Second
	// lastAccept is how long the listener of a stopping server still takes
	// connections that clients have opened.
	lastAccept = 100 * time.Millisecond
	// acceptAgain is the pause after a connection could not be accepted.
	acceptAgain = 50 * time.Millisecond
)

// Server serves clients at one address. The limits of a configuration apply to
// connections that are accepted after it.
type Server struct {
	listener *net.TCPListener
	handler  http.Handler
	log      hclog.Logger

	mu      sync.Mutex
	limits  config.Limits
	current *feed
	servers []*http.Server

	open     atomic.Int64
	stopping atomic.Bool
	cut      atomic.Bool
	done     chan struct{}
}

// feed is a listener that passes accepted connections to one http.Server.
type feed struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// end makes Accept return. Connections that are waiting go to the next feed.
func (f *feed) end() { f.once.Do(func() { close(f.done) }) }

// Close is called by the server of the feed.
func (f *feed) Close() error {
	f.end()
	return nil
}

func (f *feed) Addr() net.Addr { return f.addr }

// Listen begins to serve clients.
func Listen(addr netip.AddrPort, handler http.Handler, log hclog.Logger) (*Server, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen for clients at %s; check that the port is free", addr)
	}
	s := &Server{listener: l, handler: handler, log: log, done: make(chan struct{})}
	s.SetLimits(config.Limits{Header: defaultHeader, HeaderWait: defaultHeaderWait, Idle: defaultIdle})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			s.log.Warn("connection of a client not accepted", "error", err.Error())
			time.Sleep(acceptAgain)
			continue
		}
		s.pass(conn)
	}
}

// pass gives a connection to the http.Server of the limits in force. A request
// may already be on it, so that it is not closed when new limits replace that
// server meanwhile.
func (s *Server) pass(conn net.Conn) {
	for {
		s.mu.Lock()
		f := s.current
		s.mu.Unlock()
		select {
		case f.conns <- conn:
			return
		case <-f.done:
		}
	}
}

// drain takes the connections that clients have opened, and closes the listener.
// Closing alone would reset those that wait to be accepted, with their requests.
func (s *Server) drain() {
	if err := s.listener.SetDeadline(time.Now().Add(lastAccept)); err != nil {
		s.log.Warn("connections that wait may be reset", "error", err.Error())
		_ = s.listener.Close() // what fails is logged above
	}
	<-s.done
	_ = s.listener.Close() // it takes no more connections
}

// SetLimits makes limits apply to new connections.
func (s *Server) SetLimits(l config.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	s.limits = l
	f := &feed{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: l.Header,
		ReadHeaderTimeout: l.HeaderWait, IdleTimeout: l.Idle + idleSpare, WriteTimeout: writeTimeout, ErrorLog: s.log.StandardLogger(nil)}
	if s.current != nil {
		s.current.end()
	}
	s.current = f
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(f) }() // it ends with the feed
}

// serve counts requests. A connection is closed after its answer when the server
// stops, and after a body in chunks, since net/http hides whether the request
// also named a length.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	s.handler.ServeHTTP(&ending{ResponseWriter: w, server: s, chunked: len(r.TransferEncoding) > 0}, r)
}

// ending is a writer that tells a client with the header of its answer whether
// the connection ends with it. A stop may begin while the answer is made.
type ending struct {
	http.ResponseWriter
	server  *Server
	chunked bool
	wrote   bool
}

// Unwrap lets http.ResponseController reach the connection.
func (e *ending) Unwrap() http.ResponseWriter { return e.ResponseWriter }

// WriteHeader writes the header of the answer.
func (e *ending) WriteHeader(status int) {
	if !e.wrote && status >= http.StatusOK {
		e.wrote = true
		if e.chunked || e.server.stopping.Load() {
			e.Header().Set("Connection", "close")
		}
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (e *ending) Write(p []byte) (int, error) {
	if !e.wrote {
		e.WriteHeader(http.StatusOK)
	}
	return e.ResponseWriter.Write(p)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.open.Load()) }

// Aborted reports whether requests were cut off at the end of the grace period.
func (s *Server) Aborted() bool { return s.cut.Load() }

// Stop serves on for the notice, so that the balancer can move new connections
// elsewhere. It then closes the listener and kept connections without a request,
// and returns when all requests are answered, when ctx ends at the latest.
func (s *Server) Stop(ctx context.Context, notice time.Duration) {
	s.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
	s.drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.end()
	var all sync.WaitGroup
	for _, server := range s.servers {
		all.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				s.log.Warn("requests cut off at the end of the grace period", "open", s.InFlight(), "error", err.Error())
				s.cut.Store(true)
				server.Close()
			}
		})
	}
	all.Wait()
}
