package lease

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/ledger"
)

// Times of one ask.
const (
	// askAgain is the time after which an ask without a reply is sent again:
	// twice the longest round trip within a region, with a margin for a busy
	// owner.
	askAgain = 40 * time.Millisecond
	// queuedAgain is the time after which a queued ask is sent again, so that a
	// lost answer is repeated.
	queuedAgain = 100 * time.Millisecond
	// tries is the number of sendings to an owner that does not reply.
	tries = 2
)

// Errors of Acquire besides the context's.
var (
	// ErrNoOwner means that no daemon answered.
	ErrNoOwner = errors.New("no owner of the service's ledger answered")
)

// RefusedError is the error of Acquire when the owner refused.
type RefusedError struct {
	ledger.Reply
	Owner netip.AddrPort
}

// Error returns the reason.
func (r *RefusedError) Error() string {
	return "refused by the owner of the ledger: " + r.Reason
}

// Lease is the right to use a slot and memory of a decode engine, and a place
// in the queue of a prefill engine.
type Lease struct {
	// Answer tells the engines and what the owner based its decision on.
	ledger.Reply
	Owner netip.AddrPort

	node   *Manager
	ask    ledger.Request
	made   atomic.Int64
	phase  atomic.Uint32
	closed atomic.Bool
}

// Unmanaged returns a lease of a server whose service has no ledger.
func Unmanaged(server string) *Lease {
	l := &Lease{Reply: ledger.Reply{Decode: server}}
	l.closed.Store(true)
	return l
}

func (l *Lease) run() ledger.Run {
	return ledger.Run{Lease: l.ID, Decode: l.Decode, Prefill: l.Prefill, Prompt: l.ask.Prompt,
		Expected: l.ask.Expected, Generated: int(l.made.Load()), Phase: ledger.Phase(l.phase.Load())}
}

// SetGenerated tells how many tokens of output there are.
func (l *Lease) SetGenerated(tokens int) { l.made.Store(int64(tokens)) }

// SetDecoding tells that the prompt has been read.
func (l *Lease) SetDecoding() { l.phase.Store(uint32(ledger.Decoding)) }

// Close gives back the lease. Full is the engine that refused the request, empty
// for none.
func (l *Lease) Close(full string) {
	if l.closed.Swap(true) {
		return
	}
	l.node.must(func(now time.Time) {
		m := l.node.mine(l.Service)
		delete(m.leases, l.ID)
		m.ended[l.ID] = now
		m.until = now.Add(endedFor)
		if full != "" {
			m.full[full] = now
		}
		l.node.reportSoon(now)
	})
}

func (n *Manager) mine(service string) *mine {
	m := n.own[service]
	if m == nil {
		m = &mine{leases: map[uint64]*Lease{}, ended: map[uint64]time.Time{}, full: map[string]time.Time{}}
		n.own[service] = m
	}
	return m
}

// Acquire asks for engines until it has an answer or ctx ends. The error is a
// *Refusal, ErrOwner or the context's.
func (n *Manager) Acquire(ctx context.Context, a ledger.Request) (*Lease, error) {
	a.ID, a.Incarnation, a.Domain = n.next.Add(1), n.start, n.domain
	begun := time.Now()
	p := &pending{ask: a, answers: make(chan ledger.Reply, 4)}
	var to []netip.AddrPort
	n.wait(func(now time.Time) {
		n.pending[a.ID] = p
		to, _ = n.owners(now, a.Service)
	})
	lease, err := n.exchange(ctx, begun, p, to)
	if lease == nil {
		n.abandon(p, to)
	}
	return lease, err
}

// exchange sends the ask to one owner after the other until one answers.
func (n *Manager) exchange(ctx context.Context, begun time.Time, p *pending, to []netip.AddrPort) (*Lease, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at, sent := 0, 0; at < len(to); {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case a := <-p.answers:
			switch a.Status {
			case ledger.Granted:
				return n.granted(p, a, to[at]), nil
			case ledger.Refused:
				return nil, &RefusedError{Reply: a, Owner: to[at]}
			case ledger.Queued:
				sent = 0
				timer.Reset(queuedAgain)
			}
		case <-timer.C:
			if sent == tries {
				n.shun(to[at], p)
				at, sent = at+1, 0
				timer.Reset(0)
				continue
			}
			sent++
			n.submit(to[at], p, begun)
			timer.Reset(askAgain)
		}
	}
	return nil, ErrNoOwner
}

// submit sends the ask with the time that is left for its grant.
func (n *Manager) submit(to netip.AddrPort, p *pending, begun time.Time) {
	ask := p.ask
	passed := time.Since(begun)
	ask.Slack -= passed
	ask.MaxWait -= passed
	ask.RetryMaxWait -= passed
	if to == n.self {
		n.do(func(now time.Time) { n.send(n.ledger(ask.Service).Submit(now, n.self, ask)) })
		return
	}
	n.socket.Send(dgram.LeaseRequest, ask, to)
}

// shun passes over a daemon that does not answer.
func (n *Manager) shun(addr netip.AddrPort, p *pending) {
	if addr == n.self {
		return
	}
	n.log.Warn("owner does not answer", "owner", addr.String(), "service", p.ask.Service, "ask", p.ask.ID)
	n.do(func(now time.Time) { n.shunned[addr] = now.Add(shunFor) })
	n.socket.Send(dgram.LeaseCancel, drop{Service: p.ask.Service, Start: n.start, ID: p.ask.ID}, addr)
}

// granted registers the lease, so that reports list it.
func (n *Manager) granted(p *pending, a ledger.Reply, from netip.AddrPort) *Lease {
	l := &Lease{Reply: a, Owner: from, node: n, ask: p.ask}
	if a.Prefill == "" {
		l.SetDecoding()
	}
	n.wait(func(time.Time) {
		delete(n.pending, a.ID)
		n.mine(a.Service).leases[a.ID] = l
	})
	return l
}

// abandon forgets an ask. Owners that may still grant it are told.
func (n *Manager) abandon(p *pending, to []netip.AddrPort) {
	n.do(func(now time.Time) {
		delete(n.pending, p.ask.ID)
		if l := n.ledgers[p.ask.Service]; l != nil {
			l.Cancel(now, n.self, n.start, p.ask.ID)
		}
	})
	for _, addr := range to[:min(len(to), 2)] {
		if addr != n.self {
			n.socket.Send(dgram.LeaseCancel, drop{Service: p.ask.Service, Start: n.start, ID: p.ask.ID}, addr)
		}
	}
}
