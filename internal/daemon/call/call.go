// Package call carries out calls to plain services: it picks the backend
// server, makes the attempts that the rules allow, and keeps calls that may not
// be repeated to one run.
package call

import (
	"context"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Caller serves Router.Call and Router.Token, and Peer.Execute for other
// daemons.
//
// Call, Token and Execute may be called from any goroutine but the control
// goroutine, and do their I/O on the goroutine that calls them. The inputs
// Publish, List, Members, Paused and Drain must be called on the control
// goroutine.
type Caller struct {
	name        string
	incarnation uint64
	control     citronrock.Control
	peers       citronrock.Peers
	clock       citronrock.Clock
	dial        Dialer
	observe     func(Sample)

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
type Option func(*Caller)

// WithName gives the instance's name and incarnation.
func WithName(name string, incarnation uint64) Option {
	return func(c *Caller) { c.name, c.incarnation = name, incarnation }
}

// WithControl gives the control goroutine, which owns all state.
func WithControl(control citronrock.Control) Option {
	return func(c *Caller) { c.control = control }
}

// WithPeers gives the way to other daemons.
func WithPeers(p citronrock.Peers) Option {
	return func(c *Caller) { c.peers = p }
}

// WithClock gives the clock that the control loop uses.
func WithClock(clock citronrock.Clock) Option {
	return func(c *Caller) { c.clock = clock }
}

// WithDialer gives the clients of backend servers.
func WithDialer(d Dialer) Option {
	return func(c *Caller) { c.dial = d }
}

// WithTenants replaces the limits of tenants.
func WithTenants(t Tenants) Option {
	return func(c *Caller) { c.state.tenants = t }
}

// WithObserver passes each finished call to f.
func WithObserver(f func(Sample)) Option {
	return func(c *Caller) { c.observe = f }
}

// WithSeed seeds the choice of servers and the jitter.
func WithSeed(seed uint64) Option {
	return func(c *Caller) { c.state.rnd = rand.New(rand.NewPCG(seed, 0)) }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// New returns a Caller. Control, name and dialer are required.
func New(opts ...Option) *Caller {
	c := &Caller{
		clock:   systemClock{},
		observe: func(Sample) {},
		state: state{
			rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			tenants: NewTenants(),
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Publish puts a document in force.
func (c *Caller) Publish(doc *policy.Document) { c.state.publish(doc, c.dial) }

// List takes the platform's list of instances.
func (c *Caller) List(l event.Listed) { c.state.list(l) }

// Members takes the daemons that answer, with their incarnations.
func (c *Caller) Members(map[string]uint64) {}

// Paused reports that the process did not run for gap.
func (c *Caller) Paused(time.Duration) {}

// Drain makes the daemon refuse new calls as not run. Calls in flight go on.
func (c *Caller) Drain() { c.state.drained = true }

// Call sends a request to a plain service. Its errors are *citronrock.Error.
func (c *Caller) Call(ctx context.Context, r *caller.CallRequest) (*caller.CallReply, error) {
	start := c.clock.Now()
	j, refusal := c.admit(r)
	if refusal != nil {
		c.sample(j, start, answer{refusal: refusal})
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, j.left)
	defer cancel()
	a := c.run(ctx, j)
	c.control.Do(func(time.Time) { c.state.tenants.Release(j.tenant) })
	c.sample(j, start, a)
	if a.refusal != nil {
		return nil, a.refusal
	}
	return &caller.CallReply{Request: j.request, Status: uint32(a.status), Body: a.body, Replay: a.replay}, nil
}

// Token issues execution tokens.
func (c *Caller) Token(context.Context, *caller.TokenRequest) (*caller.TokenReply, error) {
	return nil, refuse(citronrock.NotRun, citronrock.ReasonInvalid, "execution tokens are not issued; send an idempotency key", 0)
}

// Execute runs a call for the daemon from.
func (c *Caller) Execute(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply {
	return &peer.ExecuteReply{Kind: uint32(citronrock.NotRun), Reason: string(citronrock.ReasonHome)}
}

func (c *Caller) sample(j *job, start time.Time, a answer) {
	s := Sample{Service: j.conf.Name, Tenant: j.known, Outcome: a.outcome(), Duration: c.clock.Now().Sub(start)}
	c.observe(s)
}
