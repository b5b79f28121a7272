package ledger

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of untracked runs. Engines finish the runs of daemons that were lost,
// and a new ledger knows none of the runs in progress.
const (
	// pollPeriod is how long after its first request an idle ledger compares its runs
	// with the reports of all decode engines.
	pollPeriod = 5 * time.Second
	// pollInterval is the shortest time between two polls of an engine.
	pollInterval = 700 * time.Millisecond
	// busyDelay is how long an engine that carries out another owner's order gets no
	// new runs, unless a later poll extends it.
	busyDelay = 2 * pollInterval
	// learnedStageTTL is how long a stage that an engine reports takes precedence over
	// its published stage.
	learnedStageTTL = 2 * time.Second
	// idleAfter is the time without requests after which a ledger is idle.
	idleAfter = 4 * time.Second
	// untrackedTTL is how long untracked runs count without a newer poll: about the
	// duration of a run.
	untrackedTTL = 3 * time.Second
	// maxUsageLag is the greatest age of the usage that engines report.
	maxUsageLag = time.Second
	// notFullShare is the share of memory in use below which an engine is not full.
	notFullShare = 0.7
	// tolerance is the difference between the reported and the tracked use of memory,
	// as a share of the engine's memory, that is ignored.
	tolerance = 0.1
)

// Usage is the state that an engine reports about itself.
type Usage struct {
	// Tokens is the KV cache memory in use in tokens. Running and Waiting count
	// requests.
	Tokens, Running, Waiting int
	// Busy is set while the engine carries out an order. Accepted counts the orders
	// that it has accepted since its start.
	Busy     bool
	Accepted int
	// Stage is the current stage, pool.Plain when the engine doesn't report it.
	Stage pool.Stage
	// Attempts are the IDs of the client attempts that the engine runs.
	Attempts []string
}

// Untracked is the capacity of an engine held by runs that the ledger doesn't know.
// Tokens is KV cache memory in tokens.
type Untracked struct {
	Tokens, Slots int
	at            time.Time
}

// endedRun is a run that has recently ended and that usage reports may still
// include.
type endedRun struct {
	engine string
	tokens int
	at     time.Time
}

// PollTargets returns the engines whose usage should be polled now: those never
// polled, those that may have untracked runs, and those that refused a request or
// change their stage.
func (l *Ledger) PollTargets(now time.Time) []string {
	if l.activeSince.IsZero() || now.Sub(l.demandAt) > idleAfter {
		return nil
	}
	var out []string
	for id, e := range l.engines {
		if now.Sub(l.polledAt[id]) < pollInterval {
			continue
		}
		_, untracked := l.untracked[id]
		_, polled := l.polledAt[id]
		if !polled || untracked || l.busy[id] || l.isSwitchPending(now, id) && now.After(l.switching[id]) || now.Sub(l.fullAt[id]) < pollInterval ||
			e.Stage == pool.Decode && now.Sub(l.activeSince) < pollPeriod && now.Sub(l.polledAt[id]) > pollPeriod {
			l.polledAt[id] = now
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SetUsage applies the usage that an engine reported and derives its untracked runs.
func (l *Ledger) SetUsage(now time.Time, engine string, u Usage) {
	e, ok := l.engines[engine]
	if !ok {
		return
	}
	delete(l.busy, engine)
	if u.Busy {
		l.busy[engine] = true
		if !l.isSwitching(now, engine) {
			l.switching[engine] = now.Add(busyDelay)
		}
	}
	l.noteSwitch(now, engine, u)
	l.learnStage(now, e, u.Stage)
	if l.engines[engine].Stage != pool.Decode {
		delete(l.untracked, engine)
		return
	}
	// The usage lags: it lacks runs that started since and includes runs that ended
	// since. Only decoding runs count as tracked, and runs that ended recently.
	tokens, slots := 0, 0
	for _, r := range l.runs.byDecode[engine] {
		if r.Phase == Decoding {
			run := r.estimate(now, l.decodeRate)
			tokens += run.growth().held
			slots++
		}
	}
	l.endedRuns = slices.DeleteFunc(l.endedRuns, func(p endedRun) bool { return now.Sub(p.at) > maxUsageLag })
	for _, p := range l.endedRuns {
		if p.engine == engine {
			tokens += p.tokens
			slots++
		}
	}
	if u.Waiting == 0 && float64(u.Tokens) < notFullShare*float64(e.Tokens) {
		delete(l.fullAt, engine) // it refused for another reason than lack of room
	}
	f := Untracked{Tokens: u.Tokens - tokens, Slots: u.Running + u.Waiting - slots, at: now}
	if f.Slots <= 0 || float64(f.Tokens) < tolerance*float64(e.Tokens) {
		delete(l.untracked, engine)
		l.capacityFreed()
		return
	}
	l.untracked[engine] = f
}

// addUntracked adds one untracked run to an engine and makes it due for a poll.
func (l *Ledger) addUntracked(now time.Time, engine string, tokens int) {
	held, slots := l.untrackedUse(now, engine)
	l.untracked[engine] = Untracked{Tokens: held + tokens, Slots: slots + 1, at: now}
	delete(l.polledAt, engine)
}

// untrackedUse returns the memory and slots of an engine held by untracked runs. It
// decreases linearly with the age of the poll, as the runs end one after the other.
func (l *Ledger) untrackedUse(now time.Time, engine string) (tokens, slots int) {
	f, ok := l.untracked[engine]
	if !ok {
		return 0, 0
	}
	share := 1 - now.Sub(f.at).Seconds()/untrackedTTL.Seconds()
	if share <= 0 {
		delete(l.untracked, engine)
		return 0, 0
	}
	return int(share * float64(f.Tokens)), int(math.Round(share * float64(f.Slots)))
}
