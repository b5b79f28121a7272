package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of the balance between prefill and decode engines.
const (
	// prefillShare is the share of the prefill engines' rate that the decode
	// engines can use up at most. Decode engines read the prompts of a rush
	// themselves.
	prefillShare = 0.9
	// leastPrefill is the number of prefill engines that stay in a service of
	// smallService engines or more, so that the loss of one does not stop it.
	leastPrefill = 2
	smallService = 4
	// balanceRuns is the number of ended runs from which the figures hold.
	balanceRuns = 8
	// noDecodeFor is how long a service must have had no decode engine before a
	// prefill engine is turned: entries come and go around crashes and outages.
	noDecodeFor = 3 * time.Second
	// orderAgain is the time after which an engine may be ordered again.
	orderAgain = 30 * time.Second
	// switchShare is the share of a stage's engines that change at once.
	switchShare = 0.25
	// steadyFor is how long no engine must have come, gone or failed before a
	// prefill engine is turned to decode. While engines are replaced, some of those
	// that are there are about to leave.
	steadyFor = time.Second
	// lackFor is how long asks must have waited for prefill engines, with pauses of
	// lackPause at most, before a decode engine is ordered to prefill.
	lackFor   = time.Second
	lackPause = 500 * time.Millisecond
	// changeLimit is the time after an order from which an engine that tells nothing
	// is taken to have changed: its last runs have ended long before.
	changeLimit = 20 * time.Second
	// promptWeight is the weight of one ask in the mean length of prompts.
	promptWeight = 0.05
)

// StageChange is an engine that should change its stage.
type StageChange struct {
	Engine string
	Stage  pool.Stage
}

// Rebalance returns the engine that should change its stage next, if there is one.
//
// The decode engines' memory and the time that a run stays bound the rate of
// requests. Prefill engines beyond those that this rate needs are of more use as
// decode engines. The engine is the one that keyed ranks first, so that two
// daemons that both take themselves for the owner choose different ones.
func (l *Ledger) Rebalance(now time.Time, switchTime time.Duration, keyed func(ids []string) string) (StageChange, bool) {
	prefill, decode := l.staged(pool.Prefill), l.staged(pool.Decode)
	changing := 0
	for id, until := range l.changing {
		if now.After(until) {
			delete(l.changing, id)
			continue
		}
		changing++
	}
	if id := l.onlyReaders(now, prefill, decode, keyed); id != "" && changing == 0 {
		return l.turn(now, id, pool.Decode, switchTime), true
	}
	want, ok := l.wanted(len(prefill) + len(decode))
	rest := l.resting()
	if !ok || changing > 0 && float64(changing+1) > switchShare*float64(len(prefill)) {
		return StageChange{}, false
	}
	from, stage := prefill, pool.Decode
	switch {
	case len(prefill) > want && len(rest) == 0 && now.Sub(l.steadySince) > steadyFor:
		// An engine that has prompts to read would refuse them.
		from = slices.DeleteFunc(slices.Clone(from), func(id string) bool { return l.unread(now, id) > 0 })
	case len(prefill) < want && l.lacking(now) && len(decode) > 1:
		from, stage = l.idlest(decode), pool.Prefill
	default:
		return StageChange{}, false
	}
	from = slices.DeleteFunc(from, func(id string) bool { return rest[id] || now.Sub(l.ordered[id]) < orderAgain })
	if len(from) == 0 {
		return StageChange{}, false
	}
	return l.turn(now, keyed(from), stage, switchTime), true
}

// onlyReaders returns the engine to turn in a service that has had no decode
// engine for a while, so that none of its requests can be served.
func (l *Ledger) onlyReaders(now time.Time, prefill, decode []string, keyed func(ids []string) string) string {
	if len(decode) > 0 || len(prefill) == 0 {
		l.noDecodeSince = time.Time{}
		return ""
	}
	if l.noDecodeSince.IsZero() {
		l.noDecodeSince = now
	}
	if now.Sub(l.noDecodeSince) < noDecodeFor || now.Sub(l.askedAt) > idleAfter {
		return ""
	}
	return keyed(prefill)
}

// turn notes the order of a change.
func (l *Ledger) turn(now time.Time, id string, stage pool.Stage, switchTime time.Duration) StageChange {
	l.ordered[id] = now
	l.changing[id] = now.Add(switchTime)
	e := l.engines[id]
	e.Stage = stage
	l.orders[id], l.engines[id] = order{Engine: e}, e
	delete(l.inspected, id)
	l.changed()
	return StageChange{Engine: id, Stage: stage}
}

// idlest returns the engines with the fewest runs. An engine changes once its
// runs have ended.
func (l *Ledger) idlest(ids []string) []string {
	runs := map[string]int{}
	for _, r := range l.runs.all {
		runs[r.Decode]++
	}
	least := runs[slices.MinFunc(ids, func(a, b string) int { return cmp.Compare(runs[a], runs[b]) })]
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return runs[id] > least })
}

// lacking tells whether asks have waited for prefill engines for a while. The
// figures alone are not exact enough to turn an engine back.
func (l *Ledger) lacking(now time.Time) bool {
	return now.Sub(l.boundAt) < lackPause && now.Sub(l.boundSince) > lackFor
}

// noteBound records that an ask waits for a prefill engine.
func (l *Ledger) noteBound(now time.Time) {
	if now.Sub(l.boundAt) > lackPause {
		l.boundSince = now
	}
	l.boundAt = now
}

// order is a stage that stands against what an engine has published.
type order struct {
	Engine
	// until is when a stage that was learned from the engine no longer counts, zero
	// for one that this ledger ordered.
	until time.Time
	// done is set once the engine has reported an ordered stage.
	done bool
}

// learnStage takes the stage that an engine reports. Another owner may have
// ordered it, and what engines publish lags.
func (l *Ledger) learnStage(now time.Time, e Engine, stage pool.Stage) {
	if stage == pool.Plain || stage == e.Stage {
		return
	}
	if o, ok := l.orders[e.ID]; ok && o.until.IsZero() {
		return // the report is older than the order
	}
	e.Stage = stage
	l.orders[e.ID], l.engines[e.ID] = order{Engine: e, until: now.Add(learnedFor)}, e
	l.changed()
}

// RevertStage takes back a change that the engine did not accept.
func (l *Ledger) RevertStage(engine string) {
	delete(l.changing, engine)
	delete(l.orders, engine)
}

// restaged returns the engines with the stages that they have accepted. What an
// engine publishes lags, and does not come at all while the store is away.
func (l *Ledger) restaged(now time.Time, engines []Engine) []Engine {
	if len(l.orders) == 0 {
		return engines
	}
	out := slices.Clone(engines)
	listed := make(map[string]bool, len(out))
	for i, e := range out {
		listed[e.ID] = true
		o, ok := l.orders[e.ID]
		switch {
		case !ok:
		case o.Stage == e.Stage || !o.StartedAt.Equal(e.StartedAt) || !o.until.IsZero() && now.After(o.until):
			delete(l.orders, e.ID)
		default:
			out[i].Stage = o.Stage
		}
	}
	for id := range l.orders {
		if !listed[id] {
			delete(l.orders, id)
		}
	}
	return out
}

// staged returns the names of the engines of a stage, in order. The caller must
// not change them.
func (l *Ledger) staged(stage pool.Stage) []string {
	if l.ids == nil {
		l.ids = map[pool.Stage][]string{}
		for _, e := range l.engines {
			l.ids[e.Stage] = append(l.ids[e.Stage], e.ID)
		}
		for _, list := range l.ids {
			slices.Sort(list)
		}
	}
	return l.ids[stage]
}

// wanted returns the number of prefill engines that n engines should have.
func (l *Ledger) wanted(n int) (int, bool) {
	pace := l.readPace()
	if l.ends < balanceRuns || pace <= 0 || l.prompt <= 0 || n < 2 {
		return 0, false
	}
	need, count := 0, 0
	for _, r := range l.runs.all {
		need += r.Prompt + r.Expected
		count++
	}
	if count == 0 {
		return 0, false
	}
	mean := float64(need) / float64(count)
	perDecode := 0.0
	for _, e := range l.engines {
		places := min(float64(e.Slots), fill*float64(e.Tokens)/mean)
		perDecode = max(perDecode, places/l.stay.Seconds())
	}
	perPrefill := prefillShare * pace / l.prompt
	want := 1
	if n >= smallService {
		want = leastPrefill
	}
	for want < n-1 && float64(want)*perPrefill < float64(n-want)*perDecode {
		want++
	}
	return want, true
}

// noteLength takes the size of an ask into the means.
func (l *Ledger) noteLength(a *Request) {
	weight := promptWeight
	if l.prompt == 0 {
		weight = 1
	}
	l.prompt += (float64(a.Prompt) - l.prompt) * weight
	l.need += (float64(a.Prompt+a.Expected) - l.need) * weight
}

// isChanging tells whether an engine is on its way to another stage. It may take
// longer than a change takes by itself, as its runs end first.
func (l *Ledger) isChanging(now time.Time, id string) bool {
	until, ok := l.changing[id]
	return ok && now.Before(until) || l.isOrdered(now, id)
}

// isOrdered tells whether a decode engine that this ledger turned has neither
// published nor reported its new stage. Prefill engines are turned while they
// have nothing to do, so that their time is known.
func (l *Ledger) isOrdered(now time.Time, id string) bool {
	o, ok := l.orders[id]
	return ok && o.until.IsZero() && !o.done && o.Stage == pool.Prefill && now.Sub(l.ordered[id]) < changeLimit
}

// noteChange takes the report of an engine that was ordered to change its stage
// and should have done so.
func (l *Ledger) noteChange(now time.Time, engine string, u Usage) {
	until := l.changing[engine]
	if u.Busy || !l.isOrdered(now, engine) || now.Before(until) {
		return
	}
	o := l.orders[engine]
	switch {
	case u.Stage == o.Stage || u.Stage == pool.Plain:
		o.done = true
		l.orders[engine] = o
		l.freed()
	case now.Sub(until) > reportLag:
		l.RevertStage(engine) // it has not accepted the order
	}
}
