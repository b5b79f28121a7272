// Package flow drives generate requests through their life at the edge:
// admission, reservation, hold, prefill, transfer, decode and release. It is a
// state machine without I/O.
package flow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/admit"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"citronrock.example/citronrock/internal/core/tenant"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Strikes are the records of requests that crashed backend servers, by the hash
// of their content. Add and Clear return the record to spread, nil for none.
type Strikes interface {
	Count(now time.Time, print uint64) int
	Add(now time.Time, print uint64, engine string) *peer.Strike
	Clear(now time.Time, print uint64) *peer.Strike
}

// Option changes a new Machine.
type Option func(*Machine)

// WithStrikes gives the records of suspect requests.
func WithStrikes(s Strikes) Option { return func(m *Machine) { m.strikes = s } }

// WithTenants gives limits that calls to plain services share.
func WithTenants(l *tenant.Limits) Option { return func(m *Machine) { m.tenants = l } }

// WithSeed sets the seed of all random choices in place of one made from the
// name and the incarnation.
func WithSeed(seed uint64) Option { return func(m *Machine) { m.seed = seed } }

// Machine holds the generate requests of one edge. It implements
// citronrock.Machine.
type Machine struct {
	seed    uint64
	rnd     *rand.Rand
	strikes Strikes
	gate    *admit.Controller
	tenants *tenant.Limits

	services map[string]*service
	engines  map[string]*engine
	requests map[string]*request
	// releases are the engines that may hold something of a request that has no
	// use for it; see release.go.
	releases map[place]*release
	oldest   releaseList

	timers timers
	// base is the time of the first event; now and at are the time of the
	// current one, absolute and as an offset.
	base, now time.Time
	at        time.Duration
	seq       uint64
	out       []event.Action
}

// service is what the machine needs of a model service.
type service struct {
	first, gap time.Duration
	priority   uint32
	idempotent bool
	budget     *retry.Budget
	share      float64
}

// engine is what the machine knows of an engine.
type engine struct {
	cell string
	// fence is the highest fencing number granted for the engine. Cancels carry
	// it, since engines that check refuse a lower one.
	fence uint64
	// known is false once the engine is in no document, leaving is true while
	// the instance list says so.
	known, leaving bool
	// budget allows the retries that this engine's failures cause.
	budget *retry.Budget
}

// New returns the machine of the daemon name with the given incarnation.
func New(name string, incarnation uint64, opts ...Option) *Machine {
	m := &Machine{
		seed:     xxhash.Sum64String(name) ^ incarnation,
		strikes:  noStrikes{},
		services: map[string]*service{},
		engines:  map[string]*engine{},
		requests: map[string]*request{},
		releases: map[place]*release{},
	}
	for _, o := range opts {
		o(m)
	}
	if m.strikes == nil {
		m.strikes = noStrikes{}
	}
	m.rnd = rand.New(rand.NewPCG(m.seed, m.seed>>32))
	m.gate = admit.New(m.rnd)
	if m.tenants != nil {
		m.gate.SetTenants(m.tenants)
	}
	return m
}

// Step applies an event and appends the resulting actions to out.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	if m.base.IsZero() {
		m.base = now
	}
	// The time never runs backwards, so that timers keep their order.
	m.now, m.at = now, max(m.at, now.Sub(m.base))
	m.out = out
	m.apply(e)
	out, m.out = m.out, nil
	return out
}

func (m *Machine) apply(e event.Event) {
	switch e := e.(type) {
	case event.Progress:
		m.progress(e)
	case event.Held:
		m.held(e)
	case event.Prefilled:
		m.prefilled(e)
	case event.Moved:
		m.moved(e)
	case event.Cancelled:
		m.cancelled(e)
	default:
		m.applyRest(e)
		m.drain()
	}
}

// applyRest applies the events after which a queued request may run.
func (m *Machine) applyRest(e event.Event) {
	switch e := e.(type) {
	case event.Arrive:
		m.arrive(e)
	case event.Granted:
		m.granted(e.Grant)
	case event.Ended:
		m.ended(e)
	case event.Gone:
		m.gone(e)
	case event.Tick:
		m.tick()
	default:
		m.control(e)
	}
}

// control applies the events that concern the daemon and not one request.
func (m *Machine) control(e event.Event) {
	switch e := e.(type) {
	case event.Published:
		m.published(e.Document)
	case event.Members:
		m.gate.Members(len(e.Alive))
	case event.Paused:
		m.paused()
	case event.Listed:
		m.listed(e.Instances)
	}
}

// Wake returns the earliest time at which a Tick is wanted.
func (m *Machine) Wake() time.Time {
	wake := m.gate.Wake(m.now)
	if len(m.timers) == 0 {
		return wake
	}
	first := m.base.Add(m.timers[0].at)
	if wake.IsZero() || first.Before(wake) {
		return first
	}
	return wake
}

// tick runs the timers that are due.
func (m *Machine) tick() {
	for len(m.timers) > 0 && m.timers[0].at <= m.at {
		t := m.timers[0]
		m.timers.stop(t)
		if t.rel != nil {
			m.repeat(t.rel)
			continue
		}
		m.expire(t.req)
	}
}

// drain answers queued requests that were shed and starts those that may run.
func (m *Machine) drain() {
	for {
		a, v, ok := m.gate.Shed(m.now)
		if !ok {
			break
		}
		if r := m.requests[a.ID]; r != nil {
			m.fail(r, v.Reason, v.After)
		}
	}
	for {
		a, ok := m.gate.Dequeue(m.now)
		if !ok {
			return
		}
		if r := m.requests[a.ID]; r != nil {
			m.ask(r)
		}
	}
}

// InFlight returns the number of live requests and of background entries that free
// what engines hold of requests.
func (m *Machine) InFlight() (requests, releases int) {
	return len(m.requests), len(m.releases)
}

func (m *Machine) emit(a event.Action) { m.out = append(m.out, a) }

// Limits of the retry budgets: the share used when the document gives none, and
// the number of unused retries kept for a service and for an engine. An engine
// runs about twenty requests, so its loss must fit; one failing engine must not
// use up the budget of its service.
const (
	budgetShare  = 0.1
	budgetLimit  = 64
	budgetEngine = 24
)

func (m *Machine) published(d *policy.Document) {
	next := map[string]*service{}
	for _, p := range d.Service {
		if p.Kind == policy.KindPlain {
			continue
		}
		share := p.Retry
		if share == 0 {
			share = budgetShare
		}
		s := m.services[p.Name]
		if s == nil {
			s = &service{}
		}
		if s.budget == nil || s.share != share {
			s.budget, s.share = retry.NewBudget(share, budgetLimit), share
		}
		s.first, s.gap = time.Duration(p.First), time.Duration(p.Gap)
		s.priority, s.idempotent = p.Priority, p.Idempotent
		next[p.Name] = s
	}
	m.services = next
	m.publishedEngines(d)
	m.gate.Publish(m.now, d)
}

func (m *Machine) publishedEngines(d *policy.Document) {
	for _, e := range m.engines {
		e.known = false
	}
	for _, p := range d.Engines {
		e := m.engine(p.Name)
		e.cell, e.known = p.Cell, true
	}
}

// listed takes the leaving engines from the instance list, so that a grant that
// was given before its owner read the list is not used.
func (m *Machine) listed(all []*platfm.Instance) {
	for _, e := range m.engines {
		e.leaving = false
	}
	for _, i := range all {
		if i.GetKind() == "engine" && i.GetState() == "leaving" {
			m.engine(i.GetName()).leaving = true
		}
	}
}

func (m *Machine) engine(name string) *engine {
	e := m.engines[name]
	if e == nil {
		e = &engine{budget: retry.NewBudget(budgetShare, budgetEngine)}
		m.engines[name] = e
	}
	return e
}

// sorted returns the live requests in the order of their arrival, so that the
// actions for all of them don't depend on the order of a map.
func (m *Machine) sorted() []*request {
	all := make([]*request, 0, len(m.requests))
	for _, r := range m.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.seq) - int(b.seq) })
	return all
}

type noStrikes struct{}

func (noStrikes) Count(time.Time, uint64) int                { return 0 }
func (noStrikes) Add(time.Time, uint64, string) *peer.Strike { return nil }
func (noStrikes) Clear(time.Time, uint64) *peer.Strike       { return nil }
