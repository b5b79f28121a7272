package ledger

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/share"
)

// Parameters of the ledger.
const (
	// fillShare is the share of the decode memory that is in use on average at full
	// load, for predictions.
	fillShare = 0.95
	// grantShare is the share of an engine's memory that may be granted, and
	// outputDeviations the number of standard deviations by which the outputs may then
	// exceed their expectation. A fixed margin would be too small where few long
	// responses of different length share an engine, and too large elsewhere.
	grantShare       = 0.99
	outputDeviations = 1.2
	// initialSpread is the standard deviation of outputs, as a share of the
	// expectation, that is assumed until runs have ended. spreadWeight is the weight of
	// one run in the moving average.
	initialSpread = 0.25
	spreadWeight  = 0.02
	// grantGrace is how long a lease may be missing in the reports of its edge daemon
	// before it counts as ended.
	grantGrace = 300 * time.Millisecond
	// reportTTL is the lifetime of a report and of a queued request that isn't sent
	// again. Daemons report at least once a second.
	reportTTL = 2500 * time.Millisecond
	// expireInterval is the time between searches for expired state, short compared
	// with the lifetimes.
	expireInterval = 20 * time.Millisecond
	// placeInterval is the time after which queued requests are tried again although
	// nothing has ended: the estimated use of memory also falls as outputs progress.
	placeInterval = 60 * time.Millisecond
	// initialDecodeRate is the output of one run in tokens a second that is assumed
	// until reports have shown it. decodeRateWeight is the weight of one report in the
	// moving average.
	initialDecodeRate = 500
	decodeRateWeight  = 0.02
	// decodeRateSpan is the shortest time between two reports that is used to measure
	// the rate.
	decodeRateSpan = 150 * time.Millisecond
	// fullCooldown is how long an engine that refused a granted request gets no new
	// ones.
	fullCooldown = 300 * time.Millisecond
	// replyTTL is how long a final reply is kept, to repeat it when the request is sent
	// again.
	replyTTL = 2 * time.Second
	// refusedTTL is how long a refused fingerprint is remembered, so that its retry is
	// queued ahead of other late requests.
	refusedTTL = 20 * time.Second
	// initialHoldTime is the time for which a run holds its memory that is assumed
	// until runs have ended.
	initialHoldTime = 4 * time.Second
	// holdTimeWeight is the weight of one run in the moving average of that time.
	holdTimeWeight = 0.05
	// minRetryAfter and maxRetryAfter bound the delay after which a refused client
	// should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// demandWindow is the time constant of the average demand.
	demandWindow = 1500 * time.Millisecond
	// retrySpread is the last part of the longest Retry-After delay over which retries
	// are spread when there is no spare capacity.
	retrySpread = 0.4
	// minSpareShare is the share of the throughput that must be spare to schedule
	// retries by it.
	minSpareShare = 0.1
	// crossDomainPrefill is the number of queued tokens that choosing a prefill engine
	// outside the decode engine's failure domain must save. A transfer between domains
	// takes twice as long and costs money.
	crossDomainPrefill = 6000
	// crossDomainDecode is the same for decode engines outside the edge daemon's
	// failure domain, as a share of their capacity.
	crossDomainDecode = 0.03
)

// runKey identifies a run: its edge daemon, that daemon's incarnation and the lease
// ID.
type runKey struct {
	edge        netip.AddrPort
	incarnation int64
	lease       uint64
}

// queuedRequest is a lease request that waits for capacity.
type queuedRequest struct {
	Request
	edge netip.AddrPort
	// retried is set for a retry after a refusal.
	retried bool
	// kept is the engine that is kept for the request, keptAt when it was chosen.
	kept   string
	keptAt time.Time
	// class, tag and place are its place in the order: see sortQueue and interleave.
	class, place int
	tag          float64
	// seenAt is when the request was last received. The response misses its latency
	// target after lateAt, and the request is refused at refuseAt.
	queuedAt, seenAt, lateAt, refuseAt time.Time
}

func (q *queuedRequest) key() runKey { return runKey{q.edge, q.Incarnation, q.ID} }

// reporter is the last report of an edge daemon without its runs.
type reporter struct {
	incarnation int64
	sequence    uint64
	at          time.Time
	unhealthy   []string
	prefillRate float64
	// prefills is the number of the last prefill that is known of it.
	prefills uint64
}

// sentReply is a final reply that is kept for requests that are sent again.
type sentReply struct {
	Reply
	at time.Time
}

// Ledger is the owner's account of one service's engines. It is not safe for
// concurrent use.
type Ledger struct {
	service   string
	engines   map[string]Engine
	runs      runs
	reporters map[netip.AddrPort]*reporter
	queue     []*queuedRequest
	fullAt    map[string]time.Time
	replies   map[runKey]sentReply
	refusedAt map[uint64]time.Time
	holdTime  time.Duration
	// lastRetryAt and lastResumeAt are when the last refused requests should come back,
	// new ones and resumed ones.
	lastRetryAt, lastResumeAt time.Time
	// retryPhase is a golden-ratio sequence in 0 to 1, whose successive values are far
	// apart. It spreads retries.
	retryPhase float64
	// demandSum is the exponentially decaying sum of the requested memory as of
	// demandAt, the time of the last request.
	demandSum float64
	demandAt  time.Time
	// untracked is the memory and slots held by runs that no report lists.
	untracked map[string]Untracked
	polledAt  map[string]time.Time
	endedRuns []endedRun
	// switching maps engines that change their stage to the expected end of the change,
	// orderedAt engines to the time of their last order.
	switching, orderedAt map[string]time.Time
	// overrides are stages that engines were ordered to take, or reported, and that the
	// store doesn't show yet.
	overrides map[string]stageOverride
	// busy are engines that report that they carry out an order.
	busy map[string]bool
	// stableSince is when an engine was last added, removed, restarted or reported as
	// unhealthy.
	stableSince time.Time
	// noDecodeSince is when the last decode engine went away, zero while there is one.
	noDecodeSince time.Time
	// prefillWaitSince is the start of the period in which requests wait for prefill
	// engines, prefillWaitAt when one last did.
	prefillWaitSince, prefillWaitAt time.Time
	// endedCount is the number of ended runs. meanPrompt and meanNeed are moving
	// averages of the prompt and the memory of requests in tokens. lastPrefillRate is
	// the last known rate of one prefill engine in tokens a second.
	endedCount                            int
	meanPrompt, meanNeed, lastPrefillRate float64
	// prefills are the newest prefills of all daemons.
	prefills pooledRate
	// activeSince is the time of the first request after the last idle period.
	activeSince time.Time
	// outputVariance is the mean square deviation of outputs from their expectation, as
	// a share of it.
	outputVariance float64
	// decodeRate is the output of one run in tokens a second.
	decodeRate float64
	// selfPrefillAt is when decode engines last got a prompt to prefill themselves.
	selfPrefillAt map[string]time.Time
	// dirty is set when capacity may have become free for queued requests.
	dirty    bool
	placedAt time.Time
	misfits  misfits
	// groupIDs are the engine IDs by stage and version, sorted; nil when they have to be
	// collected again.
	groupIDs map[group][]string
	// reserved are the engines that are kept for waiting resumed requests, allReserved the
	// versions of which no other engine is left.
	reserved, allReserved map[string]bool
	// expiredAt is when expired state was last removed.
	expiredAt time.Time
	// shares are the tokens that tenants were granted, nil until a request has a tenant.
	shares *share.Accounts
	// sort sorts the queue. Tests replace it by the order without tenants.
	sort func(now time.Time)
}

// New returns a ledger without engines.
func New(service string) *Ledger {
	l := &Ledger{service: service, engines: map[string]Engine{}, runs: newRuns(), selfPrefillAt: map[string]time.Time{},
		reporters: map[netip.AddrPort]*reporter{}, fullAt: map[string]time.Time{}, untracked: map[string]Untracked{}, polledAt: map[string]time.Time{},
		switching: map[string]time.Time{}, orderedAt: map[string]time.Time{}, overrides: map[string]stageOverride{}, busy: map[string]bool{}, reserved: map[string]bool{}, allReserved: map[string]bool{},
		replies: map[runKey]sentReply{}, refusedAt: map[uint64]time.Time{}, holdTime: initialHoldTime, decodeRate: initialDecodeRate, outputVariance: initialSpread * initialSpread}
	l.sort = l.sortQueue
	return l
}

// SetEngines replaces the engines that may get new runs. Stages that engines have
// accepted take precedence over those given here.
func (l *Ledger) SetEngines(now time.Time, engines []Engine) {
	engines = l.applyOverrides(now, engines)
	if l.processesChanged(engines) || len(l.unhealthy()) > 0 {
		l.stableSince = now
	}
	if l.unchanged(engines) {
		return
	}
	clear(l.engines)
	for _, e := range engines {
		l.engines[e.ID] = e
	}
	for id := range l.selfPrefillAt {
		if _, ok := l.engines[id]; !ok {
			delete(l.selfPrefillAt, id)
		}
	}
	l.enginesChanged()
}

// processesChanged returns whether an engine was added, removed or restarted.
func (l *Ledger) processesChanged(engines []Engine) bool {
	for _, e := range engines {
		if was, ok := l.engines[e.ID]; !ok || !was.StartedAt.Equal(e.StartedAt) {
			return true
		}
	}
	return len(engines) != len(l.engines)
}

func (l *Ledger) unchanged(engines []Engine) bool {
	for _, e := range engines {
		if l.engines[e.ID] != e {
			return false
		}
	}
	return len(engines) == len(l.engines)
}

// ApplyReport updates the runs of an edge daemon from its report. Outdated reports
// are ignored.
func (l *Ledger) ApplyReport(now time.Time, edge netip.AddrPort, r Report) {
	s := l.reporters[edge]
	if s != nil && (r.Incarnation < s.incarnation || r.Incarnation == s.incarnation && r.Sequence <= s.sequence) {
		return
	}
	if s == nil || r.Incarnation != s.incarnation {
		l.dropReporter(edge)
		s = &reporter{incarnation: r.Incarnation}
		l.reporters[edge] = s
	}
	s.sequence, s.at, s.unhealthy, s.prefillRate = r.Sequence, now, r.Unhealthy, r.PrefillRate
	s.prefills = l.prefills.addAll(now, r.Prefills, s.prefills)
	for _, id := range r.Full {
		l.fullAt[id] = now
	}
	listed := make(map[uint64]bool, len(r.Runs))
	for _, run := range r.Runs {
		listed[run.Lease] = true
		k := runKey{edge, r.Incarnation, run.Lease}
		e := l.runs.all[k]
		if e == nil {
			e = &trackedRun{grantedAt: now}
		}
		l.learnDecodeRate(now, e, run)
		l.runs.put(k, e, run)
		if run.Phase == Prefilling && !now.Before(e.prefillBy) {
			e.prefillBy = l.prefillDoneAt(now, l.reportedPrefillQueue(run.Prefill)) // the prefill takes longer than estimated
		}
		e.listed, e.reportedAt = true, now
	}
	for _, id := range r.Ended {
		if !listed[id] {
			l.endRun(now, runKey{edge, r.Incarnation, id})
		}
	}
	for k, e := range l.runs.byEdge[edge] {
		if !listed[k.lease] && (e.listed || now.Sub(e.grantedAt) > grantGrace) {
			l.endRun(now, k)
		}
	}
}

// learnDecodeRate updates the decode rate from two reports of a run.
func (l *Ledger) learnDecodeRate(now time.Time, e *trackedRun, run Run) {
	elapsed := now.Sub(e.reportedAt)
	if !e.listed || e.Generated == 0 || elapsed < decodeRateSpan {
		return
	}
	l.decodeRate += (float64(run.Generated-e.Generated)/elapsed.Seconds() - l.decodeRate) * decodeRateWeight
}

// endRun removes a run and learns from its output and duration.
func (l *Ledger) endRun(now time.Time, k runKey) {
	e := l.runs.all[k]
	if e == nil {
		return
	}
	if e.Generated > 0 {
		l.endedCount++
		if e.Expected > 0 {
			// Capped, so that one outlier doesn't block all engines.
			deviation := min(float64(e.Generated-e.Expected)/float64(e.Expected), 1)
			l.outputVariance += (deviation*deviation - l.outputVariance) * spreadWeight
		}
		l.holdTime += time.Duration(holdTimeWeight * float64(now.Sub(e.grantedAt)-l.holdTime))
	}
	l.endedRuns = append(l.endedRuns, endedRun{e.Decode, e.Prompt + e.Generated, now})
	l.runs.remove(k)
	l.capacityFreed()
}

// dropReporter removes all state of an earlier incarnation of an edge daemon.
func (l *Ledger) dropReporter(edge netip.AddrPort) {
	l.queue = slices.DeleteFunc(l.queue, func(q *queuedRequest) bool { return q.edge == edge })
	for k, e := range l.runs.byEdge[edge] {
		if e.listed {
			l.runs.remove(k)
		}
	}
	delete(l.reporters, edge)
	l.capacityFreed()
}

// expireReporter drops the runs of an edge daemon whose reports stopped. The daemon
// may only be cut off while engines go on with its runs, so that their memory counts
// as untracked until the engines report. Its queued requests stay: a daemon without
// runs sends no reports.
func (l *Ledger) expireReporter(now time.Time, edge netip.AddrPort) {
	for k, e := range l.runs.byEdge[edge] {
		if !e.listed {
			continue
		}
		if e.Phase == Decoding {
			run := e.estimate(now, l.decodeRate)
			l.addUntracked(now, e.Decode, run.growth().held)
		}
		l.runs.remove(k)
	}
	delete(l.reporters, edge)
	l.capacityFreed()
}

// expire removes reports, unreported runs, queued requests and replies whose
// lifetime has passed.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expireInterval {
		return
	}
	l.expiredAt = now
	for edge, s := range l.reporters {
		if now.Sub(s.at) > reportTTL {
			l.expireReporter(now, edge)
		}
	}
	for k, e := range l.runs.all {
		if !e.listed && now.Sub(e.grantedAt) > reportTTL {
			l.runs.remove(k)
		}
	}
	l.queue = slices.DeleteFunc(l.queue, func(q *queuedRequest) bool { return now.Sub(q.seenAt) > reportTTL })
	l.endedRuns = slices.DeleteFunc(l.endedRuns, func(p endedRun) bool { return now.Sub(p.at) > maxUsageLag })
	maps.DeleteFunc(l.replies, func(_ runKey, a sentReply) bool { return now.Sub(a.at) > replyTTL })
	maps.DeleteFunc(l.refusedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > refusedTTL })
}
