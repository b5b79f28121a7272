// Package gate stands between the router and the backend servers and keeps the limits
// that servers name on the requests of all daemons together. Each request to a limited
// server needs a permit of the daemon that owns the limit; see package permit.
package gate

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/repeat"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/permit"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

const (
	// recordInterval is the time between two log lines about a limited server, the time
	// over which servers count requests.
	recordInterval = permit.LoadWindow
	// announceInterval is the time between two announcements of a limit by its owner,
	// for daemons that have started since or missed the last one.
	announceInterval = time.Second
	// endedNoticeTime is how long the owner announces the end of a limit.
	endedNoticeTime = 3 * time.Second
	// invalidInterval is the time between two log lines about limits of one server that
	// are not usable. Each response may have one.
	invalidInterval = 10 * time.Second
	// ownerTTL is how long the owner of a limit is not computed again, which takes a hash
	// of each daemon.
	ownerTTL = 100 * time.Millisecond
	// forgetAfter is how long the state of a server is kept after its last use.
	forgetAfter = time.Minute
)

// Members is the view of the live daemons.
type Members interface {
	gossip.Members
	// Lost returns the number of daemons that are no longer alive and have not left.
	Lost() int
}

// Broadcaster announces limits to all other daemons.
type Broadcaster interface {
	BroadcastLimits(notices []permit.Notice)
	HandleLimits(f func([]permit.Notice))
}

// Gate sends requests to backend servers within their limits. It implements
// citronrock.Backends.
type Gate struct {
	self     netip.AddrPort
	socket   dgram.Transport
	members  Members
	announce Broadcaster
	table    *pool.Table
	backends citronrock.Backends
	log      hclog.Logger

	// limited is the number of limited servers. Requests take no lock while it is zero.
	limited atomic.Int64
	counts  struct{ granted, denied, unanswered atomic.Int64 }
	sent    [paths]atomic.Int64

	mu      sync.Mutex
	servers map[pool.Process]*server
	// invalidAt is when a limit of each server that is not usable was last logged.
	invalidAt map[pool.Process]time.Time
	nextID    uint64
	work      *repeat.Group
}

// server is the state of one server process that names a limit, or did.
type server struct {
	pool.Process
	service string
	known   permit.Known
	// account is set while this daemon owns the limit.
	account *permit.Account
	// ask is in flight, and waiting are the requests that the next one covers.
	ask     *ask
	waiting []chan bool
	// heldUntil is when this daemon may ask again. held counts the requests refused
	// since the last ask.
	heldUntil time.Time
	held      int
	// owner is the owner of the limit as of ownerAt.
	owner   netip.AddrPort
	ownerAt time.Time
	// sent counts this daemon's requests since the last log line.
	sent   [paths]int
	usedAt time.Time
}

// New returns a gate to the servers of b. Close stops it.
func New(self netip.AddrPort, socket dgram.Transport, members Members, announce Broadcaster, table *pool.Table, b citronrock.Backends, log hclog.Logger) *Gate {
	g := &Gate{self: self, socket: socket, members: members, announce: announce, table: table, backends: b, log: log,
		servers: map[pool.Process]*server{}, invalidAt: map[pool.Process]time.Time{}, work: repeat.New(log, "limits of servers")}
	b.OnLimit(g.observe)
	announce.HandleLimits(g.onNotices)
	socket.Handle(dgram.PermitRequest, g.onRequest)
	socket.Handle(dgram.PermitReply, g.onReply)
	g.work.Every(announceInterval, g.announceOwned)
	g.work.Every(recordInterval, g.record)
	return g
}

// Close ends the gate's periodic work.
func (g *Gate) Close() { g.work.Close() }

// admit returns nil if a request may be sent to a server now. Otherwise the error is a
// *proxy.SendError with Limited set, or that of a request whose context has ended.
func (g *Gate) admit(ctx context.Context, s pool.Server, path Path) error {
	if g.limited.Load() == 0 {
		return nil
	}
	asked := time.Now()
	verdict := g.request(asked, s.Process())
	if verdict == nil {
		return nil
	}
	var ok bool
	select {
	case ok = <-verdict:
	case <-ctx.Done():
		return &proxy.SendError{Fault: event.FaultUnsent, Limited: true, Err: context.Cause(ctx)}
	}
	// A process that was paused meanwhile must not use permits that were granted long ago.
	if !ok || time.Since(asked) > permitTTL {
		g.counts.denied.Add(1)
		return &proxy.SendError{Fault: event.FaultUnsent, Limited: true, Err: eris.Errorf("limit of server %s leaves no room", s.ID)}
	}
	g.countSent(s.Process(), path)
	return nil
}

// countSent counts a request to a limited server.
func (g *Gate) countSent(p pool.Process, path Path) {
	g.sent[path].Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if sv := g.servers[p]; sv != nil {
		sv.sent[path]++
	}
}

// learn takes the limit of a server from a response or from another daemon, and reports
// whether it is new. The caller holds mu.
func (g *Gate) learn(p pool.Process, service string, l permit.Limit) (*server, bool) {
	sv := g.servers[p]
	if sv == nil {
		if l.None {
			return nil, false
		}
		sv = &server{Process: p, usedAt: l.Arrived}
		g.servers[p] = sv
	}
	if service != "" {
		sv.service = service
	}
	was, known := sv.known.Limited(), sv.known
	changed := known.Learn(l)
	if changed && sv.account != nil {
		g.recordAccount(time.Now(), sv)
	}
	if sv.known = known; !changed {
		return sv, false
	}
	if sv.account != nil {
		g.setRate(time.Now(), sv)
	}
	switch now := sv.known.Limited(); {
	case now && !was:
		g.limited.Add(1)
	case was && !now:
		g.limited.Add(-1)
	}
	// What was held for lack of permits is tried again at the new rate.
	sv.heldUntil = time.Time{}
	g.table.Unhold(p)
	return sv, true
}

// observe takes what a response says about the limit of its server.
func (g *Gate) observe(s pool.Server, l pool.Limit) {
	if l.State == pool.LimitNone && g.limited.Load() == 0 {
		return
	}
	now := time.Now()
	if l.State == pool.LimitInvalid {
		g.logInvalid(now, s, l.Text)
		return
	}
	notice, fresh := g.learnResponse(now, s, permit.Limit{Rate: l.Rate, None: l.State == pool.LimitNone, Sent: l.SentAt, Arrived: now})
	switch {
	case !fresh:
		return
	case notice.None:
		g.log.Info("server names no limit any more", "server", s.ID, "service", s.Service)
	default:
		g.log.Info("server names a limit", "server", s.ID, "service", s.Service, "limit", l.Rate)
	}
	g.announce.BroadcastLimits([]permit.Notice{notice})
}

// logInvalid logs a value that is not a usable limit.
func (g *Gate) logInvalid(now time.Time, s pool.Server, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.invalidAt[s.Process()]) < invalidInterval {
		return
	}
	g.invalidAt[s.Process()] = now
	g.log.Warn("ignoring a limit of a server that is not a number of requests a second", "server", s.ID, "service", s.Service, "text", text)
}

// learnResponse takes the limit of a server from a response. It returns the notice for
// the other daemons and whether the limit is new.
func (g *Gate) learnResponse(now time.Time, s pool.Server, l permit.Limit) (permit.Notice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sv, fresh := g.learn(s.Process(), s.Service, l)
	if !fresh {
		return permit.Notice{}, false
	}
	return sv.known.Notice(now, sv.ID, sv.StartedAt), true
}

// onNotices takes the limits that another daemon announces.
func (g *Gate) onNotices(notices []permit.Notice) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range notices {
		g.learnNotice(now, n)
	}
}

// learnNotice takes a limit from another daemon. The caller holds mu.
func (g *Gate) learnNotice(now time.Time, n permit.Notice) *server {
	l, ok := n.Limit(now)
	if !ok {
		g.log.Warn("ignoring the limit of a server in a message that is not valid", "server", n.ID)
		return nil
	}
	sv, fresh := g.learn(pool.Process{ID: n.ID, StartedAt: n.StartedAt}, "", l)
	if fresh {
		g.log.Info("another daemon reports the limit of a server", "server", n.ID, "limit", l.Rate, "none", l.None)
	}
	return sv
}
