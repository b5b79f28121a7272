package edge

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/wire/caller"
)

// refuse counts and logs a failure and returns it as an error of the caller protocol.
func (e *Edge) refuse(head *caller.Head, request string, begin time.Time, err error) error {
	outcome, reason := "gone", ""
	var typed *citronrock.Error
	if errors.As(err, &typed) {
		outcome, reason = typed.Kind.String(), string(typed.Reason)
	}
	service, tenant := "", ""
	// Names that are not in the document would add metric series without bound.
	if doc := e.doc.Load(); doc != nil {
		if doc.FindService(head.GetService()) != nil {
			service = head.GetService()
		}
		if doc.FindTenant(head.GetTenant()) != nil {
			tenant = head.GetTenant()
		}
	}
	e.meter.Answer(service, tenant, outcome, reason, time.Since(begin))
	if typed != nil && typed.Kind != citronrock.NotRun {
		e.log.Warn("request ended without a complete answer", "request", request, "service", service,
			"tenant", tenant, "kind", outcome, "reason", reason, "remedy", typed.Remedy)
	}
	return connectError(err, request)
}

// connectError returns a Connect error with a caller.Failure and, if there is one,
// the Retry-After delay.
func connectError(err error, request string) error {
	var typed *citronrock.Error
	if !errors.As(err, &typed) {
		if errors.Is(err, context.Canceled) {
			return connect.NewError(connect.CodeCanceled, err)
		}
		typed = &citronrock.Error{Kind: citronrock.Unknown, Reason: citronrock.ReasonBackend, Remedy: err.Error()}
	}
	out := connect.NewError(code(typed), errors.New(typed.Remedy))
	f := &caller.Failure{Kind: caller.Failure_Kind(typed.Kind), Reason: string(typed.Reason), Request: request}
	if typed.RetryAfter > 0 {
		f.After = durationpb.New(typed.RetryAfter)
		out.Meta().Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	if detail, err := connect.NewErrorDetail(f); err == nil {
		out.AddDetail(detail)
	}
	return out
}

func code(e *citronrock.Error) connect.Code {
	switch e.Reason {
	case citronrock.ReasonInvalid:
		return connect.CodeInvalidArgument
	case citronrock.ReasonLimit:
		return connect.CodeResourceExhausted
	case citronrock.ReasonDeadline:
		return connect.CodeDeadlineExceeded
	case citronrock.ReasonSuspect:
		return connect.CodeFailedPrecondition
	}
	switch e.Kind {
	case citronrock.NotRun:
		return connect.CodeUnavailable
	case citronrock.Unknown:
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

func remedy(r citronrock.Reason) string {
	switch r {
	case citronrock.ReasonLimit:
		return "the tenant is over its limit of requests; wait and send fewer"
	case citronrock.ReasonOverload:
		return "the latency targets can't be met now; send the request again after the given time"
	case citronrock.ReasonDeadline:
		return "the deadline passed; allow more time"
	case citronrock.ReasonDrain:
		return "this daemon is stopping; send the request again"
	case citronrock.ReasonSuspect:
		return "earlier runs of this content crashed engines; change it, or come back after the given time"
	case citronrock.ReasonBackend:
		return "no engine completed the request; send it again"
	}
	return "the request failed; send it again"
}
