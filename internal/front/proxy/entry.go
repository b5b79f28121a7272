// Package proxy holds the types of a client's request on its way through the
// router.
package proxy

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/core/event"
)

// Request is a client's request as the edge received it.
type Request struct {
	// ID is the client's name for this attempt. Answers are checked against it.
	ID     string
	Method string
	Host   string
	// Path is as received, without the query. Target is what is forwarded.
	Path, Target string
	// Header holds what is forwarded to the backend server.
	Header http.Header
	Body   []byte

	Received time.Time
	// Timeout is how long the client waits from Received on, zero when it does not
	// say.
	Timeout time.Duration

	// Prompt and Output count tokens: of the prompt and of the largest output.
	// Zero when the client does not say.
	Prompt, MaxOutput int
	// LastPart is the part of the prompt that belongs to this request alone.
	LastPart string
	// LastEventID is the ID of the last event that the client has, empty for none.
	LastEventID string
}

// Options are what the router adds to a call.
type Options struct {
	// Timeout is the time after which the backend server has to give up.
	Timeout time.Duration
	// Cache is the prefilled KV cache to go on from, nil for none.
	Cache *Cache
	// LastEventID is the ID of the last event that the client has.
	LastEventID string
}

// Cache is a prefilled KV cache that waits at the engine that made it.
type Cache struct {
	Source netip.AddrPort
	Handle string
	// Tokens is the length of the prompt.
	Tokens  int
	Created time.Time
}

// Response is the answer of a backend server.
type Response struct {
	Status int
	// Header holds what is passed to the client.
	Header http.Header
	Body   io.Reader
	Close  func()
}

// SendError is a request without an answer for the client. It is the error type of
// senders.
type SendError struct {
	Fault event.Fault
	// Misdirected tells that another server answered at the address.
	Misdirected bool
	// Full tells that the server had no room.
	Full bool
	Err  error
}

// Error returns the cause.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Err }

// CopyHeader passes the header of an answer to a client. Without a content type
// in the answer none is added.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if len(from["Content-Type"]) == 0 {
		to["Content-Type"] = nil
	}
}

// SetLength sets the length of a body in bytes.
func SetLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }

// writeSpare is the time beyond a request's deadline after which an answer is
// given up whose client does not read it. An answer that is ready at the deadline
// is still delivered.
const writeSpare = 2 * time.Second

// LimitWrites bounds the time in which a client has to read the answer to a
// request with a deadline. Without it a client that never reads would keep the
// request, and what it holds, for good.
func LimitWrites(w http.ResponseWriter, deadline time.Time) {
	// Writers other than connections have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeSpare))
}

// MeansNotRun tells whether clients take a status as the word that a request has not
// run and never will.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
