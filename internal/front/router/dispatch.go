package router

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
)

// serveRoute reads the body of an admitted request and dispatches it.
func (r *Router) serveRoute(w http.ResponseWriter, httpReq *http.Request, req *proxy.Request, route *config.Route, d *config.Document, o lines.Outcome) lines.Outcome {
	body, refused := r.readBody(w, httpReq, d.Limits)
	defer body.Release()
	if refused != nil {
		o.Result, o.Status, o.Reason, o.RetryAfter = "refused", refused.status, refused.reason, refused.retryAfter
		r.refuse(w, req, &o, http.StatusText(refused.status))
		return o
	}
	if body != nil {
		req.Body = body.Bytes
	}
	o.Service = pick(route, req)
	service, ok := d.Services[o.Service]
	if !ok {
		o.Status, o.Result, o.Reason, o.RetryAfter = http.StatusServiceUnavailable, "refused", "service", time.Second
		r.refuse(w, req, &o, "the service of this route is not configured")
		return o
	}
	if r.guard.IsBlocked(req) {
		o.Status, o.Result, o.Reason, o.RetryAfter = http.StatusServiceUnavailable, "refused", string(citronrock.ReasonSuspect), crash.StrikeTTL
		r.refuse(w, req, &o, "earlier runs of this request crashed servers")
		return o
	}
	if o.Part = r.guard.BlockedPart(req, o.Service); o.Part != "" {
		o.Status, o.Result, o.Reason, o.RetryAfter = http.StatusServiceUnavailable, "refused", string(citronrock.ReasonSuspect), crash.StrikeTTL
		r.refuse(w, req, &o, "a part of this prompt crashed servers")
		return o
	}
	return r.dispatch(w, httpReq, req, route, service, o)
}

// pick returns the service of a request. A stream that is taken up goes to the service of
// the attempt that began it, as long as the weights stay.
func pick(route *config.Route, req *proxy.Request) string {
	return route.Pick(cmp.Or(req.Resumes, req.ID))
}

func (r *Router) dispatch(w http.ResponseWriter, httpReq *http.Request, req *proxy.Request, route *config.Route, service config.Service, o lines.Outcome) lines.Outcome {
	wait := req.Timeout
	if route.Timeout > 0 && (wait == 0 || route.Timeout < wait) {
		wait = route.Timeout
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	deadline := req.Received.Add(wait)
	ctx, cancel := context.WithDeadline(httpReq.Context(), deadline)
	defer cancel()
	var out lines.Outcome
	if route.Kind == config.Stream {
		out = r.stream.Serve(ctx, w, req, route, service, deadline)
	} else {
		out = r.unary.Serve(ctx, w, req, route, service.Name, deadline)
	}
	out.Request, out.Route, out.Service, out.Version, out.TimeLeft = o.Request, o.Route, o.Service, o.Version, time.Until(deadline)
	out.Tenant = o.Tenant
	return out
}
