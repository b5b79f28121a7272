package call

import (
	"context"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
)

// execution is a run in progress that retries of the same call can join. answer
// is set before done is closed.
type execution struct {
	done   chan struct{}
	answer answer
}

// route says which daemon must execute a call with a key or a token: the issuer
// of the token, or the home that the key hashes to. former is the home of the key
// by the instance list before.
type route struct {
	to, former once.Issuer
	// local is true when this daemon must execute the call.
	local bool
	// reachable is false when the daemon does not answer; replaced is true when a
	// later incarnation of it is alive.
	reachable, replaced bool
}

func (j *job) call(first bool) once.Call {
	return once.Call{
		Tenant: j.tenant, Service: j.conf.Name, Key: j.key, Token: j.token,
		First: first, Window: time.Duration(j.conf.IdempotencyWindow),
	}
}

// findRoute runs on the control goroutine.
func (s *state) findRoute(name string, j *job) route {
	var r route
	if j.token != "" {
		o, ok := once.ParseToken(j.token)
		r.to = o
		r.local = !ok || o.Instance == name
	} else {
		home, former := s.table.Homes(j.call(j.first))
		r.to.Instance, r.former.Instance = home, former
		r.local = home == "" || home == name
	}
	r.reachable = r.local || s.reachable(r.to)
	now, ok := s.alive[r.to.Instance]
	r.replaced = ok && !r.reachable && now > r.to.Incarnation
	return r
}

// callAtMostOnce executes a call at most once, however often the client sends it.
func (h *Handler) callAtMostOnce(ctx context.Context, j *job) answer {
	var r route
	if !h.control.Do(func(time.Time) { r = h.state.findRoute(h.name, j) }) {
		return answer{refusal: j.unknownIfRetried(stopped())}
	}
	var a answer
	switch {
	case r.local:
		a = h.executeLocally(ctx, j)
	case !r.reachable:
		a = answer{refusal: j.homeUnreachable(r.to, r.replaced)}
	default:
		a = h.forward(ctx, j, r.to)
	}
	if a.noRecord() && !j.first && r.former.Instance != "" && r.former != r.to {
		return h.askFormerHome(ctx, j, r.former, a)
	}
	return a
}

// noRecord reports whether the home had no record of a call that the client retries.
func (a answer) noRecord() bool {
	return a.refusal != nil && a.refusal.Kind == citronrock.Unknown && a.refusal.Reason == citronrock.ReasonRepeat
}

// askFormerHome asks the home of the key by the previous instance list, which may
// have stored the answer. It returns fallback if that daemon has no answer either.
func (h *Handler) askFormerHome(ctx context.Context, j *job, to once.Issuer, fallback answer) answer {
	up := false
	h.control.Do(func(time.Time) { up = h.state.reachable(to) })
	if !up {
		return fallback
	}
	var a answer
	if to.Instance == h.name {
		a = h.executeLocally(ctx, j)
	} else {
		a = h.forward(ctx, j, to)
	}
	if a.refusal != nil && a.refusal.Kind != citronrock.Failed {
		return fallback
	}
	return a
}

// executeLocally starts the call, joins its run in progress, replays the stored
// answer, or refuses the call, as the table of at-most-once calls decides.
func (h *Handler) executeLocally(ctx context.Context, j *job) answer {
	var v once.Decision
	var w *execution
	ok := h.control.Do(func(now time.Time) {
		v = h.state.table.Begin(now, j.call(j.first))
		if v.Next == once.Run {
			h.state.running[v.ID] = &execution{done: make(chan struct{})}
		}
		w = h.state.running[v.ID]
	})
	switch {
	case !ok:
		return answer{refusal: j.unknownIfRetried(stopped())}
	case v.Next == once.Run:
		return h.startRun(ctx, j, v.ID, w)
	case v.Next == once.Join:
		return joinRun(ctx, w)
	case v.Next == once.Replay:
		return answer{status: v.Result.Status, body: v.Result.Body, replay: true}
	}
	return answer{refusal: v.Refusal}
}

// startRun runs the call and stores its outcome. The run continues when the
// client disconnects, since a retry may ask for the answer.
func (h *Handler) startRun(ctx context.Context, j *job, id once.ID, w *execution) answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.timeout)
	defer cancel()
	w.answer = h.run(ctx, j)
	h.control.Do(func(now time.Time) {
		o := once.Result{Status: w.answer.status, Body: w.answer.body, Refusal: w.answer.refusal}
		h.state.table.End(now, id, o)
		delete(h.state.running, id)
	})
	close(w.done)
	return w.answer
}

// joinRun waits for the outcome of a run in progress until ctx ends.
func joinRun(ctx context.Context, w *execution) answer {
	select {
	case <-w.done:
		a := w.answer
		a.replay = a.refusal == nil
		return a
	case <-ctx.Done():
		remedy := "the call is still running at the deadline; repeat it with the same key or token for its answer"
		return answer{refusal: refuse(citronrock.Unknown, citronrock.ReasonDeadline, remedy, defaultRetryAfter)}
	}
}

// homeUnreachable is the refusal of a call whose home or token issuer is
// unreachable. If it has been replaced by a later incarnation, a retry can't help.
func (j *job) homeUnreachable(to once.Issuer, replaced bool) *citronrock.Error {
	why := "daemon " + to.Instance + ", which holds the right to run the call, is out of reach"
	refusal := once.NoRecord(j.first, why)
	refusal.Reason = citronrock.ReasonHome
	if !replaced {
		refusal.RetryAfter = homeRetryAfter
	}
	return refusal
}

// homeRetryAfter is the time in which an unreachable daemon answers again or
// leaves the instance list.
const homeRetryAfter = time.Second
