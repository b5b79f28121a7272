package citronrock

import (
	"errors"
	"time"
)

// Kind tells what is known about the run of a request that has failed.
type Kind int

// Kinds of failure, as in the caller protocol.
const (
	// NotRun means that the request was not run.
	NotRun Kind = 1
	// Unknown means that the request may have run.
	Unknown Kind = 2
	// Failed means that the request ran, or started to, and failed.
	Failed Kind = 3
)

// String returns the name that logs and metrics use.
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

// Reason classifies failures for callers, logs and metrics.
type Reason string

// Reasons of failures.
const (
	ReasonInvalid  Reason = "invalid"  // the request is malformed; correct it
	ReasonLimit    Reason = "limit"    // the tenant is over its limit
	ReasonOverload Reason = "overload" // targets can't be met now
	ReasonDeadline Reason = "deadline" // the deadline passed
	ReasonDrain    Reason = "drain"    // the daemon is stopping
	ReasonSuspect  Reason = "suspect"  // earlier runs crashed backend servers
	ReasonBackend  Reason = "backend"  // no backend server completed the request
	ReasonHome     Reason = "home"     // the daemon that may run the call is out of reach
	ReasonRepeat   Reason = "repeat"   // an earlier attempt may have run
	ReasonConfig   Reason = "config"   // no valid document yet
)

// Error is the answer to a request that was not completed.
type Error struct {
	Kind   Kind
	Reason Reason
	// Remedy says what failed and what the caller can do.
	Remedy string
	// RetryAfter is the time to wait before a repeat, zero when a repeat can't help.
	RetryAfter time.Duration
}

// Error returns the remedy, with the kind and the reason.
func (e *Error) Error() string {
	return e.Kind.String() + " (" + string(e.Reason) + "): " + e.Remedy
}

// ErrCompacted is returned by Store.Watch when the changes after a revision are no
// longer kept.
var ErrCompacted = errors.New("the store no longer has these changes; read everything again")
