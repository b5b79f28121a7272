// Package proxy holds the types of a client's request on its way through the router
// and helpers for its answer.
package proxy

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// Request is a client's request as received.
type Request struct {
	// ID is the client's ID of this attempt. Responses are checked against it.
	ID     string
	Method string
	Host   string
	// Path is as received, without the query. Target is the request target that is
	// forwarded.
	Path, Target string
	// Header holds what is forwarded to the backend server.
	Header http.Header
	Body   []byte

	Received time.Time
	// Timeout is how long the client waits from Received on, zero when it does not
	// say.
	Timeout time.Duration

	// Prompt and MaxOutput count tokens: of the prompt and of the longest output. They
	// are zero when the client does not state them.
	Prompt, MaxOutput int
	// Parts identify the parts of the prompt in order, without the last one. Other
	// requests may share them.
	Parts []string
	// Probe is set if the request is let through although a part of its prompt crashed
	// servers.
	Probe bool
	// LastPart identifies the last part of the prompt, which is specific to this
	// request. Empty when the client does not state it.
	LastPart string
	// LastEventID is the ID of the last event that the client has, empty for none.
	LastEventID string
	// Resumes is the ID of the client's attempt that brought the first event of the
	// stream which the client takes up, empty if it does not say.
	Resumes string
	// APIKeys are the values of the header with the client's API key. Valid requests have
	// one.
	APIKeys []string
	// Checked is set if the configuration has tenants. Tenant is the one that holds the
	// API key, nil for an anonymous request. Backend servers get no key and this tenant then,
	// whatever Header says.
	Checked bool
	Tenant  *config.Tenant
	// Priority is what engines are told of the request's rank if it has a tenant.
	Priority int
}

// MaxPriority is the lowest priority that engines know, 0 is the highest.
const MaxPriority = 9

// TenantName returns the name of the request's tenant, empty for none.
func (r *Request) TenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// Rank returns the priority of the request on a route, 0 for the highest.
func (r *Request) Rank(route *config.Route) int {
	if r.Tenant != nil && r.Tenant.HasRank {
		return r.Tenant.Rank
	}
	return route.Rank
}

// Options are what the router adds to a request when it is sent.
type Options struct {
	// Timeout is the time after which the backend server has to give up.
	Timeout time.Duration
	// Cache is the KV cache with the prefilled prompt, nil for none.
	Cache *Cache
	// LastEventID is the ID of the last event that the client has.
	LastEventID string
}

// Cache is a KV cache with a prefilled prompt, stored at the engine that made it.
type Cache struct {
	Source netip.AddrPort
	Handle string
	// Engine is the entry of the engine at Source.
	Engine pool.Server
	// Tokens is the length of the prompt.
	Tokens  int
	Created time.Time
}

// Response is the response of a backend server. Close must be called.
type Response struct {
	Status int
	// Header holds what is passed to the client.
	Header http.Header
	Body   io.Reader
	Close  func()
}

// SendError is the error type of requests to backend servers. Fault classifies it
// and tells whether the request may have run.
type SendError struct {
	Fault event.Fault
	// Misdirected is set when another server answered at the address.
	Misdirected bool
	// Full is set when the server had no free capacity.
	Full bool
	// Limited is set when nothing was sent because the server's limit on the requests of
	// all daemons left no room. Fault is event.FaultUnsent then.
	Limited bool
	Err     error
}

// Error returns the cause.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Err }

// CopyHeader copies the header of a response to the answer for the client. If it has
// no content type, net/http is kept from adding one.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if len(from["Content-Type"]) == 0 {
		to["Content-Type"] = nil
	}
}

// SetLength sets the Content-Length of a body in bytes.
func SetLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }

// writeMargin is the time after a request's deadline at which writing to a client
// that does not read is given up. An answer that is ready at the deadline is still
// delivered.
const writeMargin = 2 * time.Second

// LimitWrites bounds the time that a client may take to read the answer to a request
// with a deadline. Otherwise a client that never reads would hold the request and
// its resources forever.
func LimitWrites(w http.ResponseWriter, deadline time.Time) {
	// The error is ignored: writers that aren't connections have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeMargin))
}

// MeansNotRun returns whether clients take a status as a guarantee that the request
// has not run and will not run.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
