// Package allow keeps the rate limits of tenants over all daemons together.
//
// Each tenant has one owner, a daemon that accounts for its limit (package bucket). The
// daemon that has a client's connection asks the owner for the units of the request, and
// ahead for those it expects next, so that grants follow demand wherever it comes in.
// The owner sends its levels to the next two daemons in order, which take its place when
// it is silent.
//
// Bound: whatever daemons start, stop, are cut off or differ in their view, the requests of
// a tenant that are admitted in a window stay within bucket.Contract; TestFleetKeepsContract
// checks the sum over all processes.
package allow

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/repeat"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/bucket"
	"citronrock.example/citronrock/internal/room/permit"
	"citronrock.example/citronrock/internal/route/config"
	"github.com/hashicorp/go-hclog"
)

const (
	// tickInterval is the time between looks at the fleet and at units that have expired.
	tickInterval = 100 * time.Millisecond
	// levelsInterval is the time between two messages with the levels of accounts.
	levelsInterval = 250 * time.Millisecond
	// forgetAfter is how long the state of a tenant is kept after its last use.
	forgetAfter = 30 * time.Second
	// freshDelay is how long a daemon of a fleet in which none is mature has to be known
	// before it may own accounts: the views of daemons that start together differ at first.
	freshDelay = 300 * time.Millisecond
	// ownerCount is the number of daemons that have the level of an account: its owner and
	// the two that own it next.
	ownerCount = 3
)

// Members is the view of the live daemons.
type Members interface {
	gossip.Members
	// Lost returns the number of daemons that were alive within the last hour, are not now
	// and have not left. A shorter memory would let both parts of a divided fleet grant
	// whole limits once they have forgotten each other.
	Lost() int
}

// Lookup returns a tenant of the configuration in force, nil if it has none of that name.
type Lookup func(name string) *config.Tenant

// Manager admits the requests of one daemon and serves the accounts that it owns. It is safe
// for concurrent use.
type Manager struct {
	self     netip.AddrPort
	socket   dgram.Transport
	members  Members
	seeds    func() []netip.AddrPort
	lookup   Lookup
	contract bucket.Contract
	log      hclog.Logger
	work     *repeat.Group

	mu    sync.Mutex
	part  *bucket.Part
	alive []gossip.LiveMember
	// steadySince is when the set of daemons that may own accounts last changed. No other
	// daemon has granted units of this one's accounts since then.
	steadySince time.Time
	tenants     map[string]*local
	accounts    map[string]*account
	replicas    map[string]replica
	owners      map[string]owners
	nextID      uint64
	// silentUntil has the daemons that did not answer and are passed over until then.
	silentUntil map[netip.AddrPort]time.Time
	levelsAt    time.Time
	// firstSeen is when each process was first seen, while none of them is mature.
	firstSeen map[process]time.Time
}

// process identifies a daemon's process.
type process struct {
	addr        netip.AddrPort
	incarnation int64
}

// owners are the owner of an account and the next daemons in order. They are kept until the
// fleet changes, as they take a hash of each daemon.
type owners struct {
	list   []netip.AddrPort
	usedAt time.Time
}

// Option configures a manager.
type Option func(*Manager)

// WithSeeds sets a function that returns the daemons which this one was told of at its
// start. A daemon that has met few of them grants nothing at first.
func WithSeeds(f func() []netip.AddrPort) Option { return func(m *Manager) { m.seeds = f } }

// WithContract sets the bound on the requests that all daemons admit.
func WithContract(c bucket.Contract) Option { return func(m *Manager) { m.contract = c } }

// New returns the manager of the daemon at an address. Close stops it.
func New(self netip.AddrPort, socket dgram.Transport, members Members, lookup Lookup, log hclog.Logger, opts ...Option) *Manager {
	m := &Manager{self: self, socket: socket, members: members, lookup: lookup, log: log, part: bucket.NewPart(time.Now()),
		seeds: func() []netip.AddrPort { return nil }, contract: bucket.Contract{Window: time.Second},
		tenants: map[string]*local{}, accounts: map[string]*account{}, replicas: map[string]replica{}, owners: map[string]owners{},
		silentUntil: map[netip.AddrPort]time.Time{}, firstSeen: map[process]time.Time{}, work: repeat.New(log, "rate limits of tenants"),
		// Owners tell repeated asks by their IDs, which must not begin again after a restart.
		nextID: uint64(time.Now().UnixNano())}
	for _, o := range opts {
		o(m)
	}
	m.observe(time.Now())
	socket.Handle(dgram.QuotaRequest, m.onRequest)
	socket.Handle(dgram.QuotaReply, m.onReply)
	socket.Handle(dgram.QuotaLevels, m.onLevels)
	m.work.Every(tickInterval, m.tick)
	return m
}

// Close ends the manager's periodic work.
func (m *Manager) Close() { m.work.Close() }

// tick looks at the fleet, returns what has expired and sends levels.
func (m *Manager) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(now)
	m.expire(now)
	if now.Sub(m.levelsAt) >= levelsInterval {
		m.levelsAt = now
		m.sendLevels(now)
	}
}

// observe reads the state of the fleet. The caller holds mu.
func (m *Manager) observe(now time.Time) {
	alive := m.candidates(now, m.members.Alive())
	if !slices.EqualFunc(alive, m.alive, func(a, b gossip.LiveMember) bool {
		return a.Addr == b.Addr && a.Mature == b.Mature && a.Leaving == b.Leaving && a.CPUShare == b.CPUShare
	}) {
		m.steadySince = now
		clear(m.owners)
	}
	m.alive = alive
	v := bucket.View{Alive: len(m.alive), Known: len(m.alive) + m.members.Lost()}
	for _, s := range m.seeds() {
		v.Seeds++
		if s == m.self || m.isAlive(s) {
			v.SeedsAlive++
		}
	}
	m.part.Update(now, v)
}

// candidates returns the live daemons with those marked as mature that may own accounts. If
// all daemons have just started, that are the ones known for a moment: nobody could be
// admitted until one is mature. The caller holds mu.
func (m *Manager) candidates(now time.Time, alive []gossip.LiveMember) []gossip.LiveMember {
	if slices.ContainsFunc(alive, func(o gossip.LiveMember) bool { return o.Mature && !o.Leaving }) {
		clear(m.firstSeen)
		return alive
	}
	out := slices.Clone(alive)
	for i := range out {
		p := process{out[i].Addr, out[i].Incarnation}
		at, ok := m.firstSeen[p]
		if !ok {
			at = now
			m.firstSeen[p] = now
		}
		out[i].Mature = now.Sub(at) >= freshDelay
	}
	return out
}

func (m *Manager) isAlive(addr netip.AddrPort) bool {
	for i := range m.alive {
		if m.alive[i].Addr == addr {
			return true
		}
	}
	return false
}

// ownersOf returns the owner of a tenant's account and the next daemons in order. Entries
// are the zero value where there is none. The caller holds mu.
func (m *Manager) ownersOf(now time.Time, tenant string) []netip.AddrPort {
	o, ok := m.owners[tenant]
	if !ok {
		o.list = permit.Owners(tenant, m.alive, ownerCount)
	}
	o.usedAt = now
	m.owners[tenant] = o
	return o.list
}

// Ticket is the admission of one request.
type Ticket struct {
	manager *Manager
	tenant  string
	units   float64
	at      time.Time
}

// refundTime is the time within which units of a request that did not run are given back.
// Units that come back later could add to those of another window.
const refundTime = 500 * time.Millisecond

// GiveBack returns the units of a request that has not run. A nil ticket has none.
func (t *Ticket) GiveBack() {
	if t == nil {
		return
	}
	now := time.Now()
	if now.Sub(t.at) > refundTime {
		return
	}
	m := t.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.tenants[t.tenant]
	if l == nil {
		return
	}
	l.back += t.units
	l.totals.Returned += t.units
	l.totals.Used -= t.units
	t.units = 0 // a second call gives nothing back
}

// Refusal says why a request is not admitted.
type Refusal struct {
	// Limited is set if the tenant is over its limit, else no owner could be asked.
	Limited bool
	// RetryAfter is the time after which the limit has room again.
	RetryAfter time.Duration
	// Had is the level of the account, and Cost what the request counts, in units.
	Had, Cost float64
	// Owner is the daemon that accounts for the tenant, Age the time since it said so.
	Owner netip.AddrPort
	Age   time.Duration
}

// Acquire admits a request of a tenant that counts a number of units. It waits for the
// owner's answer where this daemon has no units at hand. One of the results is nil; both are
// for a tenant without a limit.
func (m *Manager) Acquire(ctx context.Context, t *config.Tenant, cost float64) (*Ticket, *Refusal) {
	if t == nil || t.Rate <= 0 || cost <= 0 {
		return nil, nil
	}
	// What the account can't be charged must not come back as a refund either.
	cost = min(cost, rateOf(t).MaxCost())
	now := time.Now()
	m.mu.Lock()
	l := m.local(now, t)
	if l.take(now, cost) {
		m.mu.Unlock()
		return &Ticket{m, t.Name, cost, now}, nil
	}
	if r := l.refusedUntil(now, cost); r != nil {
		m.mu.Unlock()
		return nil, r
	}
	w := &waiter{cost: cost, done: make(chan *Refusal, 1)}
	l.waiting = append(l.waiting, w)
	m.startAsk(now, l)
	m.mu.Unlock()
	select {
	case r := <-w.done:
		if r != nil {
			return nil, r
		}
		return &Ticket{m, t.Name, cost, time.Now()}, nil
	case <-ctx.Done():
		m.abandon(l, w)
		return nil, &Refusal{Cost: cost, RetryAfter: ownerlessRetryAfter}
	}
}
