package cell

import "time"

// Counts holds totals since the start: lease requests Granted and Refused; leases
// Finished by a Done, Expired unused, and Ended when a load report no longer
// listed their run; runs of earlier owners that were Adopted; and Cancels sent
// for orphaned runs.
type Counts struct {
	Granted, Refused, Finished, Expired, Ended, Adopted, Cancels uint64
}

// Status holds the statistics for the operators' status page.
type Status struct {
	Counts Counts
	// Strikes is the number of fingerprints with a record in the strike table.
	Strikes int
	// Cells holds all cells in the order of their names.
	Cells []Summary
}

// Summary is the status of one cell. Settled is false during a takeover; Grants is the
// number of leases, Prefixes the size of the prefix index.
type Summary struct {
	Name, Service, Owner string
	// Fence is the fencing token of an owned cell, zero for others.
	Fence            uint64
	Owned, Settled   bool
	Grants, Prefixes int
	// Engines is empty for cells that other daemons own.
	Engines []EngineStatus
}

// EngineStatus describes the account of one engine. Pieces is its memory and Free
// the part that may be leased, in KV blocks; Held is the sum of its leases and
// Pending the part of them that the last load report doesn't list. Runs counts the
// leases, Queue is the work in its prefill queue, Age that of the last report.
type EngineStatus struct {
	Name, Role, State string
	Pieces, Free      uint32
	Held, Pending     uint32
	Runs              int
	Queue, Age        time.Duration
	Orphans           int
}

// Status returns the statistics of all cells, with engines for owned ones only.
func (m *Machine) Status() Status {
	at := m.now.Sub(m.epoch)
	s := Status{Counts: m.counts, Strikes: m.strikes.Len()}
	for _, c := range m.sortedCells {
		s.Cells = append(s.Cells, c.status(m, at))
	}
	return s
}

func (c *cell) status(m *Machine, at time.Duration) Summary {
	f := Summary{
		Name: c.name, Service: c.service, Owner: c.owner,
		Owned: c.owned, Settled: c.reconciled, Fence: m.fencingToken(c), Grants: len(c.leases),
	}
	if !c.owned {
		return f
	}
	f.Prefixes = c.prefixIndex.Len()
	for _, eng := range c.engines {
		f.Engines = append(f.Engines, EngineStatus{
			Name: eng.name, Role: eng.role, State: eng.state(at),
			Pieces: eng.blocks, Free: eng.grantable(at, m.slowStart),
			Held: eng.leasedBlocks, Pending: eng.pendingBlocks,
			Runs: len(eng.leases), Queue: eng.prefillQueue.total(at), Age: at - eng.measuredAt,
			Orphans: len(eng.orphans),
		})
	}
	return f
}

// state names the reason why an engine gets no leases, or "live".
func (eng *engineState) state(at time.Duration) string {
	switch {
	case eng.leaving:
		return stateLeaving
	case eng.lost:
		return "lost"
	case !eng.reported:
		return "unknown"
	case at-eng.reportedAt > maxReportAge:
		return "stale"
	case eng.model != "" && eng.loadedModel != "" && eng.model != eng.loadedModel:
		return "model"
	case !eng.usable(at):
		return "fenced"
	}
	return "live"
}
