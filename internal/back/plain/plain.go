// Package plain sends calls to one backend server of a plain service over HTTP
// and tells how far each attempt came.
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// Headers of the protocol with plain services.
const (
	headerRequest = "Citronrock-Request"
	headerAttempt = "Citronrock-Attempt"
	headerRun     = "Citronrock-Run"
)

// Server is one backend server. It implements citronrock.Plain.
type Server struct {
	base          string
	pooled, fresh *http.Transport
	dial          net.Dialer
	patience      time.Duration
	limit         int64
}

// Option changes a Server in New.
type Option func(*Server)

// WithFirstByteTimeout sets the time in which a pooled connection has to bring the
// first byte of an answer, 1 s by default. It is then closed, and the attempt
// counts as stalled.
func WithFirstByteTimeout(d time.Duration) Option {
	return func(s *Server) { s.patience = d }
}

// WithDialTimeout sets the time limit for opening a connection, 1 s by default.
func WithDialTimeout(d time.Duration) Option {
	return func(s *Server) { s.dial.Timeout = d }
}

// WithIdleConns sets how many idle connections are kept and for how long, 16 and
// 10 s by default.
func WithIdleConns(count int, term time.Duration) Option {
	return func(s *Server) {
		s.pooled.MaxIdleConnsPerHost = count
		s.pooled.IdleConnTimeout = term
	}
}

// WithMaxBody sets the largest answer in bytes, 4 MiB by default.
func WithMaxBody(bytes int64) Option {
	return func(s *Server) { s.limit = bytes }
}

// New returns a client of the server at address.
func New(address netip.AddrPort, opts ...Option) *Server {
	s := &Server{
		base:     "http://" + address.String(),
		dial:     net.Dialer{Timeout: time.Second},
		patience: time.Second,
		limit:    4 << 20,
	}
	s.pooled = s.transport()
	s.pooled.MaxIdleConnsPerHost = 16
	s.pooled.IdleConnTimeout = 10 * time.Second
	s.fresh = s.transport()
	s.fresh.DisableKeepAlives = true
	for _, o := range opts {
		o(s)
	}
	return s
}

func (s *Server) transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := s.dial.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// Close closes the idle connections.
func (s *Server) Close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Send makes one attempt. A fault with a status means that the server had begun
// its answer.
func (s *Server) Send(ctx context.Context, r citronrock.PlainRequest) citronrock.PlainReply {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &trace{patience: s.patience, expire: func() { cancel(errPatience) }}
	defer t.stop()
	req, err := s.request(httptrace.WithClientTrace(ctx, t.hooks()), r)
	if err != nil {
		return citronrock.PlainReply{Fault: event.FaultUnsent}
	}
	reply := s.attempt(req, r.Fresh, t)
	if reply.Fault == event.FaultStalled {
		// Other idle connections to this server may have stalled as well.
		s.pooled.CloseIdleConnections()
	}
	return reply
}

func (s *Server) request(ctx context.Context, r citronrock.PlainRequest) (*http.Request, error) {
	path := "/" + strings.TrimPrefix(r.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerRequest, r.Request)
	req.Header.Set(headerAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	return req, nil
}

// attempt calls the transport itself, since http.Client would send the body
// again to follow a redirect.
func (s *Server) attempt(req *http.Request, fresh bool, t *trace) citronrock.PlainReply {
	transport := s.pooled
	if fresh {
		transport = s.fresh
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return citronrock.PlainReply{Fault: t.fault(req.Context())}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRun) == "no" {
		return citronrock.PlainReply{Status: res.StatusCode, Fault: event.FaultRefused}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, s.limit+1))
	reply := citronrock.PlainReply{Status: res.StatusCode}
	switch {
	case err != nil:
		reply.Fault = received(req.Context())
	case int64(len(body)) > s.limit:
		reply.Fault = event.FaultFailed
	default:
		reply.Body = body
	}
	return reply
}

var errPatience = errors.New("plain: no answer on a pooled connection in time")

// received is the fault of an attempt that the server may have received.
func received(ctx context.Context) event.Fault {
	if ctx.Err() != nil {
		return event.FaultStalled
	}
	return event.FaultBroken
}
