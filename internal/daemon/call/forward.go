package call

import (
	"context"
	"strings"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/wire/peer"
)

// forward is a call that waits for another daemon.
type forward struct {
	to     once.Issuer
	cancel context.CancelFunc
}

// Limits of forwarding. A try that brings no answer within the patience is
// repeated on another stream, and the patience doubles, since the connection
// may have stalled or the run may take long.
const (
	patienceLeast = 500 * time.Millisecond
	patienceShare = 4 // times the service's target
	unsentLimit   = 3 // tries that did not reach the daemon
)

// delivery is what is known of the messages of one sending.
type delivery struct {
	// sent counts the messages that may have been received.
	sent, unsent int
}

// forward sends a call to the daemon that holds the right to run it and repeats
// the message until it gets an answer. Only the first message that may have been
// received can start a run with a key.
func (c *Handler) forward(ctx context.Context, j *job, to once.Issuer) answer {
	patience := max(patienceLeast, patienceShare*time.Duration(j.conf.LatencyTarget))
	var d delivery
	for {
		reply, reached, up := c.try(ctx, j, to, d, patience)
		if reply != nil {
			return j.accept(reply, d)
		}
		if reached {
			d.sent++
			patience *= 2
		} else {
			d.unsent++
		}
		wait := c.backoff(d.sent + d.unsent)
		switch {
		case !up || d.unsent == unsentLimit:
			return answer{refusal: j.undelivered(d, to)}
		case !sleep(ctx, wait):
			return answer{refusal: j.timedOut(d)}
		}
	}
}

func (c *Handler) backoff(attempt int) time.Duration {
	wait := comeBackSoon
	c.control.Do(func(time.Time) { wait = retry.Backoff(attempt, c.state.rnd) })
	return wait
}

// try sends one message. It ends early when the daemon goes away.
func (c *Handler) try(ctx context.Context, j *job, to once.Issuer, d delivery, patience time.Duration) (r *peer.ExecuteReply, reached, up bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	f := &forward{to, cancel}
	req := j.message(j.first && d.sent == 0)
	ok := c.control.Do(func(now time.Time) {
		up = c.state.answers(to)
		left := j.start.Add(j.left).Sub(now)
		req.Left = uint32(max(left.Milliseconds(), 0))
		req.Revision = c.state.table.Revision()
		c.state.forwards[f] = true
	})
	if !ok || !up || req.Left == 0 {
		c.control.Do(func(time.Time) { delete(c.state.forwards, f) })
		return nil, false, false
	}
	r, reached, err := c.peers.Execute(ctx, to.Instance, req)
	c.control.Do(func(time.Time) {
		delete(c.state.forwards, f)
		up = c.state.answers(to)
	})
	if err != nil {
		return nil, reached, up
	}
	return r, true, up
}

func (j *job) message(first bool) *peer.ExecuteRequest {
	attempt := uint32(2)
	if first {
		attempt = 1
	}
	return &peer.ExecuteRequest{
		Tenant: j.tenant, Service: j.conf.Name, Key: j.key, Token: j.token,
		Attempt: attempt, Path: j.path, Body: j.body, Request: j.request,
	}
}

// accept takes the answer of the other daemon. When earlier messages may still
// arrive there, not run would be premature.
func (j *job) accept(r *peer.ExecuteReply, d delivery) answer {
	if r.GetKind() == 0 {
		return answer{status: int(r.GetStatus()), body: r.GetBody(), replay: r.GetReplay()}
	}
	reason, remedy, _ := strings.Cut(r.GetReason(), ": ")
	refusal := refuse(citronrock.Kind(r.GetKind()), citronrock.Reason(reason), remedy, time.Duration(r.GetAfter())*time.Millisecond)
	if refusal.Kind == citronrock.NotRun && d.sent > 0 {
		refusal.Kind = citronrock.Unknown
		refusal.Remedy = "an earlier message may still arrive; repeat with the same key or token"
	}
	return answer{refusal: refusal}
}

// undelivered answers a call whose daemon is out of reach or gone.
func (j *job) undelivered(d delivery, to once.Issuer) *citronrock.Error {
	if d.sent == 0 {
		return j.away(to, false)
	}
	remedy := "daemon " + to.Instance + " may have run the call before it went out of reach; ask the service about it, or repeat with the same key or token"
	return refuse(citronrock.Unknown, citronrock.ReasonHome, remedy, homeAfter)
}

func (j *job) timedOut(d delivery) *citronrock.Error {
	remedy := "the daemon that holds the right to run the call gave no answer before the deadline; send it again"
	if d.sent == 0 {
		return j.soften(refuse(citronrock.NotRun, citronrock.ReasonDeadline, remedy, comeBackSoon))
	}
	return refuse(citronrock.Unknown, citronrock.ReasonDeadline, remedy+" with the same key or token", comeBackSoon)
}

// Execute runs a call for the daemon from, or returns its kept answer. Messages
// of one sending may be repeated.
func (c *Handler) Execute(ctx context.Context, _ string, r *peer.ExecuteRequest) *peer.ExecuteReply {
	j := &job{
		request: r.GetRequest(), tenant: r.GetTenant(), path: r.GetPath(), body: r.GetBody(),
		key: r.GetKey(), token: r.GetToken(), first: r.GetAttempt() == 1,
		left: time.Duration(r.GetLeft()) * time.Millisecond,
	}
	refusal := j.check()
	if refusal == nil && j.key == "" && j.token == "" {
		refusal = invalid("the call has neither key nor token")
	}
	if refusal == nil && !c.control.Do(func(now time.Time) { refusal = c.state.accept(now, j, r) }) {
		refusal = stopped()
	}
	if refusal != nil {
		return encode(answer{refusal: j.soften(refusal)})
	}
	ctx, cancel := context.WithTimeout(ctx, j.left)
	defer cancel()
	return encode(c.serve(ctx, j))
}

// accept runs on the control goroutine.
func (s *state) accept(now time.Time, j *job, r *peer.ExecuteRequest) *citronrock.Error {
	s.table.ObserveRevision(r.GetRevision())
	svc := s.services[r.GetService()]
	if svc == nil {
		return unconfigured()
	}
	j.conf, j.start = svc.conf, now
	return nil
}

func encode(a answer) *peer.ExecuteReply {
	if a.refusal == nil {
		return &peer.ExecuteReply{Status: uint32(a.status), Body: a.body, Replay: a.replay}
	}
	return &peer.ExecuteReply{
		Kind:   uint32(a.refusal.Kind),
		Reason: string(a.refusal.Reason) + ": " + a.refusal.Remedy,
		After:  uint32((a.refusal.RetryAfter + time.Millisecond - 1).Milliseconds()), // zero means never
	}
}
