package cell

import (
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/wire/peer"
)

// lease is the right of a request to use memory and a slot of a decode engine and
// a place in the queue of a prefill engine.
type lease struct {
	request     string
	fingerprint uint64
	// prefixHash is the hash of the prompt's first KV block, zero when it has none.
	prefixHash uint64
	// strikes is the number of strikes of the fingerprint when the lease was
	// granted.
	strikes int
	cell    *cell
	decode  *engineState
	// prefill is nil for a run that an earlier owner granted.
	prefill *engineState
	// The incarnations of the engines when the lease was granted.
	decodeIncarnation, prefillIncarnation uint64
	blocks                                uint32
	priority                              uint32
	// start and firstToken are the planned times of the start of the prefill and
	// of the first token.
	start      time.Duration
	firstToken time.Duration
	createdAt  time.Duration
	// prefillLeft is the part of the prefill time prefillTotal that is still to
	// come; queued is true while the lease is in the prefill queue.
	prefillLeft, prefillTotal time.Duration
	queued                    bool
	// expiredAt is the end of the term, zero until it has passed.
	expiredAt time.Duration
	// confirmed is set once a load report has listed the run; reportNumber is that
	// of the decode engine's last report that did.
	confirmed    bool
	reportNumber uint64
	// recordUse distinguishes the uses of a record of the free list, and the
	// renewals of a lease.
	recordUse uint64
	// index is the position in the leases of the decode engine.
	index               int
	nextSameFingerprint *lease
}

// started reports whether part of the prefill has been done.
func (l *lease) started() bool { return l.prefillLeft < l.prefillTotal }

// listed reports whether the decode engine's last load report lists the run.
func (l *lease) listed() bool { return l.confirmed && l.reportNumber == l.decode.reportNumber }

// expiryQueue holds the expiry times of leases in ascending order, which is the
// order of push since all leases have the same term.
type expiryQueue struct {
	items []expiry
	head  int
}

type expiry struct {
	lease     *lease
	recordUse uint64
	due       time.Duration
}

func (q *expiryQueue) push(e expiry) { q.items = append(q.items, e) }

// first returns the earliest expiry of a lease that no report has confirmed.
func (q *expiryQueue) first() (time.Duration, bool) {
	for q.head < len(q.items) {
		e := q.items[q.head]
		if e.lease.recordUse == e.recordUse && !e.lease.confirmed {
			return e.due, true
		}
		q.pop()
	}
	return 0, false
}

func (q *expiryQueue) pop() {
	q.items[q.head] = expiry{}
	q.head++
	if q.head*2 >= len(q.items) && q.head >= 64 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// expireUnused ends the term of leases that no load report has confirmed. When
// the engine's last report was measured before the end of the term, the lease may
// have been used in time and is kept until the next report.
func (m *Machine) expireUnused(at time.Duration) {
	for {
		due, ok := m.expiries.first()
		if !ok || due > at {
			return
		}
		l := m.expiries.items[m.expiries.head].lease
		m.expiries.pop()
		l.expiredAt = due
		m.revokeExpired(at, l)
	}
}

// revokeExpired revokes an unconfirmed lease when the decode engine's last report
// was measured after the end of its term.
func (m *Machine) revokeExpired(at time.Duration, l *lease) {
	if l.expiredAt == 0 || l.decode.measuredAt < l.expiredAt {
		return
	}
	m.counts.Expired++
	m.revoke(at, l, false)
}

// onAsked answers a lease request: with the lease that the request already has
// when it is still valid, with a new lease or with a refusal.
func (m *Machine) onAsked(at time.Duration, e event.Asked, out []event.Action) []event.Action {
	a := e.Ask
	c := m.cells[a.GetCell()]
	if c == nil || !c.owned {
		return append(out, m.refuse(e, citronrock.ReasonHome, 100*time.Millisecond))
	}
	var prior priorLease
	if l := c.leases[a.GetRequest()]; l != nil {
		if l.valid(a) {
			m.renew(at, l)
			return append(out, m.grantReply(at, e.From, l, c.load(m, at, a.GetPriority())))
		}
		prior = m.replace(at, l, a)
	}
	out = append(out, m.grantOrRefuse(at, e, c, &prior))
	prior.revokeCredit()
	return out
}

// renew restarts the term of an unconfirmed lease.
func (m *Machine) renew(at time.Duration, l *lease) {
	if l.confirmed {
		return
	}
	l.recordUse++
	l.expiredAt = 0
	m.expiries.push(expiry{l, l.recordUse, at + leaseTerm})
}

// valid reports whether the lease still satisfies a lease request: no engine of it
// is leaving or to be avoided.
func (l *lease) valid(a *peer.Ask) bool {
	if l.prefill == nil || l.decode.leaving || l.prefill.leaving {
		return false
	}
	return len(a.GetAvoid()) == 0 ||
		!slices.Contains(a.GetAvoid(), l.decode.name) && !slices.Contains(a.GetAvoid(), l.prefill.name)
}

// priorLease is the part of a replaced lease that the request's next lease may
// keep.
type priorLease struct {
	// decode and prefill are the engines that the request may still use, else nil.
	decode, prefill *engineState
	// prefillLeft is the prefill time that was left.
	prefillLeft time.Duration
	request     string
	// credit is the number of KV blocks that the end of the lease added to the free
	// ones of the decode engine. They are free only for this request, so the
	// credit stands only when the next lease is on the same engine (reused).
	credit uint32
	reused bool
	// unreportedCrashes is 1 when the request may have crashed an engine and the
	// Done that reports it has not arrived, else 0.
	unreportedCrashes int
}

// revokeCredit takes back the credit when the next lease is not on the same decode
// engine.
func (p *priorLease) revokeCredit() {
	if p.reused || p.decode == nil {
		return
	}
	if p.credit > 0 {
		p.decode.creditBlocks -= p.credit
		p.decode.creditRuns--
	}
	delete(p.decode.endedAt, p.request)
}

// replace revokes a lease that its request can no longer use. An engine of it that
// the request does not avoid is preferred for the next lease, since it may hold a
// reservation or a KV cache of the request.
func (m *Machine) replace(at time.Duration, l *lease, a *peer.Ask) priorLease {
	p := priorLease{decode: l.decode, prefill: l.prefill, request: l.request}
	if l.queued {
		p.prefillLeft = l.prefillLeft
	}
	if slices.Contains(a.GetAvoid(), l.decode.name) {
		p.decode, p.unreportedCrashes = nil, m.unreportedCrashes(l.fingerprint, l.crashID())
	}
	if l.prefill == nil || slices.Contains(a.GetAvoid(), l.prefill.name) {
		p.prefill = nil
	}
	if p.decode != nil && l.listed() {
		p.credit = l.blocks
	}
	m.revoke(at, l, p.decode != nil)
	return p
}

// unreportedCrashes returns 1 when an engine that a request avoids may have
// crashed while it ran the request and the strikes do not contain that crash.
func (m *Machine) unreportedCrashes(fingerprint uint64, crash string) int {
	if fingerprint == 0 || m.strikes.Known(m.now, fingerprint, crash) {
		return 0
	}
	return 1
}

// crashReportWait is the Retry-After delay of a request that may have crashed its
// last engine. The Done that reports the crash arrives with the next batch.
const crashReportWait = 50 * time.Millisecond

// crashID names the incarnation of the decode engine, so that two reports of one
// crash count as one strike and a crash after a restart as another.
func (l *lease) crashID() string { return crashID(l.decode.name, l.decodeIncarnation) }

func (m *Machine) grantOrRefuse(at time.Duration, e event.Asked, c *cell, prior *priorLease) event.Action {
	a := e.Ask
	strikes := m.strikes.Count(m.now, a.GetPrint())
	if a.GetPrint() != 0 && strikes >= strike.Threshold {
		return m.refuse(e, citronrock.ReasonSuspect, strike.TTL)
	}
	if strikes += prior.unreportedCrashes; strikes >= strike.Threshold {
		return m.refuse(e, citronrock.ReasonOverload, crashReportWait)
	}
	c.checkTakeover(at)
	blocks := m.blocksNeeded(c.service, a)
	place, reason := m.findPlacement(at, c, a, blocks, strikes, prior)
	if reason != "" {
		return m.refusePlacement(at, e, c, place, reason)
	}
	l := m.newLease()
	l.request, l.cell, l.fingerprint, l.strikes = a.GetRequest(), c, a.GetPrint(), strikes
	l.decode, l.prefill, l.blocks, l.priority = place.decode, place.prefill, blocks, a.GetPriority()
	l.decodeIncarnation, l.prefillIncarnation = place.decode.incarnation, place.prefill.incarnation
	prior.reused = place.decode == prior.decode
	l.start, l.firstToken, l.createdAt = place.prefillStart, place.firstToken, at
	l.prefillLeft, l.prefillTotal = place.prefillTime, place.prefillTime
	if len(a.GetPieces()) > 0 {
		l.prefixHash = a.GetPieces()[0]
	}
	m.insert(at, l, place)
	m.counts.Granted++
	return m.grantReply(at, e.From, l, place.load)
}

// insert adds a new lease to the accounts of its cell and engines.
func (m *Machine) insert(at time.Duration, l *lease, p placement) {
	c, eng := l.cell, l.decode
	c.leases[l.request] = l
	m.link(l)
	eng.pendingBlocks += l.blocks
	eng.pendingRuns++
	delete(eng.endedAt, l.request)
	if !c.reportsOnly {
		c.priorityLoad.add(at, l.priority, l.prefillLeft)
		l.prefill.prefillQueue.add(at, l)
	}
	if p.transferTime > 0 {
		l.prefill.transfers.add(at, p.transferTime)
		l.decode.transfers.add(at, p.transferTime)
	}
	if l.prefixHash != 0 {
		c.prefixCounts[prefixKey{l.prefixHash, l.prefill}]++
		c.prefixCounts[prefixKey{l.prefixHash, nil}]++
	}
	m.expiries.push(expiry{l, l.recordUse, at + leaseTerm})
}

// link adds a lease to the list of its decode engine and of its fingerprint.
func (m *Machine) link(l *lease) {
	l.index = len(l.decode.leases)
	l.decode.leases = append(l.decode.leases, l)
	l.decode.leasedBlocks += l.blocks
	if l.fingerprint != 0 {
		l.nextSameFingerprint = m.byFingerprint[l.fingerprint]
		m.byFingerprint[l.fingerprint] = l
	}
}

// revoke ends a lease that its edge daemon has not released, and remembers it for
// a late Done.
func (m *Machine) revoke(at time.Duration, l *lease, freed bool) {
	m.ended.add(l)
	m.release(at, l, freed)
}

// release ends a lease. With freed, the memory of the decode engine counts as free
// although its last load report may still list the run.
func (m *Machine) release(at time.Duration, l *lease, freed bool) {
	eng := l.decode
	listed := l.listed()
	if listed && freed {
		eng.creditBlocks += l.blocks
		eng.creditRuns++
	}
	if eng.endedAt == nil {
		eng.endedAt = map[string]time.Duration{}
	}
	if freed {
		eng.endedAt[l.request] = at
	}
	l.cell.releaseRate.add(at, l.blocks)
	m.remove(l)
}

// remove deletes a lease from the accounts and puts its record on the free list.
func (m *Machine) remove(l *lease) {
	eng, c := l.decode, l.cell
	if !l.listed() {
		eng.pendingBlocks -= l.blocks
		eng.pendingRuns--
	}
	eng.leasedBlocks -= l.blocks
	last := len(eng.leases) - 1
	eng.leases[l.index] = eng.leases[last]
	eng.leases[l.index].index = l.index
	eng.leases[last] = nil
	eng.leases = eng.leases[:last]
	if l.prefill != nil {
		l.prefill.prefillQueue.remove(l)
		c.decrementPrefix(prefixKey{l.prefixHash, l.prefill})
		c.decrementPrefix(prefixKey{l.prefixHash, nil})
	}
	m.unlinkFingerprint(l)
	delete(c.leases, l.request)
	recordUse := l.recordUse + 1
	*l = lease{recordUse: recordUse}
	m.freeList = append(m.freeList, l)
}

func (c *cell) decrementPrefix(k prefixKey) {
	if k.prefix == 0 {
		return
	}
	if c.prefixCounts[k]--; c.prefixCounts[k] <= 0 {
		delete(c.prefixCounts, k)
	}
}

// unlinkFingerprint removes a lease from the list of its fingerprint.
func (m *Machine) unlinkFingerprint(l *lease) {
	if l.fingerprint == 0 {
		return
	}
	if m.byFingerprint[l.fingerprint] == l {
		if l.nextSameFingerprint == nil {
			delete(m.byFingerprint, l.fingerprint)
			return
		}
		m.byFingerprint[l.fingerprint] = l.nextSameFingerprint
		return
	}
	for p := m.byFingerprint[l.fingerprint]; p != nil; p = p.nextSameFingerprint {
		if p.nextSameFingerprint == l {
			p.nextSameFingerprint = l.nextSameFingerprint
			return
		}
	}
}

// newLease returns an empty record, from the free list if possible.
func (m *Machine) newLease() *lease {
	if n := len(m.freeList); n > 0 {
		l := m.freeList[n-1]
		m.freeList = m.freeList[:n-1]
		return l
	}
	return &lease{}
}

// blocksNeeded returns the number of KV blocks that the prompt and the expected
// output take.
func (m *Machine) blocksNeeded(service string, a *peer.Ask) uint32 {
	tokens := a.GetTokens() + m.outputOf(service).expect(a.GetOutput())
	return max(1, (tokens+policy.BlockTokens-1)/policy.BlockTokens)
}
