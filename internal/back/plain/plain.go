// Package plain sends calls to a backend server of a plain service over HTTP and
// reports how far each attempt came.
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

// Server is a client of one backend server. It implements citronrock.Plain.
type Server struct {
	base             string
	pooled, fresh    *http.Transport
	dialer           net.Dialer
	firstByteTimeout time.Duration
	maxBody          int64
}

// Option changes a Server in New.
type Option func(*Server)

// WithFirstByteTimeout sets the timeout for the first byte of a response on a
// pooled connection, 1 s by default. When it expires, the connection is closed and
// the attempt counts as stalled. New connections have no such timeout.
func WithFirstByteTimeout(d time.Duration) Option {
	return func(s *Server) { s.firstByteTimeout = d }
}

// WithDialTimeout sets the timeout for opening a connection, 1 s by default.
func WithDialTimeout(d time.Duration) Option {
	return func(s *Server) { s.dialer.Timeout = d }
}

// WithIdleConns sets how many idle connections are pooled and for how long, 16 and
// 10 s by default.
func WithIdleConns(count int, timeout time.Duration) Option {
	return func(s *Server) {
		s.pooled.MaxIdleConnsPerHost = count
		s.pooled.IdleConnTimeout = timeout
	}
}

// WithMaxBody sets the largest response body in bytes, 4 MiB by default.
func WithMaxBody(bytes int64) Option {
	return func(s *Server) { s.maxBody = bytes }
}

// New returns a client of the server at address.
func New(address netip.AddrPort, opts ...Option) *Server {
	s := &Server{
		base:             "http://" + address.String(),
		dialer:           net.Dialer{Timeout: time.Second},
		firstByteTimeout: time.Second,
		maxBody:          4 << 20,
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
			c, err := s.dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
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

// Send makes one attempt. A fault with a status means that the server had begun its
// response.
func (s *Server) Send(ctx context.Context, r citronrock.PlainRequest) citronrock.PlainReply {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &attemptTrace{timeout: s.firstByteTimeout, expire: func() { cancel(errFirstByteTimeout) }}
	defer t.stop()
	req, err := s.request(httptrace.WithClientTrace(ctx, t.hooks()), r)
	if err != nil {
		return citronrock.PlainReply{Fault: event.FaultUnsent}
	}
	reply := s.attempt(req, r.NewConn, t)
	if reply.Fault == event.FaultStalled {
		// The other idle connections to this server may have stalled as well.
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

// attempt calls the transport directly, since http.Client would follow a redirect
// and send the body again.
func (s *Server) attempt(req *http.Request, fresh bool, t *attemptTrace) citronrock.PlainReply {
	transport := s.pooled
	if fresh {
		transport = s.fresh
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return citronrock.PlainReply{Fault: t.classify(req.Context())}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRun) == "no" {
		return citronrock.PlainReply{Status: res.StatusCode, Fault: event.FaultRefused}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, s.maxBody+1))
	reply := citronrock.PlainReply{Status: res.StatusCode}
	switch {
	case err != nil:
		reply.Fault = faultMaybeReceived(req.Context())
	case int64(len(body)) > s.maxBody:
		reply.Fault = event.FaultFailed
	default:
		reply.Body = body
	}
	return reply
}

var errFirstByteTimeout = errors.New("plain: no response on a pooled connection within the first-byte timeout")

// faultMaybeReceived returns the fault of an attempt that the server may have
// received.
func faultMaybeReceived(ctx context.Context) event.Fault {
	if ctx.Err() != nil {
		return event.FaultStalled
	}
	return event.FaultBroken
}
