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
)

// job is one call at this daemon.
type job struct {
	request, tenant, path string
	body                  []byte
	key, token            string
	attempt               uint32
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
	return &citronrock.Error{Kind: k, Reason: r, Remedy: remedy, After: after}
}

func invalid(format string, args ...any) *citronrock.Error {
	return refuse(citronrock.NotRun, citronrock.ReasonInvalid, fmt.Sprintf(format, args...), 0)
}

// admit validates a call and counts it against the limits of its tenant.
func (c *Caller) admit(r *caller.CallRequest) (*job, *citronrock.Error) {
	h := r.GetHead()
	j := &job{
		tenant: h.GetTenant(), path: r.GetPath(), body: r.GetBody(),
		key: h.GetKey(), token: h.GetToken(), attempt: h.GetAttempt(),
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
	return j, refusal
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
	if s.doc == nil {
		return refuse(citronrock.NotRun, citronrock.ReasonConfig, "no valid document has been read yet; try again", time.Second)
	}
	svc := s.services[name]
	if svc == nil {
		return invalid("service %q is no plain service of the document; correct the name", name)
	}
	j.conf = svc.conf
	if !s.tenants.Known(j.tenant) {
		return invalid("tenant %q is not in the document; correct the name", j.tenant)
	}
	j.known = j.tenant
	if s.drained {
		return stopped()
	}
	if after, ok := s.tenants.Admit(now, j.tenant); !ok {
		remedy := fmt.Sprintf("tenant %s is at its limit of rate or open requests; wait", j.tenant)
		return refuse(citronrock.NotRun, citronrock.ReasonLimit, remedy, after)
	}
	return nil
}
