package stream_test

import (
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
)

// Guards against a generation that fails, or wastes its prefill, because the limit of one
// engine leaves no room, and against counting such an engine as an attempt.
func TestLimitedEngines(t *testing.T) {
	limited := &proxy.SendError{Fault: event.FaultUnsent, Limited: true, Err: errReset}
	whole := run{status: 200, from: 1, to: 4}
	cases := map[string]struct {
		prefills         []error
		runs             []run
		status, attempts int
		prefillers       []string
		held             bool
	}{
		"none":                    {nil, []run{whole}, 200, 2, []string{"p1"}, false},
		"prefill engine":          {[]error{limited}, []run{whole}, 200, 2, []string{"p1", "p2"}, false},
		"decode engine":           {nil, []run{{fault: limited}, whole}, 200, 2, []string{"p1"}, false},
		"five in all":             {[]error{limited, limited}, []run{{fault: limited}, {fault: limited}, {fault: limited}, whole}, 200, 2, []string{"p1", "p2", "p3"}, false},
		"decode engines, all":     {nil, []run{{fault: limited}}, 503, 1, []string{"p1"}, true},
		"one that then breaks":    {nil, []run{{fault: limited}, {fault: &proxy.SendError{Fault: event.FaultBroken, Err: errReset}}}, 502, 2, []string{"p1"}, false},
		"one that then is unsent": {nil, []run{{fault: limited}, {fault: &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}}, whole}, 200, 3, []string{"p1"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &fakeBackends{runs: c.runs, prefills: c.prefills, freed: make(chan string, 8)}
			servers := table()
			if c.held {
				w.sending = func(string) {
					for _, e := range servers.All() {
						servers.Hold(e.Process(), time.Now().Add(time.Second), time.Now().Add(2*time.Second))
					}
				}
			}
			rec, o := handle(t, newHandler(servers, w), false, 3*time.Second)
			if rec.Code != c.status || o.Attempts != c.attempts || !slices.Equal(w.prefillers, c.prefillers) {
				t.Errorf("status %d after %d attempts, prefilled by %v; want %d after %d by %v", rec.Code, o.Attempts, w.prefillers, c.status, c.attempts, c.prefillers)
			}
			if c.status == 503 && (o.Reason != "limit" || o.RetryAfter < 1900*time.Millisecond) {
				t.Errorf("reason %q, retry after %v; want the limit and when there will be room", o.Reason, o.RetryAfter)
			}
		})
	}
}
