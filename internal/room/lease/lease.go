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

// Retransmission of lease requests.
const (
	// resendDelay is the time after which a request without a reply is sent again:
	// twice the longest round trip within a region, plus a margin for a busy owner.
	resendDelay = 40 * time.Millisecond
	// queuedResendDelay is the time after which a queued request is sent again, so that
	// a lost final reply is repeated.
	queuedResendDelay = 100 * time.Millisecond
	// maxSends is how often a request is sent to an owner that doesn't answer.
	maxSends = 2
)

// Errors of Acquire besides the context's.
var (
	// ErrNoOwner is returned when no daemon answered the lease request.
	ErrNoOwner = errors.New("no owner of the service answered the lease request")
)

// RefusedError is the error of Acquire when the owner refused the request. The
// embedded reply has the reason and the Retry-After delay.
type RefusedError struct {
	ledger.Reply
	Owner netip.AddrPort
}

// Error returns a message with the reason.
func (r *RefusedError) Error() string {
	return "lease refused by the owner of the service: " + r.Reason
}

// Lease is the right to use a slot and memory of a decode engine, and a place in the
// queue of a prefill engine.
type Lease struct {
	// Reply names the granted engines, with the wait and the load at the grant.
	ledger.Reply
	Owner netip.AddrPort

	manager   *Manager
	request   ledger.Request
	generated atomic.Int64
	phase     atomic.Uint32
	closed    atomic.Bool
}

// Unmanaged returns a lease on a server whose service has no ledger. It is closed
// from the start and is not reported.
func Unmanaged(server string) *Lease {
	l := &Lease{Reply: ledger.Reply{Decode: server}}
	l.closed.Store(true)
	return l
}

func (l *Lease) run() ledger.Run {
	return ledger.Run{Lease: l.ID, Decode: l.Decode, Prefill: l.Prefill, Prompt: l.request.Prompt,
		Expected: l.request.Expected, Generated: int(l.generated.Load()), Phase: ledger.Phase(l.phase.Load())}
}

// SetGenerated sets the number of output tokens so far.
func (l *Lease) SetGenerated(tokens int) { l.generated.Store(int64(tokens)) }

// SetDecoding records that no prefill is pending.
func (l *Lease) SetDecoding() { l.phase.Store(uint32(ledger.Decoding)) }

// Close releases the lease. full is the ID of the engine that refused the request
// for lack of room, empty for none. Further calls have no effect.
func (l *Lease) Close(full string) {
	if l.closed.Swap(true) {
		return
	}
	l.manager.enqueue(func(now time.Time) {
		h := l.manager.serviceHoldings(l.Service)
		delete(h.leases, l.ID)
		h.ended[l.ID] = now
		h.reportUntil = now.Add(endedReportTime)
		if full != "" {
			h.full[full] = now
		}
		l.manager.reportSoon(now)
	})
}

func (m *Manager) serviceHoldings(service string) *holdings {
	h := m.holdings[service]
	if h == nil {
		h = &holdings{leases: map[uint64]*Lease{}, ended: map[uint64]time.Time{}, full: map[string]time.Time{}}
		m.holdings[service] = h
	}
	return h
}

// Acquire requests a lease and waits for the final reply. The error is a
// *RefusedError, ErrNoOwner or the cause of ctx's end. Close must be called on the
// lease.
func (m *Manager) Acquire(ctx context.Context, req ledger.Request) (*Lease, error) {
	req.ID, req.Incarnation, req.Domain = m.nextID.Add(1), m.incarnation, m.domain
	start := time.Now()
	p := &pending{request: req, replies: make(chan ledger.Reply, 4)}
	var to []netip.AddrPort
	m.enqueueAndWait(func(now time.Time) {
		m.pending[req.ID] = p
		to, _ = m.owners(now, req.Service)
	})
	lease, err := m.exchange(ctx, start, p, to)
	if lease == nil {
		m.withdraw(p, to)
	}
	return lease, err
}

// exchange sends the request to one owner after the other until one gives a final
// reply.
func (m *Manager) exchange(ctx context.Context, start time.Time, p *pending, to []netip.AddrPort) (*Lease, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for index, sent := 0, 0; index < len(to); {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case reply := <-p.replies:
			switch reply.Status {
			case ledger.Granted:
				return m.register(p, reply, to[index]), nil
			case ledger.Refused:
				return nil, &RefusedError{Reply: reply, Owner: to[index]}
			case ledger.Queued:
				sent = 0
				timer.Reset(queuedResendDelay)
			}
		case <-timer.C:
			if sent == maxSends {
				m.skip(to[index], p)
				index, sent = index+1, 0
				timer.Reset(0)
				continue
			}
			sent++
			m.submit(to[index], p, start)
			timer.Reset(resendDelay)
		}
	}
	return nil, ErrNoOwner
}

// submit sends the request with its time limits reduced by the time since start.
func (m *Manager) submit(to netip.AddrPort, p *pending, start time.Time) {
	req := p.request
	elapsed := time.Since(start)
	req.Slack -= elapsed
	req.MaxWait -= elapsed
	req.RetryMaxWait -= elapsed
	if to == m.self {
		m.offer(func(now time.Time) { m.sendReplies(m.ledger(req.Service).Submit(now, m.self, req)) })
		return
	}
	m.socket.Send(dgram.LeaseRequest, req, to)
}

// skip excludes a daemon that doesn't answer from the owners for a while.
func (m *Manager) skip(addr netip.AddrPort, p *pending) {
	if addr == m.self {
		return
	}
	m.log.Warn("owner did not answer a lease request", "owner", addr.String(), "service", p.request.Service, "ask", p.request.ID)
	m.offer(func(now time.Time) { m.skipUntil[addr] = now.Add(skipTime) })
	m.socket.Send(dgram.LeaseCancel, cancellation{Service: p.request.Service, Incarnation: m.incarnation, ID: p.request.ID}, addr)
}

// register adds the lease to those that reports list.
func (m *Manager) register(p *pending, reply ledger.Reply, from netip.AddrPort) *Lease {
	l := &Lease{Reply: reply, Owner: from, manager: m, request: p.request}
	if reply.Prefill == "" {
		l.SetDecoding()
	}
	m.enqueueAndWait(func(time.Time) {
		delete(m.pending, reply.ID)
		m.serviceHoldings(reply.Service).leases[reply.ID] = l
	})
	return l
}

// withdraw removes a request and cancels it at the owners that may still grant it.
func (m *Manager) withdraw(p *pending, to []netip.AddrPort) {
	m.offer(func(now time.Time) {
		delete(m.pending, p.request.ID)
		if l := m.ledgers[p.request.Service]; l != nil {
			l.Cancel(now, m.self, m.incarnation, p.request.ID)
		}
	})
	for _, addr := range to[:min(len(to), 2)] {
		if addr != m.self {
			m.socket.Send(dgram.LeaseCancel, cancellation{Service: p.request.Service, Incarnation: m.incarnation, ID: p.request.ID}, addr)
		}
	}
}
