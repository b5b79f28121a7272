package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// probe is the probe in flight.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	relayed  bool
}

func (p *probe) due() time.Time {
	if p.relayed {
		return p.sent.Add(probeFor)
	}
	return p.sent.Add(relayAfter)
}

// relay remembers for whom a peer is probed.
type relay struct {
	asker    string
	sequence uint64
	target   string
	until    time.Time
}

// next probes the next peer.
func (m *Machine) next(now time.Time, out []Output) []Output {
	m.nextAt = nextSecond(now)
	if m.leaving {
		return out
	}
	m.count++
	target := m.pick(now)
	if s := m.silent(); s != "" && (target == "" || m.count%silentTurn == 0) {
		out = m.ping(s, out)
	}
	if target == "" {
		return out
	}
	out = m.ping(target, out)
	m.probe = &probe{target: target, sequence: m.sequence, sent: now}
	return out
}

// nextSecond returns the next time at which all daemons probe. They probe together,
// so that the time between two probes of a daemon, by different peers, is a second
// and not up to two.
func nextSecond(now time.Time) time.Time {
	wait := probeEvery - now.Sub(now.Truncate(probeEvery))
	if wait < probeEvery/2 {
		wait += probeEvery // a timer that fired early
	}
	return now.Add(wait)
}

// silentTurn is the number of seconds between pings to a listed daemon that has
// not answered. They find daemons whose messages were all lost, for example
// those beyond a partition that has healed.
const silentTurn = 4

// pick returns the peer to probe in this second. All daemons shift the sorted
// names by the same pseudo-random distance, so that in each second every daemon
// is probed by one other. Independent choices would leave a third of the
// daemons without a probe in any second, and some for many seconds.
func (m *Machine) pick(now time.Time) string {
	names := m.answering()
	if len(names) == 0 {
		return ""
	}
	place, _ := slices.BinarySearch(names, m.self)
	shift := rand.NewPCG(uint64(now.Unix()), 0).Uint64() % uint64(len(names))
	// Without this daemon in names, its successor is at its place.
	return names[(place+int(shift))%len(names)]
}

func (m *Machine) silent() string {
	names := []string{}
	for _, n := range m.names {
		if s := m.peers[n].state; s == unknown || s == dead {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[m.rng.IntN(len(names))]
}

func (m *Machine) ping(to string, out []Output) []Output {
	m.sequence++
	return append(out, Send{To: to, Packet: m.packet(to, &peer.Packet{Kind: "ping", Sequence: m.sequence})})
}

// overdue asks others to probe a silent peer, then suspects it.
func (m *Machine) overdue(now time.Time, out []Output) []Output {
	p := m.probe
	e := m.peers[p.target]
	if p.relayed || !e.answers() {
		m.probe = nil
		if e.state != alive {
			return out
		}
		m.set(now, p.target, e, record{state: suspect, incarnation: e.incarnation, round: e.round})
		// The daemon has not answered since the probe was sent. Peers that hear
		// of the suspicion count from then on, and hear of the death in time.
		e.since = p.sent
		// A peer that was only paused reads this when it resumes, and refutes.
		return m.ping(p.target, out)
	}
	p.relayed = true
	for _, name := range m.sample(m.answering(), relayers, p.target) {
		ask := &peer.Packet{Kind: "relay", Sequence: p.sequence, Target: p.target}
		out = append(out, Send{To: name, Packet: m.packet(name, ask)})
	}
	return out
}

// expire ends suspicions that were not refuted.
func (m *Machine) expire(now time.Time) {
	if m.suspects == 0 {
		return
	}
	for _, name := range m.names {
		e := m.peers[name]
		if e.state == suspect && now.Sub(e.since) >= suspectFor {
			m.set(now, name, e, record{state: dead, incarnation: e.incarnation, round: e.round})
		}
	}
}

// Receive takes a packet from a peer.
func (m *Machine) Receive(now time.Time, p *peer.Packet, out []Output) []Output {
	m.now = now
	if p.From == "" || p.From == m.self && p.Incarnation <= m.incarnation {
		return out
	}
	for _, r := range p.Members {
		out = m.merge(now, r, out)
	}
	out = m.merge(now, &peer.Member{Name: p.From, Incarnation: p.Incarnation, Round: p.Round, State: "alive"}, out)
	out = m.struck(now, p.Strikes, out)
	if p.Version > 0 || p.Revision > 0 {
		out = append(out, Advertised{From: p.From, Version: p.Version, Revision: p.Revision})
	}
	// A late packet of a predecessor proves nothing about the instance.
	if e := m.peers[p.From]; e == nil || p.Incarnation >= e.incarnation {
		out = m.answer(now, p, out)
	}
	return m.finish(out)
}

func (m *Machine) answer(now time.Time, p *peer.Packet, out []Output) []Output {
	switch p.Kind {
	case "ping":
		ack := &peer.Packet{Kind: "ack", Sequence: p.Sequence}
		return append(out, Send{To: p.From, Packet: m.packet(p.From, ack)})
	case "relay":
		return m.onward(now, p, out)
	case "ack":
		return m.acked(now, p, out)
	}
	return out
}

// onward probes a peer on behalf of another.
func (m *Machine) onward(now time.Time, p *peer.Packet, out []Output) []Output {
	if _, ok := m.peers[p.Target]; !ok {
		return out
	}
	for s, r := range m.relays {
		if now.After(r.until) {
			delete(m.relays, s)
		}
	}
	if len(m.relays) >= maxRelays {
		return out
	}
	out = m.ping(p.Target, out)
	m.relays[m.sequence] = relay{asker: p.From, sequence: p.Sequence, target: p.Target, until: now.Add(relayTerm)}
	return out
}

func (m *Machine) acked(now time.Time, p *peer.Packet, out []Output) []Output {
	if p.Sequence > m.confirm {
		m.waiting = false
	}
	if r, ok := m.relays[p.Sequence]; ok && r.target == p.From && !now.After(r.until) {
		delete(m.relays, p.Sequence)
		e := m.peers[p.From]
		ack := &peer.Packet{Kind: "ack", Sequence: r.sequence, Target: p.From}
		if e != nil {
			ack.Members = []*peer.Member{e.record(p.From)}
		}
		out = append(out, Send{To: r.asker, Packet: m.packet(r.asker, ack)})
	}
	if q := m.probe; q != nil && q.sequence == p.Sequence && (p.From == q.target || p.Target == q.target) {
		m.probe = nil
	}
	return out
}
