package gate

import (
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/permit"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// replyTimeout is the time after which an ask without a reply is sent again: twice
	// the longest round trip within a region, plus a margin for a busy owner.
	replyTimeout = 40 * time.Millisecond
	// maxSends is how often an ask is sent to an owner that doesn't answer.
	maxSends = 2
	// ownerlessHold is how long requests are held back while no daemon owns the limit,
	// does not answer, or says that it is not the owner. Another owner is known within
	// seconds.
	ownerlessHold = 250 * time.Millisecond
	// permitTTL is the age from which a permit is not used any more.
	permitTTL = 500 * time.Millisecond
	// maxBatch bounds the number of requests in one ask.
	maxBatch = 1000
)

// request is the message that asks the owner of a limit for permits.
type request struct {
	ID uint64 `cbor:"1,keyasint"`
	// Notice is the server and its limit as the asking daemon knows it.
	Notice permit.Notice `cbor:"2,keyasint"`
	// N is the number of requests that need a permit, Held the number of those refused
	// since the last ask.
	N    int `cbor:"3,keyasint"`
	Held int `cbor:"4,keyasint,omitempty"`
}

// reply is the owner's answer.
type reply struct {
	ID uint64 `cbor:"1,keyasint"`
	// Notice is the limit as the owner knows it.
	Notice  permit.Notice  `cbor:"2,keyasint"`
	Verdict permit.Verdict `cbor:"3,keyasint"`
}

// ask is a request for permits in flight.
type ask struct {
	request
	to      netip.AddrPort
	sends   int
	waiters []chan bool
}

// request asks for a permit for one request to a server. The returned channel gets true
// if it may be sent. It is nil if the server has no limit.
func (g *Gate) request(now time.Time, p pool.Process) <-chan bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sv := g.servers[p]
	if sv == nil || !sv.known.Limited() {
		return nil
	}
	verdict := make(chan bool, 1)
	sv.usedAt = now
	if now.Before(sv.heldUntil) {
		sv.held++
		verdict <- false
		return verdict
	}
	sv.waiting = append(sv.waiting, verdict)
	if sv.ask == nil {
		g.startAsk(now, sv)
	}
	return verdict
}

// startAsk asks the owner for permits for the waiting requests. The caller holds mu.
func (g *Gate) startAsk(now time.Time, sv *server) {
	g.nextID++
	a := &ask{waiters: sv.waiting, request: request{ID: g.nextID, N: min(len(sv.waiting), maxBatch), Held: sv.held}}
	sv.waiting, sv.held, sv.ask = nil, 0, a
	a.to = g.ownerOf(now, sv)
	switch {
	case !a.to.IsValid():
		g.settle(now, sv, permit.Verdict{Hold: ownerlessHold, Return: ownerlessHold})
	case a.to == g.self:
		g.settle(now, sv, g.grant(now, sv, a.N, a.Held))
	default:
		g.sendAsk(now, sv, a)
	}
}

// sendAsk sends an ask, and once more if no reply comes. The caller holds mu.
func (g *Gate) sendAsk(now time.Time, sv *server, a *ask) {
	a.sends++
	a.Notice = sv.known.Notice(now, sv.ID, sv.StartedAt)
	g.socket.Send(dgram.PermitRequest, a.request, a.to)
	time.AfterFunc(replyTimeout, func() { g.expire(sv, a) })
}

// expire handles an ask that got no reply in time.
func (g *Gate) expire(sv *server, a *ask) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case sv.ask != a:
	case a.sends < maxSends:
		g.sendAsk(now, sv, a)
	default:
		g.counts.unanswered.Add(1)
		g.log.Warn("owner of a limit did not answer", "owner", a.to.String(), "server", sv.ID)
		g.settle(now, sv, permit.Verdict{Hold: ownerlessHold, Return: ownerlessHold})
	}
}

// onReply takes the owner's answer.
func (g *Gate) onReply(_ netip.AddrPort, body []byte) {
	var r reply
	if !g.socket.Decode(body, &r) {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	sv := g.learnNotice(now, r.Notice)
	if sv == nil || sv.ask == nil || sv.ask.ID != r.ID {
		return
	}
	g.settle(now, sv, r.Verdict.Clamp())
}

// settle ends the ask in flight with a verdict and starts the next one. The caller holds
// mu.
func (g *Gate) settle(now time.Time, sv *server, v permit.Verdict) {
	a := sv.ask
	sv.ask = nil
	if !sv.known.Limited() {
		v.Granted = len(a.waiters)
	}
	for i, w := range a.waiters {
		w <- i < v.Granted
	}
	if v.Granted >= len(a.waiters) {
		g.counts.granted.Add(int64(len(a.waiters)))
		if len(sv.waiting) > 0 {
			g.startAsk(now, sv)
		}
		return
	}
	g.counts.granted.Add(int64(v.Granted))
	sv.heldUntil = now.Add(v.Hold)
	g.table.Hold(sv.Process, sv.heldUntil, now.Add(v.Return))
	sv.held += len(sv.waiting)
	for _, w := range sv.waiting {
		w <- false
	}
	sv.waiting = nil
}
