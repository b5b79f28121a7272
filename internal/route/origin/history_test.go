package origin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against a guess from a history that is not complete, has an engine of unknown
// version or several versions, and against a refusal where one version only can have begun
// the stream: at a daemon that has just started, too, and before its own store answers.
func TestStreamWithoutRecord(t *testing.T) {
	type list struct {
		versions []string
		complete bool
		// slow is how long the store takes to confirm it, negative if it can't.
		slow time.Duration
		// late is how much later than the others' lists this daemon's begins.
		late uint64
	}
	one, two, unknown := list{[]string{"v1"}, true, 0, 0}, list{[]string{"v1", "v2", "v3"}, true, 0, 0}, list{[]string{"v1"}, false, 0, 0}
	late := list{[]string{"v1"}, false, 0, 1}
	cut, unknownAndCut := list{[]string{"v1"}, true, -1, 0}, list{[]string{"v1"}, false, -1, 0}
	cases := map[string]struct {
		own, others list
		ok          bool
		within      time.Duration
	}{
		"one version":                                      {one, one, true, 10 * time.Millisecond},
		"known here only":                                  {one, unknown, true, 10 * time.Millisecond},
		"known to others only":                             {unknown, one, true, 10 * time.Millisecond},
		"read from the store":                              {list{[]string{"v1"}, true, 350 * time.Millisecond, 0}, unknown, true, 360 * time.Millisecond},
		"the store does not answer":                        {list{[]string{"v1"}, true, time.Hour, 0}, unknown, false, 510 * time.Millisecond},
		"others know before the store":                     {list{[]string{"v1"}, true, 350 * time.Millisecond, 0}, one, true, 360 * time.Millisecond},
		"others lack what the store has":                   {list{[]string{"v2"}, true, 350 * time.Millisecond, 0}, one, false, 360 * time.Millisecond},
		"others know, the store does not answer":           {list{[]string{"v1"}, true, time.Hour, 0}, one, false, 510 * time.Millisecond},
		"cut off from the store":                           {cut, one, false, 10 * time.Millisecond},
		"just started, cut off from the store":             {unknownAndCut, one, false, 10 * time.Millisecond},
		"only the others are cut off":                      {unknown, cut, true, 10 * time.Millisecond},
		"a gap between the others' list and this daemon's": {late, one, false, 10 * time.Millisecond},
		"known to nobody":                                  {unknown, unknown, false, 10 * time.Millisecond},
		"several versions":                                 {two, two, false, 10 * time.Millisecond},
		"others know of more":                              {one, two, false, 10 * time.Millisecond},
		"others know of more, at last":                     {unknown, list{[]string{"v1", "v1", "v1", "v2"}, true, 0, 0}, false, 10 * time.Millisecond},
		"an engine of unknown version":                     {list{[]string{"v1", ""}, true, 0, 0}, unknown, false, 10 * time.Millisecond},
		"engines of unknown version":                       {list{[]string{""}, true, 0, 0}, unknown, false, 10 * time.Millisecond},
		"the same version twice":                           {list{[]string{"v1", "v1"}, true, 0, 0}, one, true, 10 * time.Millisecond},
		"no engines at all":                                {list{nil, true, 0, 0}, unknown, false, 10 * time.Millisecond},
		"several, one certain":                             {unknown, list{[]string{"v1", "v2"}, false, 0, 0}, false, 10 * time.Millisecond},
		"several, of which one is known":                   {one, list{[]string{"v2"}, true, 0, 0}, false, 10 * time.Millisecond},
	}
	for name, c := range cases {
		for _, attempt := range []string{"", "0123456789abcdef"} {
			t.Run(name+", "+attempt, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(7, 0, 6)
					defer f.close()
					d := f.daemons[0]
					f.history = func(ctx context.Context, at *daemon) origin.List {
						l := c.others
						if at == d {
							l = c.own
						}
						revision := pool.Revision{Number: 5 + l.late}
						known := origin.List{Versions: l.versions, From: revision, To: revision, Complete: l.complete}
						if ctx.Err() != nil || l.slow < 0 {
							return known
						}
						if l.slow > 0 {
							ready := make(chan struct{})
							timer := time.AfterFunc(l.slow, func() { close(ready) })
							defer timer.Stop()
							select {
							case <-ready:
							case <-ctx.Done():
								return known
							}
						}
						known.Confirmed = true
						return known
					}
					started := time.Now()
					version, ok := d.group.Find(t.Context(), "llm", attempt)
					if ok != c.ok || ok && version != "v1" || time.Since(started) > c.within {
						t.Errorf("version %q, known %v, after %v; want known %v within %v", version, ok, time.Since(started), c.ok, c.within)
					}
				})
			})
		}
	}
}
