// Package call executes calls to plain services: it picks a backend server,
// retries within the retry budget, and executes non-idempotent calls that carry
// a key or an execution token at most once.
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
// goroutine, and do their I/O on the goroutine that calls them. Publish,
// UpdateList, ObserveRevision, UpdateMembers, Paused and Drain must be called on
// the control goroutine.
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

	state state // accessed on the control goroutine only
}

// Dialer returns the client of a server of a service.
type Dialer func(s policy.Service, server policy.Server) citronrock.Plain

// Sample describes a finished call, for histograms.
type Sample struct {
	// Service and Tenant are empty when the document doesn't contain them.
	Service, Tenant string
	// Outcome is "ok", "replay", "notrun", "unknown" or "failed".
	Outcome  string
	Duration time.Duration
}

// Option configures a Handler in New.
type Option func(*Handler)

// WithName sets the instance's name and incarnation.
func WithName(name string, incarnation uint64) Option {
	return func(h *Handler) { h.name, h.incarnation = name, incarnation }
}

// WithControl sets the control goroutine, which owns all state.
func WithControl(control citronrock.Control) Option {
	return func(h *Handler) { h.control = control }
}

// WithPeers sets the client that forwards calls to other daemons.
func WithPeers(p citronrock.Peers) Option {
	return func(h *Handler) { h.peers = p }
}

// WithClock sets the clock; it must be the one of the control loop.
func WithClock(clock citronrock.Clock) Option {
	return func(h *Handler) { h.clock = clock }
}

// WithDialer sets the function that returns clients of backend servers.
func WithDialer(d Dialer) Option {
	return func(h *Handler) { h.dial = d }
}

// WithTenants sets tenant limits that are shared with generate requests.
func WithTenants(t *tenant.Limits) Option {
	return func(h *Handler) { h.state.tenants = t }
}

// WithObserver passes each finished call to f.
func WithObserver(f func(Sample)) Option {
	return func(h *Handler) { h.observe = f }
}

// WithSeed seeds tie-breaking between servers and the jitter of delays.
func WithSeed(seed uint64) Option {
	return func(h *Handler) { h.state.rnd = rand.New(rand.NewPCG(seed, 0)) }
}

// WithSecret sets the HMAC key of execution tokens, which must be random and
// known to this process only. By default it is read from crypto/rand.
func WithSecret(key []byte) Option {
	return func(h *Handler) { h.secret = key }
}

// WithOnceLimits replaces the limits of the records of at-most-once calls.
func WithOnceLimits(l once.Limits) Option {
	return func(h *Handler) { h.limits = l }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// New returns a Handler. WithControl, WithName and WithDialer are required.
func New(opts ...Option) *Handler {
	h := &Handler{
		clock:   systemClock{},
		observe: func(Sample) {},
		limits:  once.Defaults(),
		state: state{
			rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			tenants:  tenant.New(),
			running:  map[once.ID]*execution{},
			forwards: map[*forwardedCall]bool{},
		},
	}
	for _, o := range opts {
		o(h)
	}
	if h.secret == nil {
		h.secret = make([]byte, 32)
		_, _ = crand.Read(h.secret) // never returns an error; it crashes the process instead
	}
	h.state.table = once.New(h.name, h.incarnation, once.WithSecret(h.secret), once.WithLimits(h.limits))
	return h
}

// Publish applies a document unless a document of the same or a newer version is in force.
func (h *Handler) Publish(doc *policy.Document) { h.state.publish(doc, h.dial) }

// UpdateList applies the platform's instance list; older revisions are ignored.
func (h *Handler) UpdateList(l event.Listed) { h.state.updateList(h.clock.Now(), l) }

// ObserveRevision records that a peer has an instance list of this revision.
// Until this daemon has that list too, it starts no call with a key.
func (h *Handler) ObserveRevision(revision uint64) { h.state.table.ObserveRevision(revision) }

// UpdateMembers sets the live daemons and their incarnations. After a process
// pause, alive must contain only daemons that have answered since.
func (h *Handler) UpdateMembers(alive map[string]uint64) { h.state.updateMembers(alive) }

// Paused tells the handler that the process did not run for gap.
func (h *Handler) Paused(gap time.Duration) { h.state.table.Paused(h.clock.Now(), gap) }

// Drain makes the daemon refuse new calls as not run. Calls in flight continue,
// and peers still get the answers that are stored here.
func (h *Handler) Drain() {
	h.state.drained = true
	h.state.table.Close()
}

// Call executes a call of a client to a plain service. Its errors are
// *citronrock.Error.
func (h *Handler) Call(ctx context.Context, r *caller.CallRequest) (*caller.CallReply, error) {
	start := h.clock.Now()
	j, refusal := h.admit(r)
	if refusal != nil {
		h.sample(j, start, answer{refusal: refusal})
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	var a answer
	if j.atMostOnce() {
		a = h.callAtMostOnce(ctx, j)
	} else {
		a = h.run(ctx, j)
	}
	h.control.Do(func(time.Time) { h.state.finish(j.tenant) })
	h.sample(j, start, a)
	if a.refusal != nil {
		return nil, a.refusal
	}
	return &caller.CallReply{Request: j.request, Status: uint32(a.status), Body: a.body, Replay: a.replay}, nil
}

// maxTokens is the largest number of execution tokens in one request.
const maxTokens = 1000

// Token issues execution tokens. It counts as one call against the tenant's rate
// limit. Its errors are *citronrock.Error.
func (h *Handler) Token(_ context.Context, r *caller.TokenRequest) (*caller.TokenReply, error) {
	count := max(r.GetCount(), 1)
	if count > maxTokens {
		return nil, invalid("%d tokens are too many; ask for at most %d", count, maxTokens)
	}
	reply := &caller.TokenReply{}
	var refusal *citronrock.Error
	ok := h.control.Do(func(now time.Time) {
		if refusal = h.state.admitTenant(now, r.GetTenant()); refusal != nil {
			return
		}
		h.state.finish(r.GetTenant())
		for range count {
			reply.Tokens = append(reply.Tokens, h.state.table.Issue(now, r.GetTenant()))
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

func (h *Handler) sample(j *job, start time.Time, a answer) {
	s := Sample{Service: j.conf.Name, Tenant: j.tenantLabel, Outcome: a.outcome(), Duration: h.clock.Now().Sub(start)}
	h.observe(s)
}
