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

// leaving is the listed state of an instance that gets no new work.
const leaving = "leaving"

// group is a cell: the engines that one daemon accounts for.
type group struct {
	name, service, domain string
	// cache is the size of the KV cache in bytes a token, zero when unknown.
	cache uint64
	// former holds the engines of the last document while a new one is read.
	units, former []*unit
	holder        string
	owned         bool
	// since is when this daemon became the owner.
	since time.Duration
	// taken is the same as time since 1970 in nanoseconds.
	taken uint64
	// settled is false after a takeover until each engine has reported.
	settled bool
	// plain switches off the correction of reports by grants.
	plain  bool
	grants map[string]*grant
	index  *prefix.Index
	hot    map[hotKey]int
	depth  []int
	pace   pace
	ranks  ranks
}

// hotKey counts the live grants of one prefix on one engine, or in the whole
// cell where engine is nil.
type hotKey struct {
	prefix uint64
	engine *unit
}

// Owner returns the daemon that accounts for a cell, "" when the cell or its
// owner is not known.
func (m *Machine) Owner(cell string) string {
	if g := m.groups[cell]; g != nil {
		return g.holder
	}
	return ""
}

// Watched returns the names of the engines whose reports and cache events this
// daemon has to watch, sorted.
func (m *Machine) Watched() []string {
	var names []string
	for _, g := range m.order {
		if !g.owned {
			continue
		}
		for _, u := range g.units {
			names = append(names, u.name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Machine) published(at time.Duration, d *policy.Document) {
	if d == nil || d.Version <= m.document {
		return
	}
	m.document = d.Version
	previous, groups := m.units, m.groups
	m.units, m.groups, m.order = map[string]*unit{}, map[string]*group{}, nil
	models := map[string]string{}
	sizes := map[string]uint64{}
	for _, s := range d.Service {
		models[s.Name] = s.Model
		sizes[s.Name] = s.Cache
		m.output(s.Name).weigh(m.quantile, s.Waste)
	}
	for _, e := range d.Engines {
		m.define(e, models[e.Service], previous[e.Name], groups)
	}
	for name, g := range groups {
		if m.groups[name] == nil {
			m.disown(g)
		}
	}
	for name, u := range previous {
		if m.units[name] != u {
			m.dismiss(at, u)
		}
	}
	slices.SortFunc(m.order, func(a, b *group) int { return strings.Compare(a.name, b.name) })
	for _, g := range m.order {
		g.domain = commonDomain(g.units)
		g.cache = sizes[g.service]
		if g.cache == 0 {
			g.cache = m.cache
		}
		if g.owned && !slices.Equal(g.units, g.former) {
			// Engines are numbered anew, so the index has to start again.
			g.index = prefix.New(m.prefixes)
		}
		g.former = nil
	}
	m.assign(at)
}

// dismiss ends the grants on an engine that left its cell.
func (m *Machine) dismiss(at time.Duration, u *unit) {
	u.leaving = true
	for len(u.live) > 0 {
		m.release(at, u.live[len(u.live)-1], false)
	}
	m.orphans -= len(u.orphans)
	u.orphans = nil
}

// define adds an engine of the document to its cell. What is known about an
// engine that stays in its cell is kept.
func (m *Machine) define(e policy.Engine, model string, u *unit, groups map[string]*group) {
	g := m.groups[e.Cell]
	if g == nil {
		g = groups[e.Cell]
		if g == nil || g.service != e.Service {
			if g != nil {
				m.disown(g)
			}
			g = &group{name: e.Cell, service: e.Service, plain: !m.reserve}
		}
		g.former, g.units = g.units, nil
		m.groups[e.Cell] = g
		m.order = append(m.order, g)
	}
	if u == nil || u.group != g {
		u = &unit{name: e.Name, group: g}
	}
	u.role, u.model, u.domain, u.checks = e.Role, model, e.Domain, e.Checks
	u.leaving = m.states[u.name] == leaving
	u.id = len(g.units)
	g.units = append(g.units, u)
	m.units[e.Name] = u
}

func commonDomain(units []*unit) string {
	counts := map[string]int{}
	best := ""
	for _, u := range units {
		counts[u.domain]++
		n, top := counts[u.domain], counts[best]
		if best == "" || n > top || n == top && u.domain < best {
			best = u.domain
		}
	}
	return best
}

func (m *Machine) listed(at time.Duration, e event.Listed) {
	if e.Revision < m.revision {
		return
	}
	m.revision = e.Revision
	states := make(map[string]string, len(e.Instances))
	domains := map[string]string{}
	for _, i := range e.Instances {
		states[i.GetName()] = i.GetState()
		if i.GetKind() == "daemon" {
			domains[i.GetName()] = i.GetDomain()
		}
	}
	// An instance that was listed and no longer is has left.
	for name := range m.states {
		if _, ok := states[name]; !ok && m.units[name] != nil {
			states[name] = leaving
		}
	}
	m.states, m.domains = states, domains
	for _, u := range m.units {
		u.leaving = states[u.name] == leaving
	}
	m.assign(at)
}

func (m *Machine) members(at time.Duration, e event.Members) {
	alive := e.Alive
	m.serving = e.Running
	if m.serving == nil {
		m.serving = alive
	}
	if m.confirmed && maps.Equal(alive, m.alive) {
		return
	}
	m.confirmed, m.alive = true, maps.Clone(alive)
	m.assign(at)
}

// paused voids ownership and all grants; the next Members event starts a
// takeover of the cells that this daemon still owns.
func (m *Machine) paused() {
	m.confirmed = false
	for _, g := range m.order {
		m.disown(g)
	}
}

// assign computes the owner of each cell.
func (m *Machine) assign(at time.Duration) {
	if !m.confirmed {
		return
	}
	all := make([]string, 0, len(m.alive))
	local := map[string][]string{}
	for name := range m.alive {
		if m.states[name] == leaving {
			continue
		}
		all = append(all, name)
		d := m.domains[name]
		local[d] = append(local[d], name)
	}
	for _, g := range m.order {
		names := local[g.domain]
		if len(names) == 0 {
			names = all
		}
		holder := owner.First(g.name, names)
		switch mine := holder == m.name; {
		case mine && !g.owned:
			m.adopt(at, g)
		case !mine && g.owned:
			m.disown(g)
		}
		// After disown, which forgets the holder: this daemon's own requests go
		// to the next owner.
		g.holder = holder
	}
}

// adopt starts the account of a cell from nothing but coming reports.
func (m *Machine) adopt(at time.Duration, g *group) {
	g.owned, g.since, g.settled = true, at, false
	g.taken = uint64(m.now.UnixNano())
	g.grants = map[string]*grant{}
	g.index = prefix.New(m.prefixes)
	g.hot = map[hotKey]int{}
	g.pace, g.ranks = pace{}, ranks{at: at}
	for _, u := range g.units {
		u.reset()
	}
	m.schedule(at + recancel)
}

// disown drops the account of a cell.
func (m *Machine) disown(g *group) {
	if !g.owned {
		return
	}
	for _, u := range g.units {
		for len(u.live) > 0 {
			m.drop(u.live[len(u.live)-1])
		}
		m.orphans -= len(u.orphans)
		u.reset()
	}
	g.owned, g.holder = false, ""
	g.grants, g.index, g.hot = nil, nil, nil
}

// schedule asks for a Tick at the given time or earlier.
func (m *Machine) schedule(at time.Duration) {
	if m.sweep == 0 || at < m.sweep {
		m.sweep = at
	}
}

// check ends the takeover once each engine of the cell that can report has done
// so since then.
func (g *group) check(at time.Duration) {
	if g.settled {
		return
	}
	g.settled = at-g.since >= settle || !slices.ContainsFunc(g.units, func(u *unit) bool {
		return !u.leaving && !u.lost && (!u.reported || u.asof < g.since)
	})
}
