// Package dissem disseminates the document and the instance list. A few watchers
// in each failure domain keep long polls pending at the platform; all other
// daemons compare the version numbers that peers advertise and fetch from those
// peers. It is a state machine without I/O: time and answers are passed in, reads
// and fetches come out.
package dissem

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
)

// Times and bounds of the protocol.
const (
	// Watchers is the number of watchers in each failure domain. Two, so that one
	// dead or stalled watcher delays nothing.
	Watchers = 2
	// watchTimeout is the wait of a long poll. It bounds how long a stalled
	// connection to the platform goes undetected.
	watchTimeout = 5 * time.Second
	// minReadInterval is the least time between two reads without a change, against a
	// platform that answers long polls at once.
	minReadInterval = time.Second
	// pollInterval is the mean time between polls of daemons that are no watchers.
	pollInterval = 60 * time.Second
	// bootstrapTimeout bounds the bootstrap: the time in which a fresh daemon waits
	// for the answers of the platform and its peers.
	bootstrapTimeout = 3 * time.Second
	// bootstrapPeers is the number of peers whose answers a fresh daemon waits for,
	// and bootstrapTries the number of peers that it asks when some do not answer.
	bootstrapPeers = 2
	bootstrapTries = 6
	retryMin       = 250 * time.Millisecond
	retryMax       = 8 * time.Second
	maxAdvertised  = 16
	maxRejected    = 16
)

// Kind selects what is disseminated.
type Kind int

// Kinds.
const (
	Document Kind = iota
	List
	numKinds
)

// Item is a document or an instance list.
type Item struct {
	// Number is the version of a document or the revision of a list, zero for none.
	Number uint64
	// Err is why the content is rejected, nil if it is valid.
	Err error
	// Value is the content, which this package only passes through.
	Value any
}

// Output is a result of a step of the Machine.
type Output interface{ output() }

// Read asks for a read at the platform; ReadDone takes the result.
type Read struct {
	Kind  Kind
	After uint64
	// Wait is how long the platform may hold the read for a change, zero for an
	// answer at once.
	Wait time.Duration
}

// Fetch asks for a fetch from a peer; FetchDone takes the result.
type Fetch struct {
	To string
	// Current holds the numbers in force by kind.
	Current [2]uint64
	// Members asks for the peer's member records, too.
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

// Daemon is a daemon on the instance list.
type Daemon struct {
	Name, Domain string
}

// track is the state of one kind.
type track struct {
	current Item
	// candidate is the newest item that a fresh daemon holds back until the bootstrap
	// ends.
	candidate    Item
	rejections   map[uint64]error
	readInFlight bool
	nextRead     time.Time
	// nextFullRead is when a watcher next reads all numbers above the one in force,
	// also those below a rejected one.
	nextFullRead time.Time
	failures     int
	answered     bool
}

// versions are the document version and list revision that a peer advertises.
type versions [2]uint64

// Machine is the state of dissemination at one daemon.
type Machine struct {
	self, domain string
	rng          *rand.Rand
	tracks       [numKinds]track
	started      time.Time
	bootstrapped bool
	domains      map[string]string
	watching     bool

	advertised map[string]versions
	fetching   map[string]bool
	nextFetch  time.Time
	failures   int
	// bootstrapAsked holds the peers asked during the bootstrap, bootstrapAnswers
	// counts those that answered.
	bootstrapAsked   map[string]bool
	bootstrapAnswers int
}

// New returns the state of the daemon self in a failure domain.
func New(self, domain string, seed uint64) *Machine {
	m := &Machine{
		self:           self,
		domain:         domain,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		domains:        map[string]string{},
		watching:       true,
		advertised:     map[string]versions{},
		fetching:       map[string]bool{},
		bootstrapAsked: map[string]bool{},
	}
	for i := range m.tracks {
		m.tracks[i].rejections = map[uint64]error{}
	}
	return m
}

// Current returns the number in force, zero for none.
func (m *Machine) Current(k Kind) uint64 { return m.tracks[k].current.Number }

// RejectErr returns why the highest rejected number is rejected, nil when none
// above the one in force is.
func (m *Machine) RejectErr(k Kind) error {
	t := &m.tracks[k]
	n := t.highestRejected()
	if n <= t.current.Number {
		return nil
	}
	return t.rejections[n]
}

// Watching reports whether this daemon is a watcher.
func (m *Machine) Watching() bool { return m.watching }

// Bootstrapped reports whether the bootstrap has ended: the platform and the asked
// peers have answered, or bootstrapTimeout has passed.
func (m *Machine) Bootstrapped() bool { return m.bootstrapped }

// SetDaemons takes the daemons of the instance list in force, this one included.
func (m *Machine) SetDaemons(now time.Time, list []Daemon, out []Output) []Output {
	m.domains = make(map[string]string, len(list))
	for _, d := range list {
		m.domains[d.Name] = d.Domain
	}
	for name := range m.advertised {
		if _, ok := m.domains[name]; !ok {
			delete(m.advertised, name)
		}
	}
	return m.Tick(now, out)
}

// SetAlive takes the live daemons and chooses the watchers among them, so that a
// dead watcher is replaced.
func (m *Machine) SetAlive(now time.Time, alive map[string]uint64, out []Output) []Output {
	wasWatching := m.watching
	m.watching = m.isWatcher(alive)
	if m.watching && !wasWatching {
		for i := range m.tracks {
			m.tracks[i].nextRead = now
		}
	}
	return m.Tick(now, out)
}

// isWatcher reports whether this daemon is a watcher of its failure domain, chosen
// by rendezvous hashing.
func (m *Machine) isWatcher(alive map[string]uint64) bool {
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

// Advertised takes the numbers that a peer advertises.
func (m *Machine) Advertised(now time.Time, from string, version, revision uint64, out []Output) []Output {
	n := versions{version, revision}
	if !m.anyNew(n) {
		delete(m.advertised, from)
		return out
	}
	if _, ok := m.advertised[from]; !ok && len(m.advertised) >= maxAdvertised {
		return out
	}
	m.advertised[from] = n
	return m.Tick(now, out)
}

// anyNew reports whether one of a peer's numbers is above the one in force and not
// rejected.
func (m *Machine) anyNew(n versions) bool {
	for k := range m.tracks {
		if m.tracks[k].isNew(n[k]) {
			return true
		}
	}
	return false
}

func (t *track) isNew(n uint64) bool {
	return n > t.current.Number && n > t.candidate.Number && t.rejections[n] == nil
}

// ReadDone takes the result of a Read; err is set when the platform did not
// answer.
func (m *Machine) ReadDone(now time.Time, k Kind, i Item, err error, out []Output) []Output {
	t := &m.tracks[k]
	t.readInFlight, t.answered = false, true
	if err != nil {
		t.failures++
		t.nextRead = now.Add(m.backoff(t.failures))
		if m.bootstrapped && !m.watching && t.current.Number > 0 {
			t.nextRead = now.Add(m.pollDelay())
		}
		return m.Tick(now, out)
	}
	t.failures = 0
	isNew := t.isNew(i.Number)
	out = m.consider(now, k, i, out)
	switch {
	case !m.watching && t.current.Number > 0:
		t.nextRead = now.Add(m.pollDelay())
	case isNew:
		t.nextRead = now
	default:
		t.nextRead = later(now, t.nextRead.Add(minReadInterval))
	}
	return m.Tick(now, out)
}

// FetchDone takes the result of a Fetch; err is set when the peer did not answer.
func (m *Machine) FetchDone(now time.Time, from string, items [2]Item, err error, out []Output) []Output {
	delete(m.fetching, from)
	delete(m.advertised, from)
	m.nextFetch = now
	if err != nil {
		m.failures++
		m.nextFetch = now.Add(m.backoff(m.failures))
		return m.Tick(now, out)
	}
	m.failures = 0
	if m.bootstrapAsked[from] {
		m.bootstrapAnswers++
	}
	for k, i := range items {
		out = m.consider(now, Kind(k), i, out)
	}
	return m.Tick(now, out)
}

// consider adopts an item that is newer than the one in force. A fresh daemon
// holds documents back until the bootstrap ends, and then adopts the newest.
func (m *Machine) consider(now time.Time, k Kind, i Item, out []Output) []Output {
	t := &m.tracks[k]
	if !t.isNew(i.Number) {
		return out
	}
	if i.Err != nil {
		t.reject(i)
		return out
	}
	if k == Document && !m.finishBootstrap(now) {
		t.candidate = i
		return out
	}
	return m.adopt(k, i, out)
}

func (m *Machine) adopt(k Kind, i Item, out []Output) []Output {
	t := &m.tracks[k]
	t.current, t.candidate = i, Item{}
	for n := range t.rejections {
		if n < i.Number {
			delete(t.rejections, n)
		}
	}
	return append(out, Adopted{Kind: k, Item: i})
}

// reject remembers a number so that it is not fetched again.
func (t *track) reject(i Item) {
	t.rejections[i.Number] = i.Err
	if len(t.rejections) <= maxRejected {
		return
	}
	lowest := i.Number
	for n := range t.rejections {
		lowest = min(lowest, n)
	}
	delete(t.rejections, lowest)
}

func (t *track) highestRejected() uint64 {
	highest := uint64(0)
	for n := range t.rejections {
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
