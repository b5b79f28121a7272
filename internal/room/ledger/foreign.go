package ledger

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of the runs that a ledger does not know. Engines finish requests of
// daemons that lost power, and a ledger that is new knows none of the runs.
const (
	// inspectFor is how long after its first ask a ledger that was idle compares
	// itself with the engines.
	inspectFor = 5 * time.Second
	// inspectAgain is the time after which an engine with unknown runs, or one
	// that refused a granted request, is asked again.
	inspectAgain = 700 * time.Millisecond
	// busyFor is how long an engine that carries out an order of another owner is
	// left alone, until it is asked again.
	busyFor = 2 * inspectAgain
	// learnedFor is how long a stage that an engine reports stands against what it
	// has published.
	learnedFor = 2 * time.Second
	// idleAfter is the time without asks after which a ledger counts as idle.
	idleAfter = 4 * time.Second
	// foreignLife is how long unknown runs count without a newer report: about
	// the time that a run stays.
	foreignLife = 3 * time.Second
	// reportLag is the greatest age of what engines report.
	reportLag = time.Second
	// roomy is the share of its memory in use below which an engine is not full.
	roomy = 0.7
	// tolerance is the share of an engine's memory by which report and ledger may
	// differ.
	tolerance = 0.1
)

// Usage is what an engine reports about itself.
type Usage struct {
	// Tokens is the memory in use, Running and Waiting count requests.
	Tokens, Running, Waiting int
	// Busy tells that the engine carries out an order, Orders how many it has
	// accepted since its start.
	Busy     bool
	Accepted int
	// Stage is what the engine does, Plain when it does not say.
	Stage pool.Stage
}

// Untracked is what runs that the ledger does not know hold at an engine.
type Untracked struct {
	Tokens, Slots int
	at            time.Time
}

// past is a run that has ended.
type past struct {
	engine string
	tokens int
	at     time.Time
}

// PollTargets returns the engines that should be asked for their usage: those with
// runs that the ledger may not know, and those that refused or change their
// stage.
func (l *Ledger) PollTargets(now time.Time) []string {
	if l.begun.IsZero() || now.Sub(l.askedAt) > idleAfter {
		return nil
	}
	var out []string
	for id, e := range l.engines {
		if now.Sub(l.inspected[id]) < inspectAgain {
			continue
		}
		_, unknown := l.foreign[id]
		_, asked := l.inspected[id]
		if !asked || unknown || l.busy[id] || l.isOrdered(now, id) && now.After(l.changing[id]) || now.Sub(l.full[id]) < inspectAgain ||
			e.Stage == pool.Decode && now.Sub(l.begun) < inspectFor && now.Sub(l.inspected[id]) > inspectFor {
			l.inspected[id] = now
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SetUsage takes what an engine reports and derives what the ledger does not
// know.
func (l *Ledger) SetUsage(now time.Time, engine string, u Usage) {
	e, ok := l.engines[engine]
	if !ok {
		return
	}
	delete(l.busy, engine)
	if u.Busy {
		l.busy[engine] = true
		if !l.isChanging(now, engine) {
			l.changing[engine] = now.Add(busyFor)
		}
	}
	l.noteChange(now, engine, u)
	l.learnStage(now, e, u.Stage)
	if l.engines[engine].Stage != pool.Decode {
		delete(l.foreign, engine)
		return
	}
	// The report is of the past: runs that have begun since are missing there and
	// runs that have ended since are still in it.
	tokens, slots := 0, 0
	for _, r := range l.runs.decode[engine] {
		if r.Phase == Decoding {
			run := r.at(now, l.pace)
			tokens += run.growth().held
			slots++
		}
	}
	l.past = slices.DeleteFunc(l.past, func(p past) bool { return now.Sub(p.at) > reportLag })
	for _, p := range l.past {
		if p.engine == engine {
			tokens += p.tokens
			slots++
		}
	}
	if u.Waiting == 0 && float64(u.Tokens) < roomy*float64(e.Tokens) {
		delete(l.full, engine) // it refused for another reason
	}
	f := Untracked{Tokens: u.Tokens - tokens, Slots: u.Running + u.Waiting - slots, at: now}
	if f.Slots <= 0 || float64(f.Tokens) < tolerance*float64(e.Tokens) {
		delete(l.foreign, engine)
		l.freed()
		return
	}
	l.foreign[engine] = f
}

// addForeign counts one more unknown run at an engine, which is asked soon.
func (l *Ledger) addForeign(now time.Time, engine string, tokens int) {
	held, slots := l.unknown(now, engine)
	l.foreign[engine] = Untracked{Tokens: held + tokens, Slots: slots + 1, at: now}
	delete(l.inspected, engine)
}

// unknown returns the memory and slots that runs unknown to the ledger hold at
// an engine. They end one after the other.
func (l *Ledger) unknown(now time.Time, engine string) (tokens, slots int) {
	f, ok := l.foreign[engine]
	if !ok {
		return 0, 0
	}
	left := 1 - now.Sub(f.at).Seconds()/foreignLife.Seconds()
	if left <= 0 {
		delete(l.foreign, engine)
		return 0, 0
	}
	return int(left * float64(f.Tokens)), int(math.Round(left * float64(f.Slots)))
}
