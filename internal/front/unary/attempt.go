package unary

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// slowShare is the share of the latency target after which an idempotent request goes
	// to another server too. Healthy servers rarely take as long.
	slowShare = 1.3
	// checkInterval is the time between two checks whether another server can be tried.
	checkInterval = 100 * time.Millisecond
)

// errAnswered is the cause of the cancellation of an attempt after another one's response.
var errAnswered = errors.New("another server answered first")

// attempts are the attempts of one request. An attempt without a response stays open while
// other servers are tried, so that none is given up for a server that then refuses or is
// silent too: the first complete response wins.
type attempts struct {
	// sends counts the attempts without those that a server's limit prevented, unreceived
	// those of them that ended before a server took the request.
	sends, unreceived int
	open              []*attempt
	ended             chan *attempt
	// charge counts the attempts that reached a server.
	charge *budget.Charge
	// slowAt is when another server is tried, the zero time for never.
	slowAt time.Time
}

// attempt is a request at one server.
type attempt struct {
	server pool.Server
	start  time.Time
	cancel context.CancelCauseFunc
	report func(time.Time, pool.Outcome, time.Duration)
	number int
	// slow is set once the lack of a response was recorded.
	slow bool

	resp  *response
	fault event.Fault
	err   error
	// panicked is the value of a panic during the attempt.
	panicked any
}

// isLimited reports whether nothing was sent because of the server's limit.
func (a *attempt) isLimited() bool {
	var sendErr *proxy.SendError
	return errors.As(a.err, &sendErr) && sendErr.Limited
}

// start begins an attempt at a server that the retry budget was charged for.
func (j *job) start(ctx context.Context, s pool.Server) {
	j.sends++
	a := &attempt{server: s, start: time.Now(), report: j.table.Begin(s.ID), number: j.sends}
	ctx, a.cancel = context.WithCancelCause(ctx)
	j.open, j.excluded = append(j.open, a), append(j.excluded, s.ID)
	send := func() {
		a.fault = event.FaultBroken // after a panic
		defer func() {
			if a.panicked = recover(); a.panicked != nil {
				panics.Record(j.log, "attempt at a server", a.panicked) // with the stack of this goroutine
			}
			j.ended <- a
		}()
		a.resp, a.fault, a.err = j.exchange(ctx, s)
	}
	if j.route.Kind != config.Idempotent {
		send()
		return
	}
	if slowAt := a.start.Add(time.Duration(slowShare * float64(j.route.Target))); j.route.Target > 0 && slowAt.Before(j.deadline) {
		j.slowAt = slowAt
	}
	go send()
}

// next returns the next attempt that ends. While there is none for too long, it begins
// others.
func (j *job) next(ctx context.Context) *attempt {
	for {
		var slow <-chan time.Time
		if !j.slowAt.IsZero() && j.failure == nil && j.sends < j.route.Attempts+min(j.unreceived, extraSends) {
			slow = time.After(time.Until(j.slowAt))
		}
		select {
		case a := <-j.ended:
			j.finish(ctx, a)
			if a.panicked != nil {
				panic(a.panicked) // the router answers the request
			}
			return a
		case <-slow:
			if !j.startAnother(ctx) {
				j.slowAt = time.Now().Add(checkInterval)
			}
		}
	}
}

// startAnother begins an attempt at another healthy server beside the open ones, if the
// retry budget allows it.
func (j *job) startAnother(ctx context.Context) bool {
	now := time.Now()
	for _, a := range j.open {
		if !a.slow {
			a.slow = true
			j.table.RecordSilence(now, a.server, pool.TimedOut)
		}
	}
	s, ok := j.table.Choose(now, j.service, j.domain, j.excluded)
	if !ok || j.table.IsUnhealthy(now, s.ID) || j.guard.BlockedPart(j.req, j.service) != "" {
		return false
	}
	if !j.charge.Send(now, budget.Run) {
		return false
	}
	j.start(ctx, s)
	return true
}

// finish records the result of an attempt.
func (j *job) finish(ctx context.Context, a *attempt) {
	a.cancel(nil)
	j.open = slices.DeleteFunc(j.open, func(o *attempt) bool { return o == a })
	if len(j.open) > 0 && !slices.ContainsFunc(j.open, func(o *attempt) bool { return !o.slow }) {
		j.slowAt = time.Now()
	}
	took := time.Since(a.start)
	if a.isLimited() {
		a.report(time.Now(), pool.Unknown, 0)
		j.sends--
		j.charge.NotReceived(budget.Run)
		return
	}
	if a.fault == event.FaultUnsent {
		j.charge.NotReceived(budget.Run)
	}
	if !retry.MaybeReceived(a.fault) && a.fault != event.FaultNone {
		j.unreceived++
	}
	a.report(time.Now(), a.outcome(ctx), took)
	switch {
	case a.resp != nil:
		j.recent.Add(j.service, took)
		j.guard.RecordSuccess(j.req, j.service)
	case a.fault == event.FaultBroken:
		j.guard.RecordBroken(j.req, a.server, a.start, crash.Progress{})
	}
	if a.err == nil && a.fault == event.FaultNone {
		return
	}
	text := "server responded with a failure"
	if a.err != nil {
		text = a.err.Error()
	}
	j.log.Info(lines.Attempt, "request", j.req.ID, "service", j.service, "server", a.server.ID, "entry", a.server.Revision.String(),
		"send", a.number, "fault", a.fault.String(), "error", text, "took", lines.Ms(took))
}

// cancelOpen cancels the attempts that are open after the end of the request.
func (j *job) cancelOpen() {
	for _, a := range j.open {
		a.cancel(errAnswered)
	}
}

// join waits for the end of cancelled attempts.
func (j *job) join(ctx context.Context) {
	for len(j.open) > 0 {
		a := <-j.ended
		j.finish(ctx, a)
		if a.resp != nil {
			a.resp.body.Release()
		}
	}
}

// outcome returns what an attempt shows about the health of its server.
func (a *attempt) outcome(ctx context.Context) pool.Outcome {
	switch {
	case a.resp != nil && a.resp.Status < http.StatusInternalServerError:
		return pool.OK
	case a.resp != nil:
		return pool.Failed
	case ctx.Err() != nil && (errors.Is(context.Cause(ctx), context.Canceled) || grace.Ended(ctx)):
		return pool.Unknown
	}
	switch a.fault {
	case event.FaultUnsent:
		return pool.Unreachable
	case event.FaultRefused:
		return pool.Refused
	case event.FaultStalled:
		if a.slow || ctx.Err() == nil {
			return pool.Unknown // recorded already, or cancelled for another response
		}
		return pool.TimedOut
	}
	return pool.Broken
}
