package cell

import "time"

// Counts holds totals since the start.
type Counts struct {
	Granted, Refused, Finished, Expired, Ended, Adopted, Cancels uint64
}

// Status holds the figures of the operators' status page.
type Status struct {
	Counts Counts
	// Strikes is the number of records about suspect requests.
	Strikes int
	Cells   []Stats
}

// Stats describes one cell.
type Stats struct {
	Name, Service, Owner string
	// Fence is the fencing number of an owned cell.
	Fence            uint64
	Owned, Settled   bool
	Grants, Prefixes int
	Engines          []EngineStatus
}

// EngineStatus describes the account of one engine. Held is the sum of the live
// grants in pieces, Pending the part of them that no report shows yet.
type EngineStatus struct {
	Name, Role, State string
	Pieces, Free      uint32
	Held, Pending     uint32
	Runs              int
	Queue, Age        time.Duration
	Orphans           int
}

// Status returns the figures of all cells, with engines for owned ones only.
func (m *Machine) Status() Status {
	at := m.now.Sub(m.epoch)
	s := Status{Counts: m.count, Strikes: m.strikes.Len()}
	for _, g := range m.order {
		s.Cells = append(s.Cells, g.figures(m, at))
	}
	return s
}

func (g *group) figures(m *Machine, at time.Duration) Stats {
	f := Stats{
		Name: g.name, Service: g.service, Owner: g.holder,
		Owned: g.owned, Settled: g.settled, Fence: m.fence(g), Grants: len(g.grants),
	}
	if !g.owned {
		return f
	}
	f.Prefixes = g.index.Len()
	for _, u := range g.units {
		f.Engines = append(f.Engines, EngineStatus{
			Name: u.name, Role: u.role, State: u.state(at),
			Pieces: u.pieces, Free: u.room(at, m.ramp),
			Held: u.held, Pending: u.pending,
			Runs: len(u.live), Queue: u.line.sum(at), Age: at - u.asof,
			Orphans: len(u.orphans),
		})
	}
	return f
}

// state names why an engine gets no grants, or "live".
func (u *unit) state(at time.Duration) string {
	switch {
	case u.leaving:
		return leaving
	case u.lost:
		return "lost"
	case !u.reported:
		return "unknown"
	case at-u.heard > stale:
		return "stale"
	case u.model != "" && u.serving != "" && u.model != u.serving:
		return "model"
	case !u.usable(at):
		return "fenced"
	}
	return "live"
}
