package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
)

// MaxPacket is the size in bytes of the largest packet that the Machine makes.
const MaxPacket = 1200

// maxRecords bounds the member records in one packet, maxStrikes the strikes.
const (
	maxRecords = 40
	maxStrikes = 8
)

// record is the state of a member at one incarnation and round.
type record struct {
	state       state
	incarnation uint64
	round       uint32
}

// supersedes reports whether r replaces the record of e. A later incarnation
// always does. Within one incarnation a refutation, which has a higher round,
// replaces a suspicion or death of an earlier round. A leaving daemon repeats that
// state in each of its own packets, at its current round, so that leaving is
// final.
func (r record) supersedes(e *entry) bool {
	switch {
	case r.incarnation != e.incarnation:
		return r.incarnation > e.incarnation
	case r.round != e.round:
		return r.round > e.round
	}
	return r.state > e.state
}

func (e *entry) record(name string) *peer.Member {
	return &peer.Member{Name: name, Incarnation: e.incarnation, Round: e.round, State: stateNames[e.state]}
}

// update is a changed record that is gossiped in sends more packets.
type update struct {
	name  string
	sends int
}

// merge applies a record from a peer. Records of daemons that are not on the
// instance list are ignored, since the list is the authority on which daemons
// exist.
func (m *Machine) merge(now time.Time, r *peer.Member, out []Output) []Output {
	got := record{state: parseState(r.State), incarnation: r.Incarnation, round: r.Round}
	if got.state == unknown || got.incarnation == 0 {
		return out
	}
	if r.Name == m.self {
		return m.mergeSelf(now, got, out)
	}
	if e := m.peers[r.Name]; e != nil && got.supersedes(e) {
		m.setRecord(now, r.Name, e, got)
	}
	return out
}

// mergeSelf applies a record about this daemon and refutes a suspicion or death.
func (m *Machine) mergeSelf(now time.Time, r record, out []Output) []Output {
	switch {
	case r.incarnation > m.incarnation:
		if m.replaced {
			return out
		}
		m.replaced = true
		return append(out, Replaced{Incarnation: r.incarnation})
	case r.incarnation < m.incarnation:
		m.enqueueSelf(now)
	case r.state == suspect || r.state == dead:
		if r.round >= m.round && !m.leaving {
			m.round = r.round + 1
			m.enqueueSelf(now)
		}
	case r.state == alive:
		m.round = max(m.round, r.round)
	}
	return out
}

// setRecord changes an entry and gossips the change.
func (m *Machine) setRecord(now time.Time, name string, e *entry, r record) {
	wasAlive := e.isAlive()
	if e.state == suspect {
		m.suspects--
	}
	if r.state == suspect {
		m.suspects++
		e.since = now
	}
	m.changed = m.changed || r.incarnation != e.incarnation
	e.state, e.incarnation, e.round = r.state, r.incarnation, r.round
	m.changed = m.changed || wasAlive != e.isAlive()
	m.enqueue(now, name)
}

// enqueueSelf gossips the state of this daemon.
func (m *Machine) enqueueSelf(now time.Time) { m.enqueue(now, m.self) }

// enqueue gossips the record of a member, in about three times as many packets as
// an epidemic needs rounds.
func (m *Machine) enqueue(now time.Time, name string) {
	m.updates[name] = &update{name: name, sends: 3 * bits.Len(uint(len(m.peers)+1))}
	m.scheduleFlush(now, flushDelay)
}

// scheduleFlush makes gossip due after a delay, in which further changes join it,
// and not more often than every flushInterval, so that many changes cost few
// packets.
func (m *Machine) scheduleFlush(now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if soonest := m.flushedAt.Add(flushInterval); at.Before(soonest) {
		at = soonest
	}
	if m.flushAt.IsZero() || at.Before(m.flushAt) {
		m.flushAt = at
	}
}

// flush sends gossip to n random peers.
func (m *Machine) flush(now time.Time, n int, out []Output) []Output {
	m.flushAt, m.flushedAt = time.Time{}, now
	to := m.sample(m.liveNames(), n, "")
	if len(to) == 0 {
		to = m.sample(m.names, n, "")
	}
	for _, name := range to {
		out = append(out, Send{To: name, Packet: m.packet(name, &peer.Packet{Kind: "news"})})
	}
	return out
}

// packet completes a packet with the sender, the versions and as many changes as
// fit.
func (m *Machine) packet(to string, p *peer.Packet) *peer.Packet {
	p.From, p.Incarnation, p.Round = m.self, m.incarnation, m.round
	p.Version, p.Revision = m.version, m.revision
	if m.leaving {
		p.Members = append(p.Members, m.selfRecord())
	}
	// A suspect or dead peer gets its own record, so that it can refute.
	if e := m.peers[to]; e != nil && (e.state == suspect || e.state == dead) {
		p.Members = append(p.Members, e.record(to))
	}
	size := proto.Size(p)
	size = m.addStrikes(p, size)
	m.addUpdates(p, size)
	return p
}

func (m *Machine) selfRecord() *peer.Member {
	r := &peer.Member{Name: m.self, Incarnation: m.incarnation, Round: m.round, State: "alive"}
	if m.leaving {
		r.State = "leaving"
	}
	return r
}

// addUpdates adds the changed records that were sent least.
func (m *Machine) addUpdates(p *peer.Packet, size int) {
	if len(m.updates) == 0 {
		return
	}
	items := make([]*update, 0, len(m.updates))
	for _, i := range m.updates {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *update) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.name, b.name))
	})
	for _, i := range items {
		r := m.recordOf(i.name)
		size += fieldSize(r)
		if size > MaxPacket || len(p.Members) >= maxRecords {
			return
		}
		p.Members = append(p.Members, r)
		if i.sends--; i.sends <= 0 {
			delete(m.updates, i.name)
		}
	}
}

func (m *Machine) recordOf(name string) *peer.Member {
	if name == m.self {
		return m.selfRecord()
	}
	return m.peers[name].record(name)
}

// fieldSize returns the encoded size of a message in a repeated field with a small
// number: a tag and a length of at most two bytes come on top.
func fieldSize(r proto.Message) int { return proto.Size(r) + 3 }

// Digest returns the records of all members whose state is known, for a daemon
// that has just started.
func (m *Machine) Digest() []*peer.Member {
	all := []*peer.Member{m.selfRecord()}
	for _, name := range m.names {
		if e := m.peers[name]; e.state != unknown {
			all = append(all, e.record(name))
		}
	}
	return all
}

// Merge applies the digest of a peer.
func (m *Machine) Merge(now time.Time, digest []*peer.Member, out []Output) []Output {
	m.now = now
	for _, r := range digest {
		out = m.merge(now, r, out)
	}
	return m.finish(out)
}
