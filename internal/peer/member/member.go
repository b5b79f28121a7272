// Package member decides which daemons answer. It probes one peer each second,
// asks others to probe a silent one on its behalf, and passes changes on in a
// bounded number of bounded packets. It is a state machine without I/O: time
// and packets are passed in, packets and findings come out.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// Times of the protocol. A daemon that dies is missed by the next probe within
// 1 s, suspected 0.5 s later and taken for dead 3 s after the probe.
const (
	probeEvery  = time.Second
	relayAfter  = 250 * time.Millisecond
	probeFor    = 500 * time.Millisecond
	suspectFor  = 3 * time.Second
	newsDelay   = 50 * time.Millisecond
	newsEvery   = 200 * time.Millisecond
	relayTerm   = time.Second
	relayers    = 3
	newsFanout  = 3
	leaveFanout = 8
	maxRelays   = 64
)

// Output is a result of a step of the Machine.
type Output interface{ output() }

// Send asks for a packet to be sent to a peer.
type Send struct {
	To     string
	Packet *peer.Packet
}

// Changed reports which daemons answer, this one included, by name with their
// incarnations. It also follows a pause, once a peer has answered again.
type Changed struct {
	Alive map[string]uint64
	// Running are the daemons that may have requests in flight, see
	// event.Members.
	Running map[string]uint64
}

// Advertised reports the document version and the list revision of a peer.
type Advertised struct {
	From              string
	Version, Revision uint64
}

// StrikeReceived reports a new record about a suspect request.
type StrikeReceived struct{ Strike *peer.Strike }

// Replaced reports that a later process runs under the name of this one.
type Replaced struct{ Incarnation uint64 }

func (Send) output()           {}
func (Changed) output()        {}
func (Advertised) output()     {}
func (StrikeReceived) output() {}
func (Replaced) output()       {}

// Daemon is a daemon on the platform's list.
type Daemon struct {
	Name    string
	Leaving bool
}

type state uint8

// States in the order in which a record replaces another of the same
// incarnation and round.
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

// entry is what is known about one listed daemon.
type entry struct {
	state       state
	incarnation uint64
	round       uint32
	// since is when the daemon became suspect.
	since time.Time
	// unlisting is set while the list shows the daemon as leaving.
	unlisting bool
}

func (e *entry) answers() bool {
	return (e.state == alive || e.state == suspect) && !e.unlisting
}

// Machine is the state of membership at one daemon.
type Machine struct {
	self        string
	incarnation uint64
	round       uint32
	leaving     bool
	replaced    bool
	rng         *rand.Rand

	// listed tells whether the newest list names this daemon as live.
	listed bool
	names  []string
	peers  map[string]*entry

	count    int
	sequence uint64
	probe    *probe
	nextAt   time.Time
	relays   map[uint64]relay
	suspects int

	news    map[string]*item
	newsAt  time.Time
	newsWas time.Time
	strikes strikes

	version, revision uint64

	// now is the time of the current step.
	now time.Time
	// dirty is set when Changed is due, waiting while it is held back until a
	// probe after number confirm is answered.
	dirty   bool
	waiting bool
	confirm uint64
}

// New returns the state of the daemon self that started at incarnation. It
// answers alone until Listed names others.
func New(self string, incarnation, seed uint64) *Machine {
	return &Machine{
		self:        self,
		incarnation: incarnation,
		rng:         rand.New(rand.NewPCG(seed, incarnation)),
		listed:      true,
		peers:       map[string]*entry{},
		relays:      map[uint64]relay{},
		news:        map[string]*item{},
		strikes:     strikes{kept: map[strikeKey]*struckItem{}, pending: map[strikeKey]bool{}},
		dirty:       true,
	}
}

// SetVersions sets the numbers that packets show.
func (m *Machine) SetVersions(version, revision uint64) {
	m.version, m.revision = version, revision
}

// SetDaemons takes the daemons of a new list. Others are forgotten, whatever is
// known about them; daemons that are new on the list are probed at once.
func (m *Machine) SetDaemons(now time.Time, list []Daemon, out []Output) []Output {
	m.now = now
	seen := make(map[string]bool, len(list))
	m.listed = false
	fresh := []string{}
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
			fresh = append(fresh, l.Name)
		}
		e.unlisting = l.Leaving
	}
	for name := range m.peers {
		if !seen[name] {
			m.remove(name)
		}
	}
	m.rename()
	m.announce(now)
	m.dirty = true
	for _, name := range m.sample(fresh, relayers, "") {
		out = m.ping(name, out)
	}
	return m.finish(out)
}

func (m *Machine) remove(name string) {
	if m.peers[name].state == suspect {
		m.suspects--
	}
	delete(m.peers, name)
	delete(m.news, name)
	if m.probe != nil && m.probe.target == name {
		m.probe = nil
	}
}

// rename derives the sorted names. They make the machine deterministic, since
// the order of a map is not.
func (m *Machine) rename() {
	m.names = m.names[:0]
	for name := range m.peers {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
}

// OnList tells whether the newest list names this daemon as live.
func (m *Machine) OnList() bool { return m.listed }

// CountUnknown returns how many of the listed peers have not been heard of, and how
// many are listed.
func (m *Machine) CountUnknown() (unheard, all int) {
	for _, e := range m.peers {
		if e.state == unknown {
			unheard++
		}
	}
	return unheard, len(m.peers)
}

// RandomPeer returns a peer that answers, "" when there is none.
func (m *Machine) RandomPeer() string {
	if s := m.sample(m.answering(), 1, ""); len(s) > 0 {
		return s[0]
	}
	return ""
}

// Alive returns the daemons that answer, this one included unless it leaves or
// the list lacks it.
func (m *Machine) Alive() map[string]uint64 {
	a := make(map[string]uint64, len(m.peers)+1)
	for name, e := range m.peers {
		if e.answers() {
			a[name] = e.incarnation
		}
	}
	if m.listed && !m.leaving {
		a[m.self] = m.incarnation
	}
	return a
}

// Running returns the daemons that are not known to be dead, this one included.
// A daemon that leaves finishes its requests, so that they are not orphans.
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

// Wake returns when Tick is wanted next.
func (m *Machine) Wake() time.Time {
	w := m.nextAt
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(w) {
			w = t
		}
	}
	if m.probe != nil {
		earlier(m.probe.due())
	}
	earlier(m.newsAt)
	if m.suspects > 0 {
		for _, e := range m.peers {
			if e.state == suspect {
				earlier(e.since.Add(suspectFor))
			}
		}
	}
	return w
}

// Tick does what is due: the next probe, indirect probes, the end of
// suspicions, news.
func (m *Machine) Tick(now time.Time, out []Output) []Output {
	m.now = now
	if m.nextAt.IsZero() {
		m.nextAt = nextSecond(now)
	}
	if m.probe != nil && !now.Before(m.probe.due()) {
		out = m.overdue(now, out)
	}
	m.expire(now)
	if !now.Before(m.nextAt) {
		out = m.next(now, out)
	}
	if !m.newsAt.IsZero() && !now.Before(m.newsAt) {
		out = m.tell(now, newsFanout, out)
	}
	return m.finish(out)
}

// Leave tells peers that this daemon stops. Its cells move as soon as they
// hear it, without a suspicion.
func (m *Machine) Leave(now time.Time, out []Output) []Output {
	m.now = now
	if m.leaving {
		return out
	}
	m.leaving, m.dirty = true, true
	m.announce(now)
	return m.finish(m.tell(now, leaveFanout, out))
}

// Paused tells that the process did not run for a while. Timers that ran out
// meanwhile say nothing about the peers, and the peers probably suspect this
// daemon, so that it refutes at once. Changed follows when a peer has answered.
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
	m.announce(now)
	m.confirm, m.waiting, m.dirty = m.sequence, true, true
	ask := m.sample(m.answering(), relayers, "")
	for _, name := range ask {
		out = m.ping(name, out)
	}
	if len(ask) == 0 {
		m.waiting = false
	}
	return m.finish(m.tell(now, newsFanout, out))
}

// PushVersions makes the next news due at once, so that peers see new version numbers.
func (m *Machine) PushVersions(now time.Time) { m.hurry(now, 0) }

// finish reports a change, except between a pause and the first answer after
// it.
func (m *Machine) finish(out []Output) []Output {
	if !m.dirty || m.waiting {
		return out
	}
	m.dirty = false
	return append(out, Changed{Alive: m.Alive(), Running: m.Running()})
}

// answering returns the names of the peers that answer, sorted.
func (m *Machine) answering() []string {
	names := make([]string, 0, len(m.names))
	for _, n := range m.names {
		if m.peers[n].answers() {
			names = append(names, n)
		}
	}
	return names
}

// sample returns up to n of the names but not the excluded one, at random.
func (m *Machine) sample(names []string, n int, without string) []string {
	pool := slices.Clone(names)
	if i := slices.Index(pool, without); i >= 0 {
		pool = slices.Delete(pool, i, i+1)
	}
	n = min(n, len(pool))
	for i := range n {
		j := i + m.rng.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:n]
}
