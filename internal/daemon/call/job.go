package call

import (
	"fmt"
	"strings"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/caller"
)

// Limits of a call.
const (
	bodyLimit    = 4 << 20
	pathLimit    = 4 << 10
	keyLimit     = 256
	leftDefault  = 10 * time.Second
	leftLimit    = 10 * time.Minute
	comeBackSoon = 250 * time.Millisecond
	comeBackMost = 5 * time.Second
)

// job is one call at this daemon.
type job struct {
	request, tenant, path string
	body                  []byte
	key, token            string
	// first is true when the caller states that no earlier sending can have run.
	first bool
	// left is the time for the answer, counted from start.
	left  time.Duration
	start time.Time
	conf  policy.Service
	// known is the tenant when the document names it.
	known string
}

// answer is the end of a call: a backend's answer or a refusal.
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

// admit validates a call and counts it against the limits of its tenant.
func (c *Handler) admit(r *caller.CallRequest) (*job, *citronrock.Error) {
	h := r.GetHead()
	j := &job{
		tenant: h.GetTenant(), path: r.GetPath(), body: r.GetBody(),
		key: h.GetKey(), token: h.GetToken(), first: h.GetAttempt() == 1,
		left: leftDefault,
	}
	if h.GetDeadline() != nil {
		j.left = min(h.GetDeadline().AsDuration(), leftLimit)
	}
	refusal := j.check()
	if refusal != nil {
		return j, refusal
	}
	ok := c.control.Do(func(now time.Time) {
		j.start = now
		refusal = c.state.admit(now, j, h.GetService())
		if refusal == nil {
			j.request = c.state.identity(c.name, c.incarnation)
		}
	})
	if !ok {
		refusal = stopped()
	}
	return j, j.soften(refusal)
}

// exact reports whether the call runs at most once over all its sendings.
func (j *job) exact() bool {
	return !j.conf.Idempotent && (j.key != "" || j.token != "")
}

// soften turns the refusal of a repeat into unknown where it says nothing about
// the sendings before it.
func (j *job) soften(refusal *citronrock.Error) *citronrock.Error {
	if refusal == nil || refusal.Kind != citronrock.NotRun || j.first || !j.exact() {
		return refusal
	}
	remedy := refusal.Remedy + "; an earlier sending may have run, repeat with the same key or token"
	return refuse(citronrock.Unknown, refusal.Reason, remedy, refusal.RetryAfter)
}

func stopped() *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonDrain, "this daemon is stopping; send the call again to another", comeBackSoon)
}

func (j *job) check() *citronrock.Error {
	switch {
	case j.left <= 0:
		return refuse(citronrock.NotRun, citronrock.ReasonDeadline, "the deadline has passed; send a later one", 0)
	case len(j.body) > bodyLimit:
		return invalid("the body has %d bytes; send at most %d", len(j.body), bodyLimit)
	case len(j.path) > pathLimit || !strings.HasPrefix(j.path, "/"):
		return invalid("the path must begin with / and have at most %d bytes", pathLimit)
	case len(j.key) > keyLimit || len(j.token) > keyLimit:
		return invalid("key and token must have at most %d bytes", keyLimit)
	}
	return nil
}

// admit runs on the control goroutine.
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
		j.known = j.tenant
	}
	return s.count(now, j.tenant)
}

// count counts an open call against the limits of its tenant.
func (s *state) count(now time.Time, name string) *citronrock.Error {
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

// leave ends an open call. A tenant that has left the document has no count.
func (s *state) leave(name string) {
	if t := s.tenants.Find(name); t != nil {
		t.End()
	}
}

func unconfigured() *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonConfig, "no valid document has been read yet; try again", time.Second)
}
