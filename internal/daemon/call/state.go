package call

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/limit"
	"citronrock.example/citronrock/internal/core/once"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/core/tenant"
)

// state is owned by the control goroutine; its methods run there.
type state struct {
	doc          *policy.Document
	services     map[string]*service
	tenants      *tenant.Limits
	rnd          *rand.Rand
	drained      bool
	requestCount uint64
	instances    event.Listed
	table        *once.Table
	alive        map[string]uint64
	// running are the at-most-once calls that run here; forwards are the calls that
	// wait for another daemon.
	running  map[once.ID]*execution
	forwards map[*forwardedCall]bool
}

// service is a plain service with its retry budget and its servers.
type service struct {
	conf    policy.Service
	budget  *retry.Budget
	servers []*server
}

// server is one backend server.
type server struct {
	conf  policy.Server
	plain citronrock.Plain
	limit *limit.Limit
	// listed is true once an instance list has contained the server.
	listed bool
}

// Retry budget of a service: the most retries that it can accumulate, and the
// share of first attempts that it earns when the document sets none.
const (
	maxRetryBudget    = 10
	defaultRetryShare = 0.1
)

func (s *state) publish(doc *policy.Document, dial Dialer) {
	if s.doc != nil && doc.Version <= s.doc.Version {
		return
	}
	s.doc = doc
	s.tenants.Publish(doc.Tenants)
	old := s.services
	s.services = map[string]*service{}
	for _, conf := range doc.Services {
		if conf.Kind == policy.KindPlain {
			s.services[conf.Name] = s.merge(old[conf.Name], conf, doc.Servers, dial)
		}
	}
	s.updateServers()
}

// merge builds the state of a service from the document. It keeps the budget if the
// retry share is unchanged, and the servers that are unchanged.
func (s *state) merge(old *service, conf policy.Service, servers []policy.Server, dial Dialer) *service {
	share := conf.RetryRatio
	if share == 0 {
		share = defaultRetryShare
	}
	v := &service{conf: conf, budget: retry.NewBudget(share, maxRetryBudget)}
	known := map[policy.Server]*server{}
	if old != nil {
		if old.conf.RetryRatio == conf.RetryRatio {
			v.budget = old.budget
		}
		for _, b := range old.servers {
			known[b.conf] = b
		}
	}
	for _, b := range servers {
		if b.Service != conf.Name {
			continue
		}
		if known[b] == nil {
			known[b] = &server{conf: b, plain: dial(conf, b), limit: limit.New()}
			if old != nil {
				known[b].limit.Reopen() // added by this document
			}
		}
		v.servers = append(v.servers, known[b])
	}
	return v
}

// updateList applies a newer instance list. Leaving daemons are the home of no keys.
func (s *state) updateList(now time.Time, l event.Listed) {
	if l.Revision <= s.instances.Revision {
		return
	}
	s.instances = l
	s.updateServers()
	var names []string
	for _, i := range l.Instances {
		if i.GetKind() == "daemon" && i.GetState() == "live" {
			names = append(names, i.GetName())
		}
	}
	s.table.UpdateList(now, l.Revision, names)
}

// updateServers stops the use of servers that are not live in the instance list. A
// server that was never listed is used, since the list lags behind the document.
func (s *state) updateServers() {
	states := map[string]string{}
	for _, i := range s.instances.Instances {
		if i.GetKind() == policy.KindPlain {
			states[i.GetName()] = i.GetState()
		}
	}
	for _, svc := range s.services {
		for _, b := range svc.servers {
			state, ok := states[b.conf.Name]
			b.listed = b.listed || ok
			b.setLive(!b.listed || state == "live")
		}
	}
}

func (b *server) setLive(live bool) {
	switch {
	case !live:
		b.limit.Close()
	case b.limit.Closed():
		b.limit.Reopen()
	}
}

// updateMembers sets the live daemons and cancels the calls that wait for a daemon
// that is no longer alive.
func (s *state) updateMembers(alive map[string]uint64) {
	s.alive = alive
	s.table.Members(alive)
	for f := range s.forwards {
		if !s.reachable(f.to) {
			f.cancel()
		}
	}
}

// reachable reports whether the daemon is alive, with the same incarnation if one
// is given. Every daemon counts as alive before the membership is known.
func (s *state) reachable(to once.Issuer) bool {
	incarnation, ok := s.alive[to.Instance]
	return s.alive == nil || ok && (to.Incarnation == 0 || to.Incarnation == incarnation)
}

// newRequestID returns an ID that is unique over all daemons and their restarts.
func (s *state) newRequestID(name string, incarnation uint64) string {
	s.requestCount++
	return name + "-" + strconv.FormatUint(incarnation, 36) + "-" + strconv.FormatUint(s.requestCount, 36)
}

// pick reserves the least loaded server, preferring servers that are not in tried.
// Ties are broken at random. Without a usable server it returns nil and the
// Retry-After delay.
func (s *state) pick(now time.Time, name string, tried map[*server]bool) (*server, time.Duration) {
	svc := s.services[name]
	if svc == nil {
		return nil, defaultRetryAfter
	}
	order := s.rnd.Perm(len(svc.servers))
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := svc.servers[x], svc.servers[y]
		if tried[a] != tried[b] {
			return cmp.Compare(rank(tried[a]), rank(tried[b]))
		}
		return cmp.Compare(a.limit.Load(), b.limit.Load())
	})
	wait := maxRetryAfter
	for _, i := range order {
		b := svc.servers[i]
		if b.limit.Acquire(now) {
			return b, 0
		}
		if !b.limit.Closed() {
			wait = min(wait, b.limit.Wait(now))
		}
	}
	// The jitter keeps refused clients from retrying all at once.
	return nil, wait + time.Duration(s.rnd.Int64N(int64(wait)))
}

func rank(tried bool) int {
	if tried {
		return 1
	}
	return 0
}

// limitOutcome classifies an attempt for the concurrency limit of its server.
func limitOutcome(reply citronrock.PlainReply, cancelled bool) limit.Outcome {
	switch {
	case reply.Fault == event.FaultRefused,
		reply.Fault == event.FaultNone && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests):
		return limit.Refused
	case reply.Fault == event.FaultNone, reply.Fault == event.FaultFailed:
		return limit.Answered
	case cancelled:
		return limit.Cancelled
	}
	return limit.NoAnswer
}
