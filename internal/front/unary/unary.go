// Package unary serves requests that have one answer: it chooses a backend
// server, repeats what may be repeated and passes on only whole answers.
package unary

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/front/memory"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/quota"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// repeatAfter is the share of the latency target after which an idempotent
	// request without an answer is sent to another server. Few answers of sound
	// servers take as long.
	repeatAfter = 1.3
	// spareSends is the number of servers beyond the route's attempts that may
	// refuse a request before it runs.
	spareSends = 2
	// comeBack is the share of the remaining time after which a refused client is
	// asked to come back. Clients keep to at most a third.
	comeBack = 0.25
	// answerLimit bounds an answer that is held in memory, in bytes.
	answerLimit = 16 << 20
)

// Handler serves requests of plain services.
type Handler struct {
	domain   string
	table    *pool.Table
	backends citronrock.Backends
	ingress  citronrock.Ingress
	quota    *quota.Quota
	log      *lines.Log
	guard    *crash.Guard
	memory   *memory.Budget
}

// Option changes a setting of a handler.
type Option func(*Handler)

// WithDomain sets the failure domain whose servers are preferred.
func WithDomain(domain string) Option { return func(h *Handler) { h.domain = domain } }

// WithGuard sets what counts the servers that a request crashed.
func WithGuard(g *crash.Guard) Option { return func(h *Handler) { h.guard = g } }

// WithMemory sets the budget for answers, which are held in memory as a whole.
func WithMemory(b *memory.Budget) Option { return func(h *Handler) { h.memory = b } }

// New returns a handler that sends to the servers of a table.
func New(table *pool.Table, b citronrock.Backends, i citronrock.Ingress, q *quota.Quota, log *lines.Log, opts ...Option) *Handler {
	h := &Handler{table: table, backends: b, ingress: i, quota: q, log: log}
	for _, o := range opts {
		o(h)
	}
	return h
}

// answer is a whole answer of a server.
type answer struct {
	*proxy.Response
	body   *memory.Body
	server string
}

// job is one request on its way.
type job struct {
	*Handler
	call     *proxy.Request
	route    *config.Route
	service  string
	deadline time.Time
	without  []string
	sends    int
	earlier  bool
	// kept is a failure that a server reported for an idempotent request. It is
	// passed on when no other server does better.
	kept *answer
}

// Serve answers a call and returns how it ended. Ctx ends when the client
// leaves or the deadline passes.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, c *proxy.Request, r *config.Route, service string, deadline time.Time) lines.Outcome {
	j := &job{Handler: h, call: c, route: r, service: service, deadline: deadline}
	proxy.LimitWrites(w, deadline)
	a, v := j.run(ctx)
	defer j.free(a)
	out := lines.Outcome{Sends: j.sends}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		out.Result, out.Reason = "gone", "client"
		return out
	}
	if a != nil {
		out.Server, out.Status, out.Result = a.server, a.Status, "ok"
		if a.Status >= http.StatusInternalServerError {
			out.Result, out.Reason = "failed", "server"
		}
		deliver(w, a)
		return out
	}
	out.Reason = string(v.Reason)
	switch {
	case v.Kind == citronrock.NotRun:
		out.Status, out.Result, out.After = http.StatusServiceUnavailable, "refused", v.After
	case v.Reason == citronrock.ReasonDeadline:
		out.Status, out.Result = http.StatusGatewayTimeout, "unknown"
	default:
		out.Status, out.Result = http.StatusBadGateway, "unknown"
	}
	h.ingress.Refuse(w, c, out.Status, out.After, "the request was not answered: "+out.Result+", "+out.Reason)
	return out
}

// run sends the call until there is an answer or the rules allow no more
// sendings.
func (j *job) run(ctx context.Context) (*answer, retry.Decision) {
	for {
		server, ok := j.table.Choose(time.Now(), j.service, j.domain, j.without)
		if !ok {
			return j.kept, j.verdict(event.FaultRefused, nil)
		}
		a, fault := j.send(ctx, server)
		if a != nil && fault == event.FaultNone {
			return a, retry.Decision{}
		}
		if a != nil {
			j.keep(a)
		}
		if ctx.Err() != nil {
			v := j.verdict(fault, nil)
			v.Reason = citronrock.ReasonDeadline
			return j.kept, v
		}
		v := j.verdict(fault, j.budget(fault))
		j.earlier = v.MaybeReceived
		if v.Next != retry.Send {
			return j.kept, v
		}
		j.without = append(j.without, server.ID)
	}
}

// keep holds the newest failure that a server reported.
func (j *job) keep(a *answer) {
	j.free(nil)
	j.kept = a
}

// free gives back the memory of the answers.
func (j *job) free(a *answer) {
	for _, held := range []*answer{a, j.kept} {
		if held != nil {
			held.body.Release()
		}
	}
}

// budget returns the permission for one more sending after a fault. Only what
// may have arrived at a server counts against the service's budget.
func (j *job) budget(f event.Fault) func() bool {
	limit := j.route.Attempts
	if !retry.MaybeReceived(f) {
		limit += spareSends
	}
	if j.sends >= limit {
		return nil
	}
	if f == event.FaultUnsent {
		return func() bool { return true }
	}
	return func() bool { return j.quota.Take(j.service) }
}

func (j *job) verdict(f event.Fault, budget func() bool) retry.Decision {
	left := time.Until(j.deadline)
	after := max(time.Duration(comeBack*float64(left)), j.table.RetryAfter(time.Now(), j.service), time.Millisecond)
	return retry.Decide(retry.State{Fault: f, MaybeReceived: j.earlier, Idempotent: j.route.Kind == config.Idempotent,
		Budget: budget, Left: left, After: after})
}

// send makes one attempt. A fault may come with an answer, when a server reports
// a failure.
func (j *job) send(ctx context.Context, s pool.Server) (*answer, event.Fault) {
	limit := j.deadline
	if j.route.Kind == config.Idempotent && j.sends+1 < j.route.Attempts && j.kept == nil {
		if early := time.Now().Add(time.Duration(repeatAfter * float64(j.route.Target))); early.Before(limit) {
			limit = early
		}
	}
	cut, cancel := context.WithDeadlineCause(ctx, limit, errSlow)
	defer cancel()
	if j.sends == 0 {
		j.quota.Sent(j.service)
	}
	j.sends++
	begun := time.Now()
	note := j.table.Begin(s.ID)
	a, fault, err := j.exchange(cut, s)
	took := time.Since(begun)
	note(time.Now(), health(ctx, a, fault), took)
	switch {
	case a != nil:
		j.guard.RecordSuccess(j.call)
	case fault == event.FaultBroken:
		j.guard.RecordBroken(j.call, s, begun)
	}
	if err != nil || fault != event.FaultNone {
		text := "server reports a failure"
		if err != nil {
			text = err.Error()
		}
		j.log.Info(lines.Attempt, "request", j.call.ID, "service", j.service, "server", s.ID, "entry", s.Revision.String(),
			"send", j.sends, "fault", fault.String(), "error", text, "took", lines.Ms(took))
	}
	return a, fault
}

// errSlow is the cause of the end of an attempt that another one replaces.
var errSlow = errors.New("no answer in time for another attempt")

// exchange sends the call and reads the whole answer.
func (j *job) exchange(ctx context.Context, s pool.Server) (*answer, event.Fault, error) {
	reply, err := j.backends.Send(ctx, s, j.call, proxy.Options{Timeout: time.Until(j.deadline)})
	if err != nil {
		var f *proxy.SendError
		if !errors.As(err, &f) {
			return nil, event.FaultBroken, err
		}
		if f.Misdirected {
			j.table.MarkMisdirected(time.Now(), s)
		}
		if f.Fault == event.FaultBroken && ctx.Err() != nil {
			return nil, event.FaultStalled, err
		}
		return nil, f.Fault, err
	}
	defer reply.Close()
	body, err := j.memory.Read(reply.Body, answerLimit)
	if err != nil {
		return nil, event.FaultBroken, err
	}
	a := &answer{Response: reply, body: body, server: s.ID}
	switch {
	case proxy.MeansNotRun(reply.Status):
		body.Release()
		// The server did not say that it has not run the request, so that this
		// status must not reach the client.
		return nil, event.FaultBroken, errors.New("status promises more than the server says: " + http.StatusText(reply.Status))
	case reply.Status >= http.StatusInternalServerError && j.route.Kind == config.Idempotent:
		return a, event.FaultBroken, nil
	}
	return a, event.FaultNone, nil
}

// health tells what an attempt showed about its server.
func health(ctx context.Context, a *answer, f event.Fault) pool.Outcome {
	switch {
	case a != nil && a.Status < http.StatusInternalServerError:
		return pool.OK
	case a != nil:
		return pool.Failed
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return pool.Unknown
	}
	switch f {
	case event.FaultUnsent:
		return pool.Unreachable
	case event.FaultRefused:
		return pool.Refused
	case event.FaultStalled:
		return pool.TimedOut
	}
	return pool.Broken
}

// deliver passes a whole answer to the client.
func deliver(w http.ResponseWriter, a *answer) {
	proxy.CopyHeader(w.Header(), a.Header)
	proxy.SetLength(w.Header(), len(a.body.Bytes))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.body.Bytes) // a failed write shows that the client left
}
