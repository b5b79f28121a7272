// Package order brings engines to the model and the role that the document
// states, by orders with fencing numbers. It is a state machine without I/O.
package order

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

const (
	// retryFirst and retryMost bound the wait before an order is repeated.
	retryFirst = 2 * time.Second
	retryMost  = time.Minute
	// answerWait is the time for an engine to accept an order.
	answerWait = 10 * time.Second
	// loadWait is the time for an accepted order to show in reports.
	loadWait = 5 * time.Minute
	// maxLoading bounds the orders in progress at one daemon. The weight store is
	// limited in rate, and engines that load together are missing together.
	maxLoading = 1
)

// Cells tells what this daemon owns.
type Cells interface {
	// Fence returns the fencing number of a cell. It is false while this daemon
	// does not own the cell or waits for the term of the owner before.
	Fence(cell string) (uint64, bool)
}

// Machine orders the engines of owned cells. It implements citronrock.Machine.
type Machine struct {
	cells   Cells
	rnd     *rand.Rand
	version uint64
	wanted  map[string]*target
	names   []string
	leaving map[string]bool
}

// target is the wanted and the reported state of one engine.
type target struct {
	cell, model, role string
	// reported is false until a report of this ownership has come.
	reported        bool
	loaded, serving string
	busy            uint32
	// until is when an order in progress is given up, zero when there is none.
	until time.Time
	next  time.Time
	tries int
}

// New returns a machine. The seed decides the jitter of repeats.
func New(cells Cells, seed uint64) *Machine {
	return &Machine{
		cells: cells, rnd: rand.New(rand.NewPCG(seed, 0)),
		wanted: map[string]*target{}, leaving: map[string]bool{},
	}
}

// Step applies an event and appends the resulting orders to out.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	switch e := e.(type) {
	case event.Published:
		m.published(e.Document)
	case event.Listed:
		m.listed(e)
	case event.Paused:
		m.paused()
	case event.Reported:
		m.reported(now, e.Engine, e.Report)
		return m.issue(now, out)
	case event.Unreachable:
		if t := m.wanted[e.Engine]; t != nil {
			t.reported = false
		}
	case event.Ordered:
		m.ordered(now, e)
	case event.Tick:
		return m.issue(now, out)
	}
	return out
}

// Wake returns when a repeat is due.
func (m *Machine) Wake() time.Time {
	var wake time.Time
	for _, t := range m.wanted {
		at := t.until
		if at.IsZero() && t.differs() {
			at = t.next
		}
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

func (m *Machine) published(d *policy.Document) {
	if d == nil || d.Version <= m.version {
		return
	}
	m.version = d.Version
	models := map[string]string{}
	for _, s := range d.Service {
		if s.Orders {
			models[s.Name] = s.Model
		}
	}
	old := m.wanted
	m.wanted, m.names = map[string]*target{}, m.names[:0]
	for _, e := range d.Engines {
		model, ok := models[e.Service]
		if !ok {
			continue
		}
		t := old[e.Name]
		if t == nil || t.cell != e.Cell {
			t = &target{}
		}
		if t.model != model || t.role != e.Role {
			t.tries, t.next, t.until = 0, time.Time{}, time.Time{}
		}
		t.cell, t.model, t.role = e.Cell, model, e.Role
		m.wanted[e.Name] = t
		m.names = append(m.names, e.Name)
	}
	slices.SortFunc(m.names, strings.Compare)
}

func (m *Machine) listed(e event.Listed) {
	clear(m.leaving)
	for _, i := range e.Instances {
		if i.GetState() == "leaving" {
			m.leaving[i.GetName()] = true
		}
	}
}

// paused forgets what engines reported: another owner may have ordered since.
func (m *Machine) paused() {
	for _, t := range m.wanted {
		t.reported, t.until = false, time.Time{}
	}
}

func (m *Machine) reported(now time.Time, name string, r *engine.Report) {
	t := m.wanted[name]
	if t == nil {
		return
	}
	t.reported, t.loaded, t.serving, t.busy = true, r.GetModel(), r.GetRole(), r.GetBusy()
	if !t.differs() {
		t.until, t.tries = time.Time{}, 0
	}
	if !t.until.IsZero() && !now.Before(t.until) {
		t.giveUp(now, m.rnd)
	}
}

// differs tells whether an engine is known not to be in the wanted state.
func (t *target) differs() bool {
	return t.reported && (t.loaded != t.model || t.serving != t.role)
}

func (t *target) giveUp(now time.Time, rnd *rand.Rand) {
	t.until = time.Time{}
	wait := retryMost
	if t.tries < 5 {
		wait = min(wait, retryFirst<<t.tries)
	}
	t.tries++
	t.next = now.Add(wait/2 + time.Duration(rnd.Int64N(int64(wait/2))))
}

func (m *Machine) ordered(now time.Time, e event.Ordered) {
	t := m.wanted[e.Engine]
	if t == nil || t.until.IsZero() {
		return
	}
	if e.Accepted {
		t.until = now.Add(loadWait)
		return
	}
	t.giveUp(now, m.rnd)
}

// issue orders engines that differ, as long as few are loading. An engine with
// running requests gets no order; the owner gives it no new ones meanwhile.
func (m *Machine) issue(now time.Time, out []event.Action) []event.Action {
	loading := 0
	for _, name := range m.names {
		if t := m.wanted[name]; !t.until.IsZero() {
			if now.Before(t.until) {
				loading++
				continue
			}
			t.giveUp(now, m.rnd)
		}
	}
	for _, name := range m.names {
		t := m.wanted[name]
		if loading >= maxLoading {
			return out
		}
		if !t.differs() || !t.until.IsZero() || now.Before(t.next) || t.busy > 0 || m.leaving[name] {
			continue
		}
		fence, ok := m.cells.Fence(t.cell)
		if !ok {
			continue
		}
		t.until = now.Add(answerWait)
		loading++
		out = append(out, event.Order{Engine: name, Model: t.model, Role: t.role, Fence: fence})
	}
	return out
}
