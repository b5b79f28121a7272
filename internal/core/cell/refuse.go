package cell

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Bounds of the time after which a refused request may ask again.
const (
	afterLeast = 10 * time.Millisecond
	afterMost  = 5 * time.Second
	// reportWait is when to ask again while an engine of a newly owned cell has
	// not reported yet; its first report comes within one period of reports.
	reportWait = 150 * time.Millisecond
)

// pace measures how fast a cell frees memory, and hands out times to come back
// at that pace, so that refused requests don't return together.
type pace struct {
	last time.Duration
	// each is the mean time in which one piece is freed.
	each float64
	next time.Duration
}

// released counts pieces that became free.
func (p *pace) released(at time.Duration, pieces uint32) {
	if p.last > 0 && pieces > 0 {
		now := float64(at-p.last) / float64(pieces)
		if p.each == 0 {
			p.each = now
		}
		p.each += (now - p.each) / 16
	}
	p.last = at
}

// back returns when a request for pieces may come back.
func (p *pace) back(at time.Duration, pieces uint32) time.Duration {
	each := time.Duration(p.each)
	if each <= 0 {
		each = afterLeast
	}
	p.next = min(max(p.next, at)+each*time.Duration(pieces), at+afterMost)
	return max(afterLeast, p.next-at)
}

// refusePlace refuses a request for which no engines were found.
func (m *Machine) refusePlace(at time.Duration, e event.Asked, g *group, p pick, why citronrock.Reason) event.Action {
	var after time.Duration
	slack := time.Duration(e.Ask.GetSlack()) * time.Millisecond
	switch {
	case why == citronrock.ReasonBackend:
		after = 500 * time.Millisecond
	case p.prefill != nil:
		// The prefill queue is too long; come back when half of it is left.
		after = max(p.start-at-m.queue/2, p.ready-at-slack)
	case p.unknown && g.awaiting():
		after = reportWait
	case p.unknown && at-g.since < term:
		// The engines are fenced off until the old owner's term is over.
		after = g.since + term - at
	default:
		after = g.pace.back(at, m.need(g.service, e.Ask))
	}
	a := m.refuse(e, why, min(max(after, afterLeast), afterMost))
	a.Grant.Free, a.Grant.Queue = p.look.free, millis(p.look.queue)
	return a
}

// awaiting tells whether the first report of an engine is still to come.
func (g *group) awaiting() bool {
	for _, u := range g.units {
		if !u.reported && !u.lost && !u.leaving {
			return true
		}
	}
	return false
}

func (m *Machine) refuse(e event.Asked, why citronrock.Reason, after time.Duration) event.SendGrant {
	m.count.Refused++
	return event.SendGrant{To: e.From, Grant: &peer.Grant{
		Request: e.Ask.GetRequest(),
		Reason:  string(why),
		After:   millis(after),
	}}
}
