package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of the balance between prefill and decode engines.
const (
	// prefillUtilization is the planned utilization of the prefill engines at the full
	// rate of the decode engines. In bursts, decode engines prefill prompts themselves.
	prefillUtilization = 0.9
	// minPrefill is the number of prefill engines that a service of smallService
	// engines or more keeps, so that it survives the loss of one.
	minPrefill   = 2
	smallService = 4
	// minEndedRuns is the number of ended runs after which the measured averages are
	// used.
	minEndedRuns = 8
	// noDecodeDelay is how long a service must lack decode engines before a prefill
	// engine is switched: entries of engines disappear for a short time around crashes
	// and outages.
	noDecodeDelay = 3 * time.Second
	// orderCooldown is the shortest time between two orders to an engine.
	orderCooldown = 30 * time.Second
	// maxSwitchShare is the share of a stage's engines that may switch at the same
	// time.
	maxSwitchShare = 0.25
	// stableDelay is how long no engine must have been added, removed, restarted or
	// reported as unhealthy before a prefill engine is switched to decode. During a
	// rolling replacement some of the present engines are about to leave.
	stableDelay = time.Second
	// shortageDelay is how long requests must have waited for prefill engines, with
	// gaps of at most shortageGap, before a decode engine is switched to prefill.
	shortageDelay = time.Second
	shortageGap   = 500 * time.Millisecond
	// switchTimeout is the time after an order at which an engine that reports nothing
	// is assumed to have switched. Its last runs ended long before.
	switchTimeout = 20 * time.Second
	// promptWeight is the weight of one request in the moving averages of prompt and
	// memory.
	promptWeight = 0.05
)

// StageChange names an engine and the stage that it should switch to.
type StageChange struct {
	Engine string
	Stage  pool.Stage
}

// Rebalance returns the engine that should switch its stage next, false if none
// should. switchTime is how long a switch takes.
//
// The rate of requests is bounded by the decode engines' memory and the time for
// which runs hold it. Prefill engines beyond those needed at that rate are more
// useful as decode engines. rank chooses among the eligible engines by a hash keyed
// with the daemon, so that two daemons that both consider themselves the owner
// choose different ones.
func (l *Ledger) Rebalance(now time.Time, switchTime time.Duration, rank func(ids []string) string) (StageChange, bool) {
	prefill, decode := l.idsByStage(pool.Prefill), l.idsByStage(pool.Decode)
	changing := 0
	for id, until := range l.switching {
		if now.After(until) {
			delete(l.switching, id)
			continue
		}
		changing++
	}
	if id := l.firstDecode(now, prefill, decode, rank); id != "" && changing == 0 {
		return l.switchStage(now, id, pool.Decode, switchTime), true
	}
	if ids := l.missedDecode(now, prefill); len(ids) > 0 && changing == 0 {
		return l.switchStage(now, rank(ids), pool.Decode, switchTime), true
	}
	want, ok := l.wantedPrefill(len(prefill) + len(decode))
	unhealthy := l.unhealthy()
	if !ok || changing > 0 && float64(changing+1) > maxSwitchShare*float64(len(prefill)) {
		return StageChange{}, false
	}
	var eligible []string
	stage := pool.Decode
	switch {
	case len(prefill) > want && len(unhealthy) == 0 && now.Sub(l.stableSince) > stableDelay:
		// An engine with queued prompts would refuse them after the switch.
		eligible = slices.DeleteFunc(l.keepVersions(prefill, stage), func(id string) bool { return l.prefillQueue(now, id) > 0 })
	case len(prefill) < want && l.prefillShort(now) && len(decode) > 1:
		stage = pool.Prefill
		eligible = l.leastLoaded(l.keepVersions(decode, stage))
	default:
		return StageChange{}, false
	}
	eligible = slices.DeleteFunc(eligible, func(id string) bool { return unhealthy[id] || now.Sub(l.orderedAt[id]) < orderCooldown })
	if len(eligible) == 0 {
		return StageChange{}, false
	}
	return l.switchStage(now, rank(eligible), stage, switchTime), true
}

// firstDecode returns the prefill engine to switch in a service that has had no
// decode engine for a while and therefore can't serve any request. It returns an
// empty ID if no switch is needed.
func (l *Ledger) firstDecode(now time.Time, prefill, decode []string, rank func(ids []string) string) string {
	if len(decode) > 0 || len(prefill) == 0 {
		l.noDecodeSince = time.Time{}
		return ""
	}
	if l.noDecodeSince.IsZero() {
		l.noDecodeSince = now
	}
	if now.Sub(l.noDecodeSince) < noDecodeDelay || now.Sub(l.demandAt) > idleAfter {
		return ""
	}
	return rank(prefill)
}

// switchStage records an order to an engine to switch its stage.
func (l *Ledger) switchStage(now time.Time, id string, stage pool.Stage, switchTime time.Duration) StageChange {
	l.orderedAt[id] = now
	l.switching[id] = now.Add(switchTime)
	e := l.engines[id]
	e.Stage = stage
	l.overrides[id], l.engines[id] = stageOverride{Engine: e}, e
	delete(l.polledAt, id)
	l.enginesChanged()
	return StageChange{Engine: id, Stage: stage}
}

// leastLoaded returns the engines with the fewest runs. An engine only switches once
// its runs have ended.
func (l *Ledger) leastLoaded(ids []string) []string {
	if len(ids) == 0 {
		return nil
	}
	runs := map[string]int{}
	for _, r := range l.runs.all {
		runs[r.Decode]++
	}
	least := runs[slices.MinFunc(ids, func(a, b string) int { return cmp.Compare(runs[a], runs[b]) })]
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return runs[id] > least })
}

// prefillShort returns whether requests have been waiting for prefill engines for a
// while. The estimates alone are too inexact to switch an engine back.
func (l *Ledger) prefillShort(now time.Time) bool {
	return now.Sub(l.prefillWaitAt) < shortageGap && now.Sub(l.prefillWaitSince) > shortageDelay
}

// notePrefillWait records that a request waits for a prefill engine.
func (l *Ledger) notePrefillWait(now time.Time) {
	if now.Sub(l.prefillWaitAt) > shortageGap {
		l.prefillWaitSince = now
	}
	l.prefillWaitAt = now
}

// stageOverride is a stage that takes precedence over the one that an engine has
// published.
type stageOverride struct {
	Engine
	// expires limits an override that was learned from the engine. It is zero for one
	// that this ledger ordered.
	expires time.Time
	// confirmed is set once the engine has reported the ordered stage.
	confirmed bool
}

// learnStage takes over the stage that an engine reports. Another owner may have
// ordered it, and published stages lag.
func (l *Ledger) learnStage(now time.Time, e Engine, stage pool.Stage) {
	if stage == pool.Plain || stage == e.Stage {
		return
	}
	if o, ok := l.overrides[e.ID]; ok && o.expires.IsZero() {
		return // the usage is older than the order
	}
	e.Stage = stage
	l.overrides[e.ID], l.engines[e.ID] = stageOverride{Engine: e, expires: now.Add(learnedStageTTL)}, e
	l.enginesChanged()
}

// RevertStage undoes a stage change that the engine did not accept.
func (l *Ledger) RevertStage(engine string) {
	delete(l.switching, engine)
	delete(l.overrides, engine)
}

// applyOverrides returns the engines with the stages that they have accepted, and
// drops overrides that are published, expired or outdated by a restart. Published
// stages lag, and aren't updated at all while the store is unavailable.
func (l *Ledger) applyOverrides(now time.Time, engines []Engine) []Engine {
	if len(l.overrides) == 0 {
		return engines
	}
	out := slices.Clone(engines)
	listed := make(map[string]bool, len(out))
	for i, e := range out {
		listed[e.ID] = true
		o, ok := l.overrides[e.ID]
		switch {
		case !ok:
		case o.Stage == e.Stage || !o.StartedAt.Equal(e.StartedAt) || !o.expires.IsZero() && now.After(o.expires):
			delete(l.overrides, e.ID)
		default:
			out[i].Stage = o.Stage
		}
	}
	for id := range l.overrides {
		if !listed[id] {
			delete(l.overrides, id)
		}
	}
	return out
}

// wantedPrefill returns how many of n engines should be prefill engines: the
// smallest number that can keep the remaining decode engines busy. It returns false
// while too little has been measured.
func (l *Ledger) wantedPrefill(n int) (int, bool) {
	rate := l.prefillRate()
	if l.endedCount < minEndedRuns || rate <= 0 || l.meanPrompt <= 0 || n < 2 {
		return 0, false
	}
	total, count := 0, 0
	for _, r := range l.runs.all {
		total += r.Prompt + r.Expected
		count++
	}
	if count == 0 {
		return 0, false
	}
	mean := float64(total) / float64(count)
	perDecode := 0.0
	for _, e := range l.engines {
		slots := min(float64(e.Slots), fillShare*float64(e.Tokens)/mean)
		perDecode = max(perDecode, slots/l.holdTime.Seconds())
	}
	perPrefill := prefillUtilization * rate / l.meanPrompt
	want := 1
	if n >= smallService {
		want = minPrefill
	}
	for want < n-1 && float64(want)*perPrefill < float64(n-want)*perDecode {
		want++
	}
	return want, true
}

// noteSize updates the average size of requests.
func (l *Ledger) noteSize(req *Request) {
	weight := promptWeight
	if l.meanPrompt == 0 {
		weight = 1
	}
	l.meanPrompt += (float64(req.Prompt) - l.meanPrompt) * weight
	l.meanNeed += (float64(req.Prompt+req.Expected) - l.meanNeed) * weight
}

// isSwitching returns whether an engine is changing its stage. That may take longer
// than the switch itself, as the engine's runs end first.
func (l *Ledger) isSwitching(now time.Time, id string) bool {
	due, ok := l.switching[id]
	return ok && now.Before(due) || l.isSwitchPending(now, id)
}

// isSwitchPending returns whether a decode engine was ordered to prefill by this
// ledger and has neither published nor reported its new stage. Prefill engines are
// idle when they are switched, so that their switch takes a known time.
func (l *Ledger) isSwitchPending(now time.Time, id string) bool {
	o, ok := l.overrides[id]
	return ok && o.expires.IsZero() && !o.confirmed && o.Stage == pool.Prefill && now.Sub(l.orderedAt[id]) < switchTimeout
}

// noteSwitch handles the usage of an engine whose ordered switch should be complete.
func (l *Ledger) noteSwitch(now time.Time, engine string, u Usage) {
	due := l.switching[engine]
	if u.Busy || !l.isSwitchPending(now, engine) || now.Before(due) {
		return
	}
	o := l.overrides[engine]
	switch {
	case u.Stage == o.Stage || u.Stage == pool.Plain:
		o.confirmed = true
		l.overrides[engine] = o
		l.capacityFreed()
	case now.Sub(due) > maxUsageLag:
		l.RevertStage(engine) // the engine didn't accept the order
	}
}
