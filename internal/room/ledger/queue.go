package ledger

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Submit takes an ask and returns the answers that are due: always one to this ask,
// with the verdict Queued while it waits, and those to queued asks that could be
// granted now.
func (l *Ledger) Submit(now time.Time, edge netip.AddrPort, a Request) []Reply {
	k := runKey{edge, a.Incarnation, a.ID}
	if was, ok := l.answers[k]; ok {
		return []Reply{was.Reply}
	}
	queued := Reply{To: edge, Service: l.service, Incarnation: a.Incarnation, ID: a.ID, Status: Queued}
	for i, w := range l.queue {
		if w.edge == edge && w.Incarnation == a.Incarnation && w.ID == a.ID {
			w.heard = now
			queued.Ahead = i
			return []Reply{queued}
		}
	}
	w := &waiting{Request: a, edge: edge, asked: now, heard: now, lateAt: now.Add(a.Slack), refusal: now.Add(a.MaxWait)}
	if at, ok := l.refused[a.Fingerprint]; ok && a.Fingerprint != 0 && now.Sub(at) < refusedFor {
		w.back = true
	}
	if w.back || a.Resumed || a.Prefilled {
		w.refusal = now.Add(a.RetryMaxWait)
	}
	l.queue = append(l.queue, w)
	l.dirty = true
	l.note(now, a.Prompt+a.Expected)
	l.noteLength(&a)
	out := l.Tick(now)
	if _, ok := l.answers[k]; ok {
		return out
	}
	ahead := slices.Index(l.queue, w)
	wait, reason := l.predict(now, w, ahead)
	if reason == "" && !l.worthwhile(now, w, wait) {
		reason = ReasonLate
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
	if w.back || w.Resumed || w.Prefilled {
		return now.Add(wait).Before(w.refusal)
	}
	return now.Add(wait).Before(w.lateAt)
}

// Cancel removes an ask whose client left.
func (l *Ledger) Cancel(now time.Time, edge netip.AddrPort, start int64, id uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool {
		return w.edge == edge && w.Incarnation == start && w.ID == id
	})
	l.end(now, runKey{edge, start, id})
}

// Tick grants what has room, refuses asks that ran out of patience or will by
// what is known now, and forgets what is old. It returns the answers to asks that were queued.
func (l *Ledger) Tick(now time.Time) []Reply {
	l.expire(now)
	if len(l.queue) == 0 || !l.dirty && now.Sub(l.placed) < placeEvery {
		return nil
	}
	if now.Sub(l.tight.since) > placeEvery {
		l.tight = tight{since: now} // runs have grown and ended by estimate
	}
	l.dirty, l.placed = false, now
	var out []Reply
	l.order(now)
	kept := l.queue[:0]
	rate, need := l.rate(), 0.0
	for _, w := range l.queue {
		if !l.tight.excludes(&w.Request) {
			d, p, v := l.place(now, &w.Request)
			if v == placed {
				out = append(out, l.grant(now, w, d, p))
				continue
			}
			l.tight.note(&w.Request, v)
		}
		need += float64(w.Prompt + w.Expected)
		if now.After(w.refusal) || rate > 0 && now.Add(time.Duration(need/rate*float64(time.Second))).After(w.refusal) {
			wait, reason := l.predict(now, w, len(kept))
			need -= float64(w.Prompt + w.Expected)
			otherwise := ReasonMaxWait
			if now.Before(w.refusal) {
				otherwise = ReasonLate
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
		case w.Resumed || w.Prefilled:
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

func (l *Ledger) grant(now time.Time, w *waiting, decode, prefill string) Reply {
	run := Run{Lease: w.ID, Decode: decode, Prefill: prefill, Prompt: w.Prompt, Expected: w.Expected}
	if prefill == "" {
		run.Phase = Decoding
	}
	e := &entry{granted: now}
	switch {
	case prefill != "":
		e.readBy = l.readTime(now, l.unread(now, prefill)+w.Prompt)
	case !w.Prefilled:
		l.ownReads[decode] = now
	}
	l.runs.put(w.key(), e, run)
	delete(l.refused, w.Fingerprint)
	a := Reply{To: w.edge, Service: l.service, Incarnation: w.Incarnation, ID: w.ID, Status: Granted,
		Decode: decode, Prefill: prefill, Wait: now.Sub(w.asked), Load: float32(l.load())}
	l.answers[w.key()] = answered{a, now}
	return a
}

// refuse promises the client a time to come back. Times are handed out in the
// order of refusals, spaced by the rate at which memory comes free beyond what
// new requests take, so that refused clients return one after the other and not
// into the same rush.
func (l *Ledger) refuse(now time.Time, w *waiting, wait time.Duration, reason string) Reply {
	if w.Fingerprint != 0 {
		l.refused[w.Fingerprint] = now
	}
	longest := longestReturn
	if w.MaxRetryAfter > 0 {
		longest = min(longest, w.MaxRetryAfter)
	}
	spare := l.rate() - l.demand(now)
	at := now.Add(max(wait, shortestReturn))
	if spare < leastSpare*l.rate() {
		l.spread = math.Mod(l.spread+math.Phi-1, 1)
		at = now.Add(time.Duration((1 - returnSpread*l.spread) * float64(longest)))
	} else if next := l.returnAt.Add(time.Duration(float64(w.Prompt+w.Expected) / spare * float64(time.Second))); at.Before(next) {
		at = next
	}
	if limit := now.Add(longest); at.After(limit) {
		at = limit
	}
	l.returnAt = at
	a := Reply{To: w.edge, Service: l.service, Incarnation: w.Incarnation, ID: w.ID, Status: Refused,
		RetryAfter: at.Sub(now), Reason: reason, Wait: wait, Ahead: len(l.queue), Load: float32(l.load())}
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
