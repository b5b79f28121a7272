// Package member is a failure detector like SWIM's. It pings one peer each second,
// asks others to ping a silent one on its behalf (an indirect probe), and gossips
// changes in a bounded number of bounded packets. It is a state machine without
// I/O: time and packets are passed in, packets and changes come out.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// Times of the protocol. A daemon that dies misses the next ping within 1 s, is
// suspected 0.5 s later and declared dead 3 s after that ping.
const (
	probeInterval    = time.Second
	ackTimeout       = 250 * time.Millisecond
	probeTimeout     = 500 * time.Millisecond
	suspicionTimeout = 3 * time.Second
	flushDelay       = 50 * time.Millisecond
	flushInterval    = 200 * time.Millisecond
	relayTTL         = time.Second
	relayFanout      = 3
	gossipFanout     = 3
	leaveFanout      = 8
	maxRelays        = 64
)

// Output is a result of a step of the Machine.
type Output interface{ output() }

// Send asks for a packet to be sent to a peer.
type Send struct {
	To     string
	Packet *peer.Packet
}

// Changed reports the live daemons, this one included, by name with their
// incarnations. It also follows a process pause, once a peer has answered.
type Changed struct {
	Alive map[string]uint64
	// Running are the daemons that may have requests in flight, see event.Members.
	Running map[string]uint64
}

// Advertised reports the document version and list revision that a peer
// advertises.
type Advertised struct {
	From              string
	Version, Revision uint64
}

// StrikeReceived reports a strike that was not known.
type StrikeReceived struct{ Strike *peer.Strike }

// Replaced reports that a later process runs under the name of this one.
type Replaced struct{ Incarnation uint64 }

func (Send) output()           {}
func (Changed) output()        {}
func (Advertised) output()     {}
func (StrikeReceived) output() {}
func (Replaced) output()       {}

// Daemon is a daemon on the instance list.
type Daemon struct {
	Name    string
	Leaving bool
}

type state uint8

// States in order of precedence: of two records with the same incarnation and
// round, the one with the later state applies.
const (
	unknown state = iota
	alive
	suspect
	leaving
	dead
)

var stateNames = [...]string{"", "alive", "suspect", "leaving", "dead"}

func parseState(s string) state {
	return state(max(0, slices.Index(stateNames[:], s)))
}

// entry is the state of one listed daemon.
type entry struct {
	state       state
	incarnation uint64
	round       uint32
	// since is when the suspicion started.
	since time.Time
	// listLeaving is set while the instance list shows the daemon as leaving.
	listLeaving bool
}

func (e *entry) isAlive() bool {
	return (e.state == alive || e.state == suspect) && !e.listLeaving
}

// Machine is the membership at one daemon.
type Machine struct {
	self        string
	incarnation uint64
	round       uint32
	leaving     bool
	replaced    bool
	rng         *rand.Rand

	// listed is set while the newest list names this daemon as live.
	listed bool
	names  []string
	peers  map[string]*entry

	probes    int
	sequence  uint64
	probe     *probe
	nextProbe time.Time
	relays    map[uint64]relay
	suspects  int

	updates   map[string]*update
	flushAt   time.Time
	flushedAt time.Time
	strikes   strikes

	version, revision uint64

	// now is the time of the current step.
	now time.Time
	// changed is set when Changed is due. deferred is set while it is held back
	// after a pause, until a ping with a sequence number above confirmAfter is
	// answered.
	changed      bool
	deferred     bool
	confirmAfter uint64
}

// New returns the membership of the daemon self that started at incarnation. Until
// SetDaemons adds peers, this daemon is the only member.
func New(self string, incarnation, seed uint64) *Machine {
	return &Machine{
		self:        self,
		incarnation: incarnation,
		rng:         rand.New(rand.NewPCG(seed, incarnation)),
		listed:      true,
		peers:       map[string]*entry{},
		relays:      map[uint64]relay{},
		updates:     map[string]*update{},
		strikes:     strikes{entries: map[strikeKey]*strikeRecord{}, pending: map[strikeKey]bool{}},
		changed:     true,
	}
}

// SetVersions sets the document version and list revision that packets advertise.
func (m *Machine) SetVersions(version, revision uint64) {
	m.version, m.revision = version, revision
}

// SetDaemons replaces the daemons by those of a new instance list. Entries of
// others are dropped, whatever their state; daemons that are new on the list are
// pinged at once.
func (m *Machine) SetDaemons(now time.Time, list []Daemon, out []Output) []Output {
	m.now = now
	seen := make(map[string]bool, len(list))
	m.listed = false
	added := []string{}
	for _, l := range list {
		if l.Name == m.self {
			m.listed = !l.Leaving
			continue
		}
		seen[l.Name] = true
		e := m.peers[l.Name]
		if e == nil {
			e = new(entry)
			m.peers[l.Name] = e
			added = append(added, l.Name)
		}
		e.listLeaving = l.Leaving
	}
	for name := range m.peers {
		if !seen[name] {
			m.remove(name)
		}
	}
	m.sortNames()
	m.enqueueSelf(now)
	m.changed = true
	for _, name := range m.sample(added, relayFanout, "") {
		out = m.ping(name, out)
	}
	return m.finish(out)
}

func (m *Machine) remove(name string) {
	if m.peers[name].state == suspect {
		m.suspects--
	}
	delete(m.peers, name)
	delete(m.updates, name)
	if m.probe != nil && m.probe.target == name {
		m.probe = nil
	}
}

// sortNames rebuilds the sorted names, since iteration over a map would make the
// machine nondeterministic.
func (m *Machine) sortNames() {
	m.names = m.names[:0]
	for name := range m.peers {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
}

// OnList reports whether the newest list names this daemon as live.
func (m *Machine) OnList() bool { return m.listed }

// CountUnknown returns the number of listed peers whose state is unknown, and the
// number of listed peers.
func (m *Machine) CountUnknown() (unknownCount, total int) {
	for _, e := range m.peers {
		if e.state == unknown {
			unknownCount++
		}
	}
	return unknownCount, len(m.peers)
}

// RandomPeer returns a live peer, "" when there is none.
func (m *Machine) RandomPeer() string {
	if s := m.sample(m.liveNames(), 1, ""); len(s) > 0 {
		return s[0]
	}
	return ""
}

// Alive returns the live daemons by name with their incarnations, this one
// included unless it is leaving or not on the list.
func (m *Machine) Alive() map[string]uint64 {
	a := make(map[string]uint64, len(m.peers)+1)
	for name, e := range m.peers {
		if e.isAlive() {
			a[name] = e.incarnation
		}
	}
	if m.listed && !m.leaving {
		a[m.self] = m.incarnation
	}
	return a
}

// Running returns the daemons that are not known to be dead, this one included. A
// leaving daemon still finishes its requests, so that they are not orphaned.
func (m *Machine) Running() map[string]uint64 {
	r := make(map[string]uint64, len(m.peers)+1)
	for name, e := range m.peers {
		if e.state != dead {
			r[name] = e.incarnation
		}
	}
	r[m.self] = m.incarnation
	return r
}

// Wake returns the time of the next Tick.
func (m *Machine) Wake() time.Time {
	w := m.nextProbe
	setEarlier := func(t time.Time) {
		if !t.IsZero() && t.Before(w) {
			w = t
		}
	}
	if m.probe != nil {
		setEarlier(m.probe.due())
	}
	setEarlier(m.flushAt)
	if m.suspects > 0 {
		for _, e := range m.peers {
			if e.state == suspect {
				setEarlier(e.since.Add(suspicionTimeout))
			}
		}
	}
	return w
}

// Tick handles what is due: the next ping, indirect probes, suspicions that run
// out, and gossip.
func (m *Machine) Tick(now time.Time, out []Output) []Output {
	m.now = now
	if m.nextProbe.IsZero() {
		m.nextProbe = nextProbeTime(now)
	}
	if m.probe != nil && !now.Before(m.probe.due()) {
		out = m.probeOverdue(now, out)
	}
	m.expire(now)
	if !now.Before(m.nextProbe) {
		out = m.startProbe(now, out)
	}
	if !m.flushAt.IsZero() && !now.Before(m.flushAt) {
		out = m.flush(now, gossipFanout, out)
	}
	return m.finish(out)
}

// Leave gossips that this daemon is leaving. Its cells move as soon as peers
// receive that, without a suspicion.
func (m *Machine) Leave(now time.Time, out []Output) []Output {
	m.now = now
	if m.leaving {
		return out
	}
	m.leaving, m.changed = true, true
	m.enqueueSelf(now)
	return m.finish(m.flush(now, leaveFanout, out))
}

// Paused handles a pause of this process. Timers that ran out meanwhile prove
// nothing about the peers, so that suspicions start again, and the peers probably
// suspect this daemon, so that it refutes at once. Changed is reported once a peer
// has answered.
func (m *Machine) Paused(now time.Time, out []Output) []Output {
	m.now = now
	m.probe = nil
	clear(m.relays)
	for _, e := range m.peers {
		if e.state == suspect {
			e.since = now
		}
	}
	m.round++
	m.enqueueSelf(now)
	m.confirmAfter, m.deferred, m.changed = m.sequence, true, true
	targets := m.sample(m.liveNames(), relayFanout, "")
	for _, name := range targets {
		out = m.ping(name, out)
	}
	if len(targets) == 0 {
		m.deferred = false
	}
	return m.finish(m.flush(now, gossipFanout, out))
}

// PushVersions makes gossip due at once, so that peers receive the new version
// numbers.
func (m *Machine) PushVersions(now time.Time) { m.scheduleFlush(now, 0) }

// finish reports a change, unless it is deferred between a pause and the first
// answer after it.
func (m *Machine) finish(out []Output) []Output {
	if !m.changed || m.deferred {
		return out
	}
	m.changed = false
	return append(out, Changed{Alive: m.Alive(), Running: m.Running()})
}

// liveNames returns the sorted names of the live peers.
func (m *Machine) liveNames() []string {
	names := make([]string, 0, len(m.names))
	for _, n := range m.names {
		if m.peers[n].isAlive() {
			names = append(names, n)
		}
	}
	return names
}

// sample returns up to n random names, without the excluded one.
func (m *Machine) sample(names []string, n int, exclude string) []string {
	candidates := slices.Clone(names)
	if i := slices.Index(candidates, exclude); i >= 0 {
		candidates = slices.Delete(candidates, i, i+1)
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + m.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}
