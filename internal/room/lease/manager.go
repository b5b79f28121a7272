// Package lease acquires leases on model engines from the owner of a service, and
// serves the ledgers of the services that this daemon owns.
//
// The owner of a service is the first live daemon in rendezvous-hash order. Every
// daemon reports its runs to the owner and to the next daemon in that order, so that
// the latter can take over at once when the owner fails.
package lease

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Times of reports, polls and the control loop.
const (
	// minReportInterval is the time between reports to the owners in a small fleet. The
	// interval grows by reportIntervalPerDaemon for each daemon up to
	// maxReportInterval, which bounds the load of an owner.
	minReportInterval       = 200 * time.Millisecond
	reportIntervalPerDaemon = 20 * time.Millisecond
	maxReportInterval       = time.Second
	// reportDelay is the delay of a report after a change, so that one report covers
	// several changes.
	reportDelay = 3 * time.Millisecond
	// tickInterval is the time between checks of the queues.
	tickInterval = 20 * time.Millisecond
	// endedReportTime is how long reports list a released lease.
	endedReportTime = time.Second
	// reportedPrefills is the number of prefills in a report. A daemon has one in several
	// seconds in a large fleet, and a report may be lost.
	reportedPrefills = 6
	// fullReportTime is how long reports list an engine that refused a request.
	fullReportTime = 250 * time.Millisecond
	// usageTimeout bounds a poll of an engine's usage.
	usageTimeout = 400 * time.Millisecond
	// minRefreshInterval is the shortest time between two refreshes of the engine
	// lists. The interval is at least refreshBackoff times the duration of a refresh,
	// since thousands of servers that start together change one by one.
	minRefreshInterval = 5 * time.Millisecond
	refreshBackoff     = 20
	// pollInterval is the time between searches for engines to poll.
	pollInterval = 100 * time.Millisecond
	// skipTime is how long a daemon that doesn't answer lease requests is skipped.
	skipTime = 500 * time.Millisecond
)

// Members is the view of the live daemons.
type Members interface {
	gossip.Members
	// Known returns the number of daemons that were alive recently.
	Known() int
}

// Engines reads the usage of engines and orders them to switch their stage. The
// methods block until the engine has answered or ctx ends.
type Engines interface {
	Usage(ctx context.Context, s pool.Server) (ledger.Usage, error)
	Order(ctx context.Context, s pool.Server, o Order) error
}

// Manager acquires leases for one daemon and serves the ledgers of the services that
// the daemon owns.
type Manager struct {
	self        netip.AddrPort
	incarnation int64
	domain      string
	socket      dgram.Transport
	members     Members
	table       *pool.Table
	engines     Engines
	log         hclog.Logger

	// commands run on the control goroutine, which owns the fields below.
	commands   chan func(now time.Time)
	stop       chan struct{}
	done       chan struct{}
	ledgers    map[string]*ledger.Ledger
	capacities map[string]Capacity
	holdings   map[string]*holdings
	pending    map[uint64]*pending
	sequence   uint64
	skipUntil  map[netip.AddrPort]time.Time
	reportAt   time.Time
	// peers is the number of live daemons.
	peers int
	// ownerSince is when this daemon became the owner of a service, balancedAt when
	// that was last checked.
	ownerSince            map[string]time.Time
	balancedAt, startedAt time.Time
	fence                 int64

	// refreshAt is the earliest time of the next refresh, pollAt that of the next
	// search for engines to poll.
	refreshAt, pollAt time.Time
	// stale is set while there are changes of the servers that no refresh has covered.
	stale atomic.Bool

	nextID atomic.Uint64
	loads  sync.Map
}

// Capacity is the capacity of one engine of a service. Tokens is the size of its KV
// cache in tokens.
type Capacity struct {
	Slots, Tokens int
	// SwitchTime is the time that a switch of the stage takes, zero if engines can't
	// switch.
	SwitchTime time.Duration
}

// holdings are the leases and recent events of this daemon at the engines of one
// service.
type holdings struct {
	leases      map[uint64]*Lease
	ended       map[uint64]time.Time
	full        map[string]time.Time
	prefillRate ledger.PrefillRate
	// prefills counts the prefills of this daemon.
	prefills uint64
	// reportUntil is the time until which reports are sent after the last lease was
	// released.
	reportUntil time.Time
}

// pending is a lease request without a final reply.
type pending struct {
	request ledger.Request
	replies chan ledger.Reply
}

// Start starts the control goroutine and handles messages from other daemons. Close
// stops it.
func Start(self gossip.Member, domain string, socket dgram.Transport, members Members, table *pool.Table, engines Engines, log hclog.Logger) *Manager {
	m := &Manager{self: self.Addr, incarnation: self.Incarnation, domain: domain, socket: socket, members: members,
		table: table, engines: engines, log: log, commands: make(chan func(time.Time), 256),
		stop: make(chan struct{}), done: make(chan struct{}),
		ledgers: map[string]*ledger.Ledger{}, capacities: map[string]Capacity{}, holdings: map[string]*holdings{},
		pending: map[uint64]*pending{}, skipUntil: map[netip.AddrPort]time.Time{}, ownerSince: map[string]time.Time{}, startedAt: time.Now()}
	socket.Handle(dgram.LeaseRequest, m.onRequest)
	socket.Handle(dgram.LeaseReply, m.onReply)
	socket.Handle(dgram.LeaseCancel, m.onCancel)
	socket.Handle(dgram.Report, m.onReport)
	go func() {
		defer close(m.done)
		m.run()
	}()
	return m
}

// Close stops the control goroutine and waits for its end.
func (m *Manager) Close() {
	close(m.stop)
	<-m.done
}

func (m *Manager) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case f := <-m.commands:
			m.runSafely(f)
		case <-tick.C:
			m.runSafely(m.tick)
		}
	}
}

// runSafely runs f on the control goroutine and recovers from its panics, so that a
// faulty message doesn't end the daemon.
func (m *Manager) runSafely(f func(now time.Time)) {
	defer func() {
		if v := recover(); v != nil {
			panics.Record(m.log, "control message", v)
		}
	}()
	f(time.Now())
}

// offer runs f on the control goroutine. When the goroutine's queue is full, f is
// dropped, like a lost datagram.
func (m *Manager) offer(f func(now time.Time)) {
	select {
	case m.commands <- f:
	default:
		m.log.Warn("control message dropped: queue of the control goroutine is full")
	}
}

// enqueue runs f on the control goroutine. It blocks while the goroutine's queue is
// full and must not be called on it.
func (m *Manager) enqueue(f func(now time.Time)) {
	select {
	case m.commands <- f:
	case <-m.done:
	}
}

// enqueueAndWait runs f on the control goroutine and waits for its end.
func (m *Manager) enqueueAndWait(f func(now time.Time)) {
	done := make(chan struct{})
	select {
	case m.commands <- func(now time.Time) {
		defer close(done)
		f(now)
	}:
	case <-m.done:
		return
	}
	select {
	case <-done:
	case <-m.done:
	}
}

// SetServices sets the capacity of the engines by service. Services that are not
// listed have no ledger.
func (m *Manager) SetServices(capacities map[string]Capacity) {
	m.enqueueAndWait(func(now time.Time) {
		m.capacities = capacities
		for service := range m.ledgers {
			if _, ok := capacities[service]; !ok {
				delete(m.ledgers, service)
			}
		}
		m.refresh(now)
	})
}

// Refresh takes over the current entries and health of the backend servers soon, and
// reports to the owners. Changes that come close together are handled together.
func (m *Manager) Refresh() {
	if m.stale.Swap(true) {
		return
	}
	m.offer(func(now time.Time) {
		if now.After(m.refreshAt) {
			m.refresh(now)
			m.reportSoon(now)
		}
	})
}

// reportSoon schedules a report after reportDelay unless one is due earlier.
func (m *Manager) reportSoon(now time.Time) {
	if due := now.Add(reportDelay); m.reportAt.After(due) {
		m.reportAt = due
		time.AfterFunc(reportDelay+time.Millisecond, func() { m.offer(m.tick) })
	}
}

func (m *Manager) refresh(now time.Time) {
	m.stale.Store(false)
	start := time.Now()
	defer func() {
		m.refreshAt = now.Add(max(refreshBackoff*time.Since(start), minRefreshInterval))
	}()
	for service, capacity := range m.capacities {
		var engines []ledger.Engine
		for _, s := range m.table.Usable(now, service) {
			slots := capacity.Slots
			if s.Slots > 0 {
				slots = s.Slots
			}
			engines = append(engines, ledger.Engine{ID: s.ID, Domain: s.Domain, Stage: s.Stage,
				Slots: slots, Tokens: capacity.Tokens, StartedAt: s.StartedAt, Version: s.Version})
		}
		m.ledger(service).SetEngines(now, engines)
	}
}

func (m *Manager) ledger(service string) *ledger.Ledger {
	l := m.ledgers[service]
	if l == nil {
		l = ledger.New(service)
		m.ledgers[service] = l
	}
	return l
}

// tick serves the queues and does periodic work that is due.
func (m *Manager) tick(now time.Time) {
	for service, l := range m.ledgers {
		m.sendReplies(l.Tick(now))
		runs, queued, load := l.Load()
		m.loads.Store(service, Load{Runs: runs, Queued: queued, Share: load})
	}
	m.pollEngines(now)
	m.balance(now)
	if m.stale.Load() && now.After(m.refreshAt) {
		m.refresh(now)
		m.reportSoon(now)
	}
	if now.After(m.reportAt) {
		m.reportAt = now.Add(min(max(minReportInterval, reportIntervalPerDaemon*time.Duration(m.peers)), maxReportInterval))
		m.refresh(now)
		m.report(now)
	}
}

// Load is the state of a ledger for display. Share is the share of decode memory
// that the runs are expected to need.
type Load struct {
	Runs, Queued int
	Share        float64
}

// Loads returns the state of this daemon's ledgers by service. It may be 20 ms old.
func (m *Manager) Loads() map[string]Load {
	out := map[string]Load{}
	m.loads.Range(func(k, v any) bool {
		out[k.(string)] = v.(Load)
		return true
	})
	return out
}
