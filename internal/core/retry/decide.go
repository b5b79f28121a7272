package retry

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// State is what is known of a call after its last attempt.
type State struct {
	// Fault is how far the last attempt came.
	Fault event.Fault
	// MaybeReceived is true when an attempt before the last one may have been
	// received.
	MaybeReceived bool
	// Idempotent is true when the service allows retries of calls that may have run.
	Idempotent bool
	// Budget consumes one retry, or returns false when none is left. It is called
	// only when the rules allow another attempt. Nil allows no retries.
	Budget func() bool
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Wait is the wait before the next attempt.
	Wait time.Duration
	// RetryAfter is the Retry-After delay for the caller.
	RetryAfter time.Duration
}

// Next says what follows an attempt.
type Next int

// The values of Next.
const (
	// Deliver passes the response of the backend server to the caller.
	Deliver Next = iota
	// Send makes another attempt after State.Wait.
	Send
	// Refuse answers the caller with Decision.Kind.
	Refuse
)

// Decision is the outcome of Decide.
type Decision struct {
	Next Next
	// MaybeReceived is State.MaybeReceived for the next attempt.
	MaybeReceived bool
	Kind          citronrock.Kind
	Reason        citronrock.Reason
	// RetryAfter is the Retry-After delay, zero when a retry can't help or is not safe.
	RetryAfter time.Duration
}

// Decide applies the rules for retrying a call and for the answer to its caller:
//
//	fault                       received  idempotent        otherwise
//	none                        yes       deliver           deliver
//	unsent, refused             no        send, else below  send, else below
//	broken, stalled, crashed    maybe     send, else below  unknown
//	failed                      yes       failed            failed
//
// A retry needs retry budget and a deadline later than the wait before it. Without
// these ("below"), the answer is not run when no attempt can have been received,
// else unknown.
func Decide(s State) Decision {
	d := Decision{MaybeReceived: s.MaybeReceived || MaybeReceived(s.Fault)}
	switch {
	case s.Fault == event.FaultNone:
		return d
	case s.Fault == event.FaultFailed:
		return d.refuse(citronrock.Failed, citronrock.ReasonBackend, 0)
	case d.MaybeReceived && !s.Idempotent:
		return d.refuse(citronrock.Unknown, citronrock.ReasonBackend, 0)
	}
	reason := citronrock.ReasonBackend
	switch {
	case s.Left <= s.Wait:
		reason = citronrock.ReasonDeadline
	case s.Budget != nil && s.Budget():
		d.Next = Send
		return d
	}
	if d.MaybeReceived {
		return d.refuse(citronrock.Unknown, reason, s.RetryAfter)
	}
	return d.refuse(citronrock.NotRun, reason, s.RetryAfter)
}

// MaybeReceived reports whether an attempt with this fault may have reached the
// program of the backend server.
func MaybeReceived(f event.Fault) bool {
	return f != event.FaultUnsent && f != event.FaultRefused
}

func (d Decision) refuse(k citronrock.Kind, r citronrock.Reason, after time.Duration) Decision {
	d.Next, d.Kind, d.Reason, d.RetryAfter = Refuse, k, r, after
	return d
}
