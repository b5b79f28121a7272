// Package cell is the part of the decision core that runs at the owner of a
// cell, a group of engines of one model service. It accounts for the memory,
// decode slots and prefill queues of these engines, and grants leases on them to
// the edge daemons, which hold the clients' connections.
package cell

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/core/strike"
)

const (
	// leaseTerm is how long an unused lease is kept, and how long a new owner
	// waits for the leases of the previous one to expire at engines that don't
	// check fencing tokens.
	leaseTerm = 3 * time.Second
	// orphanGrace is the time between the detection of an orphaned run, one whose
	// daemon is gone, and its first Cancel.
	orphanGrace = 3 * time.Second
	// attachedOrphanGrace replaces orphanGrace for runs that still have a
	// connection, and for runs of daemons that are not in the instance list. A
	// daemon behind a network partition appears dead but goes on serving, and its
	// runs keep their connections; those of a process that died lose them at once.
	attachedOrphanGrace = time.Minute
	// cancelInterval is the time between two Cancels of one orphaned run.
	cancelInterval = 500 * time.Millisecond
	// maxReportAge is the age of the last load report above which an engine gets
	// no new leases.
	maxReportAge = 3 * time.Second
	// lostEngineTimeout is the time without a load report after which the leases
	// on an engine are revoked. The edge daemons give up on it long before.
	lostEngineTimeout = time.Minute
	// takeoverTimeout bounds the time after a takeover in which only part of the
	// free memory is leased, so that an engine that never reports doesn't limit
	// the rest of its cell.
	takeoverTimeout = 2 * leaseTerm
)

// settings are the values that options set.
type settings struct {
	// tokenBytes is the size of the KV cache in bytes per token for services whose
	// size is not in the document.
	tokenBytes uint64
	// quantile is the quantile of the observed output lengths for which memory is
	// leased.
	quantile float64
	// maxPrefixes bounds the prefix index of each engine.
	maxPrefixes int
	// maxQueue is the max wait of a prefill in the queue of its engine.
	maxQueue time.Duration
	// maxLocalPrefill is the largest uncached part of a prompt, in tokens, that is
	// prefilled on a decode engine.
	maxLocalPrefill uint32
	// slowStart is the time over which the load of an engine that came back is
	// raised to the full one.
	slowStart time.Duration
	// countLeases corrects load reports by the leases granted since, usePrefixes
	// places requests by their prefix cache hits. Benchmarks switch them off.
	countLeases, usePrefixes bool
}

// Option changes a setting of a Machine.
type Option func(*settings)

// WithTokenBytes sets the size of the KV cache in bytes per token, from which
// transfer times are computed. At zero, the default, transfers take no time.
func WithTokenBytes(bytes uint64) Option { return func(s *settings) { s.tokenBytes = bytes } }

// WithOutputQuantile sets the quantile of the observed output lengths for which
// memory is leased, between 0 and 1.
func WithOutputQuantile(q float64) Option { return func(s *settings) { s.quantile = q } }

// WithMaxQueue bounds the time that a prefill waits in the queue of its engine,
// since its decode memory is leased meanwhile.
func WithMaxQueue(d time.Duration) Option { return func(s *settings) { s.maxQueue = d } }

// WithLocalPrefill sets the largest uncached part of a prompt, in tokens, that an
// engine of role both prefills itself instead of a prefill engine.
func WithLocalPrefill(tokens uint32) Option { return func(s *settings) { s.maxLocalPrefill = tokens } }

// WithSlowStart sets the duration of the slow start of an engine that came back.
func WithSlowStart(d time.Duration) Option { return func(s *settings) { s.slowStart = d } }

// WithoutLeases makes the machine place requests by load reports alone,
// without the leases granted since. It exists for comparison in benchmarks.
func WithoutLeases() Option { return func(s *settings) { s.countLeases = false } }

// WithoutPrefixes makes the machine ignore prefix cache events. It exists for
// comparison in benchmarks.
func WithoutPrefixes() Option { return func(s *settings) { s.usePrefixes = false } }

// Machine accounts for the cells that one daemon owns. It implements
// citronrock.Machine. Internal times are offsets from the first event.
type Machine struct {
	settings
	name        string
	incarnation uint64
	epoch       time.Time
	now         time.Time

	documentVersion uint64
	listRevision    uint64
	// membersKnown is false from a process pause until the next Members event.
	membersKnown bool
	alive        map[string]uint64
	// running holds the daemons whose runs are not orphaned, with their
	// incarnations.
	running       map[string]uint64
	daemonDomains map[string]string
	// instanceStates holds the states of daemons and engines in the instance list.
	instanceStates map[string]string

	cells   map[string]*cell
	engines map[string]*engineState
	// sortedCells holds the cells in the order of their names, so that steps don't
	// depend on the order of a map.
	sortedCells   []*cell
	outputLengths map[string]*outputLength

	strikes *strike.Table
	// byFingerprint holds the first lease of each fingerprint; the others follow
	// by nextSameFingerprint.
	byFingerprint map[uint64]*lease
	ended         endedLog
	safe          safeFingerprints
	expiries      expiryQueue
	freeList      []*lease
	orphanCount   int
	// nextTick is when onTick is due, zero for never.
	nextTick time.Duration
	counts   Counts
}

// New returns the machine of the daemon with the given instance name and
// incarnation in nanoseconds since 1970.
func New(name string, incarnation uint64, opts ...Option) *Machine {
	m := &Machine{
		name:           name,
		incarnation:    incarnation,
		alive:          map[string]uint64{},
		daemonDomains:  map[string]string{},
		instanceStates: map[string]string{},
		cells:          map[string]*cell{},
		engines:        map[string]*engineState{},
		outputLengths:  map[string]*outputLength{},
		strikes:        strike.New(),
		byFingerprint:  map[uint64]*lease{},
		settings: settings{
			quantile:        0.8,
			maxPrefixes:     4096,
			maxQueue:        2 * time.Second,
			maxLocalPrefill: 500,
			slowStart:       4 * time.Second,
			countLeases:     true,
			usePrefixes:     true,
		},
	}
	for _, o := range opts {
		o(&m.settings)
	}
	return m
}

// Step applies an event and appends the resulting actions to out. After Paused
// the machine owns no cell until the next Members event, which must follow even
// when the membership has not changed.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	m.now = now
	at := now.Sub(m.epoch)
	m.expireUnused(at)
	switch e := e.(type) {
	case event.Asked:
		return m.onAsked(at, e, out)
	case event.Finished:
		return m.onFinished(at, e.Done, out)
	case event.Reported:
		return m.onReported(at, e, out)
	case event.Cached:
		m.onCached(e)
	case event.Unreachable:
		m.onUnreachable(at, e.Engine)
	case event.Published:
		m.onPublished(at, e.Document)
	case event.Listed:
		m.onListed(at, e)
	case event.Members:
		m.onMembers(at, e)
	case event.Paused:
		m.onPaused()
	case event.Struck:
		m.strikes.Merge(now, e.Strike)
	case event.Tick:
		return m.onTick(at, out)
	}
	return out
}

// Wake returns when the next unused lease expires or the next orphaned run is to
// be cancelled, zero for never.
func (m *Machine) Wake() time.Time {
	wake := m.nextTick
	if due, ok := m.expiries.first(); ok && (wake == 0 || due < wake) {
		wake = due
	}
	if wake == 0 {
		return time.Time{}
	}
	return m.epoch.Add(wake)
}

// fencingToken returns the fencing token of orders to a cell, zero when this
// daemon does not own it. It contains the time of the takeover and not the start
// of the daemon: a new owner may have been started before the previous one, and
// engines that check fencing tokens would then refuse its orders.
func (m *Machine) fencingToken(c *cell) uint64 {
	if !c.owned {
		return 0
	}
	return owner.Fence(m.listRevision, c.takeoverTime)
}

// Fence returns the fencing token for orders to the engines of a cell. It is
// false while this daemon does not own the cell or waits until the leases of the
// previous owner have expired.
func (m *Machine) Fence(cell string) (uint64, bool) {
	c := m.cells[cell]
	if c == nil || !c.owned || m.now.Sub(m.epoch)-c.ownedSince < leaseTerm {
		return 0, false
	}
	return m.fencingToken(c), true
}

// Strikes returns the strikes of suspect requests, for gossip and status.
func (m *Machine) Strikes() *strike.Table { return m.strikes }

func (m *Machine) onTick(at time.Duration, out []event.Action) []event.Action {
	if m.nextTick == 0 || at < m.nextTick {
		return out
	}
	m.nextTick = 0
	for _, c := range m.sortedCells {
		if !c.owned {
			continue
		}
		for _, eng := range c.engines {
			out = m.cancelOrphans(at, eng, out)
			m.revokeLost(at, eng)
		}
	}
	if m.orphanCount > 0 {
		m.scheduleTick(at + cancelInterval)
	}
	return out
}

// revokeLost revokes the leases on an engine that has sent no load report for
// lostEngineTimeout, where the edge daemons have not released them.
func (m *Machine) revokeLost(at time.Duration, eng *engineState) {
	if !eng.lost || len(eng.leases) == 0 {
		return
	}
	if due := eng.reportedAt + lostEngineTimeout; at < due {
		m.scheduleTick(due)
		return
	}
	for len(eng.leases) > 0 {
		m.revoke(at, eng.leases[len(eng.leases)-1], false)
	}
}
