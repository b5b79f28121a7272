// Package cell is the owner half of the decision core: it accounts for the
// engines of the cells that this daemon owns and grants reservations on them.
package cell

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/core/strike"
)

const (
	// term is how long an unused grant is kept, and how long a new owner waits
	// for the grants of the old one to lapse where engines ignore fencing.
	term = 3 * time.Second
	// grace is the time between noticing an orphan and cancelling it.
	grace = 3 * time.Second
	// attachedGrace is the same for runs that a connection waits for, and for runs
	// of daemons that are not on the list. A daemon behind a network partition
	// looks dead and goes on serving; its runs keep their connections, while
	// those of a process that died lose them at once.
	attachedGrace = time.Minute
	// recancel is the time between two cancels of one orphan.
	recancel = 500 * time.Millisecond
	// stale is the age of a report from which an engine gets no grants.
	stale = 3 * time.Second
	// forget is the silence after which an engine's grants are dropped; edges
	// have given up on it long before.
	forget = time.Minute
	// settle bounds the time with reduced grants after a takeover, so that an
	// engine that never reports doesn't hold back its cell.
	settle = 2 * term
)

// settings are what options change.
type settings struct {
	// cache is the size of the KV cache in bytes a token where the document
	// gives none.
	cache uint64
	// quantile of the output lengths that is reserved.
	quantile float64
	// prefixes bounds the prefix index of each engine.
	prefixes int
	// queue bounds the wait of a granted prefill.
	queue time.Duration
	// local is the largest uncached prompt, in tokens, that is prefilled on a
	// decode engine.
	local uint32
	// ramp is how long an engine that came back takes to full load.
	ramp time.Duration
	// reserve, match switch parts off for comparison in benchmarks.
	reserve, match bool
}

// Option changes a setting of a Machine.
type Option func(*settings)

// WithTokenBytes sets the size of the KV cache in bytes a token, from which transfer
// times are computed. At zero, the default, transfers count as instant.
func WithTokenBytes(bytes uint64) Option { return func(s *settings) { s.cache = bytes } }

// WithOutputQuantile sets the quantile of the observed output lengths that is
// reserved, between 0 and 1.
func WithOutputQuantile(q float64) Option { return func(s *settings) { s.quantile = q } }

// WithMaxQueue bounds the time that a granted prefill waits, since its decode
// memory is held meanwhile.
func WithMaxQueue(d time.Duration) Option { return func(s *settings) { s.queue = d } }

// WithLocalPrefill sets the largest uncached prompt, in tokens, that a decode engine
// of role both prefills itself.
func WithLocalPrefill(tokens uint32) Option { return func(s *settings) { s.local = tokens } }

// WithSlowStart sets how long the slow start of an engine that came back lasts.
func WithSlowStart(d time.Duration) Option { return func(s *settings) { s.ramp = d } }

// WithoutReservations makes the machine place by the engines' reports alone. It
// exists for comparison in benchmarks.
func WithoutReservations() Option { return func(s *settings) { s.reserve = false } }

// WithoutPrefixes makes the machine ignore cache events. It exists for
// comparison in benchmarks.
func WithoutPrefixes() Option { return func(s *settings) { s.match = false } }

// Machine accounts for the cells of one daemon. It implements
// citronrock.Machine. Times inside are offsets from the first event.
type Machine struct {
	settings
	name        string
	incarnation uint64
	epoch       time.Time
	now         time.Time

	document uint64
	revision uint64
	// confirmed is false from a pause until the next Members event.
	confirmed bool
	alive     map[string]uint64
	// serving are the daemons whose runs are not orphans.
	serving map[string]uint64
	domains map[string]string
	// states holds the listed state of daemons and engines.
	states map[string]string

	groups map[string]*group
	units  map[string]*unit
	// order holds the groups by name, so that steps don't depend on the order
	// of a map.
	order   []*group
	outputs map[string]*output

	strikes *strike.Table
	prints  map[uint64]*grant
	ended   memory
	safe    safe
	terms   queue
	spare   []*grant
	orphans int
	sweep   time.Duration
	count   Counts
}

// New returns the machine of the daemon with the given instance name and
// incarnation in nanoseconds since 1970.
func New(name string, incarnation uint64, opts ...Option) *Machine {
	m := &Machine{
		name:        name,
		incarnation: incarnation,
		alive:       map[string]uint64{},
		domains:     map[string]string{},
		states:      map[string]string{},
		groups:      map[string]*group{},
		units:       map[string]*unit{},
		outputs:     map[string]*output{},
		strikes:     strike.New(),
		prints:      map[uint64]*grant{},
		settings: settings{
			quantile: 0.8,
			prefixes: 4096,
			queue:    2 * time.Second,
			local:    500,
			ramp:     4 * time.Second,
			reserve:  true,
			match:    true,
		},
	}
	for _, o := range opts {
		o(&m.settings)
	}
	return m
}

// Step applies an event. After Paused the machine owns nothing until the next
// Members event, which has to be sent even when the members have not changed.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	m.now = now
	at := now.Sub(m.epoch)
	m.expire(at)
	switch e := e.(type) {
	case event.Asked:
		return m.asked(at, e, out)
	case event.Finished:
		return m.finished(at, e.Done, out)
	case event.Reported:
		return m.reported(at, e, out)
	case event.Cached:
		m.cached(e)
	case event.Unreachable:
		m.unreachable(at, e.Engine)
	case event.Published:
		m.published(at, e.Document)
	case event.Listed:
		m.listed(at, e)
	case event.Members:
		m.members(at, e)
	case event.Paused:
		m.paused()
	case event.Struck:
		m.strikes.Merge(now, e.Strike)
	case event.Tick:
		return m.tick(at, out)
	}
	return out
}

// Wake returns when the next unused grant expires or the next orphan is due.
func (m *Machine) Wake() time.Time {
	wake := m.sweep
	if due, ok := m.terms.first(); ok && (wake == 0 || due < wake) {
		wake = due
	}
	if wake == 0 {
		return time.Time{}
	}
	return m.epoch.Add(wake)
}

// fence returns the fencing number of orders to a cell, zero when this daemon does
// not own it. It carries the time of the takeover and not the owner's start, which
// may lie before that of the owner it follows; engines that check would then
// refuse the new owner's orders.
func (m *Machine) fence(g *group) uint64 {
	if !g.owned {
		return 0
	}
	return owner.Fence(m.revision, g.taken)
}

// Fence returns the fencing number of a cell for orders. It is false while this
// daemon does not own the cell, or waits out the term of the owner before.
func (m *Machine) Fence(cell string) (uint64, bool) {
	g := m.groups[cell]
	if g == nil || !g.owned || m.now.Sub(m.epoch)-g.since < term {
		return 0, false
	}
	return m.fence(g), true
}

// Strikes returns the table of suspect requests for gossip and status.
func (m *Machine) Strikes() *strike.Table { return m.strikes }

func (m *Machine) tick(at time.Duration, out []event.Action) []event.Action {
	if m.sweep == 0 || at < m.sweep {
		return out
	}
	m.sweep = 0
	for _, g := range m.order {
		if !g.owned {
			continue
		}
		for _, u := range g.units {
			out = m.cancelOrphans(at, u, out)
			m.forgetSilent(at, u)
		}
	}
	if m.orphans > 0 {
		m.schedule(at + recancel)
	}
	return out
}

// forgetSilent drops the grants on an engine that no longer reports and whose
// edges sent no Done.
func (m *Machine) forgetSilent(at time.Duration, u *unit) {
	if !u.lost || len(u.live) == 0 {
		return
	}
	if due := u.heard + forget; at < due {
		m.schedule(due)
		return
	}
	for len(u.live) > 0 {
		m.release(at, u.live[len(u.live)-1], false)
	}
}
