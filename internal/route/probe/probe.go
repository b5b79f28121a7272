// Package probe finds out whether a backend server that failed a request can
// still be reached, and when it can be reached again. Without it each daemon
// would find out by a request of a client.
package probe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

const (
	// again is the time between attempts to connect to a server that is down.
	again = 250 * time.Millisecond
	// timeout bounds an attempt: far above a handshake within a region.
	timeout = 200 * time.Millisecond
	// longest bounds the watch over one server. Its entry goes after some seconds.
	longest = 30 * time.Second
)

// Prober checks servers on suspicion.
type Prober struct {
	table *pool.Table
	log   hclog.Logger
	dial  func(ctx context.Context, to netip.AddrPort) error
	same  func(ctx context.Context, s pool.Server) (bool, error)
	lost  func(s pool.Server)

	mu sync.Mutex
	// active are servers that are being checked, with whether another check was
	// asked for meanwhile.
	active map[string]bool
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup
}

// Option changes a setting of a prober.
type Option func(*Prober)

// WithDial replaces the opening of a connection.
func WithDial(f func(ctx context.Context, to netip.AddrPort) error) Option {
	return func(p *Prober) { p.dial = f }
}

// WithDown sets a function that is called when a server is found dead.
func WithDown(f func(s pool.Server)) Option { return func(p *Prober) { p.lost = f } }

// New returns a prober for the servers of a table. Same tells whether a server
// that can be reached again is still the one of its entry.
func New(table *pool.Table, same func(ctx context.Context, s pool.Server) (bool, error), log hclog.Logger, opts ...Option) *Prober {
	p := &Prober{table: table, log: log, dial: dial, same: same, lost: func(pool.Server) {}, active: map[string]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(p)
	}
	return p
}

func dial(ctx context.Context, to netip.AddrPort) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", to.String())
	if err == nil {
		conn.Close()
	}
	return err
}

// Check begins to check a server unless that is going on.
func (p *Prober) Check(s pool.Server) { p.start(s, func() { p.check(s) }) }

// start runs f for a server. While that goes on, it is only noted that the server
// has to be checked again: what made it suspect may be newer than the check.
func (p *Prober) start(s pool.Server, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.active[s.ID]; ok || p.ctx.Err() != nil {
		p.active[s.ID] = true
		return
	}
	p.active[s.ID] = false
	p.all.Go(func() {
		p.safely(f)
		for p.another(s.ID) {
			p.safely(func() { p.check(s) })
		}
	})
}

// safely runs a check. One that fails must not keep the server from later ones.
func (p *Prober) safely(f func()) {
	defer panics.Catch(p.log, "check of a server")
	f()
}

// another reports whether a server has to be checked again, and ends its checks
// otherwise.
func (p *Prober) another(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[id] && p.ctx.Err() == nil {
		p.active[id] = false
		return true
	}
	delete(p.active, id)
	return false
}

// VerifyIdentity finds out whether a server that says that a request is not for it is
// still the one of its entry.
func (p *Prober) VerifyIdentity(s pool.Server) {
	p.start(s, func() {
		if err := p.identify(s); err != nil {
			p.log.Warn("server not verified", "server", s.ID, "service", s.Service, "error", err.Error())
			p.table.MarkMisdirected(time.Now(), s)
		}
	})
}

// check marks the server as down until a connection can be opened.
func (p *Prober) check(s pool.Server) {
	begun := time.Now()
	for down := false; time.Since(begun) < longest; {
		ctx, cancel := context.WithTimeout(p.ctx, timeout)
		err := p.dial(ctx, s.Addr)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		if err == nil && down {
			err = p.identify(s)
		}
		known := p.table.SetDown(s, err != nil)
		if err != nil && !down {
			p.log.Warn("server lost", "server", s.ID, "service", s.Service, "addr", s.Addr.String(), "error", err.Error())
			p.lost(s)
		}
		if err == nil && down {
			p.log.Info("server regained", "server", s.ID, "service", s.Service, "took", time.Since(begun).Milliseconds())
		}
		if err == nil || !known {
			return
		}
		down = true
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(again):
		}
	}
	p.table.SetDown(s, false)
}

// identify asks a server that can be reached again who it is. Another process at
// its address would refuse each request.
func (p *Prober) identify(s pool.Server) error {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	same, err := p.same(ctx, s)
	if err == nil && !same {
		p.log.Info("server replaced", "server", s.ID, "service", s.Service, "addr", s.Addr.String())
		p.table.MarkMisdirected(time.Now(), s)
	}
	return err
}

// Close ends all checks.
func (p *Prober) Close() {
	p.cancel()
	p.all.Wait()
}
