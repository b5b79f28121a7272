// Package unary serves requests that have a single response: it chooses a backend
// server, retries where that is allowed, and passes on complete responses only.
package unary

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// extraSends is the number of attempts beyond the route's limit for servers that
	// refuse a request before it runs.
	extraSends = 2
	// retryAfterShare is the share of the remaining time after which a refused client
	// should retry. Clients wait for at most a third of it.
	retryAfterShare = 0.25
	// responseLimit bounds a response that is held in memory, in bytes.
	responseLimit = 16 << 20
)

// Handler serves the requests of plain services.
type Handler struct {
	domain   string
	table    *pool.Table
	backends citronrock.Backends
	ingress  citronrock.Ingress
	budget   *budget.Budget
	log      *lines.Log
	guard    *crash.Guard
	memory   *memory.Budget
	stop     *grace.Period
	// recent are the times from the first attempt at a server to its answer.
	recent grace.Recent
}

// Option configures a handler.
type Option func(*Handler)

// WithDomain sets the failure domain whose servers are preferred.
func WithDomain(domain string) Option { return func(h *Handler) { h.domain = domain } }

// WithGuard sets the guard that counts the servers which a request has crashed.
func WithGuard(g *crash.Guard) Option { return func(h *Handler) { h.guard = g } }

// WithMemory sets the budget for responses, which are held in memory completely.
func WithMemory(b *memory.Budget) Option { return func(h *Handler) { h.memory = b } }

// WithStop sets the grace period that bounds requests.
func WithStop(p *grace.Period) Option { return func(h *Handler) { h.stop = p } }

// New returns a handler that sends requests to the servers of the table.
func New(table *pool.Table, b citronrock.Backends, i citronrock.Ingress, q *budget.Budget, log *lines.Log, opts ...Option) *Handler {
	h := &Handler{table: table, backends: b, ingress: i, budget: q, log: log, stop: grace.New()}
	for _, o := range opts {
		o(h)
	}
	return h
}

// response is a complete response of a server.
type response struct {
	*proxy.Response
	body   *memory.Body
	server string
}

// job is the state of one request.
type job struct {
	*Handler
	req           *proxy.Request
	route         *config.Route
	service       string
	deadline      time.Time
	excluded      []string
	maybeReceived bool
	attempts
	// failure is the last failure response to an idempotent request. It is passed on
	// when no other server succeeds.
	failure *response
}

// Serve answers a request and returns the outcome. ctx ends when the client leaves
// or the deadline passes.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, req *proxy.Request, r *config.Route, service string, deadline time.Time) lines.Outcome {
	j := &job{Handler: h, req: req, route: r, service: service, deadline: deadline}
	j.ended = make(chan *attempt, r.Attempts+extraSends+1)
	j.charge = h.budget.Open(req.Received, service)
	defer func() { j.charge.Close(time.Now()) }()
	proxy.LimitWrites(w, deadline)
	ctx, _, release := h.stop.Bind(ctx)
	defer release()
	defer j.join(ctx)
	resp, v := j.run(ctx)
	defer j.releaseBodies(resp)
	out := lines.Outcome{Attempts: j.sends}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		out.Result, out.Reason = "gone", "client"
		return out
	}
	if resp != nil {
		out.Server, out.Status, out.Result = resp.server, resp.Status, "ok"
		if resp.Status >= http.StatusInternalServerError {
			out.Result, out.Reason = "failed", "server"
		}
		deliver(w, resp)
		return out
	}
	out.Reason = string(v.Reason)
	if v.Kind == citronrock.NotRun && v.Reason != grace.Reason && len(h.table.Held(time.Now(), service)) > 0 {
		out.Reason = string(citronrock.ReasonLimit)
	}
	switch {
	case v.Kind == citronrock.NotRun:
		out.Status, out.Result, out.RetryAfter = http.StatusServiceUnavailable, "refused", v.RetryAfter
	case v.Reason == citronrock.ReasonDeadline:
		out.Status, out.Result = http.StatusGatewayTimeout, "unknown"
	default:
		out.Status, out.Result = http.StatusBadGateway, "unknown"
	}
	h.ingress.Refuse(w, req, out.Status, out.RetryAfter, "the request was not answered: "+out.Result+", "+out.Reason)
	return out
}

// run makes attempts until there is a response or no further attempt is allowed.
func (j *job) run(ctx context.Context) (*response, retry.Decision) {
	defer j.cancelOpen()
	for {
		if len(j.open) == 0 {
			server, ok := j.table.Choose(time.Now(), j.service, j.domain, j.excluded)
			if !ok {
				return j.failure, j.decide(event.FaultRefused, nil)
			}
			if j.guard.BlockedPart(j.req, j.service) != "" {
				v := j.decide(event.FaultRefused, nil)
				v.Reason = citronrock.ReasonSuspect
				return j.failure, v
			}
			if !j.maybeReceived && !j.stop.Admits(j.req.Received, j.deadline, j.recent.Longest(j.service)) {
				v := j.decide(event.FaultRefused, nil)
				v.Reason, v.RetryAfter = grace.Reason, grace.RetryAfter
				return j.failure, v
			}
			if !j.charge.Send(time.Now(), budget.Run) {
				return j.failure, j.decide(event.FaultRefused, nil)
			}
			j.start(ctx, server)
		}
		a := j.next(ctx)
		if a.isLimited() && ctx.Err() == nil {
			continue
		}
		if a.resp != nil && a.fault == event.FaultNone {
			return a.resp, retry.Decision{}
		}
		if a.resp != nil {
			j.keepFailure(a.resp)
		}
		if ctx.Err() != nil {
			j.maybeReceived = j.maybeReceived || len(j.open) > 0
			v := j.decide(a.fault, nil)
			v.Reason = citronrock.ReasonDeadline
			if grace.Ended(ctx) {
				v.Reason, v.RetryAfter = grace.Reason, min(v.RetryAfter, grace.RetryAfter)
			}
			return j.failure, v
		}
		if len(j.open) > 0 {
			j.maybeReceived = j.maybeReceived || retry.MaybeReceived(a.fault)
			continue
		}
		v := j.decide(a.fault, j.retryPermit(a.fault))
		j.maybeReceived = v.MaybeReceived
		if v.Next != retry.Send {
			return j.failure, v
		}
	}
}

// keepFailure keeps a failure response and releases the previous one.
func (j *job) keepFailure(resp *response) {
	j.releaseBodies(nil)
	j.failure = resp
}

// releaseBodies releases the memory of the responses.
func (j *job) releaseBodies(resp *response) {
	for _, held := range []*response{resp, j.failure} {
		if held != nil {
			held.body.Release()
		}
	}
}

// retryPermit returns a function that asks for the permission to make one more
// attempt after a fault, nil when the limit is reached.
func (j *job) retryPermit(f event.Fault) func() bool {
	limit := j.route.Attempts
	if !retry.MaybeReceived(f) {
		limit += extraSends
	}
	if j.sends >= limit {
		return nil
	}
	return func() bool { return j.charge.Reserve(time.Now(), budget.Run) }
}

func (j *job) decide(f event.Fault, budget func() bool) retry.Decision {
	left := time.Until(j.deadline)
	after := max(time.Duration(retryAfterShare*float64(left)), j.table.RetryAfter(time.Now(), j.service), time.Millisecond)
	return retry.Decide(retry.State{Fault: f, MaybeReceived: j.maybeReceived, Idempotent: j.route.Kind == config.Idempotent,
		Budget: budget, Left: left, RetryAfter: after})
}

// exchange sends the request and reads the complete response.
func (j *job) exchange(ctx context.Context, s pool.Server) (*response, event.Fault, error) {
	upstream, err := j.backends.Send(ctx, s, j.req, proxy.Options{Timeout: time.Until(j.stop.Limit(j.deadline, false))})
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
	defer upstream.Close()
	body, err := j.memory.Response(s.Addr, upstream.Close).Read(upstream.Body, responseLimit)
	if err != nil {
		return nil, event.FaultBroken, err
	}
	resp := &response{Response: upstream, body: body, server: s.ID}
	switch {
	case proxy.MeansNotRun(upstream.Status):
		body.Release()
		// The server did not confirm that the request has not run, so the client
		// must not get a status that guarantees it.
		return nil, event.FaultBroken, errors.New("server did not confirm that the request has not run: " + http.StatusText(upstream.Status))
	case upstream.Status >= http.StatusInternalServerError && j.route.Kind == config.Idempotent:
		return resp, event.FaultBroken, nil
	}
	return resp, event.FaultNone, nil
}

// deliver passes a complete response to the client.
func deliver(w http.ResponseWriter, resp *response) {
	proxy.CopyHeader(w.Header(), resp.Header)
	proxy.SetLength(w.Header(), len(resp.body.Bytes))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.body.Bytes) // a write error means that the client left
}
