package stream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// rounds is the number of grants that one request may use.
	rounds = 4
	// latePatience is the share of the latency target that an ask may be queued
	// beyond the time at which the answer is on time.
	latePatience = 0.5
	// backPatience is the same for a client that came back.
	backPatience = 2.0
	// returnShare is the part of the remaining time after which a client comes
	// back at the latest: clients keep to a third.
	returnShare = 0.32
	// prefillTimeout bounds a prefill: the ledger lets prompts queue for half a
	// second, and reading one takes less. Later a lost answer is the likelier
	// cause.
	prefillTimeout = 900 * time.Millisecond
	// offerFor is the share of the time for which a KV cache is kept during which
	// it is offered to a second engine.
	offerFor = 0.7
	// lapseRest is how long a prefill engine whose cache was gone is left alone.
	lapseRest = 3 * time.Second
	// stallFor is the number of longest pauses after which a stream that may be
	// resumed is taken for dead, and stallFloor the shortest such time.
	stallFor   = 4
	stallFloor = 1200 * time.Millisecond
	// endMargin is the multiple of the mean time of an answer that must be left
	// before this daemon ends, and stopWait the time after which a client that is
	// refused for that comes back, to another daemon.
	endMargin = 1.5
	stopWait  = 100 * time.Millisecond
	// freeTimeout bounds the release of a KV cache.
	freeTimeout = 400 * time.Millisecond
	// answerLimit bounds an answer other than a stream in bytes.
	answerLimit = 1 << 20
)

// job is one generation on its way.
type job struct {
	*Handler
	call     *proxy.Request
	route    *config.Route
	service  config.Service
	deadline time.Time
	out      http.ResponseWriter
	outcome  lines.Outcome

	lease *lease.Lease
	// leased is when the lease was granted.
	leased time.Time
	cache  *proxy.Cache
	// reader is the engine that made the cache.
	reader string
	// answered is set once the client got the header of an answer, begun once that
	// is the header of a stream. maybe is set from the time on at which the request
	// may have run.
	answered, begun, maybe bool
	sends, runs            int
	events                 int
	last                   string
	without                []string
}

// step is what follows a part of the work.
type step int

const (
	finish step = iota
	again
)

func (j *job) run(ctx context.Context) {
	for range rounds {
		if !j.acquire(ctx) {
			return
		}
		next := j.prefill(ctx)
		if next == finish && j.outcome.Result == "" {
			next = j.decode(ctx)
		}
		if next == finish {
			return
		}
		if ctx.Err() != nil {
			j.fail(ctx, "deadline")
			return
		}
	}
	j.fail(ctx, "attempts")
}

// release gives back what the request holds.
func (j *job) release(ctx context.Context) {
	j.endLease("")
	j.dropCache(ctx)
}

func (j *job) endLease(full string) {
	if j.lease != nil {
		j.lease.Close(full)
		j.lease = nil
	}
}

// dropCache frees a KV cache that no engine took.
func (j *job) dropCache(ctx context.Context) {
	cache := j.cache
	if cache == nil {
		return
	}
	j.cache = nil
	j.wasted(j.service.Name, cache.Tokens)
	if time.Since(cache.Created) > j.service.Engine.Handle {
		return // it has expired
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
		defer cancel()
		if err := j.backends.Free(ctx, cache); err != nil {
			j.log.Info("cache not freed", "request", j.call.ID, "handle", cache.Handle, "error", err.Error())
		}
	}()
}

// dropOldCache frees a KV cache that is too old to be offered to another engine.
func (j *job) dropOldCache(ctx context.Context) {
	if j.cache != nil && time.Since(j.cache.Created) > time.Duration(offerFor*float64(j.service.Engine.Handle)) {
		j.dropCache(ctx)
	}
}

// fail ends the request without an answer. What may have run is not said to
// have not run.
func (j *job) fail(ctx context.Context, reason string) {
	o := &j.outcome
	o.Reason = reason
	late := ctx.Err() != nil
	switch {
	case j.begun:
		o.Result, o.Status = "broken", 0
	case j.maybe && late:
		o.Result, o.Status = "unknown", http.StatusGatewayTimeout
	case j.maybe:
		o.Result, o.Status = "unknown", http.StatusBadGateway
	default:
		o.Result, o.Status = "refused", http.StatusServiceUnavailable
		if o.After == 0 {
			o.After = time.Second
		}
	}
}

// acquire obtains engines from the owner of the ledger.
func (j *job) acquire(ctx context.Context) bool {
	if j.service.Engine == nil {
		s, ok := j.table.Choose(time.Now(), j.service.Name, j.domain, j.without)
		if !ok {
			j.fail(ctx, "server")
			return false
		}
		j.lease, j.leased = lease.Unmanaged(s.ID), time.Now()
		return true
	}
	if end := j.end(); !j.begun && !end.IsZero() && time.Until(end) < time.Duration(endMargin*float64(j.stay(j.service.Name))) {
		// Another daemon can make the whole answer.
		j.outcome.After = stopWait
		j.fail(ctx, "stop")
		return false
	}
	elapsed := time.Since(j.call.Received)
	slack := j.route.Target - elapsed - j.lead(j.service.Name)
	ask := ledger.Request{Service: j.service.Name, Prompt: prompt(j.call), Expected: j.expect(j.route.Name, j.call),
		Slack: slack, MaxWait: max(slack, 0) + time.Duration(latePatience*float64(j.route.Target)),
		RetryMaxWait:  time.Duration(backPatience * float64(j.route.Target)),
		MaxRetryAfter: time.Duration(returnShare * float64(time.Until(j.deadline))),
		Fingerprint:   subject(j.call), Prefilled: j.cache != nil, Resumed: j.begun, Excluded: j.unusable(), Rank: j.route.Rank, Gap: j.route.Gap}
	if limit := time.Until(j.deadline) / 2; ask.RetryMaxWait > limit {
		ask.RetryMaxWait = limit
	}
	asked := time.Now()
	granted, err := j.granter.Acquire(ctx, ask)
	var refusal *lease.RefusedError
	switch {
	case err == nil:
		j.lease, j.leased = granted, time.Now()
		j.log.Info(lines.Grant, "request", j.call.ID, "service", ask.Service, "owner", granted.Owner.String(),
			"decode", granted.Decode, "prefill", granted.Prefill, "wait", lines.Ms(time.Since(asked)),
			"load", granted.Load, "prompt", ask.Prompt, "expect", ask.Expected, "slack", lines.Ms(slack))
		return true
	case errors.As(err, &refusal):
		j.outcome.After = refusal.RetryAfter
		j.log.Info(lines.Refusal, "request", j.call.ID, "service", ask.Service, "owner", refusal.Owner.String(),
			"reason", refusal.Reason, "predicted", lines.Ms(refusal.Wait), "ahead", refusal.Ahead,
			"load", refusal.Load, "waited", lines.Ms(time.Since(asked)), "slack", lines.Ms(slack))
		j.fail(ctx, refusal.Reason)
	default:
		j.fail(ctx, "owner")
	}
	return false
}

// unusable returns the engines that must not be granted: those that failed this
// request, and those that want no request of this daemon for a while.
func (j *job) unusable() []string {
	return slices.Concat(j.without, j.table.BackingOff(time.Now(), j.service.Name))
}

// countSend counts a sending; the first one adds to the budget for repeats.
func (j *job) countSend() {
	if j.sends == 0 {
		j.quota.Sent(j.service.Name)
	}
	j.sends++
}

// exclude leaves an engine out of the following rounds.
func (j *job) exclude(id string) { j.without = append(j.without, id) }

// attempt logs a sending that gave no answer.
func (j *job) attempt(part string, s pool.Server, begun time.Time, f *proxy.SendError) {
	j.log.Info(lines.Attempt, "request", j.call.ID, "service", j.service.Name, "part", part, "server", s.ID,
		"entry", s.Revision.String(), "send", j.sends, "fault", f.Fault.String(), "full", f.Full, "error", f.Error(),
		"took", lines.Ms(time.Since(begun)))
}

// prefill has the prompt read, unless it is or the decode engine has to do it.
// A prefill does not run the request, so that it may be repeated.
func (j *job) prefill(ctx context.Context) step {
	if j.lease.Prefill == "" || j.cache != nil {
		j.lease.SetDecoding()
		return finish
	}
	if j.table.IsUnhealthy(time.Now(), j.lease.Decode) {
		// The prompt would be read in vain.
		return j.elsewhere(ctx, j.lease.Decode, "", true)
	}
	s, ok := j.table.Available(time.Now(), j.lease.Prefill)
	if !ok {
		return j.elsewhere(ctx, j.lease.Prefill, "", true)
	}
	cut, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	j.countSend()
	begun := time.Now()
	note := j.table.Begin(s.ID)
	cache, err := j.backends.Prefill(cut, s, j.call, proxy.Options{Timeout: time.Until(j.deadline)})
	if err == nil {
		note(time.Now(), pool.OK, time.Since(begun))
		j.cache, j.reader = cache, s.ID
		j.lease.PrefillDone(time.Since(begun))
		return finish
	}
	f := asFault(err)
	note(time.Now(), outcome(ctx, f), 0)
	j.attempt("prefill", s, begun, f)
	full := ""
	if f.Fault == event.FaultRefused {
		full = s.ID // its owner finds out why
	}
	if f.Misdirected {
		j.verify(s)
	}
	return j.elsewhere(ctx, s.ID, full, f.Fault == event.FaultUnsent || j.quota.Take(j.service.Name))
}

// elsewhere prepares another round without an engine. full is the engine that
// refused.
func (j *job) elsewhere(ctx context.Context, id, full string, allowed bool) step {
	j.endLease(full)
	if !allowed {
		j.fail(ctx, "budget")
		return finish
	}
	if id != "" {
		j.exclude(id)
	}
	return again
}

// decode has the answer made and passes it on.
func (j *job) decode(ctx context.Context) step {
	s, ok := j.table.Available(time.Now(), j.lease.Decode)
	if !ok {
		return j.elsewhere(ctx, j.lease.Decode, "", true)
	}
	j.countSend()
	begun := time.Now()
	note := j.table.Begin(s.ID)
	cut, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reply, err := j.backends.Send(cut, s, j.call, proxy.Options{Timeout: time.Until(j.deadline), Cache: j.cache, LastEventID: j.last})
	if err != nil {
		f := asFault(err)
		note(time.Now(), outcome(ctx, f), 0)
		j.attempt("decode", s, begun, f)
		j.broke(ctx, s, begun, f)
		return j.undecoded(ctx, s, f)
	}
	defer reply.Close()
	j.cache = nil // taken by the engine
	j.runs++
	j.maybe = true
	j.outcome.Server = s.ID
	if reply.Status != http.StatusOK {
		note(time.Now(), pool.Failed, 0)
		return j.other(ctx, s, reply)
	}
	f := j.relay(ctx, cancel, reply)
	if f == nil {
		note(time.Now(), pool.OK, 0)
		j.guard.RecordSuccess(j.call)
		j.outcome.Result, j.outcome.Status = "ok", http.StatusOK
		return finish
	}
	note(time.Now(), outcome(ctx, f), 0)
	j.attempt("stream", s, begun, f)
	j.broke(ctx, s, begun, f)
	return j.interrupted(ctx, s, f)
}

// undecoded follows a decode request without an answer.
func (j *job) undecoded(ctx context.Context, s pool.Server, f *proxy.SendError) step {
	if f.Misdirected {
		j.verify(s)
	}
	switch {
	case f.Fault == event.FaultUnsent:
		j.dropOldCache(ctx)
		return j.elsewhere(ctx, s.ID, "", true)
	case f.Fault == event.FaultRefused && j.cache != nil && j.table.IsBackingOff(time.Now(), s):
		// The engine wants nothing for a while, so that the KV cache is not the reason.
		j.dropOldCache(ctx)
		return j.elsewhere(ctx, s.ID, s.ID, j.quota.Take(j.service.Name))
	case f.Fault == event.FaultRefused && f.Full && j.cache != nil:
		// The ledger had room, so that a lost cache is the likelier cause: the
		// caches of some engines lapse early.
		j.table.MarkUnhealthy(time.Now(), j.reader, lapseRest)
		j.exclude(j.reader)
		j.dropCache(ctx)
		return j.elsewhere(ctx, "", s.ID, j.quota.Take(j.service.Name))
	case f.Fault == event.FaultRefused:
		return j.elsewhere(ctx, s.ID, s.ID, j.quota.Take(j.service.Name))
	}
	j.cache = nil // the engine may have taken it
	j.runs++
	j.maybe = true
	return j.interrupted(ctx, s, f)
}

// interrupted follows a run that broke off.
func (j *job) interrupted(ctx context.Context, s pool.Server, f *proxy.SendError) step {
	may := j.route.Resume && j.runs < j.route.Attempts && ctx.Err() == nil
	if may && j.quota.Take(j.service.Name) {
		j.endLease("")
		j.exclude(s.ID)
		return again
	}
	j.fail(ctx, f.Fault.String())
	return finish
}

// other passes on an answer that is no stream.
func (j *job) other(ctx context.Context, s pool.Server, reply *proxy.Response) step {
	body, err := j.memory.Read(reply.Body, answerLimit)
	defer body.Release()
	if err != nil || proxy.MeansNotRun(reply.Status) || j.begun {
		return j.interrupted(ctx, s, &proxy.SendError{Fault: event.FaultFailed, Err: errors.New("engine answers " + http.StatusText(reply.Status))})
	}
	j.outcome.Result, j.outcome.Reason, j.outcome.Status = "failed", "server", reply.Status
	j.answered = true
	proxy.CopyHeader(j.out.Header(), reply.Header)
	proxy.SetLength(j.out.Header(), len(body.Bytes))
	j.out.WriteHeader(reply.Status)
	_, _ = j.out.Write(body.Bytes) // a failed write shows that the client left
	return finish
}
