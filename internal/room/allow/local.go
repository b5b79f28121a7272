package allow

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/bucket"
	"citronrock.example/citronrock/internal/route/config"
)

const (
	// replyTimeout is the time after which an ask without a reply is sent again: twice
	// the longest round trip within a region, plus a margin for a busy owner.
	replyTimeout = 40 * time.Millisecond
	// askInterval is the least time between two asks for one tenant, which bounds the
	// load of its owner. Units that are granted ahead cover it in calm.
	askInterval = 50 * time.Millisecond
	// aheadTime is the time for whose expected demand units are asked ahead, and after
	// which units at hand are not used any more: they add to what a window may have.
	aheadTime = 500 * time.Millisecond
	// maxAsk bounds the number of requests in one ask.
	maxAsk = 256
	// silentTime is how long a daemon that did not answer is passed over.
	silentTime = 500 * time.Millisecond
	// ownerlessRetryAfter is the Retry-After delay of a request for which no owner
	// answers. Another one is known within a second or two, and other daemons may reach it.
	ownerlessRetryAfter = 400 * time.Millisecond
	// idleShare is the recent use, as a share of a typical request, up to which no units are
	// asked ahead.
	idleShare = 0.1
	// maxHold bounds the time for which requests are refused without another ask.
	maxHold = 250 * time.Millisecond
)

// local is what a daemon knows of a tenant whose requests come in here.
type local struct {
	tenant *config.Tenant
	// units are at hand until expiresAt. back are units to be given back.
	units     float64
	expiresAt time.Time
	back      float64
	// own is what this daemon may use while no owner answers.
	own bucket.Own

	waiting []*waiter
	ask     *ask
	askedAt time.Time
	// timer is set while an ask waits for the end of askInterval.
	timer *time.Timer
	// held are the units refused here since the last ask.
	held float64
	// refused is the last refusal of the owner, for requests until holdUntil.
	refused   Refusal
	refusedAt time.Time
	holdUntil time.Time
	// level is that of the account in the owner's last answer, at heardAt.
	level   float64
	heardAt time.Time
	// used is an exponentially decaying sum of the units used, typical the mean cost.
	used    float64
	usedAt  time.Time
	typical float64
	totals  Totals
}

// Totals counts units of a tenant since the start of this daemon.
type Totals struct {
	// Granted came from owners, Used went to requests, Returned came back from requests
	// that did not run, and Refused were asked for in vain.
	Granted, Used, Returned, Refused float64
	// Asks were sent, Silent ones got no reply.
	Asks, Silent int64
}

// waiter is a request that waits for its units.
type waiter struct {
	cost float64
	done chan *Refusal
	// gone is set when the client has left.
	gone bool
}

// ask is an ask in flight.
type ask struct {
	request
	waiters []*waiter
	to      netip.AddrPort
	// tried are the daemons that did not answer, sends how often the last one was asked.
	tried []netip.AddrPort
	sends int
}

// local returns the state of a tenant. The caller holds mu.
func (m *Manager) local(now time.Time, t *config.Tenant) *local {
	l := m.tenants[t.Name]
	if l == nil {
		l = &local{usedAt: now}
		m.tenants[t.Name] = l
	}
	if l.tenant != nil && l.tenant.Unit != t.Unit {
		// Thousands of tokens at hand are not as many requests.
		l.units, l.back, l.held, l.used, l.typical = 0, 0, 0, 0, 0
	}
	l.tenant = t
	return l
}

// take uses units at hand.
func (l *local) take(now time.Time, cost float64) bool {
	if l.units < cost || now.After(l.expiresAt) {
		return false
	}
	l.units -= cost
	l.use(now, cost)
	return true
}

// use counts the units of an admitted request.
func (l *local) use(now time.Time, cost float64) {
	l.decay(now)
	l.used += cost
	if l.typical == 0 {
		l.typical = cost
	}
	l.typical += (cost - l.typical) / 8
	l.totals.Used += cost
}

func (l *local) decay(now time.Time) {
	l.used *= math.Exp(-max(now.Sub(l.usedAt), 0).Seconds() / aheadTime.Seconds())
	l.usedAt = now
}

// refusedUntil returns the owner's last refusal while it holds.
func (l *local) refusedUntil(now time.Time, cost float64) *Refusal {
	if !now.Before(l.holdUntil) {
		return nil
	}
	l.held += cost
	l.totals.Refused += cost
	r := l.refused
	r.Cost, r.Age = cost, now.Sub(l.refusedAt)
	r.RetryAfter = max(r.RetryAfter-r.Age, minRetryAfter)
	return &r
}

// minRetryAfter is the least Retry-After delay.
const minRetryAfter = 20 * time.Millisecond

// startAsk asks the owner for the waiting requests, as soon as the last ask is long enough
// ago. The caller holds mu.
func (m *Manager) startAsk(now time.Time, l *local) {
	if l.ask != nil || len(l.waiting) == 0 || l.timer != nil {
		return
	}
	if wait := l.askedAt.Add(askInterval).Sub(now); wait > 0 {
		l.timer = time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			l.timer = nil
			m.startAsk(time.Now(), l)
		})
		return
	}
	m.nextID++
	a := &ask{request: request{ID: m.nextID, Tenant: l.tenant.Name, Held: l.held, Back: l.takeBack(now)}}
	n := min(len(l.waiting), maxAsk)
	a.waiters = slices.Clone(l.waiting[:n])
	l.waiting = slices.Delete(l.waiting, 0, n)
	for _, w := range a.waiters {
		a.Costs = append(a.Costs, w.cost)
	}
	l.decay(now)
	if l.used > idleShare*l.typical {
		a.Ahead = max(l.used, l.typical)
	}
	l.held, l.ask, l.askedAt = 0, a, now
	m.send(now, l, a)
}

// takeBack returns the units to be given back with an ask: those that have expired too.
func (l *local) takeBack(now time.Time) float64 {
	if now.After(l.expiresAt) {
		l.back += l.units
		l.units = 0
	}
	back := l.back
	l.back = 0
	return back
}

// send sends an ask to the first daemon in order that may answer. The caller holds mu.
func (m *Manager) send(now time.Time, l *local, a *ask) {
	a.to = netip.AddrPort{}
	for i, to := range m.ownersOf(now, a.Tenant)[:2] {
		if !to.IsValid() || slices.Contains(a.tried, to) || now.Before(m.silentUntil[to]) {
			continue
		}
		a.to, a.Instead = to, i > 0
		break
	}
	switch {
	case !a.to.IsValid():
		m.settleAlone(now, l, a)
	case a.to == m.self:
		v := m.serve(now, &a.request)
		m.settle(now, l, a, v)
	default:
		a.sends = 0
		m.transmit(l, a)
	}
}

// transmit sends an ask, and once more if no reply comes. The caller holds mu.
func (m *Manager) transmit(l *local, a *ask) {
	a.sends++
	l.totals.Asks++
	to, sends := a.to, a.sends
	m.socket.Send(dgram.QuotaRequest, a.request, to)
	time.AfterFunc(replyTimeout, func() { m.expireAsk(l, a, to, sends) })
}

// expireAsk handles an ask that got no reply in time.
func (m *Manager) expireAsk(l *local, a *ask, to netip.AddrPort, sends int) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case l.ask != a || a.to != to || a.sends != sends:
	case a.sends < 2 && !a.Instead:
		m.transmit(l, a)
	default:
		l.totals.Silent++
		m.silentUntil[to] = now.Add(silentTime)
		a.tried = append(a.tried, to)
		// Only the reply may have been lost: units that are given back at two daemons
		// would count twice.
		a.Back = 0
		m.send(now, l, a)
	}
}

// onReply takes an owner's answer.
func (m *Manager) onReply(from netip.AddrPort, body []byte) {
	var r reply
	if !m.socket.Decode(body, &r) {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.tenants[r.Tenant]
	if l == nil || l.ask == nil || l.ask.ID != r.ID || l.ask.to != from {
		return
	}
	if r.NotOwner {
		l.ask.tried = append(l.ask.tried, from)
		m.send(now, l, l.ask)
		return
	}
	m.settle(now, l, l.ask, r.verdict())
}

// settle ends an ask with the owner's verdict. The caller holds mu.
func (m *Manager) settle(now time.Time, l *local, a *ask, v bucket.Verdict) {
	l.level, l.heardAt = v.Level, now
	refusal := Refusal{Limited: true, RetryAfter: v.Return, Had: v.Level, Owner: a.to}
	for i, w := range a.waiters {
		if i < v.Granted {
			m.grant(now, l, w)
			continue
		}
		m.refuse(l, w, refusal)
	}
	l.totals.Granted += v.Ahead
	if v.Ahead > 0 {
		l.back += l.units
		l.units, l.expiresAt = v.Ahead, now.Add(aheadTime)
	}
	if v.Granted < len(a.waiters) {
		l.refused, l.refusedAt, l.holdUntil = refusal, now, now.Add(min(v.Room, maxHold))
	}
	m.finish(now, l)
}

// settleAlone ends an ask for which no owner answers by what this daemon may use by itself.
// The caller holds mu.
func (m *Manager) settleAlone(now time.Time, l *local, a *ask) {
	limit := m.contract.Own(m.part, rateOf(l.tenant))
	for _, w := range a.waiters {
		if l.own.Take(now, limit, w.cost) {
			m.grant(now, l, w)
			continue
		}
		m.refuse(l, w, Refusal{RetryAfter: ownerlessRetryAfter})
	}
	m.finish(now, l)
}

func (m *Manager) grant(now time.Time, l *local, w *waiter) {
	l.totals.Granted += w.cost
	if w.gone {
		l.back += w.cost
		return
	}
	l.use(now, w.cost)
	w.done <- nil
}

func (m *Manager) refuse(l *local, w *waiter, r Refusal) {
	r.Cost = w.cost
	l.totals.Refused += w.cost
	w.done <- &r
}

// finish ends the ask in flight and starts the next one.
func (m *Manager) finish(now time.Time, l *local) {
	l.ask = nil
	m.startAsk(now, l)
}

// abandon withdraws a request whose client has left. Units that it was granted meanwhile are
// given back.
func (m *Manager) abandon(l *local, w *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waiter) bool { return o == w })
	w.gone = true
	select {
	case r := <-w.done:
		if r == nil {
			l.back += w.cost
		}
	default:
	}
}

// expire returns units that have expired, and forgets tenants that are not used. The caller
// holds mu.
func (m *Manager) expire(now time.Time) {
	for name, l := range m.tenants {
		if now.After(l.expiresAt) && l.units > 0 {
			l.back += l.units
			l.units = 0
		}
		switch {
		case l.ask != nil || len(l.waiting) > 0:
		case l.back > 0 && now.Sub(l.askedAt) >= aheadTime:
			m.giveBack(now, l)
		case now.Sub(l.usedAt) > forgetAfter && now.Sub(l.askedAt) > forgetAfter:
			delete(m.tenants, name)
		}
	}
	for addr, until := range m.silentUntil {
		if now.After(until) {
			delete(m.silentUntil, addr)
		}
	}
	for name, o := range m.owners {
		if now.Sub(o.usedAt) > forgetAfter {
			delete(m.owners, name)
		}
	}
}

// giveBack returns units without asking for any. It is not repeated if it is lost: fewer are
// granted then than could be. The caller holds mu.
func (m *Manager) giveBack(now time.Time, l *local) {
	m.nextID++
	r := request{ID: m.nextID, Tenant: l.tenant.Name, Back: l.takeBack(now)}
	l.askedAt = now
	switch to := m.ownersOf(now, l.tenant.Name)[0]; {
	case !to.IsValid():
	case to == m.self:
		m.serve(now, &r)
	default:
		m.socket.Send(dgram.QuotaRequest, r, to)
	}
}

func rateOf(t *config.Tenant) bucket.Rate {
	return bucket.Rate{PerSecond: t.Rate, Burst: max(t.Burst, 1)}
}
