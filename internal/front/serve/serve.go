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
	// quietEnd is the time without a new connection or request after which a
	// stopping server ends.
	quietEnd = 500 * time.Millisecond
	// pollEnd is the time between checks whether a stopping server may end.
	pollEnd = 50 * time.Millisecond
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
	last     atomic.Int64
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

func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
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
			time.Sleep(pollEnd)
			continue
		}
		s.last.Store(time.Now().UnixNano())
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
		s.current.Close()
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
	defer func() {
		s.last.Store(time.Now().UnixNano())
		s.open.Add(-1)
	}()
	if s.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Open returns the number of requests in flight.
func (s *Server) Open() int { return int(s.open.Load()) }

// Stop serves on until the balancer has moved new connections elsewhere and all
// requests are answered. It returns after soon at the earliest, so that the
// balancer can notice, and when ctx ends at the latest.
func (s *Server) Stop(ctx context.Context, soon time.Duration) {
	s.stopping.Store(true)
	begun := time.Now()
	poll := time.NewTicker(pollEnd)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-poll.C:
		}
		quiet := time.Since(time.Unix(0, s.last.Load())) > quietEnd
		if time.Since(begun) > soon && s.open.Load() == 0 && quiet {
			s.close()
			return
		}
	}
}

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Close()
	for _, server := range s.servers {
		server.Close()
	}
	<-s.done
}
