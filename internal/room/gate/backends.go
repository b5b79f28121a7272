package gate

import (
	"context"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
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

// The methods of citronrock.Backends are written out, not embedded, so that a new path
// to the servers can't bypass the gate.
var _ citronrock.Backends = (*Gate)(nil)

// Send forwards a request.
func (g *Gate) Send(ctx context.Context, to pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	if err := g.admit(ctx, to, Request); err != nil {
		return nil, err
	}
	return g.backends.Send(ctx, to, r, o)
}

// Prefill makes a prefill engine compute the KV cache of a prompt.
func (g *Gate) Prefill(ctx context.Context, to pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Cache, error) {
	if err := g.admit(ctx, to, Prefill); err != nil {
		return nil, err
	}
	cache, err := g.backends.Prefill(ctx, to, r, o)
	if cache != nil {
		cache.Engine = to
	}
	return cache, err
}

// Usage asks an engine for its resources in use.
func (g *Gate) Usage(ctx context.Context, s pool.Server) (ledger.Usage, error) {
	if err := g.admit(ctx, s, Report); err != nil {
		return ledger.Usage{}, err
	}
	return g.backends.Usage(ctx, s)
}

// CheckIdentity asks a server for its identity.
func (g *Gate) CheckIdentity(ctx context.Context, s pool.Server, health string) (bool, error) {
	if err := g.admit(ctx, s, Check); err != nil {
		return false, err
	}
	return g.backends.CheckIdentity(ctx, s, health)
}

// Order tells an engine to change its stage.
func (g *Gate) Order(ctx context.Context, s pool.Server, o lease.Order) error {
	if err := g.admit(ctx, s, Order); err != nil {
		return err
	}
	return g.backends.Order(ctx, s, o)
}

// Free releases a KV cache. Without a permit, the cache expires by itself.
func (g *Gate) Free(ctx context.Context, cache *proxy.Cache) error {
	if err := g.admit(ctx, cache.Engine, Free); err != nil {
		return err
	}
	return g.backends.Free(ctx, cache)
}

// OnSignal sets the function for the signals in responses.
func (g *Gate) OnSignal(f func(pool.Server, pool.Signal)) { g.backends.OnSignal(f) }

// OnLimit panics: the gate itself takes the limits.
func (*Gate) OnLimit(func(pool.Server, pool.Limit)) { panic("gate: limits are taken by the gate") }
