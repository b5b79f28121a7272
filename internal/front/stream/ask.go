package stream

import (
	"context"
	"errors"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
)

// leaseRequest returns the request for a lease on engines that have not failed this
// request.
func (j *job) leaseRequest() ledger.Request {
	slack := j.route.Target - time.Since(j.req.Received) - j.firstEventDelay(j.service.Name)
	req := ledger.Request{Service: j.service.Name, Prompt: promptTokens(j.req), Expected: j.expectedOutput(j.route.Name, j.req),
		Slack: slack, MaxWait: max(slack, 0) + time.Duration(lateWaitShare*float64(j.route.Target)),
		RetryMaxWait:  min(time.Duration(retryWaitShare*float64(j.route.Target)), time.Until(j.deadline)/2),
		MaxRetryAfter: time.Duration(maxRetryAfterShare * float64(time.Until(j.deadline))),
		Fingerprint:   fingerprint(j.req), Prefilled: j.cache != nil, Alone: !j.charge.CanReserve(time.Now(), budget.Prefill, budget.Run), Resumed: j.streaming, Excluded: j.excludedEngines(), Held: j.table.Held(time.Now(), j.service.Name), Rank: j.req.Rank(j.route), Tenant: j.req.TenantName(), Gap: j.route.Gap}
	j.goOn(&req)
	if j.begun() && !j.move.silent {
		req.RetryMaxWait = max(time.Until(j.holdEnd()), 0)
	}
	if req.Alone && (j.streaming || j.mayHaveRun) {
		// The owner is asked again then, for a prefill engine too if the budget has been earned.
		req.RetryMaxWait = min(req.RetryMaxWait, maxHoldPause)
	}
	return req
}

// requestLease asks the owner of the service for a lease and logs its reply. It uses no
// state of the job that changes.
func (j *job) requestLease(ctx context.Context, leaseReq ledger.Request) (*lease.Lease, error) {
	start := time.Now()
	granted, err := j.acquirer.Acquire(ctx, leaseReq)
	var refused *lease.RefusedError
	switch {
	case err == nil:
		j.log.Info(lines.Grant, "request", j.req.ID, "service", leaseReq.Service, "owner", granted.Owner.String(),
			"decode", granted.Decode, "prefill", granted.Prefill, "wait", lines.Ms(time.Since(start)),
			"load", granted.Load, "prompt", leaseReq.Prompt, "expect", leaseReq.Expected, "slack", lines.Ms(leaseReq.Slack))
	case errors.As(err, &refused):
		j.log.Info(lines.Refusal, "request", j.req.ID, "service", leaseReq.Service, "owner", refused.Owner.String(),
			"reason", refused.Reason, "predicted", lines.Ms(refused.Wait), "ahead", refused.Ahead,
			"load", refused.Load, "waited", lines.Ms(time.Since(start)), "slack", lines.Ms(leaseReq.Slack))
	}
	return granted, err
}

// excludedEngines returns the engines that must not be granted: those that failed
// this request, and those that are backing off.
func (j *job) excludedEngines() []string {
	return slices.Concat(j.excluded, j.table.BackingOff(time.Now(), j.service.Name))
}
