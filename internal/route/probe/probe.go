// Package probe checks by connection attempts whether a backend server that failed
// a request is down, and when it is up again. Without it, each daemon would find
// out at the cost of client requests.
package probe

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

const (
	// retryInterval is the time between connection attempts to a server that is
	// down.
	retryInterval = 250 * time.Millisecond
	// dialTimeout bounds a connection attempt. It is far above the time of a
	// handshake within a region.
	dialTimeout = 200 * time.Millisecond
	// maxWatch bounds the attempts for one server. Its entry in the store
	// expires after some seconds.
	maxWatch = 30 * time.Second
)

// Prober checks servers that failed a request.
type Prober struct {
	table  *pool.Table
	log    hclog.Logger
	dial   func(ctx context.Context, to netip.AddrPort) error
	isSame func(ctx context.Context, s pool.Server) (bool, error)
	onDown func(s pool.Server)

	mu sync.Mutex
	// pending has the servers that are being checked. The value is set if
	// another check was requested meanwhile.
	pending map[string]bool
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Option changes a setting of a prober.
type Option func(*Prober)

// WithDial replaces the function that opens a connection.
func WithDial(f func(ctx context.Context, to netip.AddrPort) error) Option {
	return func(p *Prober) { p.dial = f }
}

// WithDown sets a function that is called when a server is found to be down.
func WithDown(f func(s pool.Server)) Option { return func(p *Prober) { p.onDown = f } }

// New returns a prober for the servers of a table. isSame reports whether a server
// that accepts connections is still the one of its entry.
func New(table *pool.Table, isSame func(ctx context.Context, s pool.Server) (bool, error), log hclog.Logger, opts ...Option) *Prober {
	p := &Prober{table: table, log: log, dial: dial, isSame: isSame, onDown: func(pool.Server) {}, pending: map[string]bool{}}
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

// Check starts to check a server in the background, which marks it as down while no
// connection can be opened.
func (p *Prober) Check(s pool.Server) { p.start(s, func() { p.poll(s) }) }

// start runs f for a server in the background. If a check of the server is already
// running, it is repeated after its end, as the failure may be newer than the
// check.
func (p *Prober) start(s pool.Server, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[s.ID]; ok || p.ctx.Err() != nil {
		p.pending[s.ID] = true
		return
	}
	p.pending[s.ID] = false
	p.running.Go(func() {
		p.catchPanic(f)
		for p.recheck(s.ID) {
			p.catchPanic(func() { p.poll(s) })
		}
	})
}

// catchPanic runs a check and recovers from a panic in it, which must not prevent
// later checks of the server.
func (p *Prober) catchPanic(f func()) {
	defer panics.Recover(p.log, "check of a server")
	f()
}

// recheck reports whether another check of a server was requested, and otherwise
// ends its checks.
func (p *Prober) recheck(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[id] && p.ctx.Err() == nil {
		p.pending[id] = false
		return true
	}
	delete(p.pending, id)
	return false
}

// VerifyIdentity asks a server that rejected a request as misdirected whether it is
// still the one of its entry.
func (p *Prober) VerifyIdentity(s pool.Server) {
	p.start(s, func() {
		if err := p.verify(s); err != nil {
			p.log.Warn("cannot verify the identity of the server", "server", s.ID, "service", s.Service, "error", err.Error())
			var sendErr *proxy.SendError
			if errors.As(err, &sendErr) && sendErr.Limited {
				return // nothing was sent, so that nothing follows about the server
			}
			p.table.MarkMisdirected(time.Now(), s)
		}
	})
}

// poll marks the server as down until a connection can be opened, its process
// leaves the table, or maxWatch has passed.
func (p *Prober) poll(s pool.Server) {
	start := time.Now()
	for down := false; time.Since(start) < maxWatch; {
		ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
		err := p.dial(ctx, s.Addr)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		if err == nil && down {
			err = p.verify(s)
		}
		known := p.table.SetDown(s, err != nil)
		if err != nil && !down {
			p.log.Warn("server lost", "server", s.ID, "service", s.Service, "addr", s.Addr.String(), "error", err.Error())
			p.onDown(s)
		}
		if err == nil && down {
			p.log.Info("server reachable again", "server", s.ID, "service", s.Service, "took", time.Since(start).Milliseconds())
		}
		if err == nil || !known {
			return
		}
		down = true
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
	p.table.SetDown(s, false)
}

// verify asks a server that can be reached again for its identity. Another process
// at its address would reject each request as misdirected.
func (p *Prober) verify(s pool.Server) error {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	same, err := p.isSame(ctx, s)
	if err == nil && !same {
		p.log.Info("another server responds at the address", "server", s.ID, "service", s.Service, "addr", s.Addr.String())
		p.table.MarkMisdirected(time.Now(), s)
	}
	return err
}

// Close stops all checks and waits for them.
func (p *Prober) Close() {
	p.cancel()
	p.running.Wait()
}
