package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// probe is the ping whose answer is awaited, and its indirect probes.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	relayed  bool
}

func (p *probe) due() time.Time {
	if p.relayed {
		return p.sent.Add(probeTimeout)
	}
	return p.sent.Add(ackTimeout)
}

// relay is a ping on behalf of a peer.
type relay struct {
	requester string
	sequence  uint64
	target    string
	expires   time.Time
}

// startProbe pings the next peer, and every silentPingEvery seconds a silent one,
// too.
func (m *Machine) startProbe(now time.Time, out []Output) []Output {
	m.nextProbe = nextProbeTime(now)
	if m.leaving {
		return out
	}
	m.probes++
	target := m.probeTarget(now)
	if s := m.randomSilent(); s != "" && (target == "" || m.probes%silentPingEvery == 0) {
		out = m.ping(s, out)
	}
	if target == "" {
		return out
	}
	out = m.ping(target, out)
	m.probe = &probe{target: target, sequence: m.sequence, sent: now}
	return out
}

// nextProbeTime returns the next time at which all daemons ping. They ping at the
// same time, so that the pings to one daemon, by different peers, are a second
// apart and not up to two.
func nextProbeTime(now time.Time) time.Time {
	wait := probeInterval - now.Sub(now.Truncate(probeInterval))
	if wait < probeInterval/2 {
		wait += probeInterval // a timer that fired early
	}
	return now.Add(wait)
}

// silentPingEvery is the number of seconds between pings to a listed daemon that
// is unknown or dead. They find daemons whose messages were all lost, such as
// those behind a network partition that has healed.
const silentPingEvery = 4

// probeTarget returns the peer to ping in this second. All daemons shift the
// sorted names by the same pseudo-random distance, so that in each second every
// daemon is pinged by one other. Independent random choices would leave a third of
// the daemons without a ping in any second, and some for many seconds.
func (m *Machine) probeTarget(now time.Time) string {
	names := m.liveNames()
	if len(names) == 0 {
		return ""
	}
	place, _ := slices.BinarySearch(names, m.self)
	shift := rand.NewPCG(uint64(now.Unix()), 0).Uint64() % uint64(len(names))
	// names lacks this daemon, so that the name at its place is its successor's.
	return names[(place+int(shift))%len(names)]
}

func (m *Machine) randomSilent() string {
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

// probeOverdue asks peers for indirect probes of a silent peer, and suspects it
// when those have no answer either.
func (m *Machine) probeOverdue(now time.Time, out []Output) []Output {
	p := m.probe
	e := m.peers[p.target]
	if p.relayed || !e.isAlive() {
		m.probe = nil
		if e.state != alive {
			return out
		}
		m.setRecord(now, p.target, e, record{state: suspect, incarnation: e.incarnation, round: e.round})
		// The peer has been silent since the ping was sent, so that its
		// suspicion runs out before those of peers that receive the gossip.
		e.since = p.sent
		// A peer that was only paused receives this when it resumes, and refutes.
		return m.ping(p.target, out)
	}
	p.relayed = true
	for _, name := range m.sample(m.liveNames(), relayFanout, p.target) {
		ask := &peer.Packet{Kind: "relay", Sequence: p.sequence, Target: p.target}
		out = append(out, Send{To: name, Packet: m.packet(name, ask)})
	}
	return out
}

// expire declares suspects dead that did not refute in time.
func (m *Machine) expire(now time.Time) {
	if m.suspects == 0 {
		return
	}
	for _, name := range m.names {
		e := m.peers[name]
		if e.state == suspect && now.Sub(e.since) >= suspicionTimeout {
			m.setRecord(now, name, e, record{state: dead, incarnation: e.incarnation, round: e.round})
		}
	}
}

// Receive handles a packet from a peer. Packets without a sender, or from this
// daemon itself, are ignored.
func (m *Machine) Receive(now time.Time, p *peer.Packet, out []Output) []Output {
	m.now = now
	if p.From == "" || p.From == m.self && p.Incarnation <= m.incarnation {
		return out
	}
	for _, r := range p.Members {
		out = m.merge(now, r, out)
	}
	out = m.merge(now, &peer.Member{Name: p.From, Incarnation: p.Incarnation, Round: p.Round, State: "alive"}, out)
	out = m.receiveStrikes(now, p.Strikes, out)
	if p.Version > 0 || p.Revision > 0 {
		out = append(out, Advertised{From: p.From, Version: p.Version, Revision: p.Revision})
	}
	// A late packet of an earlier incarnation proves nothing about this one.
	if e := m.peers[p.From]; e == nil || p.Incarnation >= e.incarnation {
		out = m.reply(now, p, out)
	}
	return m.finish(out)
}

func (m *Machine) reply(now time.Time, p *peer.Packet, out []Output) []Output {
	switch p.Kind {
	case "ping":
		ack := &peer.Packet{Kind: "ack", Sequence: p.Sequence}
		return append(out, Send{To: p.From, Packet: m.packet(p.From, ack)})
	case "relay":
		return m.relayPing(now, p, out)
	case "ack":
		return m.handleAck(now, p, out)
	}
	return out
}

// relayPing pings a peer on behalf of another.
func (m *Machine) relayPing(now time.Time, p *peer.Packet, out []Output) []Output {
	if _, ok := m.peers[p.Target]; !ok {
		return out
	}
	for s, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, s)
		}
	}
	if len(m.relays) >= maxRelays {
		return out
	}
	out = m.ping(p.Target, out)
	m.relays[m.sequence] = relay{requester: p.From, sequence: p.Sequence, target: p.Target, expires: now.Add(relayTTL)}
	return out
}

func (m *Machine) handleAck(now time.Time, p *peer.Packet, out []Output) []Output {
	if p.Sequence > m.confirmAfter {
		m.deferred = false
	}
	if r, ok := m.relays[p.Sequence]; ok && r.target == p.From && !now.After(r.expires) {
		delete(m.relays, p.Sequence)
		e := m.peers[p.From]
		ack := &peer.Packet{Kind: "ack", Sequence: r.sequence, Target: p.From}
		if e != nil {
			ack.Members = []*peer.Member{e.record(p.From)}
		}
		out = append(out, Send{To: r.requester, Packet: m.packet(r.requester, ack)})
	}
	if q := m.probe; q != nil && q.sequence == p.Sequence && (p.From == q.target || p.Target == q.target) {
		m.probe = nil
	}
	return out
}
