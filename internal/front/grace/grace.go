// Package grace bounds the requests of a stopping daemon: one is taken only while there
// is time for its answer, and each that is still open shortly before the exit is
// answered then.
package grace

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// Reason is the reason of requests that were not served because of a stop.
	Reason = "stop"
	// RetryAfter is the Retry-After delay of clients that were refused because of a
	// stop. They go to another daemon.
	RetryAfter = 100 * time.Millisecond
	// answerTime is kept before the exit for the answers to requests that are still
	// open. It is at most answerShare of the grace period.
	answerTime  = 300 * time.Millisecond
	answerShare = 0.2
	// longestMargin is the multiple of the longest recent answer for which there has to
	// be time. While no answer is known, it is unknownShare of the grace period.
	longestMargin = 1.25
	unknownShare  = 0.5
)

// ErrEnded is the cause of the end of a context at the time at which open requests are
// answered.
var ErrEnded = errors.New("the daemon is about to exit")

// Period is the grace period of a daemon. It is safe for concurrent use.
type Period struct {
	times   atomic.Pointer[times]
	answers context.Context
	end     context.CancelFunc
}

type times struct {
	begun time.Time
	// notice is when clients have been told to go elsewhere, answers when requests
	// without an answer are answered, and exit when connections are closed.
	notice, answers, exit time.Time
}

// New returns a period that has not begun.
func New() *Period {
	p := &Period{}
	p.answers, p.end = context.WithCancel(context.Background())
	return p
}

// Begin begins the period, which ends at exit. Clients need the time notice to go
// elsewhere.
func (p *Period) Begin(notice time.Duration, exit time.Time) {
	now := time.Now()
	keep := min(answerTime, time.Duration(answerShare*float64(exit.Sub(now))))
	t := &times{begun: now, notice: now.Add(notice), answers: exit.Add(-keep), exit: exit}
	if p.times.CompareAndSwap(nil, t) {
		time.AfterFunc(time.Until(t.answers), p.end)
	}
}

// Exit returns when connections are closed, the zero time before the period begins.
func (p *Period) Exit() time.Time {
	if t := p.times.Load(); t != nil {
		return t.exit
	}
	return time.Time{}
}

// Bind returns a context that also ends, with the cause ErrEnded, when requests without
// an answer are answered. keep takes that end back for a request whose answer begins,
// and returns false if it is too late. release has to be called.
func (p *Period) Bind(ctx context.Context) (bound context.Context, keep func() bool, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	keep = p.AfterAnswers(func() { cancel(ErrEnded) })
	return bound, keep, func() {
		keep()
		cancel(nil)
	}
}

// AfterAnswers calls f when requests without an answer are answered. stop prevents that
// and returns false if it is too late.
func (p *Period) AfterAnswers(f func()) (stop func() bool) { return context.AfterFunc(p.answers, f) }

// Ended returns whether a context of Bind ended because of the stop.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }

// Limit returns the deadline for servers of a request with a deadline: they need not
// work on after the time at which it is answered. The header of a begun answer has been
// sent.
func (p *Period) Limit(deadline time.Time, begun bool) time.Time {
	t := p.times.Load()
	switch {
	case t == nil:
		return deadline
	case begun && t.exit.Before(deadline):
		return t.exit
	case !begun && t.answers.Before(deadline):
		return t.answers
	}
	return deadline
}

// Admits returns whether a plain request may be passed on to a server: if its answer
// comes before the exit even at its deadline. A time limit longer than the whole period
// says little; then the longest recent answer of the service has to fit, zero if none is
// known.
func (p *Period) Admits(received, deadline time.Time, longest time.Duration) bool {
	t := p.times.Load()
	return t == nil || !t.answers.Before(deadline) ||
		deadline.Sub(received) > t.answers.Sub(t.begun) && t.fits(received, longest)
}

// AdmitsStream is Admits for streams, which are seldom as long as their time limit: the
// longest recent answer has to fit for any time limit. One that came after the notice
// can't be broken off, so that it is passed on only if its deadline comes before the
// exit.
func (p *Period) AdmitsStream(received, deadline time.Time, longest time.Duration) bool {
	t := p.times.Load()
	return t == nil || !t.answers.Before(deadline) || t.fits(received, longest)
}

// fits returns whether a request came in time for an answer as long as the longest one.
func (t *times) fits(received time.Time, longest time.Duration) bool {
	need := time.Duration(longestMargin * float64(longest))
	if longest == 0 {
		need = time.Duration(unknownShare * float64(t.answers.Sub(t.begun)))
	}
	return !received.After(t.notice) && time.Until(t.answers) >= need
}
