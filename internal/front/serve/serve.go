// Package serve accepts clients' connections under the published limits and
// answers the balancer's question for readiness.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/route/plan"
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
	// acceptAgain is the pause after a connection could not be accepted.
	acceptAgain = 50 * time.Millisecond
)

// Server serves clients at one address. The limits of a configuration apply to
// connections that are accepted after it.
type Server struct {
	listener net.Listener
	handler  http.Handler
	log      hclog.Logger

	mu      sync.Mutex
	limits  plan.Limits
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

// end makes Accept return. Connections that are waiting are closed by their
// sender.
func (f *feed) end() { f.once.Do(func() { close(f.done) }) }

// Close is called by the server of the feed.
func (f *feed) Close() error {
	f.end()
	return nil
}

func (f *feed) Addr() net.Addr { return f.addr }

// Listen begins to serve clients.
func Listen(addr netip.AddrPort, handler http.Handler, log hclog.Logger) (*Server, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen for clients at %s; check that the port is free", addr)
	}
	s := &Server{listener: l, handler: handler, log: log, done: make(chan struct{})}
	s.SetLimits(plan.Limits{Header: defaultHeader, HeaderWait: defaultHeaderWait, Idle: defaultIdle})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("connection of a client not accepted", "error", err.Error())
			time.Sleep(acceptAgain)
			continue
		}
		s.mu.Lock()
		f := s.current
		s.mu.Unlock()
		select {
		case f.conns <- conn:
		case <-f.done:
			conn.Close()
		}
	}
}

// SetLimits makes limits apply to new connections.
func (s *Server) SetLimits(l plan.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	s.limits = l
	f := &feed{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: l.Header,
		ReadHeaderTimeout: l.HeaderWait, IdleTimeout: l.Idle + idleSpare, ErrorLog: s.log.StandardLogger(nil)}
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
	if s.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Open returns the number of requests in flight.
func (s *Server) Open() int { return int(s.open.Load()) }

// Cut reports whether requests were cut off at the end of the grace period.
func (s *Server) Cut() bool { return s.cut.Load() }

// Stop serves on for the notice, so that the balancer can move new connections
// elsewhere. It then closes the listener and kept connections without a request,
// and returns when all requests are answered, when ctx ends at the latest.
func (s *Server) Stop(ctx context.Context, notice time.Duration) {
	s.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
	s.listener.Close()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.end()
	var all sync.WaitGroup
	for _, server := range s.servers {
		all.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				s.log.Warn("requests cut off at the end of the grace period", "open", s.Open(), "error", err.Error())
				s.cut.Store(true)
				server.Close()
			}
		})
	}
	all.Wait()
}
