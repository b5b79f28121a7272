package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/core/prefix"
)

// stateLeaving is the state in the instance list of an instance that gets no new
// work.
const stateLeaving = "leaving"

// cell is a group of engines of one service that one daemon, its owner, accounts
// for.
type cell struct {
	name, service, domain string
	// tokenBytes is the size of the KV cache in bytes per token, zero when unknown.
	tokenBytes uint64
	// previousEngines holds the engines of the previous document while a new one
	// is applied.
	engines, previousEngines []*engineState
	owner                    string
	owned                    bool
	// ownedSince is when this daemon became the owner.
	ownedSince time.Duration
	// takeoverTime is the same in nanoseconds since 1970.
	takeoverTime uint64
	// reconciled is false after a takeover until each engine has sent a load
	// report or takeoverTimeout has passed.
	reconciled bool
	// reportsOnly switches off the correction of load reports by leases.
	reportsOnly  bool
	leases       map[string]*lease
	prefixIndex  *prefix.Index
	prefixCounts map[prefixKey]int
	// cachedBlocks is filled by matchPrefix: for each engine, by its id, the number
	// of leading KV blocks of the prompt that it has in its prefix cache.
	cachedBlocks []int
	releaseRate  releaseRate
	priorityLoad priorityLoad
}

// prefixKey identifies a count of leases: those whose prompts begin with the same
// KV block and are prefilled on one engine, or in the whole cell when engine is
// nil.
type prefixKey struct {
	prefix uint64
	engine *engineState
}

// Owner returns the instance name of the daemon that owns a cell, "" when the
// cell or its owner is not known.
func (m *Machine) Owner(cell string) string {
	if c := m.cells[cell]; c != nil {
		return c.owner
	}
	return ""
}

// Watched returns the names of the engines in owned cells, sorted. The daemon
// must subscribe to their load reports and prefix cache events.
func (m *Machine) Watched() []string {
	var names []string
	for _, c := range m.sortedCells {
		if !c.owned {
			continue
		}
		for _, eng := range c.engines {
			names = append(names, eng.name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Machine) onPublished(at time.Duration, doc *policy.Document) {
	if doc == nil || doc.Version <= m.documentVersion {
		return
	}
	m.documentVersion = doc.Version
	oldEngines, oldCells := m.engines, m.cells
	m.engines, m.cells, m.sortedCells = map[string]*engineState{}, map[string]*cell{}, nil
	models := map[string]string{}
	tokenBytes := map[string]uint64{}
	for _, s := range doc.Services {
		models[s.Name] = s.Model
		tokenBytes[s.Name] = s.TokenBytes
		m.outputOf(s.Name).setWaste(m.quantile, s.WasteWeight)
	}
	for _, e := range doc.Engines {
		m.defineEngine(e, models[e.Service], oldEngines[e.Name], oldCells)
	}
	for name, c := range oldCells {
		if m.cells[name] == nil {
			m.releaseCell(c)
		}
	}
	for name, eng := range oldEngines {
		if m.engines[name] != eng {
			m.removeEngine(at, eng)
		}
	}
	slices.SortFunc(m.sortedCells, func(a, b *cell) int { return strings.Compare(a.name, b.name) })
	for _, c := range m.sortedCells {
		c.domain = commonDomain(c.engines)
		c.tokenBytes = tokenBytes[c.service]
		if c.tokenBytes == 0 {
			c.tokenBytes = m.tokenBytes
		}
		if c.owned && !slices.Equal(c.engines, c.previousEngines) {
			// The index refers to engines by id, and the ids have changed.
			c.prefixIndex = prefix.New(m.maxPrefixes)
		}
		c.previousEngines = nil
	}
	m.assignOwners(at)
}

// removeEngine revokes the leases on an engine that is no longer in its cell.
func (m *Machine) removeEngine(at time.Duration, eng *engineState) {
	eng.leaving = true
	for len(eng.leases) > 0 {
		m.revoke(at, eng.leases[len(eng.leases)-1], false)
	}
	m.orphanCount -= len(eng.orphans)
	eng.orphans = nil
}

// defineEngine adds an engine of the document to its cell. The state of an engine
// that stays in its cell is kept.
func (m *Machine) defineEngine(e policy.Engine, model string, eng *engineState, oldCells map[string]*cell) {
	c := m.cells[e.Cell]
	if c == nil {
		c = oldCells[e.Cell]
		if c == nil || c.service != e.Service {
			if c != nil {
				m.releaseCell(c)
			}
			c = &cell{name: e.Cell, service: e.Service, reportsOnly: !m.countLeases}
		}
		c.previousEngines, c.engines = c.engines, nil
		m.cells[e.Cell] = c
		m.sortedCells = append(m.sortedCells, c)
	}
	if eng == nil || eng.cell != c {
		eng = &engineState{name: e.Name, cell: c}
	}
	eng.role, eng.model, eng.domain, eng.checksFence = e.Role, model, e.Domain, e.ChecksFencing
	eng.leaving = m.instanceStates[eng.name] == stateLeaving
	eng.id = len(c.engines)
	c.engines = append(c.engines, eng)
	m.engines[e.Name] = eng
}

func commonDomain(engines []*engineState) string {
	counts := map[string]int{}
	best := ""
	for _, eng := range engines {
		counts[eng.domain]++
		n, top := counts[eng.domain], counts[best]
		if best == "" || n > top || n == top && eng.domain < best {
			best = eng.domain
		}
	}
	return best
}

func (m *Machine) onListed(at time.Duration, e event.Listed) {
	if e.Revision < m.listRevision {
		return
	}
	m.listRevision = e.Revision
	states := make(map[string]string, len(e.Instances))
	domains := map[string]string{}
	for _, i := range e.Instances {
		states[i.GetName()] = i.GetState()
		if i.GetKind() == "daemon" {
			domains[i.GetName()] = i.GetDomain()
		}
	}
	// An engine that has disappeared from the list counts as leaving.
	for name := range m.instanceStates {
		if _, ok := states[name]; !ok && m.engines[name] != nil {
			states[name] = stateLeaving
		}
	}
	m.instanceStates, m.daemonDomains = states, domains
	for _, eng := range m.engines {
		eng.leaving = states[eng.name] == stateLeaving
	}
	m.assignOwners(at)
}

func (m *Machine) onMembers(at time.Duration, e event.Members) {
	alive := e.Alive
	m.running = e.Running
	if m.running == nil {
		m.running = alive
	}
	if m.membersKnown && maps.Equal(alive, m.alive) {
		return
	}
	m.membersKnown, m.alive = true, maps.Clone(alive)
	m.assignOwners(at)
}

// onPaused gives up all cells with their leases, since another daemon may have
// taken them over during the process pause. The next Members event starts a
// takeover of the cells that this daemon still owns.
func (m *Machine) onPaused() {
	m.membersKnown = false
	for _, c := range m.sortedCells {
		m.releaseCell(c)
	}
}

// assignOwners computes the owner of each cell. Daemons in the failure domain of
// the cell's engines are preferred; leaving ones are skipped.
func (m *Machine) assignOwners(at time.Duration) {
	if !m.membersKnown {
		return
	}
	eligible := make([]string, 0, len(m.alive))
	byDomain := map[string][]string{}
	for name := range m.alive {
		if m.instanceStates[name] == stateLeaving {
			continue
		}
		eligible = append(eligible, name)
		d := m.daemonDomains[name]
		byDomain[d] = append(byDomain[d], name)
	}
	for _, c := range m.sortedCells {
		names := byDomain[c.domain]
		if len(names) == 0 {
			names = eligible
		}
		first := owner.First(c.name, names)
		switch mine := first == m.name; {
		case mine && !c.owned:
			m.acquireCell(at, c)
		case !mine && c.owned:
			m.releaseCell(c)
		}
		// Set after releaseCell, which clears it: the requests of this daemon then
		// go to the next owner.
		c.owner = first
	}
}

// acquireCell starts a takeover: the account of the cell is empty and is filled
// by the load reports that follow.
func (m *Machine) acquireCell(at time.Duration, c *cell) {
	c.owned, c.ownedSince, c.reconciled = true, at, false
	c.takeoverTime = uint64(m.now.UnixNano())
	c.leases = map[string]*lease{}
	c.prefixIndex = prefix.New(m.maxPrefixes)
	c.prefixCounts = map[prefixKey]int{}
	c.releaseRate, c.priorityLoad = releaseRate{}, priorityLoad{updated: at}
	for _, eng := range c.engines {
		eng.reset()
	}
	m.scheduleTick(at + cancelInterval)
}

// releaseCell gives up a cell and discards its account.
func (m *Machine) releaseCell(c *cell) {
	if !c.owned {
		return
	}
	for _, eng := range c.engines {
		for len(eng.leases) > 0 {
			m.remove(eng.leases[len(eng.leases)-1])
		}
		m.orphanCount -= len(eng.orphans)
		eng.reset()
	}
	c.owned, c.owner = false, ""
	c.leases, c.prefixIndex, c.prefixCounts = nil, nil, nil
}

// scheduleTick requests a Tick at the given time or earlier.
func (m *Machine) scheduleTick(at time.Duration) {
	if m.nextTick == 0 || at < m.nextTick {
		m.nextTick = at
	}
}

// checkTakeover ends the takeover when each engine of the cell that is neither
// leaving nor lost has sent a load report measured since then, or after
// takeoverTimeout.
func (c *cell) checkTakeover(at time.Duration) {
	if c.reconciled {
		return
	}
	c.reconciled = at-c.ownedSince >= takeoverTimeout || !slices.ContainsFunc(c.engines, func(eng *engineState) bool {
		return !eng.leaving && !eng.lost && (!eng.reported || eng.measuredAt < c.ownedSince)
	})
}
