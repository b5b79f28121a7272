// Package order reconciles the model and the role of engines with the document.
// The owner of a cell sends orders with a fencing token to the engines that differ.
// It is a state machine without I/O.
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
	// minRetryWait and maxRetryWait bound the wait before an order is retried.
	minRetryWait = 2 * time.Second
	maxRetryWait = time.Minute
	// acceptTimeout is the time for an engine to accept an order.
	acceptTimeout = 10 * time.Second
	// loadTimeout is the time until load reports must show that an accepted order is
	// done.
	loadTimeout = 5 * time.Minute
	// maxInProgress bounds the orders in progress at one daemon. The store of model
	// weights is rate-limited, and engines that load a model serve no requests.
	maxInProgress = 1
)

// Cells tells which cells this daemon owns.
type Cells interface {
	// Fence returns the fencing token of a cell. It returns false while this daemon
	// doesn't own the cell, or waits for the term of the previous owner to end.
	Fence(cell string) (uint64, bool)
}

// Machine orders the engines of the cells that this daemon owns. It implements
// citronrock.Machine.
type Machine struct {
	cells   Cells
	rnd     *rand.Rand
	version uint64
	targets map[string]*target
	names   []string
	leaving map[string]bool
}

// target is the desired and the reported state of one engine.
type target struct {
	cell, model, role string
	// reported is true after a load report since the last process pause or loss of
	// the report stream.
	reported                    bool
	reportedModel, reportedRole string
	busy                        uint32
	// expires is when an order in progress times out, zero when there is none.
	expires  time.Time
	retryAt  time.Time
	failures int
}

// New returns a machine without a document. The seed determines the jitter of
// retries.
func New(cells Cells, seed uint64) *Machine {
	return &Machine{
		cells: cells, rnd: rand.New(rand.NewPCG(seed, 0)),
		targets: map[string]*target{}, leaving: map[string]bool{},
	}
}

// Step applies an event and appends the resulting orders to out.
func (m *Machine) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	switch e := e.(type) {
	case event.Published:
		m.applyDocument(e.Document)
	case event.Listed:
		m.applyList(e)
	case event.Paused:
		m.forgetReports()
	case event.Reported:
		m.applyReport(now, e.Engine, e.Report)
		return m.issueOrders(now, out)
	case event.Unreachable:
		if t := m.targets[e.Engine]; t != nil {
			t.reported = false
		}
	case event.Ordered:
		m.applyReply(now, e)
	case event.Tick:
		return m.issueOrders(now, out)
	}
	return out
}

// Wake returns the earliest time at which an order times out or is due to be sent,
// zero when there is none.
func (m *Machine) Wake() time.Time {
	var wake time.Time
	for _, t := range m.targets {
		at := t.expires
		if at.IsZero() && t.differs() {
			at = t.retryAt
		}
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

func (m *Machine) applyDocument(d *policy.Document) {
	if d == nil || d.Version <= m.version {
		return
	}
	m.version = d.Version
	models := map[string]string{}
	for _, s := range d.Services {
		if s.AllowOrders {
			models[s.Name] = s.Model
		}
	}
	old := m.targets
	m.targets, m.names = map[string]*target{}, m.names[:0]
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
			t.failures, t.retryAt, t.expires = 0, time.Time{}, time.Time{}
		}
		t.cell, t.model, t.role = e.Cell, model, e.Role
		m.targets[e.Name] = t
		m.names = append(m.names, e.Name)
	}
	slices.SortFunc(m.names, strings.Compare)
}

func (m *Machine) applyList(e event.Listed) {
	clear(m.leaving)
	for _, i := range e.Instances {
		if i.GetState() == "leaving" {
			m.leaving[i.GetName()] = true
		}
	}
}

// forgetReports drops the reported states and the orders in progress after a
// process pause, since another owner may have sent orders meanwhile.
func (m *Machine) forgetReports() {
	for _, t := range m.targets {
		t.reported, t.expires = false, time.Time{}
	}
}

func (m *Machine) applyReport(now time.Time, name string, r *engine.Report) {
	t := m.targets[name]
	if t == nil {
		return
	}
	t.reported, t.reportedModel, t.reportedRole, t.busy = true, r.GetModel(), r.GetRole(), r.GetBusy()
	if !t.differs() {
		t.expires, t.failures = time.Time{}, 0
	}
	if !t.expires.IsZero() && !now.Before(t.expires) {
		t.scheduleRetry(now, m.rnd)
	}
}

// differs reports whether an engine is known not to be in the desired state.
func (t *target) differs() bool {
	return t.reported && (t.reportedModel != t.model || t.reportedRole != t.role)
}

func (t *target) scheduleRetry(now time.Time, rnd *rand.Rand) {
	t.expires = time.Time{}
	wait := maxRetryWait
	if t.failures < 5 {
		wait = min(wait, minRetryWait<<t.failures)
	}
	t.failures++
	t.retryAt = now.Add(wait/2 + time.Duration(rnd.Int64N(int64(wait/2))))
}

func (m *Machine) applyReply(now time.Time, e event.Ordered) {
	t := m.targets[e.Engine]
	if t == nil || t.expires.IsZero() {
		return
	}
	if e.Accepted {
		t.expires = now.Add(loadTimeout)
		return
	}
	t.scheduleRetry(now, m.rnd)
}

// issueOrders sends orders to engines that differ, at most maxInProgress at a time.
// An engine with running requests gets no order until they have ended; the owner
// grants no new leases on it meanwhile.
func (m *Machine) issueOrders(now time.Time, out []event.Action) []event.Action {
	inProgress := 0
	for _, name := range m.names {
		if t := m.targets[name]; !t.expires.IsZero() {
			if now.Before(t.expires) {
				inProgress++
				continue
			}
			t.scheduleRetry(now, m.rnd)
		}
	}
	for _, name := range m.names {
		t := m.targets[name]
		if inProgress >= maxInProgress {
			return out
		}
		if !t.differs() || !t.expires.IsZero() || now.Before(t.retryAt) || t.busy > 0 || m.leaving[name] {
			continue
		}
		fence, ok := m.cells.Fence(t.cell)
		if !ok {
			continue
		}
		t.expires = now.Add(acceptTimeout)
		inProgress++
		out = append(out, event.Order{Engine: name, Model: t.model, Role: t.role, Fence: fence})
	}
	return out
}
