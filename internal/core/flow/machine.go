// Package flow drives generate requests through their steps at the edge daemon,
// which holds the client's connection: admission, lease, reservation of decode
// memory, prefill, KV transfer, decode and release. It is a state machine without
// I/O.
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

// Strikes records the strikes of requests that crashed engines, by fingerprint.
// Add and Clear return the update to gossip, nil for none.
type Strikes interface {
	Count(now time.Time, fingerprint uint64) int
	Add(now time.Time, fingerprint uint64, engine string) *peer.Strike
	Clear(now time.Time, fingerprint uint64) *peer.Strike
}

// Option changes a new Machine.
type Option func(*Machine)

// WithStrikes sets the table of strikes. Without it none are recorded.
func WithStrikes(strikes Strikes) Option { return func(m *Machine) { m.strikes = strikes } }

// WithTenants sets tenant limits that are shared with calls to plain services.
// Without it the machine has limits of its own.
func WithTenants(limits *tenant.Limits) Option { return func(m *Machine) { m.tenants = limits } }

// WithSeed sets the seed of all random choices. By default it is derived from the
// name and the incarnation of the daemon.
func WithSeed(seed uint64) Option { return func(m *Machine) { m.seed = seed } }

// Machine holds the generate requests in flight at one edge daemon. It implements
// citronrock.Machine.
type Machine struct {
	seed      uint64
	random    *rand.Rand
	strikes   Strikes
	admission *admit.Controller
	tenants   *tenant.Limits

	services map[string]*modelService
	engines  map[string]*engine
	requests map[string]*request
	// cleanups free what engines hold for requests that no longer use them; byAge
	// has the same entries.
	cleanups map[cleanupKey]*cleanup
	byAge    cleanupList

	timers timers
	// epoch is the time of the first event; now is the time of the current one and
	// at the same as an offset from epoch.
	epoch, now time.Time
	at         time.Duration
	lastSeq    uint64
	out        []event.Action
}

// modelService holds the settings of a model service and its retry budget.
type modelService struct {
	// firstTokenTarget is the target for the time to the first token,
	// tokenGapTarget that for the time between two tokens.
	firstTokenTarget, tokenGapTarget time.Duration
	priority                         uint32
	idempotent                       bool
	budget                           *retry.Budget
	budgetShare                      float64
}

// engine is the state of an engine.
type engine struct {
	cell string
	// fencingToken is the highest fencing token in the leases on the engine. Cancels
	// carry it, since engines that check fencing tokens refuse a lower one.
	fencingToken uint64
	// configured is true while the engine is in the document, leaving while the
	// instance list says so.
	configured, leaving bool
	// budget allows the retries that this engine's failures cause.
	budget *retry.Budget
}

// New returns the machine of the daemon with the given instance name and
// incarnation.
func New(name string, incarnation uint64, opts ...Option) *Machine {
	m := &Machine{
		seed:     xxhash.Sum64String(name) ^ incarnation,
		strikes:  noStrikes{},
		services: map[string]*modelService{},
		engines:  map[string]*engine{},
		requests: map[string]*request{},
		cleanups: map[cleanupKey]*cleanup{},
	}
	for _, o := range opts {
		o(m)
	}
	if m.strikes == nil {
		m.strikes = noStrikes{}
	}
	m.random = rand.New(rand.NewPCG(m.seed, m.seed>>32))
	m.admission = admit.New(m.random)
	if m.tenants != nil {
		m.admission.SetTenants(m.tenants)
	}
	return m
}

// Step applies an event and appends the resulting actions to out.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	// The offset never decreases, so that timers keep their order.
	m.now, m.at = now, max(m.at, now.Sub(m.epoch))
	m.out = out
	m.applyEvent(e)
	out, m.out = m.out, nil
	return out
}

func (m *Machine) applyEvent(e event.Event) {
	switch e := e.(type) {
	case event.Progress:
		m.onProgress(e)
	case event.Held:
		m.onHeld(e)
	case event.Prefilled:
		m.onPrefilled(e)
	case event.Moved:
		m.onMoved(e)
	case event.Cancelled:
		m.onCancelled(e)
	default:
		m.applyAdmission(e)
		m.admitQueued()
	}
}

// applyAdmission applies the events after which a queued request may be able to
// run.
func (m *Machine) applyAdmission(e event.Event) {
	switch e := e.(type) {
	case event.Arrive:
		m.onArrive(e)
	case event.Granted:
		m.onGranted(e.Grant)
	case event.Ended:
		m.onEnded(e)
	case event.Gone:
		m.onGone(e)
	case event.Tick:
		m.onTick()
	default:
		m.applyControl(e)
	}
}

// applyControl applies the events that don't belong to one request.
func (m *Machine) applyControl(e event.Event) {
	switch e := e.(type) {
	case event.Published:
		m.onPublished(e.Document)
	case event.Members:
		m.admission.Members(len(e.Alive))
	case event.Paused:
		m.onPaused()
	case event.Listed:
		m.onListed(e.Instances)
	}
}

// Wake returns the earliest time at which a Tick is needed, zero for none.
func (m *Machine) Wake() time.Time {
	wake := m.admission.Wake(m.now)
	if len(m.timers) == 0 {
		return wake
	}
	first := m.epoch.Add(m.timers[0].at)
	if wake.IsZero() || first.Before(wake) {
		return first
	}
	return wake
}

// onTick runs the timers that are due.
func (m *Machine) onTick() {
	for len(m.timers) > 0 && m.timers[0].at <= m.at {
		due := m.timers[0]
		m.timers.stop(due)
		if due.forCleanup != nil {
			m.onCleanupTimer(due.forCleanup)
			continue
		}
		m.onTimer(due.forRequest)
	}
}

// admitQueued answers the queued requests that were shed and starts those that may
// run.
func (m *Machine) admitQueued() {
	for {
		queued, decision, ok := m.admission.Shed(m.now)
		if !ok {
			break
		}
		if r := m.requests[queued.ID]; r != nil {
			m.fail(r, decision.Reason, decision.RetryAfter)
		}
	}
	for {
		queued, ok := m.admission.Dequeue(m.now)
		if !ok {
			return
		}
		if r := m.requests[queued.ID]; r != nil {
			m.requestLease(r)
		}
	}
}

// InFlight returns the number of requests in flight and the number of cleanups,
// which free in the background what engines hold for ended requests.
func (m *Machine) InFlight() (requests, cleanups int) {
	return len(m.requests), len(m.cleanups)
}

func (m *Machine) emit(a event.Action) { m.out = append(m.out, a) }

// Retry budgets: the retries per first attempt where the document sets no share,
// and the largest number of unused retries of a service and of an engine. An
// engine runs about twenty requests, so its budget covers the loss of all of
// them; a single failing engine can't use up the budget of its service.
const (
	defaultBudgetShare = 0.1
	serviceBudget      = 64
	engineBudget       = 24
)

func (m *Machine) onPublished(doc *policy.Document) {
	next := map[string]*modelService{}
	for _, defined := range doc.Services {
		if defined.Kind == policy.KindPlain {
			continue
		}
		share := defined.RetryRatio
		if share == 0 {
			share = defaultBudgetShare
		}
		s := m.services[defined.Name]
		if s == nil {
			s = &modelService{}
		}
		if s.budget == nil || s.budgetShare != share {
			s.budget, s.budgetShare = retry.NewBudget(share, serviceBudget), share
		}
		s.firstTokenTarget, s.tokenGapTarget = time.Duration(defined.LatencyTarget), time.Duration(defined.GapTarget)
		s.priority, s.idempotent = defined.Priority, defined.Idempotent
		next[defined.Name] = s
	}
	m.services = next
	m.updateEngines(doc)
	m.admission.Publish(m.now, doc)
}

func (m *Machine) updateEngines(doc *policy.Document) {
	for _, e := range m.engines {
		e.configured = false
	}
	for _, defined := range doc.Engines {
		e := m.engine(defined.Name)
		e.cell, e.configured = defined.Cell, true
	}
}

// onListed reads the leaving engines from the instance list, so that a lease on
// one that was granted before the owner read the list is not used.
func (m *Machine) onListed(all []*platfm.Instance) {
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
		e = &engine{budget: retry.NewBudget(defaultBudgetShare, engineBudget)}
		m.engines[name] = e
	}
	return e
}

// sortedRequests returns the requests in flight in the order of their arrival, so
// that the order of actions doesn't depend on that of a map.
func (m *Machine) sortedRequests() []*request {
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
