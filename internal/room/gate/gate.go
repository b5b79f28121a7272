// Package gate stands between the router and the backend servers. It counts what this
// daemon sends to servers that name a limit on the requests of all daemons.
package gate

import (
	"context"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Path is a kind of request to a backend server.
type Path uint8

// Paths to backend servers.
const (
	Request Path = iota
	Prefill
	Report
	Check
	Order
	Free
	paths
)

// PathNames holds the name of each path in logs and metrics.
var PathNames = [paths]string{"request", "prefill", "report", "check", "order", "free"}

// recordInterval is the time between two log lines about a server that names a limit,
// the time over which servers count requests.
const recordInterval = 4 * time.Second

// Gate sends requests to backend servers. It implements citronrock.Backends.
type Gate struct {
	backends citronrock.Backends
	log      hclog.Logger

	mu      sync.Mutex
	limited map[pool.Process]*limited
	// invalid has the last value of each server that was not a usable limit.
	invalid map[pool.Process]string
	stop    chan struct{}
	done    chan struct{}
}

// limited is a server process that names a limit.
type limited struct {
	server pool.Server
	rate   float64
	since  time.Time
	// sent counts this daemon's requests since the last log line, total all since the
	// limit was named.
	sent, total [paths]int
}

// New returns a gate to the servers of b and starts its log. Close stops it.
func New(b citronrock.Backends, log hclog.Logger) *Gate {
	g := &Gate{backends: b, log: log, limited: map[pool.Process]*limited{}, invalid: map[pool.Process]string{},
		stop: make(chan struct{}), done: make(chan struct{})}
	b.OnLimit(g.observe)
	go func() {
		defer close(g.done)
		tick := time.NewTicker(recordInterval)
		defer tick.Stop()
		for {
			select {
			case <-g.stop:
				return
			case <-tick.C:
				g.record()
			}
		}
	}()
	return g
}

// Close ends the gate's log.
func (g *Gate) Close() {
	close(g.stop)
	<-g.done
}

// observe takes what a response says about the limit of its server.
func (g *Gate) observe(s pool.Server, limit pool.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := s.Process()
	l := g.limited[p]
	switch {
	case limit.Invalid != "" && g.invalid[p] != limit.Invalid:
		g.invalid[p] = limit.Invalid
		g.log.Warn("ignoring a limit of a server that is not a number of requests a second", "server", s.ID, "service", s.Service, "text", limit.Invalid)
	case limit.State == pool.LimitNamed && (l == nil || l.rate != limit.Rate):
		if l == nil {
			l = &limited{server: s, since: time.Now()}
			g.limited[p] = l
		}
		l.rate = limit.Rate
		g.log.Info("server names a limit", "server", s.ID, "service", s.Service, "limit", limit.Rate)
	case limit.State == pool.LimitNone && l != nil:
		delete(g.limited, p)
		g.log.Info("server names no limit any more", "server", s.ID, "service", s.Service, "limit", l.rate, "took", time.Since(l.since).Milliseconds())
	}
}

// record logs what this daemon has sent to servers that name a limit.
func (g *Gate) record() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.limited {
		sum := 0
		fields := []any{"server", l.server.ID, "service", l.server.Service, "limit", l.rate}
		for path, n := range l.sent {
			sum += n
			if n > 0 {
				fields = append(fields, PathNames[path], n)
			}
		}
		if l.sent = [paths]int{}; sum > 0 {
			g.log.Info("sent to a limited server", append(fields, "sent", sum)...)
		}
	}
}

// Sent returns the number of requests on a path to servers while they named a limit.
func (g *Gate) Sent(path Path) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, l := range g.limited {
		sum += l.total[path]
	}
	return int64(sum)
}

// Limited returns the number of servers that name a limit.
func (g *Gate) Limited() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.limited))
}

// pass counts a request to a server.
func (g *Gate) pass(s pool.Server, path Path) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.limited[s.Process()]; l != nil {
		l.sent[path]++
		l.total[path]++
	}
}

// Send forwards a request.
func (g *Gate) Send(ctx context.Context, to pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	g.pass(to, Request)
	return g.backends.Send(ctx, to, r, o)
}

// Prefill makes a prefill engine compute the KV cache of a prompt.
func (g *Gate) Prefill(ctx context.Context, to pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Cache, error) {
	g.pass(to, Prefill)
	cache, err := g.backends.Prefill(ctx, to, r, o)
	if cache != nil {
		cache.Engine = to
	}
	return cache, err
}

// Usage asks an engine for its resources in use.
func (g *Gate) Usage(ctx context.Context, s pool.Server) (ledger.Usage, error) {
	g.pass(s, Report)
	return g.backends.Usage(ctx, s)
}

// CheckIdentity asks a server for its identity.
func (g *Gate) CheckIdentity(ctx context.Context, s pool.Server, health string) (bool, error) {
	g.pass(s, Check)
	return g.backends.CheckIdentity(ctx, s, health)
}

// Order tells an engine to change its stage.
func (g *Gate) Order(ctx context.Context, s pool.Server, o lease.Order) error {
	g.pass(s, Order)
	return g.backends.Order(ctx, s, o)
}

// Free releases a KV cache.
func (g *Gate) Free(ctx context.Context, cache *proxy.Cache) error {
	g.pass(cache.Engine, Free)
	return g.backends.Free(ctx, cache)
}

// OnSignal sets the function for the signals in responses.
func (g *Gate) OnSignal(f func(pool.Server, pool.Signal)) { g.backends.OnSignal(f) }

// OnLimit panics: the gate itself takes the limits.
func (g *Gate) OnLimit(func(pool.Server, pool.Limit)) { panic("gate: limits are taken by the gate") }

var _ citronrock.Backends = (*Gate)(nil)
