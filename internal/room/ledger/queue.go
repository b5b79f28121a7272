package ledger

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Submit takes a lease request and returns the replies that are due: always one to
// this request, with the status Queued while it waits, and final ones to queued
// requests whose status changed. A request that is sent again gets its earlier
// reply.
func (l *Ledger) Submit(now time.Time, edge netip.AddrPort, req Request) []Reply {
	k := runKey{edge, req.Incarnation, req.ID}
	if sent, ok := l.replies[k]; ok {
		return []Reply{sent.Reply}
	}
	queued := Reply{To: edge, Service: l.service, Incarnation: req.Incarnation, ID: req.ID, Status: Queued}
	for i, q := range l.queue {
		if q.edge == edge && q.Incarnation == req.Incarnation && q.ID == req.ID {
			q.seenAt = now
			queued.Ahead = i
			return []Reply{queued}
		}
	}
	q := &queuedRequest{Request: req, edge: edge, queuedAt: now, seenAt: now, lateAt: now.Add(req.Slack), refuseAt: now.Add(req.MaxWait)}
	if at, ok := l.refusedAt[req.Fingerprint]; ok && req.Fingerprint != 0 && now.Sub(at) < refusedTTL {
		q.retried = true
	}
	if q.retried || req.Resumed || req.Prefilled {
		q.refuseAt = now.Add(req.RetryMaxWait)
	}
	l.queue = append(l.queue, q)
	l.noteTenant(req.Tenant)
	l.dirty = true
	l.noteDemand(now, req.Prompt+req.Expected)
	l.noteSize(&req)
	out := l.Tick(now)
	if _, ok := l.replies[k]; ok {
		return out
	}
	ahead := slices.Index(l.queue, q)
	wait, reason := l.predictWait(now, q, ahead)
	if reason == "" && !l.admissible(now, q, wait) {
		reason = ReasonLate
	}
	if reason != "" {
		l.queue = slices.Delete(l.queue, ahead, ahead+1)
		return append(out, l.refuse(now, q, wait, reason))
	}
	queued.Ahead, queued.Wait = ahead, wait
	return append(out, queued)
}

// admissible decides whether a request with a predicted wait joins the queue. A
// request that would miss its latency target is refused at once with a Retry-After
// delay, so that it doesn't take memory from requests that can meet theirs. Retries
// and prefilled requests may wait until their longest queueing time. A stream that goes on
// has no other place, and runs end sooner or later than predicted.
func (l *Ledger) admissible(now time.Time, q *queuedRequest, wait time.Duration) bool {
	switch {
	case q.Resumed:
		return true
	case q.retried || q.Prefilled:
		return now.Add(wait).Before(q.refuseAt)
	}
	return now.Add(wait).Before(q.lateAt)
}

// Cancel withdraws a lease request, or ends its run when it was granted, because the
// client left.
func (l *Ledger) Cancel(now time.Time, edge netip.AddrPort, incarnation int64, id uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(q *queuedRequest) bool {
		return q.edge == edge && q.Incarnation == incarnation && q.ID == id
	})
	l.endRun(now, runKey{edge, incarnation, id})
}

// Tick grants queued requests for which there is capacity, refuses those whose
// longest queueing time has passed or is predicted to pass, and expires old state. A
// queued stream that goes on is not refused by a prediction, as it has no other place.
// It returns the replies to the requests that leave the queue.
func (l *Ledger) Tick(now time.Time) []Reply {
	l.expire(now)
	if len(l.queue) == 0 || !l.dirty && now.Sub(l.placedAt) < placeInterval {
		return nil
	}
	if now.Sub(l.misfits.since) > placeInterval {
		l.misfits = misfits{since: now} // estimates free memory without a report
	}
	l.dirty, l.placedAt = false, now
	var out []Reply
	l.sort(now)
	kept := l.queue[:0]
	rates, earlier := l.rates(), newBacklog()
	clear(l.reserved)
	clear(l.allReserved)
	for _, q := range l.queue {
		if q.Resumed {
			q.confirm(now, l.reporters[q.edge])
		}
		v := noDecodeRoom
		if !l.misfits.excludes(&q.Request) {
			var d, p string
			d, p, v = l.place(now, &q.Request)
			if v == placed {
				out = append(out, l.grant(now, q, d, p))
				continue
			}
			l.misfits.record(&q.Request, v)
		}
		rate := rates.of(q.Version)
		gone := rate <= 0 && q.Version != "" && !l.mayReturn(&q.Request)
		late := !q.Resumed && rate > 0 && now.Add(earlier.wait(rates, &q.Request)).After(q.refuseAt)
		if now.After(q.refuseAt) || gone || late {
			wait, reason := l.predictWait(now, q, len(kept))
			fallback := ReasonMaxWait
			switch {
			case rate <= 0 && q.Version != "":
				fallback = ReasonNoEngine
			case now.Before(q.refuseAt):
				fallback = ReasonLate
			}
			out = append(out, l.refuse(now, q, wait, cmp.Or(reason, fallback)))
			continue
		}
		earlier.add(&q.Request)
		if q.Resumed && v != noPrefillEngine {
			l.reserve(now, q)
		}
		kept = append(kept, q)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return out
}

func (l *Ledger) grant(now time.Time, q *queuedRequest, decode, prefill string) Reply {
	run := Run{Lease: q.ID, Decode: decode, Prefill: prefill, Prompt: q.Prompt, Expected: q.Expected}
	if prefill == "" {
		run.Phase = Decoding
	}
	e, ahead := &trackedRun{grantedAt: now}, 0
	switch {
	case prefill != "":
		if l.prefillRate() > 0 { // without a rate nothing shows what is still queued
			ahead = l.prefillQueue(now, prefill)
		}
		e.prefillBy = l.prefillDoneAt(now, ahead+q.Prompt)
	case !q.Prefilled:
		l.selfPrefillAt[decode] = now
	}
	l.runs.put(q.key(), e, run)
	l.charge(now, &q.Request)
	delete(l.refusedAt, q.Fingerprint)
	reply := Reply{To: q.edge, Service: l.service, Incarnation: q.Incarnation, ID: q.ID, Status: Granted,
		Decode: decode, Prefill: prefill, Wait: now.Sub(q.queuedAt), Load: float32(l.load()), Queued: ahead}
	if !e.prefillBy.IsZero() {
		reply.Prefilled = e.prefillBy.Sub(now)
	}
	l.replies[q.key()] = sentReply{reply, now}
	return reply
}

// refuse refuses a request with the delay after which the client should retry.
// Retries are scheduled in the order of refusals, spaced by the rate at which memory
// becomes free beyond the demand of new requests, so that they don't return as
// another burst. Without spare capacity they are spread over a fixed period. Resumed
// requests, which come before new ones, are spaced by the whole rate. A version that no
// engine has may come back, so that the client is asked to try once more, late.
func (l *Ledger) refuse(now time.Time, q *queuedRequest, wait time.Duration, reason string) Reply {
	if q.Fingerprint != 0 {
		l.refusedAt[q.Fingerprint] = now
	}
	latest := maxRetryAfter
	if q.MaxRetryAfter > 0 {
		latest = min(latest, q.MaxRetryAfter)
	}
	rate := l.throughput()
	last, spare := &l.lastRetryAt, rate-l.demand(now)
	if q.Resumed {
		last, spare = &l.lastResumeAt, rate
	}
	at := now.Add(max(wait, minRetryAfter))
	gone := q.Version != "" && reason == ReasonNoEngine
	switch next := last.Add(time.Duration(float64(q.Prompt+q.Expected) / spare * float64(time.Second))); {
	case gone:
		at = now.Add(latest)
	case spare <= 0 || spare < minSpareShare*rate:
		l.retryPhase = math.Mod(l.retryPhase+math.Phi-1, 1)
		at = now.Add(time.Duration((1 - retrySpread*l.retryPhase) * float64(latest)))
	case at.Before(next):
		at = next
	}
	if limit := now.Add(latest); at.After(limit) {
		at = limit
	}
	if !gone {
		*last = at
	}
	reply := Reply{To: q.edge, Service: l.service, Incarnation: q.Incarnation, ID: q.ID, Status: Refused,
		RetryAfter: at.Sub(now), Reason: reason, Wait: wait, Ahead: len(l.queue), Load: float32(l.load())}
	l.replies[q.key()] = sentReply{reply, now}
	if q.Version != "" {
		reply.Version, reply.Census = q.Version, l.census(now, q.Version)
	}
	return reply
}

// demand returns the recent demand of new requests in tokens of memory a second, an
// exponentially decaying average.
func (l *Ledger) demand(now time.Time) float64 {
	return l.demandSum * math.Exp(-now.Sub(l.demandAt).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// noteDemand counts the memory in tokens that a request asks for. The first request
// after an idle period makes the ledger poll all engines again.
func (l *Ledger) noteDemand(now time.Time, tokens int) {
	if now.Sub(l.demandAt) > idleAfter {
		l.activeSince = now
		clear(l.polledAt)
	}
	l.demandSum = l.demand(now)*demandWindow.Seconds() + float64(tokens)
	l.demandAt = now
}
