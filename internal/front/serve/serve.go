// Package serve accepts client connections and applies the published limits to them.
// It drains them when the server stops.
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

	"citronrock.example/citronrock/internal/front/guard"
	"citronrock.example/citronrock/internal/route/config"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Limits until a configuration is applied, and the server's own timeouts.
const (
	defaultHeader     = 16 << 10
	defaultHeaderWait = 5 * time.Second
	defaultIdle       = 30 * time.Second
	// idleMargin is added to the published idle timeout, so that a client that observes
	// the timeout never uses a connection that was just closed.
	idleMargin = 2 * time.Second
	// writeTimeout bounds the time that a client takes to read an answer, unless the
	// handler sets another limit.
	writeTimeout = 40 * time.Second
	// quietTime is how long no client has opened a connection when a stopping server
	// closes its listener before the grace period ends.
	quietTime = 100 * time.Millisecond
	// handshakeTime is the time in which handshakes that have begun complete: a round
	// trip to any client.
	handshakeTime = 100 * time.Millisecond
	// lastAnswers is the time for answers to requests that have just been read when the
	// grace period ends, closeInterval that between looks for connections to close.
	lastAnswers   = 100 * time.Millisecond
	closeInterval = 20 * time.Millisecond
	// lingerTime is the time for clients to read the answers that end connections.
	lingerTime = 2 * closeInterval
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server serves clients at one address. Limits apply to connections that are
// accepted after they were set, except the idle timeout: an idle connection is closed
// after the longest one that its client may go by, and idleMargin. A request is lost only
// if it crosses that close.
type Server struct {
	listener *net.TCPListener
	handler  http.Handler
	log      hclog.Logger
	// handshake is how long handshakes that have begun may take in a stop.
	handshake time.Duration
	// guard accounts for the connections, nil for none.
	guard *guard.Guard
	// acceptErrors limits the log lines about accepts that failed.
	acceptErrors rate.Sometimes

	mu      sync.Mutex
	limits  config.Limits
	idle    idleTimes
	queue   *connQueue
	servers []*http.Server
	conns   map[*conn]struct{}
	// accepted is when the last connection was accepted, closed is set after a stop.
	accepted time.Time
	closed   bool

	inFlight atomic.Int64
	stopping atomic.Bool
	aborted  atomic.Bool
	done     chan struct{}
}

// connQueue is a listener that passes accepted connections to one http.Server.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// close makes Accept return net.ErrClosed. Connections not yet accepted go to the
// next queue.
func (q *connQueue) close() { q.once.Do(func() { close(q.done) }) }

// Close implements net.Listener for the http.Server that uses the queue.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

func (q *connQueue) Addr() net.Addr { return q.addr }

// Option sets an option of a Server.
type Option func(*Server)

// WithGuard sets what accounts for the connections.
func WithGuard(g *guard.Guard) Option { return func(s *Server) { s.guard = g } }

// Listen starts to serve clients at addr. The error tells that the address can't be
// used.
func Listen(addr netip.AddrPort, handler http.Handler, log hclog.Logger, opts ...Option) (*Server, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen for clients at %s; check that the port is free", addr)
	}
	s := &Server{listener: l, handler: handler, log: log, handshake: handshakeTime, conns: map[*conn]struct{}{}, done: make(chan struct{}),
		acceptErrors: rate.Sometimes{Interval: time.Second}}
	for _, o := range opts {
		o(s)
	}
	s.SetLimits(config.Limits{Header: defaultHeader, HeaderWait: defaultHeaderWait, Idle: defaultIdle})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	return s, nil
}

// listen opens a listener. Those of multipath TCP, the default, take no socket filter.
func listen(addr netip.AddrPort) (*net.TCPListener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(context.Background(), "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			s.acceptErrors.Do(func() { s.log.Warn("client connection could not be accepted", "error", err.Error()) })
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := s.track(conn); c != nil {
			s.dispatch(c)
		}
	}
}

// dispatch passes a connection to the http.Server with the current limits. The
// connection may already carry a request, so that it is passed to the next server
// when new limits replace that one meanwhile.
func (s *Server) dispatch(conn net.Conn) {
	for {
		s.mu.Lock()
		q := s.queue
		s.mu.Unlock()
		select {
		case q.conns <- conn:
			return
		case <-q.done:
		}
	}
}

// SetLimits applies limits to new connections.
func (s *Server) SetLimits(l config.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits || s.closed {
		return
	}
	s.limits = l
	s.idle.set(time.Now(), l.Idle)
	q := &connQueue{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: l.Header,
		ReadHeaderTimeout: l.HeaderWait, IdleTimeout: -1, WriteTimeout: writeTimeout,
		ConnState: onState, ConnContext: withConn, ErrorLog: s.log.StandardLogger(nil),
		DisableGeneralOptionsHandler: true} // "OPTIONS *" is for the handler to answer
	if s.queue != nil {
		s.queue.close()
	}
	s.queue = q
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(q) }() // it ends when the queue is closed
}

// serve counts requests in flight. The connection is closed after the answer when
// the server is stopping, and after a chunked request body: net/http hides whether
// the request also had a Content-Length, which could be used for request smuggling.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	own := connOf(r)
	if own != nil && !own.serve() {
		panic(http.ErrAbortHandler) // nothing is passed on
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	out := &responseWriter{ResponseWriter: w, server: s, chunked: len(r.TransferEncoding) > 0}
	if own == nil {
		s.handler.ServeHTTP(out, r)
		return
	}
	if r.ContentLength != 0 {
		// net/http reads a part of a body that the handler has left.
		defer own.setHeaderDeadline()
	}
	own.Handle(out, r, s.handler)
}

// responseWriter adds "Connection: close" to the header of an answer after which the
// connection is closed. The decision is made when the header is written, as a stop
// may begin while the answer is prepared.
type responseWriter struct {
	http.ResponseWriter
	server        *Server
	chunked       bool
	headerWritten bool
}

// HeaderWritten returns whether the header of the answer was written.
func (w *responseWriter) HeaderWritten() bool { return w.headerWritten }

// Unwrap returns the underlying writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header of the answer.
func (w *responseWriter) WriteHeader(status int) {
	if !w.headerWritten && status >= http.StatusOK {
		w.headerWritten = true
		if w.chunked || w.server.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body, after the header.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Aborted returns whether requests were aborted at the end of the grace period.
func (s *Server) Aborted() bool { return s.aborted.Load() }
