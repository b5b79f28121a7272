package ledger

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Ask takes an ask and returns the answers that are due: always one to this ask,
// with the verdict Queued while it waits, and those to queued asks that could be
// granted now.
func (l *Ledger) Ask(now time.Time, edge netip.AddrPort, a Ask) []Answer {
	k := runKey{edge, a.Start, a.ID}
	if was, ok := l.answers[k]; ok {
		return []Answer{was.Answer}
	}
	queued := Answer{To: edge, Service: l.service, Start: a.Start, ID: a.ID, Verdict: Queued}
	for i, w := range l.queue {
		if w.edge == edge && w.Start == a.Start && w.ID == a.ID {
			w.heard = now
			queued.Ahead = i
			return []Answer{queued}
		}
	}
	w := &waiting{Ask: a, edge: edge, asked: now, heard: now, lateAt: now.Add(a.Slack), refusal: now.Add(a.Patience)}
	if at, ok := l.refused[a.Subject]; ok && a.Subject != 0 && now.Sub(at) < refusedFor {
		w.back = true
	}
	if w.back || a.Begun || a.Read {
		w.refusal = now.Add(a.Back)
	}
	l.queue = append(l.queue, w)
	l.dirty = true
	l.note(now, a.Prompt+a.Expect)
	l.noteLength(&a)
	out := l.Tick(now)
	if _, ok := l.answers[k]; ok {
		return out
	}
	ahead := slices.Index(l.queue, w)
	wait, reason := l.predict(now, w, ahead)
	if reason == "" && !l.worthwhile(now, w, wait) {
		reason = ReasonWait
	}
	if reason != "" {
		l.queue = slices.Delete(l.queue, ahead, ahead+1)
		return append(out, l.refuse(now, w, wait, reason))
	}
	queued.Ahead, queued.Wait = ahead, wait
	return append(out, queued)
}

// worthwhile tells whether an ask with a predicted wait is queued. A request
// that can't be on time is refused at once and told when to come back, so that
// it doesn't take memory from requests that can. A client that came back, or
// that has a part of its answer, is not sent away again while it has patience.
func (l *Ledger) worthwhile(now time.Time, w *waiting, wait time.Duration) bool {
	if w.back || w.Begun || w.Read {
		return now.Add(wait).Before(w.refusal)
	}
	return now.Add(wait).Before(w.lateAt)
}

// Drop removes an ask whose client left.
func (l *Ledger) Drop(now time.Time, edge netip.AddrPort, start int64, id uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool {
		return w.edge == edge && w.Start == start && w.ID == id
	})
	l.end(now, runKey{edge, start, id})
}

// Tick grants what has room, refuses asks that ran out of patience or will by
// what is known now, and forgets what is old. It returns the answers to asks that were queued.
func (l *Ledger) Tick(now time.Time) []Answer {
	l.expire(now)
	if len(l.queue) == 0 || !l.dirty && now.Sub(l.placed) < placeEvery {
		return nil
	}
	if now.Sub(l.tight.since) > placeEvery {
		l.tight = tight{since: now} // runs have grown and ended by estimate
	}
	l.dirty, l.placed = false, now
	var out []Answer
	l.order(now)
	kept := l.queue[:0]
	rate, need := l.rate(), 0.0
	for _, w := range l.queue {
		if !l.tight.excludes(&w.Ask) {
			d, p, v := l.place(now, &w.Ask)
			if v == placed {
				out = append(out, l.grant(now, w, d, p))
				continue
			}
			l.tight.note(&w.Ask, v)
		}
		need += float64(w.Prompt + w.Expect)
		if now.After(w.refusal) || rate > 0 && now.Add(time.Duration(need/rate*float64(time.Second))).After(w.refusal) {
			wait, reason := l.predict(now, w, len(kept))
			need -= float64(w.Prompt + w.Expect)
			otherwise := ReasonTired
			if now.Before(w.refusal) {
				otherwise = ReasonWait
			}
			out = append(out, l.refuse(now, w, wait, cmp.Or(reason, otherwise)))
			continue
		}
		kept = append(kept, w)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return out
}

// order sorts the queue: begun answers, then requests that can still be on
// time, those with the least time first, then clients that came back, then the
// others.
func (l *Ledger) order(now time.Time) {
	class := func(w *waiting) int {
		switch {
		case w.Begun || w.Read:
			return 0
		case now.Before(w.lateAt) && !w.back:
			return 1
		case w.back:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(l.queue, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.Rank, b.Rank), a.lateAt.Compare(b.lateAt))
	})
}

func (l *Ledger) grant(now time.Time, w *waiting, decode, prefill string) Answer {
	run := Run{Lease: w.ID, Decode: decode, Prefill: prefill, Prompt: w.Prompt, Expect: w.Expect}
	if prefill == "" {
		run.Phase = Writing
	}
	e := &entry{granted: now}
	switch {
	case prefill != "":
		e.readBy = l.readTime(now, l.unread(now, prefill)+w.Prompt)
	case !w.Read:
		l.ownReads[decode] = now
	}
	l.runs.put(w.key(), e, run)
	delete(l.refused, w.Subject)
	a := Answer{To: w.edge, Service: l.service, Start: w.Start, ID: w.ID, Verdict: Granted,
		Decode: decode, Prefill: prefill, Wait: now.Sub(w.asked), Load: float32(l.load())}
	l.answers[w.key()] = answered{a, now}
	return a
}

// refuse promises the client a time to come back. Times are handed out in the
// order of refusals, spaced by the rate at which memory comes free beyond what
// new requests take, so that refused clients return one after the other and not
// into the same rush.
func (l *Ledger) refuse(now time.Time, w *waiting, wait time.Duration, reason string) Answer {
	if w.Subject != 0 {
		l.refused[w.Subject] = now
	}
	longest := longestReturn
	if w.Return > 0 {
		longest = min(longest, w.Return)
	}
	spare := l.rate() - l.demand(now)
	at := now.Add(max(wait, shortestReturn))
	if spare < leastSpare*l.rate() {
		l.spread = math.Mod(l.spread+math.Phi-1, 1)
		at = now.Add(time.Duration((1 - returnSpread*l.spread) * float64(longest)))
	} else if next := l.returnAt.Add(time.Duration(float64(w.Prompt+w.Expect) / spare * float64(time.Second))); at.Before(next) {
		at = next
	}
	if limit := now.Add(longest); at.After(limit) {
		at = limit
	}
	l.returnAt = at
	a := Answer{To: w.edge, Service: l.service, Start: w.Start, ID: w.ID, Verdict: Refused,
		After: at.Sub(now), Reason: reason, Wait: wait, Ahead: len(l.queue), Load: float32(l.load())}
	l.answers[w.key()] = answered{a, now}
	return a
}

// demand is the memory in tokens that new requests ask for in a second.
func (l *Ledger) demand(now time.Time) float64 {
	return l.asked * math.Exp(-now.Sub(l.askedAt).Seconds()/demandSpan.Seconds()) / demandSpan.Seconds()
}

// note counts the demand of a new request.
func (l *Ledger) note(now time.Time, tokens int) {
	if now.Sub(l.askedAt) > idleAfter {
		l.begun = now
		clear(l.inspected)
	}
	l.asked = l.demand(now)*demandSpan.Seconds() + float64(tokens)
	l.askedAt = now
}
