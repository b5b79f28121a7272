// Package crash stops requests that crash the backend servers that run them. A
// daemon that sees a connection break during a run, and finds the server dead,
// counts a strike for the content of the request and tells all other daemons.
package crash

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/wire/peer"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// StrikeTTL is how long a strike counts. A sound request whose servers died of
	// another cause is refused no longer than that.
	StrikeTTL = time.Minute
	// window is the time within which a broken run and the death of its server
	// belong together: probes find a dead server within half a second.
	window = 2 * time.Second
	// largest is the number of strikes in one datagram, about 5 KB.
	largest = 100
)

// Guard counts strikes at one daemon. A nil Guard counts none.
type Guard struct {
	self    netip.AddrPort
	socket  dgram.Transport
	members gossip.Members
	log     hclog.Logger

	mu    sync.Mutex
	table *strike.Table
	// broken holds runs that broke lately, and dead when servers were found dead,
	// by the names of server processes. last is when the last death of a print was.
	broken map[string][]run
	dead   map[string]time.Time
	last   map[uint64]time.Time
	// records is the number of records in the table, so that requests are not
	// hashed while there are none.
	records atomic.Int64
}

// run is a run whose connection broke.
type run struct {
	print     uint64
	began, at time.Time
}

// record is a strike, or the removal of strikes after a run that survived.
type record struct {
	Print  uint64 `cbor:"1,keyasint"`
	Count  uint32 `cbor:"2,keyasint,omitempty"`
	Left   uint32 `cbor:"3,keyasint"`
	Server string `cbor:"4,keyasint,omitempty"`
	Clear  bool   `cbor:"5,keyasint,omitempty"`
}

// message is what daemons tell each other.
type message struct {
	Records []record `cbor:"1,keyasint"`
}

// New returns the guard of the daemon at self.
func New(self netip.AddrPort, socket dgram.Transport, members gossip.Members, log hclog.Logger) *Guard {
	g := &Guard{self: self, socket: socket, members: members, log: log, table: strike.New(strike.WithTTL(StrikeTTL)),
		broken: map[string][]run{}, dead: map[string]time.Time{}, last: map[uint64]time.Time{}}
	socket.Handle(dgram.Strike, func(_ netip.AddrPort, body []byte) {
		var m message
		if socket.Decode(body, &m) {
			g.merge(m)
		}
	})
	return g
}

// Fingerprint identifies requests with the same content.
func Fingerprint(c *proxy.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		_, _ = d.WriteString(part + "\x00") // a hash takes everything
	}
	_, _ = d.Write(c.Body) // the same
	return d.Sum64()
}

// IsBlocked reports whether a request must not run.
func (g *Guard) IsBlocked(c *proxy.Request) bool {
	if g == nil || g.records.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Count(time.Now(), Fingerprint(c)) >= strike.Threshold
}

// RecordBroken notes that the connection to a server broke during a run that began at
// the given time.
func (g *Guard) RecordBroken(c *proxy.Request, s pool.Server, began time.Time) {
	if g == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	g.forget(now)
	g.broken[process(s)] = append(g.broken[process(s)], run{Fingerprint(c), began, now})
	var out []record
	if at, ok := g.dead[process(s)]; ok && now.Sub(at) < window {
		out = g.count(now, s)
	}
	g.mu.Unlock()
	g.spread(out)
}

// process names one process of a server.
func process(s pool.Server) string {
	return s.ID + strike.Separator + strconv.FormatInt(s.StartedAt.UnixMilli(), 10)
}

// RecordSuccess notes that a run of a request ended well.
func (g *Guard) RecordSuccess(c *proxy.Request) {
	if g == nil || g.records.Load() == 0 {
		return
	}
	g.mu.Lock()
	cleared := g.table.Clear(time.Now(), Fingerprint(c))
	g.mu.Unlock()
	if cleared != nil {
		g.spread([]record{{Print: cleared.Print, Left: cleared.Left, Clear: true}})
	}
}

// RecordServerDown takes a server that was found dead and counts strikes for the requests
// whose runs broke with it, or break soon.
func (g *Guard) RecordServerDown(s pool.Server) {
	now := time.Now()
	g.mu.Lock()
	g.dead[process(s)] = now
	out := g.count(now, s)
	g.mu.Unlock()
	if len(out) > 0 {
		g.log.Warn("requests broke with their server", "server", s.ID, "service", s.Service, "requests", len(out))
	}
	g.spread(out)
}

// count counts strikes for the runs that broke with a dead server. The lock is
// held.
func (g *Guard) count(now time.Time, s pool.Server) []record {
	var out []record
	for _, r := range g.broken[process(s)] {
		// Runs that went on side by side may have broken for one cause that is not
		// the request.
		if now.Sub(r.at) > window || r.began.Before(g.last[r.print]) {
			continue
		}
		if added := g.table.Add(r.at, r.print, process(s)); added != nil {
			g.last[r.print] = r.at
			out = append(out, record{Print: added.Print, Count: added.Count, Left: added.Left, Server: added.Engine})
		}
	}
	delete(g.broken, process(s))
	g.forget(now)
	return out
}

// forget drops what no longer counts. The lock is held.
func (g *Guard) forget(now time.Time) {
	for name, runs := range g.broken {
		runs = slices.DeleteFunc(runs, func(r run) bool { return now.Sub(r.at) > window })
		if g.broken[name] = runs; len(runs) == 0 {
			delete(g.broken, name)
		}
	}
	maps.DeleteFunc(g.dead, func(_ string, at time.Time) bool { return now.Sub(at) > window })
	maps.DeleteFunc(g.last, func(_ uint64, at time.Time) bool { return now.Sub(at) > StrikeTTL })
	g.records.Store(int64(g.table.Len()))
}

// merge takes over records from another daemon.
func (g *Guard) merge(m message) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range m.Records {
		g.table.Merge(now, &peer.Strike{Print: r.Print, Count: r.Count, Left: r.Left, Engine: r.Server, Clear: r.Clear})
		if !r.Clear {
			g.last[r.Print] = now
		}
	}
	g.forget(now)
}

// spread tells all other daemons. A lost datagram costs one more server.
func (g *Guard) spread(records []record) {
	if len(records) == 0 {
		return
	}
	to := gossip.Others(g.members, g.self)
	for part := range slices.Chunk(records, largest) {
		g.socket.Send(dgram.Strike, message{part}, to...)
	}
}
