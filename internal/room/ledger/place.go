package ledger

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// unhealthy returns the engines that at least one edge daemon reports as unhealthy.
func (l *Ledger) unhealthy() map[string]bool {
	out := map[string]bool{}
	for _, s := range l.reporters {
		for _, id := range s.unhealthy {
			out[id] = true
		}
	}
	return out
}

// Limits of the search for an engine. Large fleets are sampled.
const (
	// fullSearchLimit is the number of engines up to which all are compared for a
	// request.
	fullSearchLimit = 64
	// sampleSize is the number of engines compared in a larger fleet. The best of a
	// sample of this size is nearly as good as the best of all.
	sampleSize = 32
	// sampleStride spreads the starting points of the samples of successive requests.
	sampleStride = 7919
)

// placement is the result of a search for engines: success or the stage that lacks
// capacity.
type placement int

const (
	placed placement = iota
	noDecodeRoom
	noPrefillRoom
	// noPrefillEngine is the lack of a prefill engine that is not known to fail.
	noPrefillEngine
)

// misfit remembers the smallest request that found no capacity since memory was last
// freed. Requests that need at least as much are not tried again until memory is
// freed or placeInterval has passed.
type misfit struct {
	noDecode, noPrefill bool
	prompt, expected    int
}

func (m misfit) record(req *Request, v placement) misfit {
	switch {
	case v == noPrefillRoom:
		m.noPrefill = true
	case !m.noDecode || req.Prompt <= m.prompt && req.Expected <= m.expected:
		m.noDecode, m.prompt, m.expected = true, req.Prompt, req.Expected
	}
	return m
}

func (m misfit) excludes(req *Request) bool {
	return m.noDecode && req.Prompt >= m.prompt && req.Expected >= m.expected || m.noPrefill && !req.Prefilled
}

// misfits are the misfits of resumed requests and of others, for which less is free, by
// the version that they ask for.
type misfits struct {
	since time.Time
	by    map[misfitKey]misfit
}

type misfitKey struct {
	resumed bool
	version string
}

// record remembers a request without capacity. One that may not use some engines says
// nothing about others, nor does one that waits for a prefill engine to come back.
func (m *misfits) record(req *Request, v placement) {
	if len(req.Excluded)+len(req.Held) > 0 || v == noPrefillEngine {
		return
	}
	if m.by == nil {
		m.by = map[misfitKey]misfit{}
	}
	k := misfitKey{req.Resumed, req.Version}
	m.by[k] = m.by[k].record(req, v)
}

// excludes reports whether a request needs no further try: what finds no capacity at
// engines of all versions finds none at those of one, and what finds none as a resumed
// request finds none as another.
func (m *misfits) excludes(req *Request) bool {
	misses := func(resumed bool) bool {
		return m.by[misfitKey{resumed, ""}].excludes(req) || req.Version != "" && m.by[misfitKey{resumed, req.Version}].excludes(req)
	}
	return misses(true) || !req.Resumed && misses(false)
}

// capacityFreed records that capacity may have become free, so that the queue is
// tried again.
func (l *Ledger) capacityFreed() { l.dirty, l.misfits = true, misfits{} }

// enginesChanged drops what depends on the list of engines and their stages.
func (l *Ledger) enginesChanged() {
	l.capacityFreed()
	l.groupIDs = nil
}

// candidates returns the engines of a stage that a request may use, in order of
// their IDs: decode engines of its version only. Unhealthy engines are left out unless no
// other is usable; streams that go on wait until one was seen sound instead. In a large
// fleet only a sample is returned, unless all is set. Its starting point depends on
// the request.
func (l *Ledger) candidates(now time.Time, req *Request, stage pool.Stage, all bool) []string {
	unhealthy := l.unhealthy()
	ids := l.engineIDs(stage, req)
	want := len(ids)
	if want > fullSearchLimit && !all {
		want = sampleSize
	}
	var healthy, fallback []string
	for i := 0; i < len(ids) && len(healthy) < want; i++ {
		index := i
		if want < len(ids) {
			index = int((req.ID*sampleStride + uint64(i)) % uint64(len(ids)))
		}
		id := ids[index]
		switch {
		case l.isSwitching(now, id) || slices.Contains(req.Held, id):
		case slices.Contains(req.Excluded, id) || req.Resumed && unhealthy[id]:
			if req.Resumed && req.seenSound(id) {
				fallback = append(fallback, id)
			}
		case unhealthy[id]:
			fallback = append(fallback, id)
		default:
			healthy = append(healthy, id)
		}
	}
	if len(healthy) == 0 {
		healthy = fallback
		if stage == pool.Prefill {
			healthy = l.leastDoubted(fallback)
		}
	}
	if len(healthy) == 0 && stage == pool.Prefill && len(req.Excluded) > 0 && !req.Resumed {
		// Using an excluded prefill engine is better than a prefill on a decode
		// engine, which stalls the other runs there.
		return l.candidates(now, &Request{ID: req.ID, Held: req.Held}, stage, all)
	}
	return healthy
}

// place chooses the decode engine with the most room and the prefill engine with the
// shortest queue. prefill is empty when the request needs none, when there is none,
// or when all have long queues and the decode engine prefills the prompt itself.
func (l *Ledger) place(now time.Time, req *Request) (decode, prefill string, v placement) {
	best, ok := l.bestDecode(now, req, l.candidates(now, req, pool.Decode, false))
	if !ok && len(l.engineIDs(pool.Decode, req)) > fullSearchLimit {
		best, ok = l.bestDecode(now, req, l.candidates(now, req, pool.Decode, true))
	}
	if !ok {
		return "", "", noDecodeRoom
	}
	if req.Prefilled {
		return best.ID, "", placed
	}
	if req.Alone {
		if best, ok := l.bestDecode(now, req, l.selfPrefillers(now, req)); ok {
			return best.ID, "", placed
		}
		return "", "", noPrefillEngine
	}
	if l.lacksPrefill(now, req) {
		if best, ok := l.bestDecode(now, req, l.selfPrefillers(now, req)); ok {
			return best.ID, "", placed
		}
		if req.Resumed {
			return "", "", noPrefillEngine
		}
	}
	limit := math.Inf(1)
	if rate := l.prefillRate(); rate > 0 {
		limit = rate * maxPrefillWait.Seconds()
	}
	prefiller, queue := l.bestPrefill(now, req, best, false)
	if float64(queue) > limit && len(l.idsByStage(pool.Prefill)) > fullSearchLimit {
		prefiller, queue = l.bestPrefill(now, req, best, true)
	}
	if float64(queue) > limit {
		l.notePrefillWait(now)
		if best, ok := l.bestDecode(now, req, l.selfPrefillers(now, req)); ok {
			return best.ID, "", placed
		}
		return "", "", noPrefillRoom
	}
	return best.ID, prefiller, placed
}

// bestDecode returns the engine with the lowest peak load after adding a request,
// false if none has room. Engines that are reserved take resumed requests only. Engines outside the failure domain of the edge daemon are
// charged crossDomainDecode.
func (l *Ledger) bestDecode(now time.Time, req *Request, ids []string) (best Engine, ok bool) {
	low := 0.0
	for _, id := range ids {
		if l.reserved[id] && !req.Resumed {
			continue
		}
		if cost, fits := l.decodeCost(now, req, l.engines[id]); fits && (!ok || cost < low) {
			best, low, ok = l.engines[id], cost, true
		}
	}
	return best, ok
}

// decodeCost returns the peak load of an engine after adding a request, and whether the
// engine has room for it.
func (l *Ledger) decodeCost(now time.Time, req *Request, e Engine) (cost float64, fits bool) {
	if now.Sub(l.fullAt[e.ID]) < fullCooldown {
		return math.Inf(1), false
	}
	need, slots := peakNeed(l.projectedRuns(now, e.ID), req, l.outputDeviation())
	tokens, taken := l.untrackedUse(now, e.ID)
	need, slots = need+tokens, slots+taken
	cost = max(float64(need)/float64(e.Tokens), float64(slots)/float64(e.Slots))
	if e.Domain != req.Domain {
		cost += crossDomainDecode
	}
	// A request larger than the share of memory that may be granted runs on an
	// otherwise empty engine.
	return cost, slots <= e.Slots && req.Prompt <= e.Tokens && (slots == 1 || float64(need) <= grantShare*float64(e.Tokens))
}

// projectedRuns returns the estimated memory of the runs of a decode engine.
func (l *Ledger) projectedRuns(now time.Time, engine string) []growth {
	list := l.runs.byDecode[engine]
	out := make([]growth, 0, len(list)+1)
	for _, e := range list {
		r := e.estimate(now, l.decodeRate)
		out = append(out, r.growth())
	}
	return out
}

// peakNeed returns the peak memory in tokens, with a margin for longer outputs, and
// the number of slots of an engine's runs with a request added.
func peakNeed(runs []growth, req *Request, spread float64) (tokens, slots int) {
	added := Run{Prompt: req.Prompt, Expected: req.Expected}
	list := append(runs, added.growth())
	return peak(list) + int(outputDeviations*deviation(list, spread)), len(list)
}

// bestPrefill returns the prefill engine with the shortest queue and the length of
// that queue in tokens. Engines outside the failure domain of the decode engine are
// charged crossDomainPrefill; among equals, one of the decode engine's version is
// chosen. In a large fleet only a sample is compared, unless all
// is set.
func (l *Ledger) bestPrefill(now time.Time, req *Request, decode Engine, all bool) (id string, queue int) {
	best, low := "", 0
	for _, id := range l.candidates(now, req, pool.Prefill, all) {
		e, queued := l.engines[id], l.prefillQueue(now, id)
		cost := queued
		if e.Domain != decode.Domain {
			cost += crossDomainPrefill
		}
		if best == "" || cost < low || cost == low && e.Version == decode.Version && l.engines[best].Version != decode.Version {
			best, low, queue = e.ID, cost, queued
		}
	}
	return best, queue
}

// predictWait estimates how long a request will wait behind the given number of
// queued requests, of which those count that compete for engines of its version. It
// returns a reason when the request can't be served at all.
func (l *Ledger) predictWait(now time.Time, q *queuedRequest, ahead int) (time.Duration, string) {
	engines := l.candidates(now, &q.Request, pool.Decode, false)
	waits := len(engines) == 0 && l.mayReturn(&q.Request)
	if waits {
		engines = slices.Concat(l.engineIDs(pool.Decode, &q.Request), l.groups()[group{pool.Prefill, q.Version}])
	}
	if len(engines) == 0 {
		return maxRetryAfter, ReasonNoEngine
	}
	large := 0
	for _, id := range engines {
		large = max(large, l.engines[id].Tokens)
	}
	if q.Prompt > large {
		return maxRetryAfter, ReasonTooLarge
	}
	if waits {
		return 0, "" // not known, the caller's time decides
	}
	rates := l.rates()
	if rates.of(q.Version) <= 0 {
		return maxRetryAfter, ReasonNoEngine
	}
	earlier := newBacklog()
	for _, e := range l.queue[:min(ahead, len(l.queue))] {
		if e != q {
			earlier.add(&e.Request)
		}
	}
	return earlier.wait(rates, &q.Request), ""
}
