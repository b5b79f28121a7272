package ledger

import (
	"testing"
	"time"
)

// Guards against predicted waits that count engines which can't serve a request, or
// requests that don't compete with it: it would wait in vain or be refused needlessly.
func TestBacklogWait(t *testing.T) {
	cases := map[string]struct {
		earlier []Request
		version string
		want    time.Duration
	}{
		"nothing, any version":              {nil, "", time.Second},
		"nothing, one version":              {nil, "v1", 2 * time.Second},
		"another version":                   {[]Request{{Prompt: 500, Version: "v2"}}, "v1", 2 * time.Second},
		"the same version":                  {[]Request{{Prompt: 500, Version: "v1"}}, "v1", 3 * time.Second},
		"any version before one":            {[]Request{{Prompt: 1000}}, "v1", 3 * time.Second},
		"a version's queue elsewhere":       {[]Request{{Prompt: 9000, Version: "v1"}}, "", 2 * time.Second},
		"short queues of both":              {[]Request{{Prompt: 100, Version: "v1"}, {Prompt: 100, Version: "v2"}}, "", 1200 * time.Millisecond},
		"a version that has left is queued": {[]Request{{Prompt: 9000, Version: "v3"}}, "", time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBacklog()
			for _, r := range c.earlier {
				b.add(&r)
			}
			r := rates{1000, map[string]float64{"v1": 500, "v2": 500}}
			if got := b.wait(r, &Request{Prompt: 800, Expected: 200, Version: c.version}); got.Round(time.Millisecond) != c.want {
				t.Errorf("wait %v, want %v", got, c.want)
			}
		})
	}
}
