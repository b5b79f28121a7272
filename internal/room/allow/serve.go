package allow

import (
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/bucket"
)

// request is the message that asks the owner of an account for units.
type request struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	// Costs are the units of the requests that wait, in order.
	Costs []float64 `cbor:"3,keyasint,omitempty"`
	// Ahead are the units that the daemon would like to hold for its next requests, Back
	// those that it returns, and Held those of requests that it refused since the last ask.
	Ahead float64 `cbor:"4,keyasint,omitempty"`
	Back  float64 `cbor:"5,keyasint,omitempty"`
	Held  float64 `cbor:"6,keyasint,omitempty"`
	// Instead is set if the owner does not answer.
	Instead bool `cbor:"7,keyasint,omitempty"`
}

// reply is the owner's answer.
type reply struct {
	ID      uint64        `cbor:"1,keyasint"`
	Tenant  string        `cbor:"2,keyasint"`
	Granted int           `cbor:"3,keyasint,omitempty"`
	Ahead   float64       `cbor:"4,keyasint,omitempty"`
	Room    time.Duration `cbor:"5,keyasint,omitempty"`
	Return  time.Duration `cbor:"6,keyasint,omitempty"`
	Level   float64       `cbor:"7,keyasint,omitempty"`
	// NotOwner is set if the daemon does not own the account in its view.
	NotOwner bool `cbor:"8,keyasint,omitempty"`
}

// maxDelay bounds the delays in replies of other daemons.
const maxDelay = time.Minute

// maxUnits bounds the numbers of units in messages, so that sums stay exact.
const maxUnits = 1e12

// clampUnits returns a number of units within its bounds; NaN is none.
func clampUnits(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, maxUnits)
}

func (r *reply) verdict() bucket.Verdict {
	return bucket.Verdict{Granted: max(r.Granted, 0), Ahead: clampUnits(r.Ahead),
		Room: min(max(r.Room, 0), maxDelay), Return: min(max(r.Return, 0), maxDelay), Level: r.Level}
}

// account is the account of a tenant at this daemon, which owns it or stands in.
type account struct {
	*bucket.Bucket
	createdAt time.Time
	usedAt    time.Time
	// informed is set if the account began with the level of another daemon.
	informed bool
	// instead are the units granted while another daemon owns the account, which does not
	// know of them.
	instead float64
	// replies are the last ones to each daemon, as asks may arrive twice.
	replies map[netip.AddrPort]sentReply
}

// sentReply is a reply and the time at which it was sent.
type sentReply struct {
	reply
	at time.Time
}

// lateTime is how long an ask may arrive after a later one of the same daemon. An earlier ID
// after that is of a daemon whose clock was set back before it started again.
const lateTime = time.Second

// onRequest answers another daemon.
func (m *Manager) onRequest(from netip.AddrPort, body []byte) {
	var r request
	if !m.socket.Decode(body, &r) {
		return
	}
	if len(r.Costs) > maxAsk {
		r.Costs = r.Costs[:maxAsk]
	}
	for i, c := range r.Costs {
		r.Costs[i] = clampUnits(c)
	}
	r.Ahead, r.Back, r.Held = clampUnits(r.Ahead), clampUnits(r.Back), clampUnits(r.Held)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[r.Tenant]; a != nil {
		switch sent, ok := a.replies[from]; {
		case !ok:
		case sent.ID == r.ID:
			m.socket.Send(dgram.QuotaReply, sent.reply, from)
			return
		case r.ID < sent.ID && now.Sub(sent.at) < lateTime: // served, or given up
			return
		}
	}
	out := reply{ID: r.ID, Tenant: r.Tenant}
	if t := m.lookup(r.Tenant); t != nil && t.Rate <= 0 {
		// The tenant has no limit in the configuration that is in force here.
		out.Granted = len(r.Costs)
		m.socket.Send(dgram.QuotaReply, out, from)
		return
	}
	if !m.mayServe(now, &r) {
		out.NotOwner = true
		m.socket.Send(dgram.QuotaReply, out, from)
		return
	}
	v := m.serve(now, &r)
	out.Granted, out.Ahead, out.Room, out.Return, out.Level = v.Granted, v.Ahead, v.Room, v.Return, v.Level
	if a := m.accounts[r.Tenant]; a != nil {
		a.replies[from] = sentReply{out, now}
	}
	if len(r.Costs) > 0 {
		m.socket.Send(dgram.QuotaReply, out, from)
	}
}

// mayServe reports whether this daemon may serve an account: as its owner, or as the next in
// order if the owner does not answer. The caller holds mu.
func (m *Manager) mayServe(now time.Time, r *request) bool {
	if m.lookup(r.Tenant) == nil {
		return false
	}
	for i, addr := range m.ownersOf(now, r.Tenant) {
		if addr == m.self {
			return i == 0 || r.Instead
		}
	}
	return false
}

// serve takes units from an account. The caller holds mu.
func (m *Manager) serve(now time.Time, r *request) bucket.Verdict {
	a := m.account(now, r.Tenant)
	if a == nil {
		return bucket.Verdict{Return: ownerlessRetryAfter}
	}
	if r.Back > 0 {
		a.Return(now, r.Back)
	}
	a.usedAt = now
	v := a.Take(now, r.Costs, r.Ahead, r.Held)
	if m.ownersOf(now, r.Tenant)[0] != m.self {
		for _, c := range r.Costs[:v.Granted] {
			a.instead += c
		}
		a.instead += v.Ahead
	}
	return v
}

// account returns the account of a tenant with the limit that this daemon may grant. The
// caller holds mu.
func (m *Manager) account(now time.Time, tenant string) *account {
	t := m.lookup(tenant)
	if t == nil {
		return nil
	}
	limit := m.contract.Limits(now, m.part, rateOf(t))
	a := m.accounts[tenant]
	if a == nil {
		a = &account{createdAt: now, replies: map[netip.AddrPort]sentReply{}}
		if r, ok := m.replicas[tenant]; ok && now.Sub(r.at) < replicaTTL {
			a.Bucket, a.informed = bucket.Continue(now, limit, r.level, r.at), true
		} else {
			a.Bucket = bucket.New(now, limit, m.steadySince)
		}
		m.accounts[tenant] = a
	}
	if a.Rate() != limit {
		a.SetRate(now, limit)
	}
	return a
}
