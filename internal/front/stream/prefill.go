package stream

import (
	"context"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
)

// prefill has the prompt prefilled, unless it already is or the decode engine does
// it. A prefill may be repeated, since the request does not run by it.
func (j *job) prefill(ctx context.Context) step {
	if j.lease.Prefill == "" || j.cache != nil {
		j.lease.SetDecoding()
		return finish
	}
	if j.table.IsUnhealthy(time.Now(), j.lease.Decode) {
		// The result of the prefill could not be used.
		return j.retryElsewhere(j.lease.Decode, "")
	}
	s, ok := j.table.Available(time.Now(), j.lease.Prefill)
	if !ok {
		return j.retryElsewhere(j.lease.Prefill, "")
	}
	if j.refusePart(ctx) {
		return finish
	}
	start := time.Now()
	// Without a retry for the run, the prompt would be prefilled for nothing.
	if !j.charge.Reserve(start, budget.Prefill, budget.Run) || !j.charge.Send(start, budget.Prefill) {
		return j.retryElsewhere("", "")
	}
	report := j.table.Begin(s.ID)
	cache, err := j.prefillAt(ctx, s)
	if isLimited(err) {
		report(time.Now(), pool.Unknown, 0)
		j.charge.NotReceived(budget.Prefill)
		return j.retryUnlimited(s.ID)
	}
	j.sends++
	if err == nil {
		j.charge.Accepted()
		report(time.Now(), pool.OK, time.Since(start))
		j.cache, j.prefiller = cache, s.ID
		took := time.Since(start)
		if j.text() > 0 {
			took = 0 // the lease's prompt includes text that is read elsewhere
		}
		j.lease.PrefillDone(took)
		return finish
	}
	sendErr := asSendError(err)
	report(time.Now(), serverOutcome(ctx, sendErr), 0)
	j.logAttempt("prefill", s, start, sendErr)
	if sendErr.Fault == event.FaultUnsent {
		j.charge.NotReceived(budget.Prefill)
	}
	if j.replacement != nil {
		return j.retryElsewhere(s.ID, "")
	}
	full := ""
	if sendErr.Fault == event.FaultRefused {
		full = s.ID // the owner polls the engine for the reason
	}
	if sendErr.Misdirected {
		j.verify(s)
	}
	return j.retryElsewhere(s.ID, full)
}

// prefillAt has the prompt prefilled at an engine. A silent one is given up as a silent run
// is, since the end of the request would be no better.
func (j *job) prefillAt(ctx context.Context, s pool.Server) (cache *proxy.Cache, err error) {
	prefillCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := j.watch(ctx, cancel, s, max(prefillTimeout, expectedFactor*min(j.lease.Prefilled, maxExpected)), pool.Broken)
	defer stall.stop()
	timeout := j.serverTime()
	func() {
		stall.unlock()
		defer stall.lock()
		cache, err = j.backends.Prefill(prefillCtx, s, j.req, proxy.Options{Timeout: timeout})
	}()
	givenUp := stall.verdict()
	switch {
	case givenUp != nil && err != nil:
		return nil, givenUp
	case j.replacement != nil: // the cache has come after all
		j.replacement.Close("")
		j.replacement = nil
	}
	return cache, err
}

// retryElsewhere releases the lease and prepares another one without the engine id.
// full is the engine that refused the request for lack of room.
func (j *job) retryElsewhere(id, full string) step {
	j.closeLease(full)
	if id != "" {
		j.exclude(id)
	}
	return again
}

// retryUnlimited prepares another lease without an engine whose limit leaves no room. It
// does not count as one of the maxLeases.
func (j *job) retryUnlimited(id string) step {
	j.limited++
	return j.retryElsewhere(id, "")
}
