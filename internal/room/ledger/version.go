package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// maxReserved bounds the engines that are kept for resumed requests, and keepInterval
	// is how long one is kept before another may have less load. Both bound the cost of
	// the searches.
	maxReserved  = 32
	keepInterval = 200 * time.Millisecond
	// crashDelay is how long a stream waits for the crashed decode engines of its version
	// before a prefill engine is switched, which takes about as long.
	crashDelay = time.Second
)

// group is a stage and a version of engines. The empty version stands for all.
type group struct {
	stage   pool.Stage
	version string
}

// idsByStage returns the IDs of a stage's engines in sorted order. The caller must
// not modify the slice.
func (l *Ledger) idsByStage(stage pool.Stage) []string { return l.groups()[group{stage: stage}] }

// engineIDs returns the IDs of a stage's engines that may serve a request in sorted
// order. The version of prefill engines doesn't matter. The caller must not modify the
// slice.
func (l *Ledger) engineIDs(stage pool.Stage, req *Request) []string {
	if stage == pool.Prefill {
		return l.idsByStage(stage)
	}
	return l.groups()[group{stage, req.Version}]
}

func (l *Ledger) groups() map[group][]string {
	if l.groupIDs == nil {
		l.groupIDs = map[group][]string{}
		add := func(g group, id string) { l.groupIDs[g] = append(l.groupIDs[g], id) }
		for _, e := range l.engines {
			add(group{stage: e.Stage}, e.ID)
			if e.Version != "" {
				add(group{e.Stage, e.Version}, e.ID)
			}
		}
		for _, list := range l.groupIDs {
			slices.Sort(list)
		}
	}
	return l.groupIDs
}

// throughput returns the memory in tokens that can be granted per second. It is
// limited by what decode engines free at full load and by what prefill engines can
// fill.
func (l *Ledger) throughput() float64 {
	total, prefillers := 0, 0.0
	for _, e := range l.engines {
		switch e.Stage {
		case pool.Prefill:
			prefillers++
		default:
			total += e.Tokens
			prefillers += selfPrefillShare
		}
	}
	rate := fillShare * float64(total) / l.holdTime.Seconds()
	if prefillRate := l.prefillRate(); prefillRate > 0 && prefillers > 0 && l.meanPrompt > 0 {
		rate = min(rate, prefillers*prefillRate*l.meanNeed/l.meanPrompt)
	}
	return rate
}

// rates are the memory in tokens that can be granted per second, in all and by version.
type rates struct {
	total     float64
	byVersion map[string]float64
}

// rates divides the throughput among the versions by the memory of their decode engines.
func (l *Ledger) rates() rates {
	out, all := rates{l.throughput(), map[string]float64{}}, 0.0
	for _, e := range l.engines {
		if e.Stage != pool.Prefill {
			out.byVersion[e.Version] += float64(e.Tokens)
			all += float64(e.Tokens)
		}
	}
	for v := range out.byVersion {
		out.byVersion[v] *= out.total / max(all, 1)
	}
	return out
}

// of returns the rate of a version, in all for the empty one.
func (r rates) of(version string) float64 {
	if version == "" {
		return r.total
	}
	return r.byVersion[version]
}

// backlog is the memory in tokens that queued requests need: those that any engine may
// serve, and those for one version.
type backlog struct {
	shared    float64
	byVersion map[string]float64
}

func newBacklog() *backlog { return &backlog{byVersion: map[string]float64{}} }

func (b *backlog) add(req *Request) {
	need := float64(req.Prompt + req.Expected)
	if req.Version == "" {
		b.shared += need
		return
	}
	b.byVersion[req.Version] += need
}

// wait returns the time after which a request is served behind the backlog. The rate of
// the engines that may serve it must be above zero.
func (b *backlog) wait(r rates, req *Request) time.Duration {
	seconds := func(need, rate float64) time.Duration {
		return time.Duration(min(need/rate, maxDuration.Seconds()) * float64(time.Second))
	}
	need := float64(req.Prompt + req.Expected)
	if req.Version != "" {
		rate := r.byVersion[req.Version]
		return seconds(need+b.byVersion[req.Version]+b.shared*rate/r.total, rate)
	}
	need += b.shared
	if len(b.byVersion) == 0 {
		return seconds(need, r.total)
	}
	// Engines of each version serve any request once they have served those for their
	// version, so that versions are added in the order in which they get there.
	type version struct{ need, rate float64 }
	var versions []version
	for v, rate := range r.byVersion {
		if rate > 0 {
			versions = append(versions, version{b.byVersion[v], rate})
		}
	}
	slices.SortFunc(versions, func(a, b version) int { return cmp.Compare(a.need*b.rate, b.need*a.rate) })
	rate := 0.0
	for i, v := range versions {
		need, rate = need+v.need, rate+v.rate
		if i+1 == len(versions) || need/rate <= versions[i+1].need/versions[i+1].rate {
			break
		}
	}
	return seconds(need, rate)
}

// reserve keeps an engine for a resumed request that finds no room: the one of its
// version with the least load that is not kept yet. Otherwise new requests, which fit
// sooner as their prompts are shorter or which may use engines of all versions, would
// take each piece of memory that becomes free there.
func (l *Ledger) reserve(now time.Time, q *queuedRequest) {
	kept := l.engines[q.kept]
	switch {
	case len(l.reserved) >= maxReserved || l.allReserved[q.Version]:
		return
	case kept.ID == "" || q.Version != "" && kept.Version != q.Version || l.reserved[q.kept] || now.Sub(q.keptAt) > keepInterval:
		q.kept, q.keptAt = l.leastUnreserved(now, &q.Request), now
	}
	switch {
	case q.kept != "":
		l.reserved[q.kept] = true
	case len(q.Excluded)+len(q.Held) == 0:
		l.allReserved[q.Version] = true
	}
}

// leastUnreserved returns the engine for a request with the least load that is not
// reserved, an empty ID if there is none.
func (l *Ledger) leastUnreserved(now time.Time, req *Request) string {
	best, low := "", math.Inf(1)
	for _, id := range l.candidates(now, req, pool.Decode, false) {
		if l.reserved[id] || req.Prompt > l.engines[id].Tokens {
			continue
		}
		if cost, _ := l.decodeCost(now, req, l.engines[id]); cost < low {
			best, low = id, cost
		}
	}
	return best
}

// keepVersions returns which engines may switch to a stage: the last decode engine of a
// version stays one, as streams that began there can go on nowhere else, and prefill
// engines of a version without a decode engine are switched first.
func (l *Ledger) keepVersions(ids []string, stage pool.Stage) []string {
	decoders := func(id string) int { return len(l.groups()[group{pool.Decode, l.engines[id].Version}]) }
	if stage == pool.Prefill {
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return decoders(id) == 1 })
	}
	lacking := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return decoders(id) > 0 })
	if len(lacking) > 0 {
		return lacking
	}
	return slices.Clone(ids)
}

// missedDecode returns the prefill engines that may be switched for a waiting stream whose
// version has no decode engine, or none but crashed ones for longer than most restarts
// take. The last prefill engine of the service stays one.
func (l *Ledger) missedDecode(now time.Time, prefill []string) []string {
	if len(prefill) < 2 {
		return nil
	}
	unhealthy := l.unhealthy()
	for _, q := range l.queue {
		if !q.Resumed || q.Version == "" || l.mayDecode(now, q, unhealthy) {
			continue
		}
		ids := slices.DeleteFunc(slices.Clone(l.groups()[group{pool.Prefill, q.Version}]), func(id string) bool {
			return unhealthy[id] || l.prefillQueue(now, id) > 0 || now.Sub(l.orderedAt[id]) < orderCooldown
		})
		if len(ids) > 0 {
			return ids
		}
	}
	return nil
}

// mayDecode reports whether a decode engine of a queued stream's version is sound, or may
// be again soon.
func (l *Ledger) mayDecode(now time.Time, q *queuedRequest, unhealthy map[string]bool) bool {
	ids := l.groups()[group{pool.Decode, q.Version}]
	crashed := !slices.ContainsFunc(ids, func(id string) bool { return !unhealthy[id] })
	return !crashed || len(ids) > 0 && now.Sub(q.queuedAt) < crashDelay
}
