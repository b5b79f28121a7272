package lease

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Times and limits of orders to switch the stage of engines.
const (
	// balanceInterval is the time between checks of the balance of stages.
	balanceInterval = 500 * time.Millisecond
	// minOwnerTime is how long a daemon must have been the owner without interruption
	// before it gives orders. By then any order of an earlier owner is older than the
	// lifetime of a lease.
	minOwnerTime = 5 * time.Second
	// minUptime is the least age of the process before it gives orders. The clocks of
	// two daemons may differ by as much, and later orders need higher fencing tokens.
	minUptime = 8 * time.Second
	// maxPause is the time between two checks above which the process is assumed to
	// have been paused.
	maxPause = 2 * time.Second
	// orderTimeout bounds an order, including the poll before it.
	orderTimeout = 800 * time.Millisecond
	// fenceStep leaves room for a hash of the daemon in the fencing token, so that the
	// tokens of two daemons differ.
	fenceStep = 1000
)

// Order tells an engine to switch its stage. Holder is the address of the ordering
// daemon.
type Order struct {
	Stage  pool.Stage
	Holder string
	// Fence is the fencing token. The engine rejects an order whose token is not higher
	// than those of all earlier ones.
	Fence int64
	// Accepted is a precondition: the number of orders that the engine must have
	// accepted so far.
	Accepted int
}

// balance orders the next engine of each service to switch its stage, where needed.
func (m *Manager) balance(now time.Time) {
	if now.Sub(m.balancedAt) < balanceInterval {
		return
	}
	for service, l := range m.ledgers {
		capacity := m.capacities[service]
		if !m.mayOrder(now, service) || capacity.SwitchTime <= 0 {
			continue
		}
		c, ok := l.Rebalance(now, capacity.SwitchTime, func(ids []string) string { return owner.First(m.self.String(), ids) })
		if !ok {
			continue
		}
		s, ok := m.table.Available(now, c.Engine)
		if !ok {
			l.RevertStage(c.Engine)
			continue
		}
		m.fence = max(m.fence+fenceStep, now.UnixMilli()*fenceStep+int64(owner.Score(service, m.self.String())%fenceStep))
		go m.order(service, s, Order{Stage: c.Stage, Holder: m.self.String(), Fence: m.fence})
	}
	m.balancedAt = now
}

// order sends an order to an engine, on the condition that the engine has accepted
// no other one since its usage was read.
func (m *Manager) order(service string, s pool.Server, o Order) {
	defer panics.Recover(m.log, "order to an engine")
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	u, err := m.engines.Usage(ctx, s)
	if err == nil {
		o.Accepted = u.Accepted
		err = m.engines.Order(ctx, s, o)
	}
	fields := []any{"server", s.ID, "service", service, "stage", o.Stage.String(), "fence", o.Fence, "after", o.Accepted}
	if err == nil {
		m.log.Info("order", fields...)
		return
	}
	m.log.Warn("engine did not accept the order", append(fields, "error", err.Error())...)
	m.offer(func(time.Time) {
		if l := m.ledgers[service]; l != nil {
			l.RevertStage(s.ID)
		}
	})
}

// PrefillDone records that the prefill is complete and how long it took.
func (l *Lease) PrefillDone(took time.Duration) {
	l.phase.Store(uint32(ledger.Decoding))
	if l.manager == nil || took <= 0 {
		return
	}
	l.manager.offer(func(time.Time) {
		h := l.manager.serviceHoldings(l.Service)
		h.prefills++
		h.prefillRate.Add(ledger.Prefill{Number: h.prefills, Tokens: l.request.Prompt + l.Queued, Took: took})
	})
}
