// Package lease obtains engines for requests from the daemon that owns the
// ledger of a service, and serves the ledgers that this daemon owns.
//
// The owner is the first live daemon by rendezvous hashing of the service. All
// daemons report what they run to the owner and to the daemon next in order, so
// that the ledger there is ready when the owner dies.
package lease

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Times of the exchange.
const (
	// reportFirst is the time between reports to the owners in a small fleet. It
	// grows with the fleet by reportEach for each daemon up to reportLimit, so that
	// the load of an owner stays.
	reportFirst = 200 * time.Millisecond
	reportEach  = 20 * time.Millisecond
	reportLimit = time.Second
	// reportPause joins the ends of several runs in one report.
	reportPause = 3 * time.Millisecond
	// tickEvery is the time between checks of the queues.
	tickEvery = 20 * time.Millisecond
	// endedFor is how long the end of a run is reported.
	endedFor = time.Second
	// fullFor is how long a refusal by an engine is reported.
	fullFor = 250 * time.Millisecond
	// usageTimeout bounds the question for an engine's usage.
	usageTimeout = 400 * time.Millisecond
	// refreshPause is the least time between two takings of the servers, and
	// refreshRest its multiple of the time that one takes: thousands of servers that
	// start together change one by one.
	refreshPause = 5 * time.Millisecond
	refreshRest  = 20
	// inspectEvery is the time between looks for engines to ask.
	inspectEvery = 100 * time.Millisecond
	// shunFor is how long a daemon that does not answer asks is passed over.
	shunFor = 500 * time.Millisecond
)

// Members tells which daemons are alive.
type Members interface {
	gossip.Members
	// Known is the number of daemons that were alive lately.
	Known() int
}

// Engines tell what they have in use and take orders.
type Engines interface {
	Usage(ctx context.Context, s pool.Server) (ledger.Usage, error)
	Order(ctx context.Context, s pool.Server, o Order) error
}

// Manager asks for grants and serves the ledgers of one daemon.
type Manager struct {
	self    netip.AddrPort
	start   int64
	domain  string
	socket  dgram.Transport
	members Members
	fleet   *pool.Table
	engines Engines
	log     hclog.Logger

	// commands run on the control goroutine, which owns what follows.
	commands chan func(now time.Time)
	stop     chan struct{}
	done     chan struct{}
	ledgers  map[string]*ledger.Ledger
	rooms    map[string]Capacity
	own      map[string]*mine
	pending  map[uint64]*pending
	number   uint64
	shunned  map[netip.AddrPort]time.Time
	reportAt time.Time
	// peers is the number of live daemons.
	peers int
	// since is when this daemon became the owner of a service, looked when that
	// was last checked.
	since         map[string]time.Time
	looked, begun time.Time
	fence         int64

	// refreshAt is when the servers may be taken again, inspectAt when engines may
	// be asked again.
	refreshAt, inspectAt time.Time
	// stale is set while changes of the servers were not taken.
	stale atomic.Bool

	next atomic.Uint64
	load sync.Map
}

// Capacity is the capacity of one engine of a service.
type Capacity struct {
	Slots, Tokens int
	// SwitchTime is the time that a change of stage takes.
	SwitchTime time.Duration
}

// mine is what this daemon runs at the engines of one service.
type mine struct {
	leases   map[uint64]*Lease
	ended    map[uint64]time.Time
	full     map[string]time.Time
	prefills prefills
	// until is when the last report is due after the last run ended.
	until time.Time
}

// pending is an ask without a final answer.
type pending struct {
	ask     ledger.Request
	answers chan ledger.Reply
}

// Start begins to serve and to ask.
func Start(self gossip.Member, domain string, socket dgram.Transport, members Members, table *pool.Table, engines Engines, log hclog.Logger) *Manager {
	n := &Manager{self: self.Addr, start: self.Start, domain: domain, socket: socket, members: members,
		fleet: table, engines: engines, log: log, commands: make(chan func(time.Time), 256),
		stop: make(chan struct{}), done: make(chan struct{}),
		ledgers: map[string]*ledger.Ledger{}, rooms: map[string]Capacity{}, own: map[string]*mine{},
		pending: map[uint64]*pending{}, shunned: map[netip.AddrPort]time.Time{}, since: map[string]time.Time{}, begun: time.Now()}
	socket.Handle(dgram.LeaseRequest, n.onAsk)
	socket.Handle(dgram.LeaseReply, n.onAnswer)
	socket.Handle(dgram.LeaseCancel, n.onDrop)
	socket.Handle(dgram.Report, n.onReport)
	go func() {
		defer close(n.done)
		n.run()
	}()
	return n
}

// Close ends the control goroutine.
func (n *Manager) Close() {
	close(n.stop)
	<-n.done
}

func (n *Manager) run() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-n.stop:
			return
		case f := <-n.commands:
			n.safely(f)
		case <-tick.C:
			n.safely(n.tick)
		}
	}
}

// safely runs f on the control goroutine. A message that f can't cope with must
// not end the daemon.
func (n *Manager) safely(f func(now time.Time)) {
	defer func() {
		if v := recover(); v != nil {
			panics.Note(n.log, "control message", v)
		}
	}()
	f(time.Now())
}

// do runs f on the control goroutine. Datagrams that arrive while it is behind
// are dropped, as if they were lost.
func (n *Manager) do(f func(now time.Time)) {
	select {
	case n.commands <- f:
	default:
		n.log.Warn("control message dropped: control goroutine is behind")
	}
}

// must runs f on the control goroutine, however far that is behind. It must not
// be called there.
func (n *Manager) must(f func(now time.Time)) {
	select {
	case n.commands <- f:
	case <-n.done:
	}
}

// wait runs f on the control goroutine and waits for its end.
func (n *Manager) wait(f func(now time.Time)) {
	done := make(chan struct{})
	select {
	case n.commands <- func(now time.Time) {
		defer close(done)
		f(now)
	}:
	case <-n.done:
		return
	}
	select {
	case <-done:
	case <-n.done:
	}
}

// SetServices takes the capacity of the engines by service. Services that are
// not named have no ledger.
func (n *Manager) SetServices(rooms map[string]Capacity) {
	n.wait(func(now time.Time) {
		n.rooms = rooms
		for service := range n.ledgers {
			if _, ok := rooms[service]; !ok {
				delete(n.ledgers, service)
			}
		}
		n.refresh(now)
	})
}

// Refresh takes the current entries and health of the backend servers and tells
// the owners soon. Changes that come together are taken together.
func (n *Manager) Refresh() {
	if n.stale.Swap(true) {
		return
	}
	n.do(func(now time.Time) {
		if now.After(n.refreshAt) {
			n.refresh(now)
			n.reportSoon(now)
		}
	})
}

// reportSoon makes a report due after a pause that joins several changes.
func (n *Manager) reportSoon(now time.Time) {
	if due := now.Add(reportPause); n.reportAt.After(due) {
		n.reportAt = due
		time.AfterFunc(reportPause+time.Millisecond, func() { n.do(n.tick) })
	}
}

func (n *Manager) refresh(now time.Time) {
	n.stale.Store(false)
	begun := time.Now()
	defer func() {
		n.refreshAt = now.Add(max(refreshRest*time.Since(begun), refreshPause))
	}()
	for service, room := range n.rooms {
		var engines []ledger.Engine
		for _, s := range n.fleet.Usable(now, service) {
			slots := room.Slots
			if s.Slots > 0 {
				slots = s.Slots
			}
			engines = append(engines, ledger.Engine{ID: s.ID, Domain: s.Domain, Stage: s.Stage,
				Slots: slots, Tokens: room.Tokens, StartedAt: s.StartedAt})
		}
		n.ledger(service).SetEngines(now, engines)
	}
}

func (n *Manager) ledger(service string) *ledger.Ledger {
	l := n.ledgers[service]
	if l == nil {
		l = ledger.New(service)
		n.ledgers[service] = l
	}
	return l
}

// owners returns the daemons that may grant for a service, the first one first,
// with this daemon as the last resort. Daemons with less than half the power of
// the strongest are not chosen. Reports also go to daemons that are about to
// become owners.
func (n *Manager) owners(now time.Time, service string) (ask, report []netip.AddrPort) {
	all := n.members.Alive()
	n.peers = len(all)
	strongest := uint32(0)
	for _, m := range all {
		strongest = max(strongest, m.Power)
	}
	names := make([]string, 0, len(all))
	mature := make([]string, 0, len(all))
	for _, m := range all {
		if m.Leaving || m.Addr != n.self && now.Before(n.shunned[m.Addr]) {
			continue
		}
		if 2*m.Power >= strongest {
			names = append(names, m.Addr.String())
		}
		if m.Mature && 2*m.Power >= strongest {
			mature = append(mature, m.Addr.String())
		}
	}
	if len(mature) == 0 {
		mature = names
	}
	parse := func(list []string) []netip.AddrPort {
		out := make([]netip.AddrPort, 0, len(list))
		for _, s := range list {
			out = append(out, netip.MustParseAddrPort(s))
		}
		return out
	}
	ask = parse(owner.Top(service, mature, 2))
	report = slices.Clone(ask)
	for _, a := range parse(owner.Top(service, names, 2)) {
		if !slices.Contains(report, a) {
			report = append(report, a)
		}
	}
	if !slices.Contains(ask, n.self) {
		ask = append(ask, n.self)
	}
	return ask, report
}

// tick serves the queues and sends what is due.
func (n *Manager) tick(now time.Time) {
	for service, l := range n.ledgers {
		n.send(l.Tick(now))
		runs, queued, load := l.Load()
		n.load.Store(service, Load{Runs: runs, Queued: queued, Share: load})
	}
	n.inspect(now)
	n.balance(now)
	if n.stale.Load() && now.After(n.refreshAt) {
		n.refresh(now)
		n.reportSoon(now)
	}
	if now.After(n.reportAt) {
		n.reportAt = now.Add(min(max(reportFirst, reportEach*time.Duration(n.peers)), reportLimit))
		n.refresh(now)
		n.report(now)
	}
}

// Load is the state of a ledger for display.
type Load struct {
	Runs, Queued int
	Share        float64
}

// Loads returns the state of the ledgers at this daemon by service. It may be
// 20 ms old.
func (n *Manager) Loads() map[string]Load {
	out := map[string]Load{}
	n.load.Range(func(k, v any) bool {
		out[k.(string)] = v.(Load)
		return true
	})
	return out
}
