package router

import (
	"errors"
	"net/http"
	"os"
	"time"

	"citronrock.example/citronrock/internal/conf/site"
	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/guard"
	"citronrock.example/citronrock/internal/route/config"
	"golang.org/x/sys/unix"
)

// reasonBody is the reason of requests whose body is not as it has to be.
const reasonBody = "body"

const (
	// memoryShare is the share of the process's memory for what clients make it hold and for
	// responses. The garbage collector lets garbage grow to the same size again.
	memoryShare = 0.35
	// reservedFiles is the number of descriptors for the listeners, the store, datagrams and
	// fetches from and to other daemons.
	reservedFiles = 64
	// filesPerClient is the number of descriptors for a client: its connection, and that to
	// a server while its request runs.
	filesPerClient = 2
)

// openFiles returns the process's limit of open descriptors, 0 if it is not known.
func openFiles() uint64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return l.Cur
}

// maxConns returns how many connections clients may have open in a process that may have
// a number of descriptors, 0 for any.
func maxConns(files uint64) int {
	if files == 0 {
		return 0
	}
	files = min(files, 1<<30) // also for a process without a limit
	return int(max(files, 2*reservedFiles)-reservedFiles) / filesPerClient
}

// NewMemory returns the budget for requests and responses of a router with the given
// settings.
func NewMemory(s *site.Settings) *memory.Budget {
	if s.Memory > 0 {
		return memory.New(int64(memoryShare * float64(s.Memory)))
	}
	return memory.New(memory.DefaultBytes)
}

// refusal says why a body was not read.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// hold returns an empty hold for the body of a request.
func (r *Router) hold(httpReq *http.Request) *memory.Hold {
	if c := guard.ClientOf(httpReq.Context()); c != nil {
		return c.Body()
	}
	return r.memory.Request()
}

// readBody reads the body of a request within the published limits, nil for none. The
// reading ends when open requests are answered in a stop.
func (r *Router) readBody(w http.ResponseWriter, httpReq *http.Request, l config.Limits) (*memory.Body, *refusal) {
	if httpReq.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	wait := defaultTimeout
	if l.HeaderWait > 0 {
		wait = l.HeaderWait
	}
	_ = control.SetReadDeadline(time.Now().Add(wait)) // connections of net/http have one
	limit := int64(defaultBodyLimit)
	if l.Body > 0 {
		limit = int64(l.Body)
	}
	inTime := r.grace.AfterAnswers(func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := r.hold(httpReq).Read(httpReq.Body, limit)
	if !inTime() {
		body.Release()
		w.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusServiceUnavailable, grace.Reason, grace.RetryAfter}
	}
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	case errors.Is(err, memory.ErrExhausted), errors.Is(err, memory.ErrEvicted):
		return nil, &refusal{http.StatusServiceUnavailable, "memory", memoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{status: http.StatusRequestTimeout, reason: reasonBody}
	}
	return nil, &refusal{status: http.StatusBadRequest, reason: reasonBody}
}
