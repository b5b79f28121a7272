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

// state is owned by the control goroutine.
type state struct {
	doc      *policy.Document
	services map[string]*service
	tenants  *tenant.Limits
	rnd      *rand.Rand
	drained  bool
	made     uint64
	listed   event.Listed
	table    *once.Table
	alive    map[string]uint64
	// waits are the runs in progress here; forwards are the calls that wait for
	// another daemon.
	waits    map[once.ID]*wait
	forwards map[*forward]bool
}

// service is a plain service with its servers.
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
	// seen is true once the platform has listed the server.
	seen bool
}

// Limits of a service's retry budget, as retries and as a share of first
// attempts when the document states none.
const (
	budgetLimit = 10
	shareLimit  = 0.1
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
	s.survey()
}

// merge keeps the budget and the servers that have not changed.
func (s *state) merge(old *service, conf policy.Service, servers []policy.Server, dial Dialer) *service {
	share := conf.RetryRatio
	if share == 0 {
		share = shareLimit
	}
	v := &service{conf: conf, budget: retry.NewBudget(share, budgetLimit)}
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
				known[b].limit.Reopen() // has just been added
			}
		}
		v.servers = append(v.servers, known[b])
	}
	return v
}

// list takes a newer list of instances. Leaving daemons are home of no keys.
func (s *state) list(now time.Time, l event.Listed) {
	if l.Revision <= s.listed.Revision {
		return
	}
	s.listed = l
	s.survey()
	var names []string
	for _, i := range l.Instances {
		if i.GetKind() == "daemon" && i.GetState() == "live" {
			names = append(names, i.GetName())
		}
	}
	s.table.UpdateList(now, l.Revision, names)
}

// survey takes leaving servers out of use. A server that the platform has never
// listed is used, since the list lags behind the document.
func (s *state) survey() {
	states := map[string]string{}
	for _, i := range s.listed.Instances {
		if i.GetKind() == policy.KindPlain {
			states[i.GetName()] = i.GetState()
		}
	}
	for _, svc := range s.services {
		for _, b := range svc.servers {
			state, ok := states[b.conf.Name]
			b.seen = b.seen || ok
			b.use(!b.seen || state == "live")
		}
	}
}

func (b *server) use(live bool) {
	switch {
	case !live:
		b.limit.Close()
	case b.limit.Closed():
		b.limit.Reopen()
	}
}

// members ends the waits for daemons that are gone.
func (s *state) members(alive map[string]uint64) {
	s.alive = alive
	s.table.Members(alive)
	for f := range s.forwards {
		if !s.answers(f.to) {
			f.cancel()
		}
	}
}

// answers reports whether the daemon answers, as that incarnation if one is
// given. Before the first members are known every daemon may.
func (s *state) answers(to once.Issuer) bool {
	incarnation, ok := s.alive[to.Instance]
	return s.alive == nil || ok && (to.Incarnation == 0 || to.Incarnation == incarnation)
}

// identity returns a new identity for a request.
func (s *state) identity(name string, incarnation uint64) string {
	s.made++
	return name + "-" + strconv.FormatUint(incarnation, 36) + "-" + strconv.FormatUint(s.made, 36)
}

// pick returns the least loaded server that tried does not hold, if there is
// one. Ties are broken at random. Without a server it returns the time to come
// back.
func (s *state) pick(now time.Time, name string, tried map[*server]bool) (*server, time.Duration) {
	svc := s.services[name]
	if svc == nil {
		return nil, comeBackSoon
	}
	order := s.rnd.Perm(len(svc.servers))
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := svc.servers[x], svc.servers[y]
		if tried[a] != tried[b] {
			return cmp.Compare(rank(tried[a]), rank(tried[b]))
		}
		return cmp.Compare(a.limit.Load(), b.limit.Load())
	})
	wait := comeBackMost
	for _, i := range order {
		b := svc.servers[i]
		if b.limit.Acquire(now) {
			return b, 0
		}
		if !b.limit.Closed() {
			wait = min(wait, b.limit.Wait(now))
		}
	}
	// The jitter keeps refused calls from returning together.
	return nil, wait + time.Duration(s.rnd.Int64N(int64(wait)))
}

func rank(tried bool) int {
	if tried {
		return 1
	}
	return 0
}

// outcome tells the limit of a server how an attempt ended.
func outcome(reply citronrock.PlainReply, cancelled bool) limit.Outcome {
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
