package stream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// maxLeases is the number of leases that one request may use.
	maxLeases = 4
	// maxLimited is the number of additional leases for engines whose limits leave no
	// room.
	maxLimited = 8
	// lateWaitShare is the share of the latency target for which a lease request may
	// wait beyond the time at which the answer becomes late.
	lateWaitShare = 0.5
	// retryWaitShare is the longest queueing time of a client's retry as a share of the
	// latency target.
	retryWaitShare = 2.0
	// maxRetryAfterShare is the longest Retry-After delay as a share of the remaining
	// time: clients wait for at most a third.
	maxRetryAfterShare = 0.32
	// prefillTimeout is the time after which a prefill engine counts as silent. The ledger
	// lets a prompt queue for up to half a second, and the prefill itself takes less. After
	// that, a lost response is the more likely cause.
	prefillTimeout = 900 * time.Millisecond
	// expectedFactor is the multiple of the time that the owner expects of a prefill with its
	// queue, after which the engine counts as silent if that is longer. A prefill that is
	// given up in a queue is wasted, and the next one makes another queue longer.
	expectedFactor = 2
	// maxExpected bounds that time, which another daemon tells.
	maxExpected = 1500 * time.Millisecond
	// offerShare is the share of a KV cache's retention time during which it is offered
	// to a second engine.
	offerShare = 0.7
	// cacheLossTime is how long a prefill engine counts as unhealthy after its KV cache
	// was lost.
	cacheLossTime = 3 * time.Second
	// freeTimeout bounds the release of a KV cache.
	freeTimeout = 400 * time.Millisecond
	// responseLimit bounds a response other than a stream, in bytes.
	responseLimit = 1 << 20
)

// job is the state of one generation.
type job struct {
	*Handler
	req      *proxy.Request
	route    *config.Route
	service  config.Service
	deadline time.Time
	out      http.ResponseWriter
	outcome  lines.Outcome

	// version is where the response goes on.
	version version

	// charge counts what reached an engine.
	charge *budget.Charge
	lease  *lease.Lease
	// replacement is the lease in favour of which a silent run was given up. The retry
	// budget has been charged for it.
	replacement *lease.Lease
	// leases counts the leases that were used.
	leases int
	// leasedAt is when the lease was granted.
	leasedAt time.Time
	cache    *proxy.Cache
	// prefiller is the engine that made the cache.
	prefiller string
	// headerSent is set once the client got the header of an answer, streaming once
	// that is the header of a stream, and mayHaveRun once the request may have run at
	// an engine.
	headerSent, streaming, mayHaveRun bool
	// keep keeps the end of the grace period from ending a stream that has begun.
	keep        func() bool
	sends, runs int
	// limited counts the leases that were not used because of limits of engines.
	limited int
	// strays counts the leases that were not used because of the engine's version.
	strays int
	events int
	// server is the entry of the engine as of the last send.
	server pool.Server
	// answeredAt is when the header of its response came.
	answeredAt time.Time
	// runEvents counts the events of the current run, firstEventAt is when it sent the
	// first one.
	runEvents    int
	firstEventAt time.Time
	// lastEventAt is when the client got the last event, of any run.
	lastEventAt time.Time
	// goneOn is set once the run has got beyond the point at which engines crash.
	goneOn      bool
	lastEventID string
	excluded    []string
	move        move
}

// step tells whether the request is finished or another lease is needed.
type step int

const (
	finish step = iota
	again
)

func (j *job) run(ctx context.Context) {
	if !j.findOrigin(ctx) {
		return
	}
	for ; j.replacement != nil || j.leases < j.maxLeases() || j.hold(ctx); j.leases++ {
		if j.refuseStop(ctx) || !j.payRetry(ctx) || !j.mayGoOn(ctx) || !j.acquire(ctx) || j.refuseStop(ctx) {
			return
		}
		next := j.checkGrant()
		if next == finish {
			next = j.prefill(ctx)
		}
		if next == finish && j.outcome.Result == "" {
			if j.refuseStop(ctx) {
				return
			}
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

// release gives up the leases and the KV cache of the request.
func (j *job) release(ctx context.Context) {
	j.closeLease("")
	if j.replacement != nil {
		j.replacement.Close("")
	}
	j.freeCache(ctx)
}

func (j *job) closeLease(full string) {
	if j.lease != nil {
		j.lease.Close(full)
		j.lease = nil
	}
}

// freeCache releases a KV cache that no engine has used.
func (j *job) freeCache(ctx context.Context) {
	cache := j.cache
	if cache == nil {
		return
	}
	j.cache = nil
	j.onWaste(j.service.Name, cache.Tokens)
	if time.Since(cache.Created) > j.service.Engine.Handle {
		return // it has expired
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
		defer cancel()
		if err := j.backends.Free(ctx, cache); err != nil {
			j.log.Info("KV cache could not be freed", "request", j.req.ID, "handle", cache.Handle, "error", err.Error())
		}
	}()
}

// freeOldCache releases a KV cache that is too old to be offered to another engine.
func (j *job) freeOldCache(ctx context.Context) {
	if j.cache != nil && time.Since(j.cache.Created) > time.Duration(offerShare*float64(j.service.Engine.Handle)) {
		j.freeCache(ctx)
	}
}

// fail ends the request without an answer of an engine. A request that may have run
// is never reported as not run.
func (j *job) fail(ctx context.Context, reason string) {
	o := &j.outcome
	o.Reason = reason
	late := ctx.Err() != nil
	switch {
	case j.streaming:
		o.Result, o.Status = "broken", 0
	case j.mayHaveRun && late:
		o.Result, o.Status = "unknown", http.StatusGatewayTimeout
	case j.mayHaveRun:
		o.Result, o.Status = "unknown", http.StatusBadGateway
	default:
		o.Result, o.Status = "refused", http.StatusServiceUnavailable
		if len(j.table.Held(time.Now(), j.service.Name)) > 0 && (reason == ledger.ReasonNoEngine || j.limited > 0) {
			o.Reason, o.RetryAfter = string(citronrock.ReasonLimit), max(o.RetryAfter, j.table.RetryAfter(time.Now(), j.service.Name))
		}
		if o.RetryAfter == 0 {
			o.RetryAfter = min(time.Second, j.maxRetryAfter())
		}
	}
}

// acquire obtains a lease from the owner of the service, or chooses a server if the
// service has no ledger.
func (j *job) acquire(ctx context.Context) bool {
	if j.replacement != nil {
		j.lease, j.leasedAt, j.replacement = j.replacement, time.Now(), nil
		return true
	}
	if j.service.Engine == nil {
		s, ok := j.chooseServer(j.excluded)
		for !ok && j.hold(ctx) {
			s, ok = j.chooseServer(j.excluded)
		}
		if !ok {
			j.fail(ctx, "server")
			return false
		}
		j.lease, j.leasedAt = lease.Unmanaged(s.ID), time.Now()
		return true
	}
	granted, err := j.requestLease(ctx, j.leaseRequest())
	for err != nil && j.mayAsk(ctx, err) {
		if j.refuseStop(ctx) || !j.mayGoOn(ctx) {
			return false
		}
		granted, err = j.requestLease(ctx, j.leaseRequest())
	}
	var refused *lease.RefusedError
	switch {
	case err == nil:
		j.lease, j.leasedAt = granted, time.Now()
		return true
	case errors.As(err, &refused):
		j.outcome.RetryAfter = j.retryAfter(refused)
		j.fail(ctx, refused.Reason)
	default:
		j.fail(ctx, "owner")
	}
	return false
}

// exclude excludes an engine from further leases.
func (j *job) exclude(id string) { j.excluded = append(j.excluded, id) }

// logAttempt logs a failed attempt.
func (j *job) logAttempt(part string, s pool.Server, start time.Time, sendErr *proxy.SendError) {
	j.log.Info(lines.Attempt, "request", j.req.ID, "service", j.service.Name, "part", part, "server", s.ID,
		"software", s.Version, "entry", s.Revision.String(), "send", j.sends, "fault", sendErr.Fault.String(), "full", sendErr.Full, "error", sendErr.Error(),
		"took", lines.Ms(time.Since(start)))
}

// decode sends the request to the decode engine and relays the response.
func (j *job) decode(ctx context.Context) step {
	s, ok := j.table.Available(time.Now(), j.lease.Decode)
	if !ok {
		return j.retryElsewhere(j.lease.Decode, "")
	}
	if !j.suits(s) {
		return j.strayed(s)
	}
	if j.refusePart(ctx) {
		return finish
	}
	if !j.isProcess(ctx, s) {
		return j.retryElsewhere(s.ID, "")
	}
	start := time.Now()
	if !j.charge.Send(start, budget.Run) {
		return j.retryElsewhere("", "")
	}
	j.server, j.runEvents, j.goneOn = s, 0, false
	report := j.table.Begin(s.ID)
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := j.backends.Send(runCtx, s, j.req, proxy.Options{Timeout: j.serverTime(), Cache: j.cache, LastEventID: j.lastEventID})
	if isLimited(err) {
		report(time.Now(), pool.Unknown, 0)
		j.charge.NotReceived(budget.Run)
		j.freeOldCache(ctx)
		return j.retryUnlimited(s.ID)
	}
	j.sends++
	if err != nil {
		sendErr := asSendError(err)
		report(time.Now(), serverOutcome(ctx, sendErr), 0)
		j.logAttempt("decode", s, start, sendErr)
		j.noteCrash(ctx, s, start, sendErr)
		return j.decodeFailed(ctx, s, sendErr)
	}
	defer resp.Close()
	j.answeredAt = time.Now()
	j.cache, j.move = nil, move{} // the engine has taken the cache over
	j.noteRun(s)
	j.outcome.Server, j.outcome.Software = s.ID, s.Version
	if resp.Status != http.StatusOK {
		report(time.Now(), pool.Failed, 0)
		return j.passResponse(ctx, s, resp)
	}
	sendErr := j.relay(ctx, cancel, s, resp)
	if sendErr == nil {
		report(time.Now(), pool.OK, 0)
		j.guard.RecordSuccess(j.req, j.service.Name)
		j.outcome.Result, j.outcome.Status = "ok", http.StatusOK
		return finish
	}
	report(time.Now(), serverOutcome(ctx, sendErr), 0)
	j.logAttempt("stream", s, start, sendErr)
	j.noteCrash(ctx, s, start, sendErr)
	return j.runFailed(ctx, s, sendErr)
}

// decodeFailed handles a decode request without a response.
func (j *job) decodeFailed(ctx context.Context, s pool.Server, sendErr *proxy.SendError) step {
	if sendErr.Misdirected {
		j.verify(s)
	}
	switch {
	case sendErr.Fault == event.FaultUnsent:
		j.charge.NotReceived(budget.Run)
		j.freeOldCache(ctx)
		return j.retryElsewhere(s.ID, "")
	case sendErr.Fault == event.FaultRefused && j.cache != nil && j.table.IsBackingOff(time.Now(), s):
		// The engine is backing off, so a lost KV cache is not the reason.
		j.freeOldCache(ctx)
		return j.retryElsewhere(s.ID, s.ID)
	case sendErr.Fault == event.FaultRefused && sendErr.Full && j.cache != nil:
		// The ledger had room, so a lost KV cache is the more likely cause: some
		// engines drop theirs before the retention time ends.
		j.table.MarkUnhealthy(time.Now(), j.prefiller, cacheLossTime)
		j.exclude(j.prefiller)
		j.freeCache(ctx)
		return j.retryElsewhere("", s.ID)
	case sendErr.Fault == event.FaultRefused:
		return j.retryElsewhere(s.ID, s.ID)
	}
	j.cache, j.move = nil, move{} // the engine may have taken the cache over
	j.noteRun(s)
	return j.runFailed(ctx, s, sendErr)
}

// runFailed handles a run that broke off: it is resumed at another engine where that
// is allowed.
func (j *job) runFailed(ctx context.Context, s pool.Server, sendErr *proxy.SendError) step {
	switch {
	case !j.route.Resume:
		j.outcome.NotMoved = "route"
	case j.runs >= j.route.Attempts:
		j.outcome.NotMoved = "attempts"
	case ctx.Err() != nil:
		j.outcome.NotMoved = "deadline"
	case !j.mayMove(ctx, s):
		j.outcome.NotMoved = "version"
	default:
		paid := j.replacement != nil || j.charge.Reserve(time.Now(), budget.Run)
		if !paid && !j.begun() {
			j.outcome.NotMoved = "budget"
			break
		}
		j.closeLease("")
		j.exclude(s.ID)
		j.move = move{silent: j.replacement != nil}
		if j.move.silent {
			j.move.excluded = len(j.excluded)
		}
		if !paid {
			j.move.unpaid = sendErr.Fault.String()
		}
		return again
	}
	j.fail(ctx, sendErr.Fault.String())
	return finish
}

// passResponse passes on a response that is not a stream.
func (j *job) passResponse(ctx context.Context, s pool.Server, resp *proxy.Response) step {
	body, err := j.memory.Response(s.Addr, resp.Close).Read(resp.Body, responseLimit)
	defer body.Release()
	if err != nil || proxy.MeansNotRun(resp.Status) || j.streaming {
		return j.runFailed(ctx, s, &proxy.SendError{Fault: event.FaultFailed, Err: errors.New("engine responded with " + http.StatusText(resp.Status))})
	}
	j.outcome.Result, j.outcome.Reason, j.outcome.Status = "failed", "server", resp.Status
	j.headerSent = true
	proxy.CopyHeader(j.out.Header(), resp.Header)
	proxy.SetLength(j.out.Header(), len(body.Bytes))
	j.out.WriteHeader(resp.Status)
	_, _ = j.out.Write(body.Bytes) // a write error means that the client left
	return finish
}
