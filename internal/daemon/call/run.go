package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/retry"
)

// attempts is what is known of the attempts of one call.
type attempts struct {
	job     *job
	count   uint32
	earlier bool
	tried   map[*server]bool
	began   time.Time // of the newest attempt
}

// run makes attempts at this daemon until the rules end the call.
func (c *Handler) run(ctx context.Context, j *job) answer {
	a := &attempts{job: j, tried: map[*server]bool{}}
	for {
		b, after := c.acquire(a)
		if b == nil {
			return answer{refusal: a.noServer(after)}
		}
		reply := b.plain.Send(ctx, citronrock.PlainRequest{
			Request: j.request, Attempt: a.count, Path: j.path, Body: j.body,
			// An idle connection may have stalled, which would turn not run into
			// unknown or cost a second attempt its time.
			Fresh: !j.conf.Idempotent || a.count > 1,
		})
		v, wait := c.decide(a, b, reply, errors.Is(ctx.Err(), context.Canceled))
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

// acquire takes a server for the next attempt, or returns the time to come back.
// There is none when the control loop has ended.
func (c *Handler) acquire(a *attempts) (*server, time.Duration) {
	var b *server
	after := comeBackSoon
	c.control.Do(func(now time.Time) {
		name := a.job.conf.Name
		b, after = c.state.pick(now, name, a.tried)
		if b == nil {
			return
		}
		a.began = now
		a.count++
		a.tried[b] = true
		if a.count == 1 {
			c.state.services[name].budget.Sent()
		}
	})
	return b, after
}

// decide releases the server and applies the rules. When the control loop has
// ended there is no further attempt.
func (c *Handler) decide(a *attempts, b *server, reply citronrock.PlainReply, cancelled bool) (retry.Decision, time.Duration) {
	st := retry.State{
		Fault: reply.Fault, MaybeReceived: a.earlier, Idempotent: a.job.conf.Idempotent,
		After: comeBackSoon,
	}
	var v retry.Decision
	ok := c.control.Do(func(now time.Time) {
		b.limit.Release(now, now.Sub(a.began), outcome(reply, cancelled))
		if svc := c.state.services[a.job.conf.Name]; svc != nil {
			st.Budget = svc.budget.Take
		}
		st.Left = a.job.start.Add(a.job.left).Sub(now)
		st.Wait = retry.Backoff(int(a.count), c.state.rnd)
		v = retry.Decide(st)
	})
	if !ok {
		v = retry.Decide(st)
	}
	a.earlier = v.MaybeReceived
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

// noServer answers a call for which no server has room.
func (a *attempts) noServer(after time.Duration) *citronrock.Error {
	if a.earlier {
		return a.refusal(retry.Decision{Kind: citronrock.Unknown, Reason: citronrock.ReasonBackend, After: after})
	}
	remedy := fmt.Sprintf("no server of service %s has room; send the call again after the stated time", a.job.conf.Name)
	return refuse(citronrock.NotRun, citronrock.ReasonOverload, remedy, after)
}

// expired answers a call whose caller left or whose deadline passed between two
// attempts.
func (a *attempts) expired() *citronrock.Error {
	v := retry.Decision{Kind: citronrock.NotRun, Reason: citronrock.ReasonDeadline, After: comeBackSoon}
	if a.earlier {
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
	return refuse(v.Kind, v.Reason, remedy, v.After)
}
