package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/fleet"
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

// usable returns the engines of a stage that an ask may use, in order of names.
// Engines that daemons can't reach are left out, unless that leaves none.
func (l *Ledger) usable(now time.Time, a *Ask, stage fleet.Stage) []Engine {
	rest := l.resting()
	var sound, doubtful []Engine
	for _, e := range l.engines {
		switch {
		case e.Stage != stage || l.isChanging(now, e.ID) || slices.Contains(a.Without, e.ID):
		case rest[e.ID]:
			doubtful = append(doubtful, e)
		default:
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		sound = doubtful
	}
	if len(sound) == 0 && stage == fleet.Prefill && len(a.Without) > 0 {
		// A decode engine that reads a prompt itself stalls the runs beside it.
		return l.usable(now, &Ask{}, stage)
	}
	slices.SortFunc(sound, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return sound
}

// place chooses a decode engine with room and the prefill engine with the
// shortest queue. Prefill is empty when the ask needs none or none is there.
func (l *Ledger) place(now time.Time, a *Ask) (decode, prefill string, ok bool) {
	var best Engine
	low := 0.0
	grown := l.grown(now)
	for _, e := range l.usable(now, a, fleet.Decode) {
		if now.Sub(l.full[e.ID]) < fullFor {
			continue
		}
		need, slots := need(grown[e.ID], a)
		tokens, taken := l.unknown(now, e.ID)
		need, slots = need+tokens, slots+taken
		// A request that is larger than the share that is granted needs an engine
		// of its own.
		if slots > e.Slots || a.Prompt > e.Tokens || slots > 1 && float64(need) > fill*float64(e.Tokens) {
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
	if !ok || a.Read {
		return best.ID, "", ok
	}
	reader, queue := l.reader(now, a, best)
	if pace := l.readPace(); pace > 0 && float64(queue) > pace*readLimit.Seconds() {
		l.noteBound(now)
		return "", "", false
	}
	return best.ID, reader, true
}

// grown returns the runs of each decode engine.
func (l *Ledger) grown(now time.Time) map[string][]growth {
	out := make(map[string][]growth, len(l.engines))
	for _, e := range l.runs {
		r := e.at(now, l.pace)
		out[r.Decode] = append(out[r.Decode], r.growth())
	}
	return out
}

// need returns the peak of memory and the slots in use of an engine's runs with
// an ask added.
func need(runs []growth, a *Ask) (tokens, slots int) {
	added := Run{Prompt: a.Prompt, Expect: a.Expect}
	list := append(slices.Clone(runs), added.growth())
	return peak(list), len(list)
}

// reader returns the prefill engine with the fewest tokens to read before an
// ask, and their number.
func (l *Ledger) reader(now time.Time, a *Ask, decode Engine) (id string, queue int) {
	best, low := "", 0
	for _, e := range l.usable(now, a, fleet.Prefill) {
		unread := l.unread(e.ID)
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

// unread is the number of tokens in the queue of a prefill engine.
func (l *Ledger) unread(engine string) int {
	n := 0
	for _, r := range l.runs {
		if r.Prefill == engine && r.Phase == Reading {
			n += r.Prompt
		}
	}
	return n
}

// predict estimates how long an ask with a number of asks before it will wait.
// A reason is returned when it can't be served at all.
func (l *Ledger) predict(now time.Time, w *waiting, ahead int) (time.Duration, string) {
	engines := l.usable(now, &w.Ask, fleet.Decode)
	if len(engines) == 0 {
		return longestReturn, ReasonEngine
	}
	large := 0
	for _, e := range engines {
		large = max(large, e.Tokens)
	}
	if w.Prompt > large {
		return longestReturn, ReasonLarge
	}
	need := float64(w.Prompt + w.Expect)
	for _, q := range l.queue[:min(ahead, len(l.queue))] {
		if q != w {
			need += float64(q.Prompt + q.Expect)
		}
	}
	rate := l.rate()
	if rate <= 0 {
		return longestReturn, ReasonEngine
	}
	return time.Duration(need / rate * float64(time.Second)), ""
}
