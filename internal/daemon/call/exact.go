package call

import (
	"context"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
)

// wait is a run in progress. answer is set before done is closed.
type wait struct {
	done   chan struct{}
	answer answer
}

// route is where a call with a key or a token goes.
type route struct {
	to, former once.Issuer
	// here is true when this daemon holds the right to run the call.
	here bool
	// up is false when the daemon does not answer, gone is true when a later
	// incarnation has taken its place.
	up, gone bool
}

func (j *job) call(first bool) once.Call {
	return once.Call{
		Tenant: j.tenant, Service: j.conf.Name, Key: j.key, Token: j.token,
		First: first, Window: time.Duration(j.conf.IdempotencyWindow),
	}
}

// route runs on the control goroutine.
func (s *state) route(name string, j *job) route {
	var r route
	if j.token != "" {
		o, ok := once.ParseToken(j.token)
		r.to = o
		r.here = !ok || o.Instance == name
	} else {
		home, former := s.table.Homes(j.call(j.first))
		r.to.Instance, r.former.Instance = home, former
		r.here = home == "" || home == name
	}
	r.up = r.here || s.answers(r.to)
	now, ok := s.alive[r.to.Instance]
	r.gone = ok && !r.up && now > r.to.Incarnation
	return r
}

// exact runs a call at most once over all its sendings.
func (c *Handler) exact(ctx context.Context, j *job) answer {
	var r route
	if !c.control.Do(func(time.Time) { r = c.state.route(c.name, j) }) {
		return answer{refusal: j.soften(stopped())}
	}
	var a answer
	switch {
	case r.here:
		a = c.serve(ctx, j)
	case !r.up:
		a = answer{refusal: j.away(r.to, r.gone)}
	default:
		a = c.forward(ctx, j, r.to)
	}
	if a.lost() && !j.first && r.former.Instance != "" && r.former != r.to {
		return c.former(ctx, j, r.former, a)
	}
	return a
}

// lost reports whether the home had no record of a repeat.
func (a answer) lost() bool {
	return a.refusal != nil && a.refusal.Kind == citronrock.Unknown && a.refusal.Reason == citronrock.ReasonRepeat
}

// former asks the home by the previous list, which may have kept the answer.
func (c *Handler) former(ctx context.Context, j *job, to once.Issuer, otherwise answer) answer {
	up := false
	c.control.Do(func(time.Time) { up = c.state.answers(to) })
	if !up {
		return otherwise
	}
	var a answer
	if to.Instance == c.name {
		a = c.serve(ctx, j)
	} else {
		a = c.forward(ctx, j, to)
	}
	if a.refusal != nil && a.refusal.Kind != citronrock.Failed {
		return otherwise
	}
	return a
}

// serve decides about a sending at the daemon that holds the right to run it.
func (c *Handler) serve(ctx context.Context, j *job) answer {
	var v once.Decision
	var w *wait
	ok := c.control.Do(func(now time.Time) {
		v = c.state.table.Begin(now, j.call(j.first))
		if v.Next == once.Run {
			c.state.waits[v.ID] = &wait{done: make(chan struct{})}
		}
		w = c.state.waits[v.ID]
	})
	switch {
	case !ok:
		return answer{refusal: j.soften(stopped())}
	case v.Next == once.Run:
		return c.start(ctx, j, v.ID, w)
	case v.Next == once.Join:
		return join(ctx, w)
	case v.Next == once.Replay:
		return answer{status: v.Result.Status, body: v.Result.Body, replay: true}
	}
	return answer{refusal: v.Refusal}
}

// start runs the call and keeps its outcome. The run goes on when the caller
// leaves, since a repeat may ask for the answer.
func (c *Handler) start(ctx context.Context, j *job, id once.ID, w *wait) answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.left)
	defer cancel()
	w.answer = c.run(ctx, j)
	c.control.Do(func(now time.Time) {
		o := once.Result{Status: w.answer.status, Body: w.answer.body, Refusal: w.answer.refusal}
		c.state.table.End(now, id, o)
		delete(c.state.waits, id)
	})
	close(w.done)
	return w.answer
}

// join waits for the outcome of a run in progress.
func join(ctx context.Context, w *wait) answer {
	select {
	case <-w.done:
		a := w.answer
		a.replay = a.refusal == nil
		return a
	case <-ctx.Done():
		remedy := "the call is still running at the deadline; repeat it with the same key or token for its answer"
		return answer{refusal: refuse(citronrock.Unknown, citronrock.ReasonDeadline, remedy, comeBackSoon)}
	}
}

// away answers a call whose right to run is held by a daemon that is out of
// reach. When the daemon is gone a repeat can't help.
func (j *job) away(to once.Issuer, gone bool) *citronrock.Error {
	why := "daemon " + to.Instance + ", which holds the right to run the call, is out of reach"
	refusal := once.NoRecord(j.first, why)
	refusal.Reason = citronrock.ReasonHome
	if !gone {
		refusal.RetryAfter = homeAfter
	}
	return refusal
}

// homeAfter is the time in which a daemon that is out of reach answers again or
// leaves the list.
const homeAfter = time.Second
