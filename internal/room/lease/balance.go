package lease

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Times and limits of orders to engines.
const (
	// balanceEvery is the time between looks at the balance of stages.
	balanceEvery = 500 * time.Millisecond
	// rightAfter is how long a daemon must have been the owner without a pause
	// before it gives orders: by then no earlier owner's order is younger than a
	// lease.
	rightAfter = 5 * time.Second
	// upAfter is the same for the age of the process. The clocks of two daemons
	// may differ by as much, and later orders need higher fencing numbers.
	upAfter = 8 * time.Second
	// pauseLimit is the time between two looks from which the process was not run
	// in between.
	pauseLimit = 2 * time.Second
	// orderTimeout bounds an order.
	orderTimeout = 800 * time.Millisecond
	// fenceSpread makes the fencing numbers of two daemons differ.
	fenceSpread = 1000
)

// Order tells an engine to change its stage.
type Order struct {
	Stage  pool.Stage
	Holder string
	// Fence is the fencing number, higher than those of all earlier orders.
	Fence int64
	// Accepted is the number of orders that the engine must have accepted.
	Accepted int
}

// right tells whether this daemon may give orders for a service: it has been the
// owner for a while and sees most of the daemons, so that no other part of a
// divided fleet has an owner that may, too.
func (n *Manager) right(now time.Time, service string) bool {
	ask, _ := n.owners(now, service)
	if len(ask) == 0 || ask[0] != n.self || now.Sub(n.looked) > pauseLimit || 2*n.peers <= n.members.Known() {
		delete(n.since, service)
		return false
	}
	since, ok := n.since[service]
	if !ok {
		n.since[service] = now
		return false
	}
	return now.Sub(since) > rightAfter && now.Sub(n.begun) > upAfter
}

// balance orders the next engine of each service to change its stage.
func (n *Manager) balance(now time.Time) {
	if now.Sub(n.looked) < balanceEvery {
		return
	}
	for service, l := range n.ledgers {
		room := n.rooms[service]
		if !n.right(now, service) || room.SwitchTime <= 0 {
			continue
		}
		c, ok := l.Rebalance(now, room.SwitchTime, func(ids []string) string { return owner.First(n.self.String(), ids) })
		if !ok {
			continue
		}
		s, ok := n.fleet.Available(now, c.Engine)
		if !ok {
			l.RevertStage(c.Engine)
			continue
		}
		n.fence = max(n.fence+fenceSpread, now.UnixMilli()*fenceSpread+int64(owner.Score(service, n.self.String())%fenceSpread))
		go n.order(service, s, Order{Stage: c.Stage, Holder: n.self.String(), Fence: n.fence})
	}
	n.looked = now
}

// order gives an order to an engine, if the engine has accepted none since it
// was asked.
func (n *Manager) order(service string, s pool.Server, o Order) {
	defer panics.Catch(n.log, "order to an engine")
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	u, err := n.engines.Usage(ctx, s)
	if err == nil {
		o.Accepted = u.Accepted
		err = n.engines.Order(ctx, s, o)
	}
	fields := []any{"server", s.ID, "service", service, "stage", o.Stage.String(), "fence", o.Fence, "after", o.Accepted}
	if err == nil {
		n.log.Info("order", fields...)
		return
	}
	n.log.Warn("order not accepted", append(fields, "error", err.Error())...)
	n.do(func(time.Time) {
		if l := n.ledgers[service]; l != nil {
			l.RevertStage(s.ID)
		}
	})
}

// PrefillDone tells how long the prefill of the prompt took.
func (l *Lease) PrefillDone(took time.Duration) {
	l.phase.Store(uint32(ledger.Decoding))
	if l.node == nil || took <= 0 {
		return
	}
	l.node.do(func(time.Time) { l.node.mine(l.Service).prefills.add(l.ask.Prompt, took) })
}
