// Package dissem disseminates the document and the instance list. A few
// watchers in each failure domain wait at the platform; all other daemons learn
// from version numbers that peers show and fetch from those peers. It is a
// state machine without I/O: time and answers are passed in, reads come out.
package dissem

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
)

// Times and bounds of the protocol.
const (
	// Watchers is the number of watchers in each failure domain. Two, so that
	// one dead or stalled watcher delays nothing.
	Watchers = 2
	// watchFor is the wait of a pending read. It bounds how long a stalled
	// connection to the platform goes unnoticed.
	watchFor = 5 * time.Second
	// watchGap is the least time between two reads without news, against a
	// platform that answers pending reads at once.
	watchGap = time.Second
	// pollEvery is the mean time between the polls of other daemons.
	pollEvery = 60 * time.Second
	// freshFor bounds the wait of a fresh daemon for all that it asked.
	freshFor = 3 * time.Second
	// freshAsks is the number of peers that a fresh daemon asks, freshTries the
	// number of peers tried when some do not answer.
	freshAsks  = 2
	freshTries = 6
	retryMin   = 250 * time.Millisecond
	retryMax   = 8 * time.Second
	maxShown   = 16
	maxProblem = 16
)

// Kind tells the two things apart that are disseminated.
type Kind int

// Kinds.
const (
	Document Kind = iota
	List
	kinds
)

// Item is a document or a list.
type Item struct {
	// Number is the version or the revision; zero means that there is none.
	Number uint64
	// Err says why the content is rejected.
	Err error
	// Value is passed through.
	Value any
}

// Output is a result of a step of the Machine.
type Output interface{ output() }

// Read asks for a read at the platform; Platform takes the answer.
type Read struct {
	Kind  Kind
	After uint64
	// Wait is how long the read is pending, zero for an answer at once.
	Wait time.Duration
}

// Fetch asks for a fetch from a peer; Fetched takes the answer.
type Fetch struct {
	To string
	// Current holds the numbers in force by kind.
	Current [2]uint64
	// Members asks for the members that the peer knows, too.
	Members bool
}

// Adopted reports that an item is in force.
type Adopted struct {
	Kind Kind
	Item Item
}

func (Read) output()    {}
func (Fetch) output()   {}
func (Adopted) output() {}

// Daemon is a daemon on the list.
type Daemon struct {
	Name, Domain string
}

// track is the state of one kind.
type track struct {
	have Item
	// best is what a fresh daemon holds back until it has heard all it asked.
	best     Item
	problems map[uint64]error
	reading  bool
	readAt   time.Time
	// wholeAt is when a watcher next reads without regard to rejected numbers.
	wholeAt  time.Time
	failures int
	answered bool
}

// numbers are the version and revision that a peer shows.
type numbers [2]uint64

// Machine is the state of dissemination at one daemon.
type Machine struct {
	self, domain string
	rng          *rand.Rand
	tracks       [kinds]track
	started      time.Time
	settled      bool
	domains      map[string]string
	watching     bool

	shown    map[string]numbers
	asking   map[string]bool
	askAt    time.Time
	failures int
	// asked, heard and tried count the first questions of a fresh daemon.
	asked map[string]bool
	heard int
}

// New returns the state of the daemon self in a failure domain.
func New(self, domain string, seed uint64) *Machine {
	m := &Machine{
		self:     self,
		domain:   domain,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		domains:  map[string]string{},
		watching: true,
		shown:    map[string]numbers{},
		asking:   map[string]bool{},
		asked:    map[string]bool{},
	}
	for i := range m.tracks {
		m.tracks[i].problems = map[uint64]error{}
	}
	return m
}

// Current returns the number in force, zero for none.
func (m *Machine) Current(k Kind) uint64 { return m.tracks[k].have.Number }

// RejectErr returns why the highest rejected number above the one in force is
// rejected, nil when there is none.
func (m *Machine) RejectErr(k Kind) error {
	t := &m.tracks[k]
	n := t.rejected()
	if n <= t.have.Number {
		return nil
	}
	return t.problems[n]
}

// Watching tells whether this daemon is a watcher.
func (m *Machine) Watching() bool { return m.watching }

// Bootstrapped tells whether the daemon has heard what it asked when it started, or
// stopped waiting for it.
func (m *Machine) Bootstrapped() bool { return m.settled }

// SetDaemons takes the daemons of the list in force, this one included.
func (m *Machine) SetDaemons(now time.Time, list []Daemon, out []Output) []Output {
	m.domains = make(map[string]string, len(list))
	for _, d := range list {
		m.domains[d.Name] = d.Domain
	}
	for name := range m.shown {
		if _, ok := m.domains[name]; !ok {
			delete(m.shown, name)
		}
	}
	return m.Tick(now, out)
}

// SetAlive takes the daemons that answer and derives the watchers from them, so
// that a lost watcher is replaced.
func (m *Machine) SetAlive(now time.Time, alive map[string]uint64, out []Output) []Output {
	was := m.watching
	m.watching = m.watches(alive)
	if m.watching && !was {
		for i := range m.tracks {
			m.tracks[i].readAt = now
		}
	}
	return m.Tick(now, out)
}

// watches tells whether this daemon is among the watchers of its failure
// domain.
func (m *Machine) watches(alive map[string]uint64) bool {
	if _, ok := alive[m.self]; !ok {
		return false
	}
	names := []string{m.self}
	for n := range alive {
		if n != m.self && m.domains[n] == m.domain {
			names = append(names, n)
		}
	}
	return slices.Contains(owner.Top("watch/"+m.domain, names, Watchers), m.self)
}

// Advertised takes the numbers that a peer shows.
func (m *Machine) Advertised(now time.Time, from string, version, revision uint64, out []Output) []Output {
	n := numbers{version, revision}
	if !m.wanted(n) {
		delete(m.shown, from)
		return out
	}
	if _, ok := m.shown[from]; !ok && len(m.shown) >= maxShown {
		return out
	}
	m.shown[from] = n
	return m.Tick(now, out)
}

// wanted tells whether a peer with these numbers has something new that was
// not rejected before.
func (m *Machine) wanted(n numbers) bool {
	for k := range m.tracks {
		if m.tracks[k].wants(n[k]) {
			return true
		}
	}
	return false
}

func (t *track) wants(n uint64) bool {
	return n > t.have.Number && n > t.best.Number && t.problems[n] == nil
}

// ReadDone takes the answer to a Read; err is set when there was none.
func (m *Machine) ReadDone(now time.Time, k Kind, i Item, err error, out []Output) []Output {
	t := &m.tracks[k]
	t.reading, t.answered = false, true
	if err != nil {
		t.failures++
		t.readAt = now.Add(m.backoff(t.failures))
		if m.settled && !m.watching && t.have.Number > 0 {
			t.readAt = now.Add(m.poll())
		}
		return m.Tick(now, out)
	}
	t.failures = 0
	news := t.wants(i.Number)
	out = m.offer(now, k, i, out)
	switch {
	case !m.watching && t.have.Number > 0:
		t.readAt = now.Add(m.poll())
	case news:
		t.readAt = now
	default:
		t.readAt = later(now, t.readAt.Add(watchGap))
	}
	return m.Tick(now, out)
}

// FetchDone takes the answer to an Ask; err is set when there was none.
func (m *Machine) FetchDone(now time.Time, from string, items [2]Item, err error, out []Output) []Output {
	delete(m.asking, from)
	delete(m.shown, from)
	m.askAt = now
	if err != nil {
		m.failures++
		m.askAt = now.Add(m.backoff(m.failures))
		return m.Tick(now, out)
	}
	m.failures = 0
	if m.asked[from] {
		m.heard++
	}
	for k, i := range items {
		out = m.offer(now, Kind(k), i, out)
	}
	return m.Tick(now, out)
}

// offer takes an item if it is newer than what is in force. A fresh daemon
// holds documents back until it has heard all that it asked, and then takes
// the highest.
func (m *Machine) offer(now time.Time, k Kind, i Item, out []Output) []Output {
	t := &m.tracks[k]
	if !t.wants(i.Number) {
		return out
	}
	if i.Err != nil {
		t.reject(i)
		return out
	}
	if k == Document && !m.settle(now) {
		t.best = i
		return out
	}
	return m.take(k, i, out)
}

func (m *Machine) take(k Kind, i Item, out []Output) []Output {
	t := &m.tracks[k]
	t.have, t.best = i, Item{}
	for n := range t.problems {
		if n < i.Number {
			delete(t.problems, n)
		}
	}
	return append(out, Adopted{Kind: k, Item: i})
}

// reject remembers a number that must not be fetched again.
func (t *track) reject(i Item) {
	t.problems[i.Number] = i.Err
	if len(t.problems) <= maxProblem {
		return
	}
	lowest := i.Number
	for n := range t.problems {
		lowest = min(lowest, n)
	}
	delete(t.problems, lowest)
}

func (t *track) rejected() uint64 {
	highest := uint64(0)
	for n := range t.problems {
		highest = max(highest, n)
	}
	return highest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
