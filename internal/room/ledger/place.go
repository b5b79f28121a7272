package ledger

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// resting collects the engines that a daemon reports as out of reach.
func (l *Ledger) resting() map[string]bool {
	out := map[string]bool{}
	for _, s := range l.sources {
		for _, id := range s.resting {
			out[id] = true
		}
	}
	return out
}

// Large fleets are searched in part.
const (
	// searchAll is the number of engines up to which all are compared for an ask.
	searchAll = 64
	// searchSome is the number that is compared in a larger fleet. The best of so
	// many is nearly as good as the best of all.
	searchSome = 32
	// searchStride spreads the places from which successive asks search.
	searchStride = 7919
)

// verdict tells whether an ask was placed, and what it lacks.
type verdict int

const (
	placed verdict = iota
	noRoom
	noReader
)

// tight is what had no room: an ask that is as large would have none either.
type tight struct {
	since          time.Time
	room, reader   bool
	prompt, expect int
}

func (t *tight) note(a *Request, v verdict) {
	switch {
	case len(a.Excluded) > 0:
	case v == noReader:
		t.reader = true
	case !t.room || a.Prompt <= t.prompt && a.Expected <= t.expect:
		t.room, t.prompt, t.expect = true, a.Prompt, a.Expected
	}
}

func (t *tight) excludes(a *Request) bool {
	return t.room && a.Prompt >= t.prompt && a.Expected >= t.expect || t.reader && !a.Prefilled
}

// freed notes that memory may have come free.
func (l *Ledger) freed() { l.dirty, l.tight = true, tight{} }

// changed notes that engines have changed.
func (l *Ledger) changed() {
	l.freed()
	l.ids = nil
}

// candidates returns the engines of a stage that an ask may use, in order of
// names. Engines that daemons can't reach are left out, unless that leaves none.
// In a large fleet only some are returned, from a place that differs by ask.
func (l *Ledger) candidates(now time.Time, a *Request, stage pool.Stage, all bool) []string {
	rest := l.resting()
	ids := l.staged(stage)
	want := len(ids)
	if want > searchAll && !all {
		want = searchSome
	}
	var sound, doubtful []string
	for i := 0; i < len(ids) && len(sound) < want; i++ {
		at := i
		if want < len(ids) {
			at = int((a.ID*searchStride + uint64(i)) % uint64(len(ids)))
		}
		id := ids[at]
		switch {
		case l.isChanging(now, id) || slices.Contains(a.Excluded, id):
		case rest[id]:
			doubtful = append(doubtful, id)
		default:
			sound = append(sound, id)
		}
	}
	if len(sound) == 0 {
		sound = doubtful
	}
	if len(sound) == 0 && stage == pool.Prefill && len(a.Excluded) > 0 {
		// A decode engine that reads a prompt itself stalls the runs beside it.
		return l.candidates(now, &Request{ID: a.ID}, stage, all)
	}
	return sound
}

// place chooses a decode engine with room and the prefill engine with the
// shortest queue. Prefill is empty when the ask needs none, none is there, or all
// have long queues and the decode engine reads the prompt itself.
func (l *Ledger) place(now time.Time, a *Request) (decode, prefill string, v verdict) {
	best, ok := l.roomiest(now, a, l.candidates(now, a, pool.Decode, false))
	if !ok && len(l.staged(pool.Decode)) > searchAll {
		best, ok = l.roomiest(now, a, l.candidates(now, a, pool.Decode, true))
	}
	if !ok {
		return "", "", noRoom
	}
	if a.Prefilled {
		return best.ID, "", placed
	}
	limit := math.Inf(1)
	if pace := l.readPace(); pace > 0 {
		limit = pace * readLimit.Seconds()
	}
	reader, queue := l.reader(now, a, best, false)
	if float64(queue) > limit && len(l.staged(pool.Prefill)) > searchAll {
		reader, queue = l.reader(now, a, best, true)
	}
	if float64(queue) > limit {
		l.noteBound(now)
		if best, ok := l.roomiest(now, a, l.freeToRead(now, a)); ok {
			return best.ID, "", placed
		}
		return "", "", noReader
	}
	return best.ID, reader, placed
}

// roomiest returns the engine with the most room for an ask, if there is one.
func (l *Ledger) roomiest(now time.Time, a *Request, ids []string) (best Engine, ok bool) {
	low := 0.0
	for _, id := range ids {
		e := l.engines[id]
		if now.Sub(l.full[id]) < fullFor {
			continue
		}
		need, slots := need(l.grown(now, id), a, l.outputSpread())
		tokens, taken := l.unknown(now, id)
		need, slots = need+tokens, slots+taken
		// A request that is larger than the share that is granted needs an engine
		// of its own.
		if slots > e.Slots || a.Prompt > e.Tokens || slots > 1 && float64(need) > grantShare*float64(e.Tokens) {
			continue
		}
		cost := max(float64(need)/float64(e.Tokens), float64(slots)/float64(e.Slots))
		if e.Domain != a.Domain {
			cost += crossDecode
		}
		if !ok || cost < low {
			best, low, ok = e, cost, true
		}
	}
	return best, ok
}

// grown returns the runs of a decode engine.
func (l *Ledger) grown(now time.Time, engine string) []growth {
	list := l.runs.decode[engine]
	out := make([]growth, 0, len(list)+1)
	for _, e := range list {
		r := e.at(now, l.pace)
		out = append(out, r.growth())
	}
	return out
}

// need returns the peak of memory and the slots in use of an engine's runs with
// an ask added.
func need(runs []growth, a *Request, spread float64) (tokens, slots int) {
	added := Run{Prompt: a.Prompt, Expected: a.Expected}
	list := append(runs, added.growth())
	return peak(list) + int(deviations*deviation(list, spread)), len(list)
}

// reader returns the prefill engine with the fewest tokens to read before an
// ask, and their number. In a large fleet only some are compared, unless all is
// set.
func (l *Ledger) reader(now time.Time, a *Request, decode Engine, all bool) (id string, queue int) {
	best, low := "", 0
	for _, id := range l.candidates(now, a, pool.Prefill, all) {
		e, unread := l.engines[id], l.unread(now, id)
		cost := unread
		if e.Domain != decode.Domain {
			cost += crossPrefill
		}
		if best == "" || cost < low {
			best, low, queue = e.ID, cost, unread
		}
	}
	return best, queue
}

// predict estimates how long an ask with a number of asks before it will wait.
// A reason is returned when it can't be served at all.
func (l *Ledger) predict(now time.Time, w *waiting, ahead int) (time.Duration, string) {
	engines := l.candidates(now, &w.Request, pool.Decode, false)
	if len(engines) == 0 {
		return longestReturn, ReasonNoEngine
	}
	large := 0
	for _, id := range engines {
		large = max(large, l.engines[id].Tokens)
	}
	if w.Prompt > large {
		return longestReturn, ReasonTooLarge
	}
	need := float64(w.Prompt + w.Expected)
	for _, q := range l.queue[:min(ahead, len(l.queue))] {
		if q != w {
			need += float64(q.Prompt + q.Expected)
		}
	}
	rate := l.rate()
	if rate <= 0 {
		return longestReturn, ReasonNoEngine
	}
	return time.Duration(need / rate * float64(time.Second)), ""
}
