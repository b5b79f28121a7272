package cell

import (
	"math"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/engine"
)

// engineState is the account of one engine: its last load report, corrected by
// the leases that were granted and ended since the report was measured.
type engineState struct {
	name, domain, role, model string
	cell                      *cell
	// id is the engine's index in the cell and its number in the prefix index.
	id                   int
	checksFence, leaving bool

	// lost is true from a break of the report stream to the next report.
	lost, reported bool
	incarnation    uint64
	// reportedAt is when the last report arrived, measuredAt when the engine took
	// its statistics.
	reportedAt, measuredAt time.Duration
	// returnedAt is when the engine came back after a restart or a loss of its
	// reports, zero when it was never away.
	returnedAt time.Duration

	loadedModel string
	// fencingToken is that of the last order that the engine accepted. Requests
	// carry it, and not a token of their own owner, so that two owners on both
	// sides of a partition don't lock each other out.
	fencingToken uint64
	// blocks is the size of the KV cache in KV blocks, reportedFree the number of
	// free ones in the last report. slots is zero when the number is not limited.
	blocks, reportedFree uint32
	slots, busy          uint32
	// prefillSpeed is in tokens per second, linkSpeed in bytes per second, tokenGap
	// the time between two output tokens.
	prefillSpeed, linkSpeed float64
	tokenGap                time.Duration
	// reportNumber counts the reports.
	reportNumber uint64
	// leases are those that decode on this engine, leasedBlocks the sum of their KV
	// blocks, the pending values those of leases that the last report doesn't list.
	leases                     []*lease
	leasedBlocks               uint32
	pendingBlocks, pendingRuns uint32
	// The credit values are those of runs that have ended but that the last report
	// still lists. endedAt holds the times of the ends by request.
	creditBlocks, creditRuns uint32
	endedAt                  map[string]time.Duration
	orphans                  map[string]orphan

	prefillQueue prefillQueue
	transfers    backlog
}

// orphan is a run whose edge daemon is gone.
type orphan struct {
	// wait is the time between since and the first Cancel.
	wait              time.Duration
	since, lastCancel time.Duration
	cancelSent        bool
}

// reset drops all state but that from the document and the instance list.
func (eng *engineState) reset() {
	*eng = engineState{
		name: eng.name, domain: eng.domain, role: eng.role, model: eng.model,
		cell: eng.cell, id: eng.id, checksFence: eng.checksFence, leaving: eng.leaving,
	}
}

// usable reports whether the engine may get new work. One that doesn't check
// fencing tokens gets none until the leases of the previous owner have expired.
func (eng *engineState) usable(at time.Duration) bool {
	switch {
	case eng.leaving || eng.lost || !eng.reported:
		return false
	case at-eng.reportedAt > maxReportAge:
		return false
	case eng.model != "" && eng.loadedModel != "" && eng.model != eng.loadedModel:
		return false
	}
	return eng.checksFence || at-eng.cell.ownedSince >= leaseTerm
}

// grantable returns the number of KV blocks that may be leased now. It is less
// than the free ones during a takeover and during a slow start, which begins at an
// eighth of the memory.
func (eng *engineState) grantable(at time.Duration, slowStart time.Duration) uint32 {
	free := eng.freeBlocks()
	if !eng.cell.reconciled {
		// The reports received so far may lack leases of the previous owner.
		free = min(free, saturatingSub(eng.reportedFree/4, eng.pendingBlocks))
	}
	if eng.returnedAt > 0 && at-eng.returnedAt < slowStart {
		share := 0.125 + 0.875*float64(at-eng.returnedAt)/float64(slowStart)
		used := saturatingSub(eng.blocks, eng.freeBlocks())
		free = min(free, saturatingSub(uint32(share*float64(eng.blocks)), used))
	}
	return free
}

// freeBlocks returns the number of free KV blocks: those that the last report
// shows, less the leases that it doesn't list, plus the ends since. Independently
// of the report, all leases together must fit into the memory of the engine.
func (eng *engineState) freeBlocks() uint32 {
	if eng.cell.reportsOnly {
		return eng.reportedFree
	}
	free := saturatingSub(eng.reportedFree+eng.creditBlocks, eng.pendingBlocks)
	return min(free, saturatingSub(eng.blocks, eng.leasedBlocks))
}

// freeSlots returns the number of free decode slots, math.MaxUint32 when the
// engine reports no limit.
func (eng *engineState) freeSlots() uint32 {
	if eng.slots == 0 {
		return math.MaxUint32
	}
	if eng.cell.reportsOnly {
		return saturatingSub(eng.slots, eng.busy)
	}
	return saturatingSub(eng.slots+eng.creditRuns, eng.busy+eng.pendingRuns)
}

// decodes and prefills report what the engine's role allows.
func (eng *engineState) decodes() bool  { return eng.role != policy.RolePrefill }
func (eng *engineState) prefills() bool { return eng.role != policy.RoleDecode }

// applyReport copies the statistics of a load report.
func (eng *engineState) applyReport(at time.Duration, report *engine.Report) {
	eng.reportedAt, eng.measuredAt = at, at-report.GetLag().AsDuration()
	eng.blocks, eng.reportedFree = report.GetPieces(), report.GetFree()
	eng.slots, eng.busy = report.GetSlots(), report.GetBusy()
	eng.prefillSpeed, eng.linkSpeed = float64(report.GetSpeed()), float64(report.GetLink())
	eng.tokenGap = report.GetGap().AsDuration()
	eng.loadedModel, eng.fencingToken = report.GetModel(), report.GetFence()
	if report.GetRole() != "" {
		eng.role = report.GetRole()
	}
	eng.reported, eng.lost = true, false
}

// prefillTime returns the time to prefill a number of tokens, zero when the speed
// is not known.
func (eng *engineState) prefillTime(tokens uint32) time.Duration {
	if eng.prefillSpeed <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / eng.prefillSpeed * float64(time.Second))
}

// saturatingSub returns a-b, or zero when b is greater.
func saturatingSub(a, b uint32) uint32 {
	if b >= a {
		return 0
	}
	return a - b
}
