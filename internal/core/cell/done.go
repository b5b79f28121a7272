package cell

import (
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Outcomes of a run that a Done carries.
const (
	outcomeFinish = "finish"
	outcomeCrash  = "crash"
)

// endedLimit bounds the revoked leases that are remembered for a Done that
// arrives after a load report has already ended the lease.
const endedLimit = 4096

// endedLease is the part of an ended lease that a late Done needs.
type endedLease struct {
	fingerprint     uint64
	strikes         int
	decode, prefill string
	// decodeIncarnation and prefillIncarnation are those of the engines when the
	// lease was granted.
	decodeIncarnation, prefillIncarnation uint64
}

// endedLog holds the endedLimit newest revoked leases by request.
type endedLog struct {
	byRequest map[string]endedLease
	ring      []string
	next      int
}

// add remembers a lease that ends without a Done. Requests without a fingerprint
// get no strikes and are not kept.
func (log *endedLog) add(l *lease) {
	if l.fingerprint == 0 {
		return
	}
	if log.byRequest == nil {
		log.byRequest = make(map[string]endedLease)
	}
	if _, ok := log.byRequest[l.request]; !ok {
		log.pushRequest(l.request)
	}
	log.byRequest[l.request] = l.ended()
}

func (log *endedLog) pushRequest(request string) {
	if len(log.ring) < endedLimit {
		log.ring = append(log.ring, request)
		return
	}
	delete(log.byRequest, log.ring[log.next])
	log.ring[log.next] = request
	log.next = (log.next + 1) % endedLimit
}

func (l *lease) ended() endedLease {
	ended := endedLease{fingerprint: l.fingerprint, strikes: l.strikes, decode: l.decode.name, decodeIncarnation: l.decodeIncarnation}
	if l.prefill != nil {
		ended.prefill, ended.prefillIncarnation = l.prefill.name, l.prefillIncarnation
	}
	return ended
}

// involves reports whether the engine of a Done belongs to the lease. A Done
// without an engine applies to any lease of its request.
func (e endedLease) involves(engine string) bool {
	return engine == "" || engine == e.decode || engine == e.prefill
}

// crashID names the incarnation of the engine that crashed, so that two reports
// of one crash count as one strike and a crash after a restart as another.
func (e endedLease) crashID(engine string) string {
	if engine == e.prefill && engine != e.decode {
		return crashID(engine, e.prefillIncarnation)
	}
	return crashID(e.decode, e.decodeIncarnation)
}

func crashID(engine string, incarnation uint64) string {
	return engine + strike.Separator + strconv.FormatUint(incarnation, 10)
}

// onFinished ends a lease that its edge daemon releases.
func (m *Machine) onFinished(at time.Duration, d *peer.Done, out []event.Action) []event.Action {
	c := m.cells[d.GetCell()]
	if c == nil || !c.owned {
		return out
	}
	l := c.leases[d.GetRequest()]
	ended, known := m.ended.byRequest[d.GetRequest()]
	if l != nil && (l.fingerprint == 0 || l.ended().involves(d.GetEngine())) {
		ended, known = l.ended(), true
	} else {
		// Dones are sent in batches; this one may be older than the lease.
		l = nil
	}
	if known {
		out = m.recordOutcome(c, ended, d, out)
	}
	if d.GetOutcome() != outcomeCrash {
		delete(m.ended.byRequest, d.GetRequest())
	}
	if l != nil {
		m.counts.Finished++
		m.release(at, l, d.GetOutcome() == outcomeFinish)
	}
	return out
}

// recordOutcome updates the strikes of a request's fingerprint and the output
// lengths of its service at the end of a run.
func (m *Machine) recordOutcome(c *cell, ended endedLease, d *peer.Done, out []event.Action) []event.Action {
	switch d.GetOutcome() {
	case outcomeCrash:
		if !ended.involves(d.GetEngine()) {
			return out
		}
		m.safe.remove(ended.fingerprint)
		if record := m.strikes.Add(m.now, ended.fingerprint, ended.crashID(d.GetEngine())); record != nil {
			out = append(out, event.SendStrike{Strike: record})
		}
	case outcomeFinish:
		m.outputOf(c.service).add(d.GetOutput())
		if l := m.byFingerprint[ended.fingerprint]; l != nil && (l.nextSameFingerprint != nil || l.request != d.GetRequest()) {
			m.safe.add(ended.fingerprint)
		}
		if ended.strikes == 0 || m.strikes.Count(m.now, ended.fingerprint) > ended.strikes {
			return out
		}
		if record := m.strikes.Clear(m.now, ended.fingerprint); record != nil {
			out = append(out, event.SendStrike{Strike: record})
		}
	}
	return out
}
