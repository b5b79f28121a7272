package lease

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// inspect asks engines for their usage where a ledger may lack runs.
func (n *Manager) inspect(now time.Time) {
	if now.Before(n.inspectAt) {
		return
	}
	n.inspectAt = now.Add(inspectEvery)
	for service, l := range n.ledgers {
		for _, id := range l.PollTargets(now) {
			s, ok := n.fleet.Available(now, id)
			if !ok {
				continue
			}
			go n.usage(service, s)
		}
	}
}

func (n *Manager) usage(service string, s pool.Server) {
	defer panics.Catch(n.log, "usage of an engine")
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	u, err := n.engines.Usage(ctx, s)
	if err != nil {
		n.log.Info("usage not known", "server", s.ID, "error", err.Error())
		var f *proxy.SendError
		if errors.As(err, &f) && f.Misdirected {
			n.fleet.MarkMisdirected(time.Now(), s)
		}
		return
	}
	n.do(func(now time.Time) {
		if l := n.ledgers[service]; l != nil {
			l.SetUsage(now, s.ID, u)
			n.log.Info("usage", "server", s.ID, "tokens", u.Tokens, "running", u.Running, "waiting", u.Waiting)
		}
	})
}

// report sends what this daemon runs.
func (n *Manager) report(now time.Time) {
	for service, m := range n.own {
		resting := n.fleet.Unhealthy(now, service)
		if len(m.leases) == 0 && now.After(m.until) && len(resting) == 0 {
			delete(n.own, service)
			continue
		}
		n.number++
		r := ledger.Report{Service: service, Incarnation: n.start, Sequence: n.number,
			Unhealthy: resting, PrefillRate: m.prefills.pace()}
		for _, l := range m.leases {
			r.Runs = append(r.Runs, l.run())
		}
		slices.SortFunc(r.Runs, func(a, b ledger.Run) int { return cmp.Compare(a.Lease, b.Lease) })
		for id, at := range m.ended {
			if now.Sub(at) > endedFor {
				delete(m.ended, id)
				continue
			}
			r.Ended = append(r.Ended, id)
		}
		for id, at := range m.full {
			if now.Sub(at) > fullFor {
				delete(m.full, id)
				continue
			}
			r.Full = append(r.Full, id)
		}
		_, to := n.owners(now, service)
		n.ledger(service).ApplyReport(now, n.self, r)
		n.send(n.ledger(service).Tick(now))
		n.socket.Send(dgram.Report, r, slices.DeleteFunc(to, func(a netip.AddrPort) bool { return a == n.self })...)
	}
}

// send sends answers to the asking daemons.
func (n *Manager) send(answers []ledger.Reply) {
	for _, a := range answers {
		if a.To == n.self {
			n.deliver(a)
			continue
		}
		n.socket.Send(dgram.LeaseReply, a, a.To)
	}
}

func (n *Manager) deliver(a ledger.Reply) {
	if p := n.pending[a.ID]; p != nil && a.Incarnation == n.start {
		select {
		case p.answers <- a:
		default:
		}
	}
}

func (n *Manager) onAsk(from netip.AddrPort, body []byte) {
	var a ledger.Request
	if !n.socket.Decode(body, &a) {
		return
	}
	n.do(func(now time.Time) {
		if _, ok := n.rooms[a.Service]; ok {
			n.send(n.ledger(a.Service).Submit(now, from, a.Clamp()))
		}
	})
}

func (n *Manager) onAnswer(from netip.AddrPort, body []byte) {
	var a ledger.Reply
	if !n.socket.Decode(body, &a) {
		return
	}
	n.do(func(time.Time) {
		delete(n.shunned, from)
		n.deliver(a)
	})
}

// drop tells an owner that an ask has no client any more.
type drop struct {
	Service string `cbor:"1,keyasint"`
	Start   int64  `cbor:"2,keyasint"`
	ID      uint64 `cbor:"3,keyasint"`
}

func (n *Manager) onDrop(from netip.AddrPort, body []byte) {
	var d drop
	if !n.socket.Decode(body, &d) {
		return
	}
	n.do(func(now time.Time) {
		if l := n.ledgers[d.Service]; l != nil {
			l.Cancel(now, from, d.Start, d.ID)
		}
	})
}

func (n *Manager) onReport(from netip.AddrPort, body []byte) {
	var r ledger.Report
	if !n.socket.Decode(body, &r) {
		return
	}
	n.do(func(now time.Time) {
		if _, ok := n.rooms[r.Service]; ok {
			n.ledger(r.Service).ApplyReport(now, from, r.Clamp())
		}
	})
}
