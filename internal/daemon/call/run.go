package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/retry"
)

// attempts is the state of the attempts of one call at backend servers.
type attempts struct {
	job           *job
	count         uint32
	maybeReceived bool
	tried         map[*server]bool
	began         time.Time // of the latest attempt
}

// run makes attempts at backend servers until the retry policy ends the call.
func (h *Handler) run(ctx context.Context, j *job) answer {
	a := &attempts{job: j, tried: map[*server]bool{}}
	for {
		b, after := h.acquireServer(a)
		if b == nil {
			return answer{refusal: a.noServer(after)}
		}
		reply := b.plain.Send(ctx, citronrock.PlainRequest{
			Request: j.request, Attempt: a.count, Path: j.path, Body: j.body,
			// An idle connection may have stalled, which would turn "not run" into
			// "unknown" or use up the time left for a retry.
			NewConn: !j.conf.Idempotent || a.count > 1,
		})
		v, wait := h.decide(a, b, reply, errors.Is(ctx.Err(), context.Canceled))
		switch v.Next {
		case retry.Deliver:
			return answer{status: reply.Status, body: reply.Body}
		case retry.Refuse:
			return answer{refusal: a.refusal(v)}
		}
		if !sleep(ctx, wait) {
			return answer{refusal: a.expired()}
		}
	}
}

// acquireServer reserves a server for the next attempt. Without a usable server, or
// when the control loop has ended, it returns nil and the Retry-After delay.
func (h *Handler) acquireServer(a *attempts) (*server, time.Duration) {
	var b *server
	after := defaultRetryAfter
	h.control.Do(func(now time.Time) {
		name := a.job.conf.Name
		b, after = h.state.pick(now, name, a.tried)
		if b == nil {
			return
		}
		a.began = now
		a.count++
		a.tried[b] = true
		if a.count == 1 {
			h.state.services[name].budget.Sent()
		}
	})
	return b, after
}

// decide releases the server and applies the retry policy. When the control loop
// has ended there is no further attempt.
func (h *Handler) decide(a *attempts, b *server, reply citronrock.PlainReply, cancelled bool) (retry.Decision, time.Duration) {
	st := retry.State{
		Fault: reply.Fault, MaybeReceived: a.maybeReceived, Idempotent: a.job.conf.Idempotent,
		RetryAfter: defaultRetryAfter,
	}
	var v retry.Decision
	ok := h.control.Do(func(now time.Time) {
		b.limit.Release(now, now.Sub(a.began), limitOutcome(reply, cancelled))
		if svc := h.state.services[a.job.conf.Name]; svc != nil {
			st.Budget = svc.budget.Take
		}
		st.Left = a.job.start.Add(a.job.timeout).Sub(now)
		st.Wait = retry.Backoff(int(a.count), h.state.rnd)
		v = retry.Decide(st)
	})
	if !ok {
		v = retry.Decide(st)
	}
	a.maybeReceived = v.MaybeReceived
	return v, st.Wait
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noServer is the refusal of a call when no server accepts another one.
func (a *attempts) noServer(after time.Duration) *citronrock.Error {
	if a.maybeReceived {
		return a.refusal(retry.Decision{Kind: citronrock.Unknown, Reason: citronrock.ReasonBackend, RetryAfter: after})
	}
	remedy := fmt.Sprintf("no server of service %s has room; send the call again after the stated time", a.job.conf.Name)
	return refuse(citronrock.NotRun, citronrock.ReasonOverload, remedy, after)
}

// expired is the refusal of a call whose client disconnected or whose deadline
// passed between two attempts.
func (a *attempts) expired() *citronrock.Error {
	v := retry.Decision{Kind: citronrock.NotRun, Reason: citronrock.ReasonDeadline, RetryAfter: defaultRetryAfter}
	if a.maybeReceived {
		v.Kind = citronrock.Unknown
	}
	return a.refusal(v)
}

func (a *attempts) refusal(v retry.Decision) *citronrock.Error {
	name := a.job.conf.Name
	var remedy string
	switch {
	case v.Kind == citronrock.NotRun:
		remedy = fmt.Sprintf("no server of service %s accepted the call in %d attempts; send it again after the stated time", name, a.count)
	case v.Kind == citronrock.Failed:
		remedy = fmt.Sprintf("service %s ran the call, but its answer was too large to pass on", name)
	case a.job.conf.Idempotent:
		remedy = fmt.Sprintf("service %s gave no answer in %d attempts; the call may be sent again", name, a.count)
	default:
		remedy = fmt.Sprintf("service %s may have run request %s; ask the service about it before another call", name, a.job.request)
	}
	return refuse(v.Kind, v.Reason, remedy, v.RetryAfter)
}
