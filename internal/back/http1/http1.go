// Package http1 sends single HTTP/1.1 requests, each on a connection of its own,
// and tells whether any part of a request can have reached the server. A new
// connection can't be stale, silently dead or carry an answer to an earlier
// request, so that a failure before the first byte proves that nothing ran.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a connection.
const (
	// dialTimeout is ten times the slowest handshake within a region.
	dialTimeout = 250 * time.Millisecond
	// inlineBody is the size in bytes up to which a request fits the windows of
	// a new connection, so that it is written before the answer is read.
	inlineBody = 4 << 10
	bufferSize = 4 << 10
	// headerLimit bounds the header of an answer in bytes.
	headerLimit = 64 << 10
)

// Error is a request without a usable answer.
type Error struct {
	// Sent tells whether part of the request may have reached the server.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client opens connections.
type Client struct {
	dialer net.Dialer
	opened func()
}

// Option changes a setting of a client.
type Option func(*Client)

// WithOpened sets a function that is called for each new connection.
func WithOpened(f func()) Option { return func(c *Client) { c.opened = f } }

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, opened: func() {}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Reply is an answer whose body may still be on its way. Close must be called.
type Reply struct {
	*http.Response
	end func()
}

// Close ends the connection. A server that still works on the request sees it.
func (r *Reply) Close() { r.end() }

// Do sends a request to a server and returns when the header of the answer is
// there. The end of ctx closes the connection, also while the body is read.
// Errors are of type *Error.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, req *http.Request, body []byte) (*Reply, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, &Error{Err: eris.Wrap(err, "can't connect")}
	}
	c.opened()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	end := sync.OnceFunc(func() {
		stop()
		conn.Close()
	})
	if ctx.Err() != nil {
		end()
		return nil, &Error{Err: context.Cause(ctx)}
	}
	resp, err := exchange(conn, req, body) //nolint:bodyclose // Reply.Close ends the connection
	if err != nil {
		end()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return &Reply{Response: resp, end: end}, nil
}

// exchange writes the request and reads the header of its answer. A server may
// answer before it has read a long body, which is written meanwhile.
func exchange(conn net.Conn, req *http.Request, body []byte) (*http.Response, error) {
	req.Close = true
	if len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	write := func() error {
		w := bufio.NewWriterSize(conn, bufferSize)
		if err := req.Write(w); err != nil {
			return err
		}
		return w.Flush()
	}
	var written error
	if len(body) <= inlineBody {
		written = write()
	} else {
		go func() { _ = write() }() // the answer, or its lack, shows a failed write
	}
	limited := &io.LimitedReader{R: conn, N: headerLimit}
	r := bufio.NewReaderSize(limited, bufferSize)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "no answer"), written)
		}
		if resp.StatusCode >= 200 {
			limited.N = 1 << 62
			return resp, nil
		}
	}
}
