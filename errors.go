package citronrock

import (
	"errors"
	"time"
)

// Kind tells whether a failed request has run.
type Kind int

// Kinds of failure, as in the protocol of callers.
const (
	// NotRun means that the request did not run.
	NotRun Kind = 1
	// Unknown means that the request may have run.
	Unknown Kind = 2
	// Failed means that the request ran, or started to, and failed.
	Failed Kind = 3
)

// String returns the name in logs and metrics, "none" for an unknown kind.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "notrun"
	case Unknown:
		return "unknown"
	case Failed:
		return "failed"
	}
	return "none"
}

// Reason classifies failures for clients, logs and metrics.
type Reason string

// Reasons of failures.
const (
	ReasonInvalid  Reason = "invalid"  // the request is malformed; correct it
	ReasonLimit    Reason = "limit"    // the tenant, or the backend servers, are at their limit
	ReasonOverload Reason = "overload" // load shedding: latency targets can't be met now
	ReasonDeadline Reason = "deadline" // the deadline passed
	ReasonDrain    Reason = "drain"    // the daemon is draining
	ReasonSuspect  Reason = "suspect"  // the fingerprint has strikes: earlier runs crashed backend servers
	ReasonBackend  Reason = "backend"  // no backend server completed the request
	ReasonHome     Reason = "home"     // the daemon responsible for the idempotency key is unreachable
	ReasonRepeat   Reason = "repeat"   // an earlier attempt may have run
	ReasonConfig   Reason = "config"   // no valid document is in force yet
)

// Error is the answer to a request that was not completed.
type Error struct {
	Kind   Kind
	Reason Reason
	// Remedy says what failed and what the caller can do.
	Remedy string
	// RetryAfter is the time to wait before a retry, zero when a retry can't help.
	RetryAfter time.Duration
}

// Error returns the kind, the reason and the remedy.
func (e *Error) Error() string {
	return e.Kind.String() + " (" + string(e.Reason) + "): " + e.Remedy
}

// ErrCompacted is returned by Store.Watch when the store no longer keeps the
// changes after a revision, or has more of them than a response may have.
var ErrCompacted = errors.New("the store no longer has these changes; read everything again")
