// Package http1 sends HTTP/1.1 requests, each on a new connection, and reports
// whether any part of a request can have reached the server. A new connection can't
// be stale or half-open or carry the response to an earlier request, so that a
// failure before the first byte proves that nothing ran.
package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/back/reset"
	"citronrock.example/citronrock/internal/core/memory"
	"github.com/rotisserie/eris"
)

// Limits of a connection.
const (
	// dialTimeout is ten times the slowest handshake within a region.
	dialTimeout = 250 * time.Millisecond
	// maxInlineBody is the size in bytes up to which a request body fits the initial
	// window of a new connection, so that it is written before the response is read.
	maxInlineBody = 4 << 10
	bufferSize    = 4 << 10
	// maxHeaderBytes bounds the header of a response, with those of the interim ones before
	// it.
	maxHeaderBytes = 64 << 10
	// A header of more than smallHeaderBytes or smallHeaderLines is charged to the memory
	// budget with largeHeaderMemory bytes, which is more than any may take.
	smallHeaderBytes  = 4 << 10
	smallHeaderLines  = 64
	largeHeaderMemory = 256 << 10
)

// Error is the failure of a request without a usable response.
type Error struct {
	// Sent is true when part of the request may have reached the server.
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause, which may be the cause of the end of the context.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	dialer    net.Dialer
	onConnect func()
	memory    *memory.Budget
}

// Option changes a setting of a client.
type Option func(*Client)

// WithOpened sets a function that is called after each connection is opened.
func WithOpened(f func()) Option { return func(c *Client) { c.onConnect = f } }

// WithMemory sets the budget for large headers and for replies that ReadBody reads. It is
// unlimited by default.
func WithMemory(b *memory.Budget) Option { return func(c *Client) { c.memory = b } }

// New returns a client, which keeps no connections.
func New(opts ...Option) *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, onConnect: func() {}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Response is a response whose body may still be arriving. Close must be called.
type Response struct {
	*http.Response
	server    netip.AddrPort
	memory    *memory.Budget
	closeConn func()
}

// Close closes the connection, which tells the server to stop work on the request.
func (r *Response) Close() { r.closeConn() }

// ReadBody reads a body of up to limit bytes. Its memory stays reserved until its Release.
// Errors are those of memory.Hold.Read.
func (r *Response) ReadBody(limit int64) (*memory.Body, error) {
	return r.memory.Response(r.server, r.closeConn).Read(r.Body, limit)
}

// Do sends a request to a server and returns when the header of the response has
// arrived. The end of ctx closes the connection, also while the body is read. The
// target is req.RequestURI byte by byte, or that of req.URL if it is empty.
// Errors are of type *Error.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, req *http.Request, body []byte) (*Response, error) {
	if err := checkRequestLine(req); err != nil {
		return nil, &Error{Err: err}
	}
	tcp, err := c.dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, &Error{Err: eris.Wrap(err, "can't connect to the server")}
	}
	// The body of a response without a length ends with the connection.
	conn := reset.New(tcp)
	c.onConnect()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	hold := c.memory.Response(to, func() { conn.Close() })
	end := sync.OnceFunc(func() {
		stop()
		conn.Close()
		hold.Release()
	})
	if ctx.Err() != nil {
		end()
		return nil, &Error{Err: context.Cause(ctx)}
	}
	resp, err := roundTrip(conn, hold, req, body) //nolint:bodyclose // Reply.Close ends the connection
	if err != nil {
		end()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return &Response{Response: resp, server: to, memory: c.memory, closeConn: end}, nil
}

// roundTrip writes the request and reads the header of its response. A body larger
// than maxInlineBody is written meanwhile, since a server may respond before it has
// read it.
func roundTrip(conn net.Conn, hold *memory.Hold, req *http.Request, body []byte) (*http.Response, error) {
	write := func() error { return writeRequest(bufio.NewWriterSize(conn, bufferSize), req, body) }
	var writeErr error
	if len(body) <= maxInlineBody {
		writeErr = write()
	} else {
		go func() { _ = write() }() // conn reports a failed write to the reader of the response
	}
	limited := &io.LimitedReader{R: conn, N: maxHeaderBytes}
	header := &headerReader{in: limited, hold: hold}
	r := bufio.NewReaderSize(header, bufferSize)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "no valid response header"), writeErr)
		}
		if resp.StatusCode < 100 {
			return nil, eris.Errorf("response has the invalid status %q", resp.Status)
		}
		if resp.StatusCode >= 200 {
			limited.N, header.lines.ended = 1<<62, true
			return resp, nil
		}
	}
}
