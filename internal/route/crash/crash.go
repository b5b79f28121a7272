// Package crash blocks requests that crash the backend servers that run them. A
// daemon that sees a connection break during a run and finds the server down counts
// a strike against the content of the request and broadcasts it to all other
// daemons, and the parts of its prompt with it.
package crash

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/parts"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/wire/peer"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// StrikeTTL is how long a strike counts. A harmless request whose servers
	// crashed for another reason is blocked no longer than that.
	StrikeTTL = time.Minute
	// correlationWindow is the time within which a broken run is attributed to
	// the crash of its server. Probes find a crashed server within half a
	// second.
	correlationWindow = 2 * time.Second
	// maxRecords bounds the records in one datagram, about 5 KB.
	maxRecords = 100
)

// Guard counts strikes and blocks requests at one daemon. A nil Guard blocks none.
type Guard struct {
	self    netip.AddrPort
	socket  dgram.Transport
	members gossip.Members
	log     hclog.Logger

	mu      sync.Mutex
	strikes *strike.Table
	// brokenRuns holds runs that broke lately, and downAt when servers were
	// found down, both by processKey. lastStrike is when a fingerprint last got
	// a strike.
	brokenRuns map[string][]run
	downAt     map[string]time.Time
	lastStrike map[uint64]time.Time
	// recordCount is the size of strikes. Requests are not hashed while it is
	// zero.
	recordCount atomic.Int64
	// broken counts the runs that crashes of their servers have broken off.
	broken atomic.Int64

	// parts finds the parts of prompts that crash servers; mu guards it. blocking is set
	// while it blocks one.
	parts    *parts.Table
	blocking atomic.Bool
	// pending has the sound parts to be announced and when, heard those that were
	// announced lately, ownCrashes the crashes that broke off runs of this daemon.
	pending, heard map[parts.Part]time.Time
	ownCrashes     map[string]time.Time
	wake, done     chan struct{}
	stopped        sync.WaitGroup
}

// Progress is how far a run had got.
type Progress struct {
	// Events counts the events of its answer.
	Events int
	// Writing is the time since the first event.
	Writing time.Duration
}

// run is a run of a request whose connection broke.
type run struct {
	fingerprint         uint64
	startedAt, brokenAt time.Time
	request             string
	parts               []string
	progress            Progress
}

// record is a strike, or with Clear the removal of all strikes of a fingerprint
// after a successful run. TTL is in milliseconds.
type record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       uint32 `cbor:"2,keyasint,omitempty"`
	TTL         uint32 `cbor:"3,keyasint"`
	Server      string `cbor:"4,keyasint,omitempty"`
	Clear       bool   `cbor:"5,keyasint,omitempty"`
}

// message is the datagram that daemons exchange.
type message struct {
	Records []record `cbor:"1,keyasint"`
	// Runs, Sound and Verdicts are about parts of prompts.
	Runs     []brokenRun `cbor:"2,keyasint,omitempty"`
	Sound    []soundPart `cbor:"3,keyasint,omitempty"`
	Verdicts []verdict   `cbor:"4,keyasint,omitempty"`
}

// New returns the guard of the daemon at self and subscribes it to the records of
// others.
func New(self netip.AddrPort, socket dgram.Transport, members gossip.Members, log hclog.Logger) *Guard {
	g := &Guard{self: self, socket: socket, members: members, log: log, strikes: strike.New(strike.WithTTL(StrikeTTL)),
		brokenRuns: map[string][]run{}, downAt: map[string]time.Time{}, lastStrike: map[uint64]time.Time{},
		pending: map[parts.Part]time.Time{}, heard: map[parts.Part]time.Time{}, ownCrashes: map[string]time.Time{},
		wake: make(chan struct{}, 1), done: make(chan struct{})}
	g.parts = parts.New(g.isProbeOwner)
	socket.Handle(dgram.Strike, func(_ netip.AddrPort, body []byte) {
		var m message
		if socket.Decode(body, &m) {
			g.merge(m)
		}
	})
	g.stopped.Go(g.run)
	return g
}

// Close stops the guard's goroutine and waits for it.
func (g *Guard) Close() {
	close(g.done)
	g.stopped.Wait()
}

// Broken returns the number of runs that crashes of their servers have broken off.
func (g *Guard) Broken() int64 { return g.broken.Load() }

// Fingerprint returns a hash that is the same for requests with the same content.
func Fingerprint(c *proxy.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		_, _ = d.WriteString(part + "\x00") // never fails
	}
	_, _ = d.Write(c.Body) // never fails
	return d.Sum64()
}

// IsBlocked reports whether a request must not run, as earlier runs crashed
// servers.
func (g *Guard) IsBlocked(c *proxy.Request) bool {
	if g == nil || g.recordCount.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.strikes.Count(time.Now(), Fingerprint(c)) >= strike.Threshold
}

// RecordBroken records that the connection to a server broke during a run that
// started at startedAt. It counts a strike if the server was found down before.
func (g *Guard) RecordBroken(c *proxy.Request, s pool.Server, startedAt time.Time, progress Progress) {
	if g == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	g.expire(now)
	g.brokenRuns[processKey(s)] = append(g.brokenRuns[processKey(s)], run{Fingerprint(c), startedAt, now, c.ID, c.Parts, progress})
	var out []record
	var told []brokenRun
	if at, ok := g.downAt[processKey(s)]; ok && now.Sub(at) < correlationWindow {
		out, told = g.addStrikes(now, s)
	}
	g.mu.Unlock()
	g.broadcast(message{Records: out, Runs: told})
}

// processKey identifies one process of a server.
func processKey(s pool.Server) string {
	return s.ID + strike.Separator + strconv.FormatInt(s.StartedAt.UnixMilli(), 10)
}

// RecordSuccess records that a run of a request succeeded, which clears its
// strikes.
func (g *Guard) RecordSuccess(c *proxy.Request, service string) {
	if g == nil {
		return
	}
	g.recordSound(c, service)
	if g.recordCount.Load() == 0 {
		return
	}
	g.mu.Lock()
	cleared := g.strikes.Clear(time.Now(), Fingerprint(c))
	g.mu.Unlock()
	if cleared != nil {
		g.broadcast(message{Records: []record{{Fingerprint: cleared.Print, TTL: cleared.Left, Clear: true}}})
	}
}

// RecordServerDown records that a server was found down. It counts strikes against
// the requests whose runs broke at it shortly before or will break shortly after.
func (g *Guard) RecordServerDown(s pool.Server) {
	now := time.Now()
	g.mu.Lock()
	g.downAt[processKey(s)] = now
	out, told := g.addStrikes(now, s)
	g.mu.Unlock()
	if len(out) > 0 {
		g.log.Warn("requests broken off as their server crashed", "server", s.ID, "service", s.Service, "requests", len(out))
	}
	g.broadcast(message{Records: out, Runs: told})
}

// addStrikes counts strikes against the runs that broke at a server that is down, and
// returns what the others have to be told. The caller holds mu.
func (g *Guard) addStrikes(now time.Time, s pool.Server) ([]record, []brokenRun) {
	var out []record
	told := g.addPartRuns(now, g.brokenRuns[processKey(s)], s.Service, processKey(s))
	for _, r := range g.brokenRuns[processKey(s)] {
		g.broken.Add(1)
		g.log.Info("run broken off by the crash of its server", "request", r.request, "server", s.ID, "service", s.Service, "parts", strings.Join(r.parts, ","),
			"events", r.progress.Events, "writing", lines.Ms(r.progress.Writing), "ran", lines.Ms(r.brokenAt.Sub(r.startedAt)), "strikes", g.strikes.Count(now, r.fingerprint))
		// Concurrent runs of the same request may have broken for one cause that is
		// not the request, so that they count as one.
		if now.Sub(r.brokenAt) > correlationWindow || r.startedAt.Before(g.lastStrike[r.fingerprint]) {
			continue
		}
		if added := g.strikes.Add(r.brokenAt, r.fingerprint, processKey(s)); added != nil {
			g.lastStrike[r.fingerprint] = r.brokenAt
			out = append(out, record{Fingerprint: added.Print, Count: added.Count, TTL: added.Left, Server: added.Engine})
		}
	}
	delete(g.brokenRuns, processKey(s))
	g.expire(now)
	return out, told
}

// expire drops runs, crashes and strike times that no longer matter. The caller
// holds mu.
func (g *Guard) expire(now time.Time) {
	for name, runs := range g.brokenRuns {
		runs = slices.DeleteFunc(runs, func(r run) bool { return now.Sub(r.brokenAt) > correlationWindow })
		if g.brokenRuns[name] = runs; len(runs) == 0 {
			delete(g.brokenRuns, name)
		}
	}
	if g.strikes.Len() > 0 {
		g.wakeUp()
	}
	maps.DeleteFunc(g.downAt, func(_ string, at time.Time) bool { return now.Sub(at) > correlationWindow })
	maps.DeleteFunc(g.lastStrike, func(_ uint64, at time.Time) bool { return now.Sub(at) > StrikeTTL })
	g.recordCount.Store(int64(g.strikes.Len()))
}

// merge applies the records of another daemon.
func (g *Guard) merge(m message) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range m.Records {
		news := g.strikes.Merge(now, &peer.Strike{Print: r.Fingerprint, Count: r.Count, Left: r.TTL, Engine: r.Server, Clear: r.Clear})
		if news && !r.Clear {
			g.lastStrike[r.Fingerprint] = now
		}
	}
	g.expire(now)
	g.mergeParts(now, m)
}
