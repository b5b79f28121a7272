// Package call carries out calls to plain services: it picks the backend
// server, makes the attempts that the rules allow, and keeps calls that may not
// be repeated to one run.
package call

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/once"
	"citronrock.example/citronrock/internal/core/tenant"
	"citronrock.example/citronrock/internal/wire/caller"
)

// Handler serves Router.Call and Router.Token, and Peer.Execute for other
// daemons.
//
// Call, Token and Execute may be called from any goroutine but the control
// goroutine, and do their I/O on the goroutine that calls them. The inputs
// Publish, List, Members, Paused and Drain must be called on the control
// goroutine.
type Handler struct {
	name        string
	incarnation uint64
	control     citronrock.Control
	peers       citronrock.Peers
	clock       citronrock.Clock
	dial        Dialer
	observe     func(Sample)
	secret      []byte
	limits      once.Limits

	state state // touched on the control goroutine only
}

// Dialer returns the client of a server of a service.
type Dialer func(s policy.Service, server policy.Server) citronrock.Plain

// Sample is one finished call, for histograms.
type Sample struct {
	// Service and Tenant are empty when the document does not name them.
	Service, Tenant string
	// Outcome is "ok", "replay", "notrun", "unknown" or "failed".
	Outcome  string
	Duration time.Duration
}

// Option changes a Caller in New.
type Option func(*Handler)

// WithName gives the instance's name and incarnation.
func WithName(name string, incarnation uint64) Option {
	return func(c *Handler) { c.name, c.incarnation = name, incarnation }
}

// WithControl gives the control goroutine, which owns all state.
func WithControl(control citronrock.Control) Option {
	return func(c *Handler) { c.control = control }
}

// WithPeers gives the way to other daemons.
func WithPeers(p citronrock.Peers) Option {
	return func(c *Handler) { c.peers = p }
}

// WithClock gives the clock that the control loop uses.
func WithClock(clock citronrock.Clock) Option {
	return func(c *Handler) { c.clock = clock }
}

// WithDialer gives the clients of backend servers.
func WithDialer(d Dialer) Option {
	return func(c *Handler) { c.dial = d }
}

// WithTenants gives limits that generate requests share.
func WithTenants(t *tenant.Limits) Option {
	return func(c *Handler) { c.state.tenants = t }
}

// WithObserver passes each finished call to f.
func WithObserver(f func(Sample)) Option {
	return func(c *Handler) { c.observe = f }
}

// WithSeed seeds the choice of servers and the jitter.
func WithSeed(seed uint64) Option {
	return func(c *Handler) { c.state.rnd = rand.New(rand.NewPCG(seed, 0)) }
}

// WithSecret gives the key of execution tokens, random and of this process only.
// By default one is drawn from crypto/rand.
func WithSecret(key []byte) Option {
	return func(c *Handler) { c.secret = key }
}

// WithOnceLimits replaces the limits of calls that may not be repeated.
func WithOnceLimits(l once.Limits) Option {
	return func(c *Handler) { c.limits = l }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// New returns a Caller. Control, name and dialer are required.
func New(opts ...Option) *Handler {
	c := &Handler{
		clock:   systemClock{},
		observe: func(Sample) {},
		limits:  once.Defaults(),
		state: state{
			rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			tenants:  tenant.New(),
			waits:    map[once.ID]*wait{},
			forwards: map[*forward]bool{},
		},
	}
	for _, o := range opts {
		o(c)
	}
	if c.secret == nil {
		c.secret = make([]byte, 32)
		_, _ = crand.Read(c.secret) // never fails; it ends the process instead
	}
	c.state.table = once.New(c.name, c.incarnation, once.WithSecret(c.secret), once.WithLimits(c.limits))
	return c
}

// Publish puts a document in force.
func (c *Handler) Publish(doc *policy.Document) { c.state.publish(doc, c.dial) }

// UpdateList takes the platform's list of instances.
func (c *Handler) UpdateList(l event.Listed) { c.state.list(c.clock.Now(), l) }

// ObserveRevision takes the highest revision of a list that a peer is known to have, from
// probes. No key starts here until this daemon has that list.
func (c *Handler) ObserveRevision(revision uint64) { c.state.table.ObserveRevision(revision) }

// UpdateMembers takes the daemons that answer, with their incarnations. After a pause
// they must have answered since.
func (c *Handler) UpdateMembers(alive map[string]uint64) { c.state.members(alive) }

// Paused reports that the process did not run for gap.
func (c *Handler) Paused(gap time.Duration) { c.state.table.Paused(c.clock.Now(), gap) }

// Drain makes the daemon refuse new calls as not run. Calls in flight go on, and
// peers still get the answers that are kept here.
func (c *Handler) Drain() {
	c.state.drained = true
	c.state.table.Close()
}

// Call sends a request to a plain service. Its errors are *citronrock.Error.
func (c *Handler) Call(ctx context.Context, r *caller.CallRequest) (*caller.CallReply, error) {
	start := c.clock.Now()
	j, refusal := c.admit(r)
	if refusal != nil {
		c.sample(j, start, answer{refusal: refusal})
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, j.left)
	defer cancel()
	var a answer
	if j.exact() {
		a = c.exact(ctx, j)
	} else {
		a = c.run(ctx, j)
	}
	c.control.Do(func(time.Time) { c.state.leave(j.tenant) })
	c.sample(j, start, a)
	if a.refusal != nil {
		return nil, a.refusal
	}
	return &caller.CallReply{Request: j.request, Status: uint32(a.status), Body: a.body, Replay: a.replay}, nil
}

// tokenLimit bounds the tokens of one request.
const tokenLimit = 1000

// Token issues execution tokens. It counts as one call of the tenant's rate.
func (c *Handler) Token(_ context.Context, r *caller.TokenRequest) (*caller.TokenReply, error) {
	count := max(r.GetCount(), 1)
	if count > tokenLimit {
		return nil, invalid("%d tokens are too many; ask for at most %d", count, tokenLimit)
	}
	reply := &caller.TokenReply{}
	var refusal *citronrock.Error
	ok := c.control.Do(func(now time.Time) {
		if refusal = c.state.count(now, r.GetTenant()); refusal != nil {
			return
		}
		c.state.leave(r.GetTenant())
		for range count {
			reply.Tokens = append(reply.Tokens, c.state.table.Issue(now, r.GetTenant()))
		}
	})
	if !ok {
		refusal = stopped()
	}
	if refusal != nil {
		return nil, refusal
	}
	return reply, nil
}

func (c *Handler) sample(j *job, start time.Time, a answer) {
	s := Sample{Service: j.conf.Name, Tenant: j.known, Outcome: a.outcome(), Duration: c.clock.Now().Sub(start)}
	c.observe(s)
}
