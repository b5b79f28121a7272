// Package view joins membership and dissemination in one machine: a daemon's view
// of its peers. It is a state machine without I/O.
package view

import (
	"time"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Output is one of member.Send, member.Changed, member.StrikeReceived,
// member.Replaced, dissem.Read, dissem.Fetch and dissem.Adopted.
type Output any

// Daemon is a daemon on the instance list.
type Daemon struct {
	Name, Domain string
	Leaving      bool
}

// DaemonList is the value of an instance list's item.
type DaemonList struct {
	Daemons []Daemon
	// Value is the instance list, which this package only passes through.
	Value any
}

// Machine is one daemon's view.
type Machine struct {
	members *member.Machine
	dissem  *dissem.Machine

	nextMemberFetch time.Time

	// Outputs of the two machines in one step.
	memberOut []member.Output
	dissemOut []dissem.Output
}

// New returns the view of the daemon self in a failure domain.
func New(self, domain string, incarnation, seed uint64) *Machine {
	return &Machine{
		members: member.New(self, incarnation, seed),
		dissem:  dissem.New(self, domain, seed),
	}
}

// Members returns the membership, which callers must only read.
func (m *Machine) Members() *member.Machine { return m.members }

// Dissemination returns the state of dissemination, which callers must only read.
func (m *Machine) Dissemination() *dissem.Machine { return m.dissem }

// Wake returns the time of the next Tick.
func (m *Machine) Wake() time.Time {
	a, b := m.members.Wake(), m.dissem.Wake()
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Tick handles what is due in both machines.
func (m *Machine) Tick(now time.Time, out []Output) []Output {
	m.memberOut = m.members.Tick(now, m.memberOut)
	m.dissemOut = m.dissem.Tick(now, m.dissemOut)
	return m.fetchMembers(now, m.drain(now, out))
}

// memberFetchInterval is the least time between two fetches of a peer's member
// records.
const memberFetchInterval = time.Second

// fetchMembers fetches the member records of a peer while the state of more than
// an eighth of the peers is unknown, as after a start of the whole fleet, when
// gossip alone takes half a minute at 350 daemons.
func (m *Machine) fetchMembers(now time.Time, out []Output) []Output {
	unknown, total := m.members.CountUnknown()
	if unknown*8 <= total || !m.dissem.Bootstrapped() || now.Before(m.nextMemberFetch) {
		return out
	}
	to := m.members.RandomPeer()
	if to == "" {
		return out
	}
	m.nextMemberFetch = now.Add(memberFetchInterval)
	have := [2]uint64{m.dissem.Current(dissem.Document), m.dissem.Current(dissem.List)}
	return append(out, dissem.Fetch{To: to, Current: have, Members: true})
}

// Receive handles a packet from a peer.
func (m *Machine) Receive(now time.Time, p *peer.Packet, out []Output) []Output {
	m.memberOut = m.members.Receive(now, p, m.memberOut)
	return m.drain(now, out)
}

// Advertised takes the version numbers in a frame of a peer.
func (m *Machine) Advertised(now time.Time, from string, version, revision uint64, out []Output) []Output {
	m.dissemOut = m.dissem.Advertised(now, from, version, revision, m.dissemOut)
	return m.drain(now, out)
}

// ReadDone takes the result of a dissem.Read.
func (m *Machine) ReadDone(now time.Time, k dissem.Kind, i dissem.Item, err error, out []Output) []Output {
	m.dissemOut = m.dissem.ReadDone(now, k, i, err, m.dissemOut)
	return m.drain(now, out)
}

// FetchDone takes the result of a dissem.Fetch. The value of a list's item is a
// *DaemonList.
func (m *Machine) FetchDone(now time.Time, from string, items [2]dissem.Item, known []*peer.Member, err error, out []Output) []Output {
	m.dissemOut = m.dissem.FetchDone(now, from, items, err, m.dissemOut)
	out = m.drain(now, out)
	m.memberOut = m.members.Merge(now, known, m.memberOut)
	return m.drain(now, out)
}

// Strike gossips a strike.
func (m *Machine) Strike(now time.Time, s *peer.Strike) { m.members.Strike(now, s) }

// Leave gossips that this daemon is leaving.
func (m *Machine) Leave(now time.Time, out []Output) []Output {
	m.memberOut = m.members.Leave(now, m.memberOut)
	return m.drain(now, out)
}

// Paused handles a pause of this process.
func (m *Machine) Paused(now time.Time, out []Output) []Output {
	m.memberOut = m.members.Paused(now, m.memberOut)
	return m.drain(now, out)
}

// drain passes the outputs of each machine to the other one or to the caller,
// until none are left.
func (m *Machine) drain(now time.Time, out []Output) []Output {
	for len(m.memberOut) > 0 || len(m.dissemOut) > 0 {
		seen, done := m.memberOut, m.dissemOut
		m.memberOut, m.dissemOut = nil, nil
		for _, o := range done {
			out = m.onDissem(now, o, out)
		}
		for _, o := range seen {
			out = m.onMember(now, o, out)
		}
	}
	return out
}

// onMember handles an output of the membership.
func (m *Machine) onMember(now time.Time, o member.Output, out []Output) []Output {
	switch o := o.(type) {
	case member.Advertised:
		m.dissemOut = m.dissem.Advertised(now, o.From, o.Version, o.Revision, m.dissemOut)
		return out
	case member.Changed:
		m.dissemOut = m.dissem.SetAlive(now, o.Alive, m.dissemOut)
	}
	return append(out, o)
}

// onDissem handles an output of dissemination. A new instance list goes to the
// membership, and new numbers are advertised to some peers at once.
func (m *Machine) onDissem(now time.Time, o dissem.Output, out []Output) []Output {
	out = append(out, o)
	t, ok := o.(dissem.Adopted)
	if !ok {
		return out
	}
	m.members.SetVersions(m.dissem.Current(dissem.Document), m.dissem.Current(dissem.List))
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
	m.dissemOut = m.dissem.SetDaemons(now, domains, m.dissemOut)
	m.memberOut = m.members.SetDaemons(now, listed, m.memberOut)
	return out
}
