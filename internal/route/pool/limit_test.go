package pool_test

import (
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against requests to a server whose limit leaves no room, against holding back
// its next process, and against a time to come back that is too early.
func TestHeldServer(t *testing.T) {
	x, y := server("x", 1, 1), server("y", 1, 1)
	y.Domain = "b"
	hold := func(t *pool.Table, s pool.Server, until, back time.Duration) {
		t.Hold(s.Process(), t0.Add(until), t0.Add(back))
	}
	cases := map[string]struct {
		play       func(*pool.Table)
		after      time.Duration
		chosen     string
		held       []string
		retryAfter time.Duration
	}{
		"held":                {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second) }, 0, "y", []string{"x"}, 0},
		"no longer held":      {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second) }, time.Second, "x", nil, 0},
		"limit has ended":     {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second); t.Unhold(x.Process()) }, 0, "x", nil, 0},
		"held, other is down": {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second); t.SetDown(y, true) }, 0, "", []string{"x"}, 2 * time.Second},
		"both down, one held": {func(t *pool.Table) {
			hold(t, x, time.Second, 2*time.Second)
			t.SetDown(x, true)
			t.SetDown(y, true)
		}, 0, "y", []string{"x"}, 0},
		"its next process": {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second); t.Put(restarted(server("x", 1, 2))) }, 0, "x", nil, 0},
		"both held":        {func(t *pool.Table) { hold(t, x, time.Second, 2*time.Second); hold(t, y, time.Second, 3*time.Second) }, 0, "", []string{"x", "y"}, 2 * time.Second},
		"held and backs off": {func(t *pool.Table) {
			hold(t, x, time.Second, 2*time.Second)
			t.ApplySignal(t0, y, pool.Signal{RetryAfter: 500 * time.Millisecond})
		}, 0, "", []string{"x"}, 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			table.Put(x)
			table.Put(y)
			c.play(table)
			now := t0.Add(c.after)
			got, _ := table.Choose(now, "s", "a", nil)
			if got.ID != c.chosen || !slices.Equal(table.Held(now, "s"), c.held) || table.RetryAfter(now, "s") != c.retryAfter {
				t.Errorf("chosen %q, held %v, retry after %v; want %q, %v, %v", got.ID, table.Held(now, "s"), table.RetryAfter(now, "s"), c.chosen, c.held, c.retryAfter)
			}
			if _, ok := table.Available(now, "x"); ok != (c.chosen == "x") {
				t.Errorf("x is available: %v", ok)
			}
		})
	}
}
