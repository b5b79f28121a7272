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

// forwardedCall is a call that waits for the reply of another daemon.
type forwardedCall struct {
	to     once.Issuer
	cancel context.CancelFunc
}

// Limits of forwarding. A message that gets no reply within the reply timeout is
// sent again on another stream with twice the timeout, since the connection may
// have stalled or the run may take long.
const (
	minReplyTimeout    = 500 * time.Millisecond
	replyTimeoutFactor = 4 // times the service's latency target
	maxUnsent          = 3 // messages that did not reach the daemon
)

// delivery counts the messages of one forwarded call.
type delivery struct {
	// sent counts the messages that may have been received, unsent the others.
	sent, unsent int
}

// forward sends a call to the daemon that must execute it, and retries until it
// gets a reply. Only the first message that may have been received can start a run
// with a key.
func (h *Handler) forward(ctx context.Context, j *job, to once.Issuer) answer {
	replyTimeout := max(minReplyTimeout, replyTimeoutFactor*time.Duration(j.conf.LatencyTarget))
	var d delivery
	for {
		reply, reached, up := h.forwardOnce(ctx, j, to, d, replyTimeout)
		if reply != nil {
			return j.decodeReply(reply, d)
		}
		if reached {
			d.sent++
			replyTimeout *= 2
		} else {
			d.unsent++
		}
		wait := h.backoff(d.sent + d.unsent)
		switch {
		case !up || d.unsent == maxUnsent:
			return answer{refusal: j.undelivered(d, to)}
		case !sleep(ctx, wait):
			return answer{refusal: j.timedOut(d)}
		}
	}
}

func (h *Handler) backoff(attempt int) time.Duration {
	wait := defaultRetryAfter
	h.control.Do(func(time.Time) { wait = retry.Backoff(attempt, h.state.rnd) })
	return wait
}

// forwardOnce sends one message and waits for the reply. It returns early when the
// daemon is no longer alive.
func (h *Handler) forwardOnce(ctx context.Context, j *job, to once.Issuer, d delivery, replyTimeout time.Duration) (r *peer.ExecuteReply, reached, up bool) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	f := &forwardedCall{to, cancel}
	req := j.executeRequest(j.first && d.sent == 0)
	ok := h.control.Do(func(now time.Time) {
		up = h.state.reachable(to)
		left := j.start.Add(j.timeout).Sub(now)
		req.Left = uint32(max(left.Milliseconds(), 0))
		req.Revision = h.state.table.Revision()
		h.state.forwards[f] = true
	})
	if !ok || !up || req.Left == 0 {
		h.control.Do(func(time.Time) { delete(h.state.forwards, f) })
		return nil, false, false
	}
	r, reached, err := h.peers.Execute(ctx, to.Instance, req)
	h.control.Do(func(time.Time) {
		delete(h.state.forwards, f)
		up = h.state.reachable(to)
	})
	if err != nil {
		return nil, reached, up
	}
	return r, true, up
}

func (j *job) executeRequest(first bool) *peer.ExecuteRequest {
	attempt := uint32(2)
	if first {
		attempt = 1
	}
	return &peer.ExecuteRequest{
		Tenant: j.tenant, Service: j.conf.Name, Key: j.key, Token: j.token,
		Attempt: attempt, Path: j.path, Body: j.body, Request: j.request,
	}
}

// decodeReply converts the reply of the other daemon. While earlier messages may
// still arrive there, "not run" is turned into "unknown".
func (j *job) decodeReply(r *peer.ExecuteReply, d delivery) answer {
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

// undelivered is the refusal of a call whose executing daemon is unreachable.
func (j *job) undelivered(d delivery, to once.Issuer) *citronrock.Error {
	if d.sent == 0 {
		return j.homeUnreachable(to, false)
	}
	remedy := "daemon " + to.Instance + " may have run the call before it went out of reach; ask the service about it, or repeat with the same key or token"
	return refuse(citronrock.Unknown, citronrock.ReasonHome, remedy, homeRetryAfter)
}

func (j *job) timedOut(d delivery) *citronrock.Error {
	remedy := "the daemon that holds the right to run the call gave no answer before the deadline; send it again"
	if d.sent == 0 {
		return j.unknownIfRetried(refuse(citronrock.NotRun, citronrock.ReasonDeadline, remedy, defaultRetryAfter))
	}
	return refuse(citronrock.Unknown, citronrock.ReasonDeadline, remedy+" with the same key or token", defaultRetryAfter)
}

// Execute runs a call for another daemon, or returns its stored answer. The daemon
// may send the message for one client attempt more than once.
func (h *Handler) Execute(ctx context.Context, _ string, r *peer.ExecuteRequest) *peer.ExecuteReply {
	j := &job{
		request: r.GetRequest(), tenant: r.GetTenant(), path: r.GetPath(), body: r.GetBody(),
		key: r.GetKey(), token: r.GetToken(), first: r.GetAttempt() == 1,
		timeout: time.Duration(r.GetLeft()) * time.Millisecond,
	}
	refusal := j.check()
	if refusal == nil && j.key == "" && j.token == "" {
		refusal = invalid("the call has neither key nor token")
	}
	if refusal == nil && !h.control.Do(func(now time.Time) { refusal = h.state.resolve(now, j, r) }) {
		refusal = stopped()
	}
	if refusal != nil {
		return encodeReply(answer{refusal: j.unknownIfRetried(refusal)})
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	return encodeReply(h.executeLocally(ctx, j))
}

// resolve sets the service configuration and the start time of a forwarded call.
// It runs on the control goroutine.
func (s *state) resolve(now time.Time, j *job, r *peer.ExecuteRequest) *citronrock.Error {
	s.table.ObserveRevision(r.GetRevision())
	svc := s.services[r.GetService()]
	if svc == nil {
		return unconfigured()
	}
	j.conf, j.start = svc.conf, now
	return nil
}

func encodeReply(a answer) *peer.ExecuteReply {
	if a.refusal == nil {
		return &peer.ExecuteReply{Status: uint32(a.status), Body: a.body, Replay: a.replay}
	}
	return &peer.ExecuteReply{
		Kind:   uint32(a.refusal.Kind),
		Reason: string(a.refusal.Reason) + ": " + a.refusal.Remedy,
		After:  uint32((a.refusal.RetryAfter + time.Millisecond - 1).Milliseconds()), // rounded up, since zero means that a retry can't help
	}
}
