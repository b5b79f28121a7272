package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
)

// MaxPacket is the largest packet in bytes that the Machine makes.
const MaxPacket = 1200

// maxRecords bounds the member records in one packet, maxStrikes the records of
// suspect requests.
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

// over tells whether r replaces what e holds. A later incarnation always does.
// Within one incarnation a refutation, which carries a higher round, replaces a
// suspicion or a death of an earlier round. A daemon that leaves shows so in
// each of its own packets, at its present round, so that leaving is final.
func (r record) over(e *entry) bool {
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

// item is a change that is still to be passed on.
type item struct {
	name string
	left int
}

// merge takes a record from a peer. Records of daemons that the list does not
// name are ignored, since the list says who exists.
func (m *Machine) merge(now time.Time, r *peer.Member, out []Output) []Output {
	got := record{state: parseState(r.State), incarnation: r.Incarnation, round: r.Round}
	if got.state == unknown || got.incarnation == 0 {
		return out
	}
	if r.Name == m.self {
		return m.about(now, got, out)
	}
	if e := m.peers[r.Name]; e != nil && got.over(e) {
		m.set(now, r.Name, e, got)
	}
	return out
}

// about takes a record of this daemon itself and refutes a false one.
func (m *Machine) about(now time.Time, r record, out []Output) []Output {
	switch {
	case r.incarnation > m.incarnation:
		if m.replaced {
			return out
		}
		m.replaced = true
		return append(out, Replaced{Incarnation: r.incarnation})
	case r.incarnation < m.incarnation:
		m.announce(now)
	case r.state == suspect || r.state == dead:
		if r.round >= m.round && !m.leaving {
			m.round = r.round + 1
			m.announce(now)
		}
	case r.state == alive:
		m.round = max(m.round, r.round)
	}
	return out
}

// set changes an entry and passes the change on.
func (m *Machine) set(now time.Time, name string, e *entry, r record) {
	was := e.answers()
	if e.state == suspect {
		m.suspects--
	}
	if r.state == suspect {
		m.suspects++
		e.since = now
	}
	m.dirty = m.dirty || r.incarnation != e.incarnation
	e.state, e.incarnation, e.round = r.state, r.incarnation, r.round
	m.dirty = m.dirty || was != e.answers()
	m.queue(now, name)
}

// announce passes the state of this daemon on.
func (m *Machine) announce(now time.Time) { m.queue(now, m.self) }

// queue passes the record of a member on, in about three times as many packets
// as an epidemic needs rounds.
func (m *Machine) queue(now time.Time, name string) {
	m.news[name] = &item{name: name, left: 3 * bits.Len(uint(len(m.peers)+1))}
	m.hurry(now, newsDelay)
}

// hurry makes news due after a delay in which further changes join it, and not
// more often than newsEvery, so that many changes cost few packets.
func (m *Machine) hurry(now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if soonest := m.newsWas.Add(newsEvery); at.Before(soonest) {
		at = soonest
	}
	if m.newsAt.IsZero() || at.Before(m.newsAt) {
		m.newsAt = at
	}
}

// tell sends news to some peers.
func (m *Machine) tell(now time.Time, n int, out []Output) []Output {
	m.newsAt, m.newsWas = time.Time{}, now
	to := m.sample(m.answering(), n, "")
	if len(to) == 0 {
		to = m.sample(m.names, n, "")
	}
	for _, name := range to {
		out = append(out, Send{To: name, Packet: m.packet(name, &peer.Packet{Kind: "news"})})
	}
	return out
}

// packet completes a packet with the sender, the versions and as many changes
// as fit.
func (m *Machine) packet(to string, p *peer.Packet) *peer.Packet {
	p.From, p.Incarnation, p.Round = m.self, m.incarnation, m.round
	p.Version, p.Revision = m.version, m.revision
	if m.leaving {
		p.Members = append(p.Members, m.own())
	}
	// A peer that is held for suspect or dead has to know to refute.
	if e := m.peers[to]; e != nil && (e.state == suspect || e.state == dead) {
		p.Members = append(p.Members, e.record(to))
	}
	size := proto.Size(p)
	size = m.addStrikes(p, size)
	m.addNews(p, size)
	return p
}

func (m *Machine) own() *peer.Member {
	r := &peer.Member{Name: m.self, Incarnation: m.incarnation, Round: m.round, State: "alive"}
	if m.leaving {
		r.State = "leaving"
	}
	return r
}

// addNews adds the changes that were passed on least.
func (m *Machine) addNews(p *peer.Packet, size int) {
	if len(m.news) == 0 {
		return
	}
	items := make([]*item, 0, len(m.news))
	for _, i := range m.news {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.name, b.name))
	})
	for _, i := range items {
		r := m.recordOf(i.name)
		size += fieldSize(r)
		if size > MaxPacket || len(p.Members) >= maxRecords {
			return
		}
		p.Members = append(p.Members, r)
		if i.left--; i.left <= 0 {
			delete(m.news, i.name)
		}
	}
}

func (m *Machine) recordOf(name string) *peer.Member {
	if name == m.self {
		return m.own()
	}
	return m.peers[name].record(name)
}

// fieldSize is the size of a message as an element of a repeated field with a
// small number: a tag and a length of at most two bytes.
func fieldSize(r proto.Message) int { return proto.Size(r) + 3 }

// Digest returns the records of all members whose state is known, for a daemon
// that has just started.
func (m *Machine) Digest() []*peer.Member {
	all := []*peer.Member{m.own()}
	for _, name := range m.names {
		if e := m.peers[name]; e.state != unknown {
			all = append(all, e.record(name))
		}
	}
	return all
}

// Merge takes the digest of a peer.
func (m *Machine) Merge(now time.Time, digest []*peer.Member, out []Output) []Output {
	m.now = now
	for _, r := range digest {
		out = m.merge(now, r, out)
	}
	return m.finish(out)
}
