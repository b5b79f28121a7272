package edge

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/wire/caller"
)

type noMeter struct{}

func (noMeter) FirstToken(string, string, time.Duration)             {}
func (noMeter) TokenGaps(string, string, []time.Duration)            {}
func (noMeter) Answer(string, string, string, string, time.Duration) {}
func (noMeter) WastedTokens(string, int64)                           {}

// Guards against failures that reach a client without their kind or Retry-After
// delay, and against incomplete answers that aren't logged with their request ID.
func TestRefuse(t *testing.T) {
	cases := map[string]struct {
		err    error
		code   connect.Code
		kind   caller.Failure_Kind
		retry  string
		logged bool
	}{
		"limit":   {&citronrock.Error{Kind: citronrock.NotRun, Reason: citronrock.ReasonLimit, RetryAfter: 1200 * time.Millisecond}, connect.CodeResourceExhausted, caller.Failure_NOTRUN, "2", false},
		"drain":   {&citronrock.Error{Kind: citronrock.NotRun, Reason: citronrock.ReasonDrain}, connect.CodeUnavailable, caller.Failure_NOTRUN, "", false},
		"unknown": {&citronrock.Error{Kind: citronrock.Unknown, Reason: citronrock.ReasonBackend}, connect.CodeUnknown, caller.Failure_UNKNOWN, "", true},
		"failed":  {&citronrock.Error{Kind: citronrock.Failed, Reason: citronrock.ReasonBackend}, connect.CodeInternal, caller.Failure_FAILED, "", true},
		"untyped": {errors.New("broken pipe"), connect.CodeUnknown, caller.Failure_UNKNOWN, "", false},
		"gone":    {context.Canceled, connect.CodeCanceled, caller.Failure_NONE, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			log := hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
			e := New("d1", 1, nil, nil, nil, noMeter{}, WithLogger(log))
			err := e.refuse(&caller.Head{}, "d1-1-7", time.Now(), c.err)
			var out *connect.Error
			if !errors.As(err, &out) || out.Code() != c.code || out.Meta().Get("Retry-After") != c.retry {
				t.Fatalf("error %v, retry after %q, want code %v and %q", err, out.Meta().Get("Retry-After"), c.code, c.retry)
			}
			kind := caller.Failure_NONE
			for _, d := range out.Details() {
				if v, err := d.Value(); err == nil {
					kind = v.(*caller.Failure).Kind
				}
			}
			if kind != c.kind {
				t.Errorf("kind %v, want %v", kind, c.kind)
			}
			if got := strings.Contains(lines.String(), `"request":"d1-1-7"`); got != c.logged {
				t.Errorf("logged %t, want %t: %s", got, c.logged, lines.String())
			}
		})
	}
}
