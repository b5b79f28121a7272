package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of prefill.
const (
	// maxPrefillWait bounds the queue ahead of a request at its prefill engine. While a
	// request waits there, its reserved decode memory is idle.
	maxPrefillWait = 500 * time.Millisecond
	// selfPrefillSpeed is the prefill rate of a decode engine, between the decode steps
	// of its runs, as a share of a prefill engine's. selfPrefillShare is what a decode
	// engine adds to the total prefill rate, as it prefills at most half of the time.
	selfPrefillSpeed = 0.5
	selfPrefillShare = selfPrefillSpeed / 2
	// defaultGap is the longest pause between events for routes that set none.
	defaultGap = 300 * time.Millisecond
	// prefillOverhead is the part of a prefill that does not depend on the length of
	// the prompt, plus a margin.
	prefillOverhead = 50 * time.Millisecond
)

// prefillRate returns the rate of one prefill engine in tokens a second by the prefills of
// all daemons. While there are few of them it is the median of the rates that edge daemons
// measure, and the last known rate when no report has one.
func (l *Ledger) prefillRate() float64 {
	if l.prefills.rate > 0 {
		return l.prefills.rate
	}
	var rates []float64
	for _, s := range l.reporters {
		if s.prefillRate > 0 {
			rates = append(rates, s.prefillRate)
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		l.lastPrefillRate = rates[len(rates)/2]
	}
	return l.lastPrefillRate
}

// slowRate returns the rate of the slower engines.
func (l *Ledger) slowRate() float64 {
	if l.prefills.low > 0 {
		return min(l.prefills.low, l.prefillRate())
	}
	return l.prefillRate()
}

// isPrefilling returns whether the prompt of a run probably still waits for its
// prefill or is in it. Reports alone lag too much: in a large fleet they come once a
// second, while a prefill takes about 100 ms.
func (e *trackedRun) isPrefilling(now time.Time) bool {
	return e.Phase == Prefilling && (e.prefillBy.IsZero() || now.Before(e.prefillBy))
}

// selfPrefillers returns the decode engines that may prefill the prompt themselves.
// A prefill stalls the other runs of the engine, so that it must fit into the
// longest pause between events that their routes allow, and an engine does one per
// such period.
func (l *Ledger) selfPrefillers(now time.Time, req *Request) []string {
	gap := cmp.Or(req.Gap, defaultGap)
	if rate := l.slowRate(); rate <= 0 || float64(req.Prompt)/(selfPrefillSpeed*rate) > gap.Seconds() {
		return nil
	}
	ids := slices.Clone(l.candidates(now, req, pool.Decode, false))
	return slices.DeleteFunc(ids, func(id string) bool {
		if now.Sub(l.selfPrefillAt[id]) < gap {
			return true
		}
		for _, e := range l.runs.byDecode[id] {
			if e.Prefill == "" && e.Generated == 0 {
				return true
			}
		}
		return false
	})
}

// prefillQueue returns the number of prompt tokens that a prefill engine probably
// still has to process.
func (l *Ledger) prefillQueue(now time.Time, engine string) int {
	tokens := 0
	for _, e := range l.runs.byPrefill[engine] {
		if e.isPrefilling(now) {
			tokens += e.Prompt
		}
	}
	return tokens
}

// reportedPrefillQueue returns the same number by the last reports alone.
func (l *Ledger) reportedPrefillQueue(engine string) int {
	tokens := 0
	for _, e := range l.runs.byPrefill[engine] {
		if e.Phase == Prefilling {
			tokens += e.Prompt
		}
	}
	return tokens
}

// prefillDoneAt returns when a prefill engine will have processed a number of
// tokens, the zero time while its rate is not known.
func (l *Ledger) prefillDoneAt(now time.Time, tokens int) time.Time {
	rate := l.prefillRate()
	if rate <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(float64(tokens)/rate*float64(time.Second)) + prefillOverhead)
}
