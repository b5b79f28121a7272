package retry

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// State is what is known of a call after its newest attempt.
type State struct {
	// Fault is how far the newest attempt came.
	Fault event.Fault
	// MaybeReceived is true when an attempt before the newest may have been received.
	MaybeReceived bool
	// Idempotent is true when the service allows repeats.
	Idempotent bool
	// Budget takes one retry and reports whether there was one. It is called
	// only when the rules allow another attempt; nil stands for none.
	Budget func() bool
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Wait is the wait before the next attempt.
	Wait time.Duration
	// After is the time to come back that a caller is told.
	After time.Duration
}

// Next is what follows an attempt.
type Next int

// The values of Next.
const (
	// Deliver passes the backend's answer to the caller.
	Deliver Next = iota
	// Send makes another attempt after State.Wait.
	Send
	// Refuse answers the caller with Verdict.Kind.
	Refuse
)

// Decision is the outcome of Decide.
type Decision struct {
	Next Next
	// MaybeReceived is State.Earlier for the following attempt.
	MaybeReceived bool
	Kind          citronrock.Kind
	Reason        citronrock.Reason
	// After is zero when a repeat can't help or would not be safe.
	After time.Duration
}

// Decide holds the rules for sending a call again and for what its caller is
// told:
//
//	fault                       received  idempotent        otherwise
//	none                        yes       deliver           deliver
//	unsent, refused             no        send, else below  send, else below
//	broken, stalled, crashed    maybe     send, else below  unknown
//	failed                      yes       failed            failed
//
// An attempt needs budget and a deadline that is later than the wait before
// it. Without these a call that no attempt can have delivered is not run; any
// other is unknown.
func Decide(s State) Decision {
	v := Decision{MaybeReceived: s.MaybeReceived || MaybeReceived(s.Fault)}
	switch {
	case s.Fault == event.FaultNone:
		return v
	case s.Fault == event.FaultFailed:
		return v.refuse(citronrock.Failed, citronrock.ReasonBackend, 0)
	case v.MaybeReceived && !s.Idempotent:
		return v.refuse(citronrock.Unknown, citronrock.ReasonBackend, 0)
	}
	reason := citronrock.ReasonBackend
	switch {
	case s.Left <= s.Wait:
		reason = citronrock.ReasonDeadline
	case s.Budget != nil && s.Budget():
		v.Next = Send
		return v
	}
	if v.MaybeReceived {
		return v.refuse(citronrock.Unknown, reason, s.After)
	}
	return v.refuse(citronrock.NotRun, reason, s.After)
}

// MaybeReceived reports whether an attempt with this fault may have reached the
// backend's program.
func MaybeReceived(f event.Fault) bool {
	return f != event.FaultUnsent && f != event.FaultRefused
}

func (v Decision) refuse(k citronrock.Kind, r citronrock.Reason, after time.Duration) Decision {
	v.Next, v.Kind, v.Reason, v.After = Refuse, k, r, after
	return v
}
