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

// pollEngines polls the usage of engines that may have untracked runs.
func (m *Manager) pollEngines(now time.Time) {
	if now.Before(m.pollAt) {
		return
	}
	m.pollAt = now.Add(pollInterval)
	for service, l := range m.ledgers {
		for _, id := range l.PollTargets(now) {
			s, ok := m.table.Available(now, id)
			if !ok {
				continue
			}
			go m.pollUsage(service, s)
		}
	}
}

func (m *Manager) pollUsage(service string, s pool.Server) {
	defer panics.Recover(m.log, "usage of an engine")
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	asked := time.Now()
	u, err := m.engines.Usage(ctx, s)
	if err != nil {
		m.log.Info("engine usage could not be read", "server", s.ID, "error", err.Error())
		var f *proxy.SendError
		if errors.As(err, &f) && f.Misdirected {
			m.table.MarkMisdirected(time.Now(), s)
		}
		return
	}
	m.table.ConfirmProcess(asked, s)
	m.offer(func(now time.Time) {
		if l := m.ledgers[service]; l != nil {
			l.SetUsage(now, s.ID, u)
			m.log.Info("usage", "server", s.ID, "tokens", u.Tokens, "running", u.Running, "waiting", u.Waiting)
		}
	})
}

// report sends this daemon's leases to the owners and applies them to its own
// ledgers.
func (m *Manager) report(now time.Time) {
	for service, h := range m.holdings {
		unhealthy := m.table.Unhealthy(now, service)
		if len(h.leases) == 0 && now.After(h.reportUntil) && len(unhealthy) == 0 {
			delete(m.holdings, service)
			continue
		}
		m.sequence++
		r := ledger.Report{Service: service, Incarnation: m.incarnation, Sequence: m.sequence,
			Unhealthy: unhealthy, PrefillRate: h.prefillRate.Estimate(), Prefills: h.prefillRate.Newest(reportedPrefills)}
		for _, l := range h.leases {
			r.Runs = append(r.Runs, l.run())
		}
		slices.SortFunc(r.Runs, func(a, b ledger.Run) int { return cmp.Compare(a.Lease, b.Lease) })
		for id, at := range h.ended {
			if now.Sub(at) > endedReportTime {
				delete(h.ended, id)
				continue
			}
			r.Ended = append(r.Ended, id)
		}
		for id, at := range h.full {
			if now.Sub(at) > fullReportTime {
				delete(h.full, id)
				continue
			}
			r.Full = append(r.Full, id)
		}
		_, to := m.owners(now, service)
		m.ledger(service).ApplyReport(now, m.self, r)
		m.sendReplies(m.ledger(service).Tick(now))
		m.socket.Send(dgram.Report, r, slices.DeleteFunc(to, func(a netip.AddrPort) bool { return a == m.self })...)
	}
}

// sendReplies sends replies to the edge daemons.
func (m *Manager) sendReplies(replies []ledger.Reply) {
	for _, reply := range replies {
		if reply.Version != "" {
			m.log.Info("lease at a version refused", "service", reply.Service, "edge", reply.To.String(), "ask", reply.ID, "software", reply.Version,
				"reason", reply.Reason, "usable", reply.Census.Usable, "unhealthy", reply.Census.Unhealthy,
				"switching", reply.Census.Switching, "prefill", reply.Census.Prefill)
		}
		if reply.To == m.self {
			m.deliver(reply)
			continue
		}
		m.socket.Send(dgram.LeaseReply, reply, reply.To)
	}
}

func (m *Manager) deliver(reply ledger.Reply) {
	if p := m.pending[reply.ID]; p != nil && reply.Incarnation == m.incarnation {
		select {
		case p.replies <- reply:
		default:
		}
	}
}

func (m *Manager) onRequest(from netip.AddrPort, body []byte) {
	var req ledger.Request
	if !m.socket.Decode(body, &req) {
		return
	}
	m.offer(func(now time.Time) {
		if _, ok := m.capacities[req.Service]; ok {
			m.sendReplies(m.ledger(req.Service).Submit(now, from, req.Clamp()))
		}
	})
}

func (m *Manager) onReply(from netip.AddrPort, body []byte) {
	var reply ledger.Reply
	if !m.socket.Decode(body, &reply) {
		return
	}
	m.offer(func(time.Time) {
		delete(m.skipUntil, from)
		m.deliver(reply)
	})
}

// cancellation withdraws a lease request whose client has left.
type cancellation struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
}

func (m *Manager) onCancel(from netip.AddrPort, body []byte) {
	var c cancellation
	if !m.socket.Decode(body, &c) {
		return
	}
	m.offer(func(now time.Time) {
		if l := m.ledgers[c.Service]; l != nil {
			l.Cancel(now, from, c.Incarnation, c.ID)
		}
	})
}

func (m *Manager) onReport(from netip.AddrPort, body []byte) {
	var r ledger.Report
	if !m.socket.Decode(body, &r) {
		return
	}
	m.offer(func(now time.Time) {
		if _, ok := m.capacities[r.Service]; ok {
			m.ledger(r.Service).ApplyReport(now, from, r.Clamp())
		}
	})
}
