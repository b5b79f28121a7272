// Package view joins membership and dissemination to one daemon's view of its
// peers. It is a state machine without I/O.
package view

import (
	"time"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Output is one of member.Send, member.Changed, member.Struck,
// member.Replaced, spread.Read, spread.Ask and spread.Took.
type Output any

// Daemon is a daemon on the list.
type Daemon struct {
	Name, Domain string
	Leaving      bool
}

// DaemonList is the value of a list's item.
type DaemonList struct {
	Daemons []Daemon
	// Value is passed through.
	Value any
}

// Machine is one daemon's view.
type Machine struct {
	members *member.Machine
	spread  *dissem.Machine

	learnAt time.Time

	// Scratch space of one step.
	seen []member.Output
	done []dissem.Output
}

// New returns the view of the daemon self in a failure domain.
func New(self, domain string, incarnation, seed uint64) *Machine {
	return &Machine{
		members: member.New(self, incarnation, seed),
		spread:  dissem.New(self, domain, seed),
	}
}

// Members is the state of membership, to be read only.
func (m *Machine) Members() *member.Machine { return m.members }

// Dissemination is the state of dissemination, to be read only.
func (m *Machine) Dissemination() *dissem.Machine { return m.spread }

// Wake returns when Tick is wanted next.
func (m *Machine) Wake() time.Time {
	a, b := m.members.Wake(), m.spread.Wake()
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time, out []Output) []Output {
	m.seen = m.members.Tick(now, m.seen)
	m.done = m.spread.Tick(now, m.done)
	return m.learn(now, m.drain(now, out))
}

// learnEvery is the time between two requests for the members that a peer
// knows.
const learnEvery = time.Second

// learn asks a peer for the members it knows while many are unknown here, as
// after a start of the whole fleet, when gossip alone takes half a minute at
// 350 daemons.
func (m *Machine) learn(now time.Time, out []Output) []Output {
	unknown, all := m.members.CountUnknown()
	if unknown*8 <= all || !m.spread.Bootstrapped() || now.Before(m.learnAt) {
		return out
	}
	to := m.members.RandomPeer()
	if to == "" {
		return out
	}
	m.learnAt = now.Add(learnEvery)
	have := [2]uint64{m.spread.Current(dissem.Document), m.spread.Current(dissem.List)}
	return append(out, dissem.Fetch{To: to, Current: have, Members: true})
}

// Receive takes a packet.
func (m *Machine) Receive(now time.Time, p *peer.Packet, out []Output) []Output {
	m.seen = m.members.Receive(now, p, m.seen)
	return m.drain(now, out)
}

// Advertised takes the numbers in a frame.
func (m *Machine) Advertised(now time.Time, from string, version, revision uint64, out []Output) []Output {
	m.done = m.spread.Advertised(now, from, version, revision, m.done)
	return m.drain(now, out)
}

// ReadDone takes the answer to a spread.Read.
func (m *Machine) ReadDone(now time.Time, k dissem.Kind, i dissem.Item, err error, out []Output) []Output {
	m.done = m.spread.ReadDone(now, k, i, err, m.done)
	return m.drain(now, out)
}

// FetchDone takes the answer to a spread.Ask. The value of a list's item is a
// *Roster.
func (m *Machine) FetchDone(now time.Time, from string, items [2]dissem.Item, known []*peer.Member, err error, out []Output) []Output {
	m.done = m.spread.FetchDone(now, from, items, err, m.done)
	out = m.drain(now, out)
	m.seen = m.members.Merge(now, known, m.seen)
	return m.drain(now, out)
}

// Strike spreads a record about a suspect request.
func (m *Machine) Strike(now time.Time, s *peer.Strike) { m.members.Strike(now, s) }

// Leave tells peers that this daemon stops.
func (m *Machine) Leave(now time.Time, out []Output) []Output {
	m.seen = m.members.Leave(now, m.seen)
	return m.drain(now, out)
}

// Paused tells that the process did not run for a while.
func (m *Machine) Paused(now time.Time, out []Output) []Output {
	m.seen = m.members.Paused(now, m.seen)
	return m.drain(now, out)
}

// drain passes the outputs of each part to the other one or out.
func (m *Machine) drain(now time.Time, out []Output) []Output {
	for len(m.seen) > 0 || len(m.done) > 0 {
		seen, done := m.seen, m.done
		m.seen, m.done = nil, nil
		for _, o := range done {
			out = m.spreads(now, o, out)
		}
		for _, o := range seen {
			out = m.sees(now, o, out)
		}
	}
	return out
}

func (m *Machine) sees(now time.Time, o member.Output, out []Output) []Output {
	switch o := o.(type) {
	case member.Advertised:
		m.done = m.spread.Advertised(now, o.From, o.Version, o.Revision, m.done)
		return out
	case member.Changed:
		m.done = m.spread.SetAlive(now, o.Alive, m.done)
	}
	return append(out, o)
}

// spreads passes a list on to membership, and shows new numbers to some peers
// at once.
func (m *Machine) spreads(now time.Time, o dissem.Output, out []Output) []Output {
	out = append(out, o)
	t, ok := o.(dissem.Adopted)
	if !ok {
		return out
	}
	m.members.SetVersions(m.spread.Current(dissem.Document), m.spread.Current(dissem.List))
	m.members.PushVersions(now)
	r, ok := t.Item.Value.(*DaemonList)
	if t.Kind != dissem.List || !ok {
		return out
	}
	domains := make([]dissem.Daemon, 0, len(r.Daemons))
	listed := make([]member.Daemon, 0, len(r.Daemons))
	for _, d := range r.Daemons {
		domains = append(domains, dissem.Daemon{Name: d.Name, Domain: d.Domain})
		listed = append(listed, member.Daemon{Name: d.Name, Leaving: d.Leaving})
	}
	m.done = m.spread.SetDaemons(now, domains, m.done)
	m.seen = m.members.SetDaemons(now, listed, m.seen)
	return out
}
