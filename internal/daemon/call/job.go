package call

import (
	"fmt"
	"strings"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/caller"
)

// Limits and defaults of a call.
const (
	maxBodyBytes      = 4 << 20
	maxPathBytes      = 4 << 10
	maxKeyBytes       = 256
	defaultTimeout    = 10 * time.Second
	maxTimeout        = 10 * time.Minute
	defaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)

// job is a call that this daemon handles.
type job struct {
	request, tenant, path string
	body                  []byte
	key, token            string
	// first is true when the client states that no earlier attempt of it can have run.
	first bool
	// timeout is counted from start.
	timeout time.Duration
	start   time.Time
	conf    policy.Service
	// tenantLabel is the tenant if the document contains it, else empty. It keeps
	// unknown names out of the metrics.
	tenantLabel string
}

// answer is the outcome of a call: a response of a backend server or a refusal.
type answer struct {
	status  int
	body    []byte
	replay  bool
	refusal *citronrock.Error
}

func (a answer) outcome() string {
	switch {
	case a.refusal != nil:
		return a.refusal.Kind.String()
	case a.replay:
		return "replay"
	}
	return "ok"
}

func refuse(k citronrock.Kind, r citronrock.Reason, remedy string, after time.Duration) *citronrock.Error {
	return &citronrock.Error{Kind: k, Reason: r, Remedy: remedy, RetryAfter: after}
}

func invalid(format string, args ...any) *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonInvalid, fmt.Sprintf(format, args...), 0)
}

// admit validates a call and applies the limits of its tenant.
func (h *Handler) admit(r *caller.CallRequest) (*job, *citronrock.Error) {
	head := r.GetHead()
	j := &job{
		tenant: head.GetTenant(), path: r.GetPath(), body: r.GetBody(),
		key: head.GetKey(), token: head.GetToken(), first: head.GetAttempt() == 1,
		timeout: defaultTimeout,
	}
	if head.GetDeadline() != nil {
		j.timeout = min(head.GetDeadline().AsDuration(), maxTimeout)
	}
	refusal := j.check()
	if refusal != nil {
		return j, refusal
	}
	ok := h.control.Do(func(now time.Time) {
		j.start = now
		refusal = h.state.admit(now, j, head.GetService())
		if refusal == nil {
			j.request = h.state.newRequestID(h.name, h.incarnation)
		}
	})
	if !ok {
		refusal = stopped()
	}
	return j, j.unknownIfRetried(refusal)
}

// atMostOnce reports whether the call must run at most once over all attempts of
// the client.
func (j *job) atMostOnce() bool {
	return !j.conf.Idempotent && (j.key != "" || j.token != "")
}

// unknownIfRetried turns "not run" into "unknown" for a retry of an at-most-once
// call, since the refusal of the retry says nothing about the earlier attempts.
func (j *job) unknownIfRetried(refusal *citronrock.Error) *citronrock.Error {
	if refusal == nil || refusal.Kind != citronrock.NotRun || j.first || !j.atMostOnce() {
		return refusal
	}
	remedy := refusal.Remedy + "; an earlier sending may have run, repeat with the same key or token"
	return refuse(citronrock.Unknown, refusal.Reason, remedy, refusal.RetryAfter)
}

func stopped() *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonDrain, "this daemon is stopping; send the call again to another", defaultRetryAfter)
}

func (j *job) check() *citronrock.Error {
	switch {
	case j.timeout <= 0:
		return refuse(citronrock.NotRun, citronrock.ReasonDeadline, "the deadline has passed; send a later one", 0)
	case len(j.body) > maxBodyBytes:
		return invalid("the body has %d bytes; send at most %d", len(j.body), maxBodyBytes)
	case len(j.path) > maxPathBytes || !strings.HasPrefix(j.path, "/"):
		return invalid("the path must begin with / and have at most %d bytes", maxPathBytes)
	case len(j.key) > maxKeyBytes || len(j.token) > maxKeyBytes:
		return invalid("key and token must have at most %d bytes", maxKeyBytes)
	}
	return nil
}

// admit sets the configuration of the call's service and applies the limits of its
// tenant. It runs on the control goroutine.
func (s *state) admit(now time.Time, j *job, name string) *citronrock.Error {
	svc := s.services[name]
	switch {
	case s.doc == nil:
		return unconfigured()
	case svc == nil:
		return invalid("service %q is no plain service of the document; correct the name", name)
	}
	j.conf = svc.conf
	if s.tenants.Known(j.tenant) {
		j.tenantLabel = j.tenant
	}
	return s.admitTenant(now, j.tenant)
}

// admitTenant counts a call in flight against the limits of its tenant, or refuses it.
func (s *state) admitTenant(now time.Time, name string) *citronrock.Error {
	switch {
	case s.doc == nil:
		return unconfigured()
	case !s.tenants.Known(name):
		return invalid("tenant %q is not in the document; correct the name", name)
	case s.drained:
		return stopped()
	}
	t := s.tenants.Find(name)
	if after := s.tenants.Admit(now, t); after > 0 {
		remedy := fmt.Sprintf("tenant %s is at its limit of rate or open requests; wait", name)
		return refuse(citronrock.NotRun, citronrock.ReasonLimit, remedy, after)
	}
	t.Begin()
	return nil
}

// finish uncounts a call in flight. Nothing is counted for a tenant that was removed
// from the document.
func (s *state) finish(name string) {
	if t := s.tenants.Find(name); t != nil {
		t.End()
	}
}

func unconfigured() *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonConfig, "no valid document has been read yet; try again", time.Second)
}
