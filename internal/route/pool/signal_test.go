package pool_test

import (
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against new requests for a process that announced that it drains while its
// entry says that it is ready, and against excluding its successor with it.
func TestDrainingByResponse(t *testing.T) {
	announce := func(t *pool.Table) { t.ApplySignal(t0, server("x", 1, 1), pool.Signal{Draining: true}) }
	cases := map[string]struct {
		play func(*pool.Table)
		want bool
	}{
		"ready":                {func(*pool.Table) {}, true},
		"says that it leaves":  {announce, false},
		"newer entry is ready": {func(t *pool.Table) { announce(t); t.Put(server("x", 2, 2)) }, false},
		"newer era is ready": {func(t *pool.Table) {
			announce(t)
			renewed := server("x", 2, 1)
			renewed.Revision.Era = 1
			t.Put(renewed)
		}, false},
		"next process": {func(t *pool.Table) { announce(t); t.Put(restarted(server("x", 1, 2))) }, true},
		"told by another daemon": {func(t *pool.Table) {
			t.MarkDraining(t0, pool.Process{ID: "x", StartedAt: 1000})
		}, false},
		"told before its entry": {func(t *pool.Table) {
			t.MarkDraining(t0, pool.Process{ID: "x", StartedAt: server("x", 1, 1).StartedAt.Add(time.Minute).UnixMilli()})
			t.Put(restarted(server("x", 1, 2)))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			table.Put(server("x", 1, 1))
			c.play(table)
			_, get := table.Get(t0, "x")
			_, chosen := table.Choose(t0, "s", "a", nil)
			if get != c.want || chosen != c.want || len(table.Usable(t0, "s")) == 1 != c.want {
				t.Errorf("usable: %v, chosen: %v; want %v", get, chosen, c.want)
			}
		})
	}
}

// Guards against a broadcast for each response of a draining server.
func TestDrainingIsBroadcastOnce(t *testing.T) {
	calls := 0
	table := pool.New(pool.WithDraining(func(pool.Server) { calls++ }))
	table.Put(server("x", 1, 1))
	for range 3 {
		table.ApplySignal(t0, server("x", 1, 1), pool.Signal{Draining: true})
	}
	table.MarkDraining(t0, pool.Process{ID: "y", StartedAt: 7})
	table.ApplySignal(t0, pool.Server{ID: "y", StartedAt: time.UnixMilli(7)}, pool.Signal{Draining: true})
	if calls != 1 {
		t.Errorf("draining function called %d times, want once, and not for what another daemon announced", calls)
	}
}

// Guards against requests to a server that asked this daemon to back off, and
// against backing off for longer than that.
func TestServerBackingOff(t *testing.T) {
	x, y := server("x", 1, 1), server("y", 1, 1)
	y.Domain = "b"
	cases := map[string]struct {
		wait, after time.Duration
		next        bool
		want        string
		backingOff  []string
		retryAfter  time.Duration
	}{
		"during the time":  {2 * time.Second, 1900 * time.Millisecond, false, "y", []string{"x"}, 0},
		"after the time":   {2 * time.Second, 2 * time.Second, false, "x", nil, 0},
		"for hours":        {10 * time.Hour, time.Minute, false, "x", nil, 0},
		"its next process": {2 * time.Second, time.Second, true, "x", nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			table.Put(x)
			table.Put(y)
			table.ApplySignal(t0, x, pool.Signal{RetryAfter: c.wait})
			if c.next {
				table.Put(restarted(server("x", 1, 2)))
			}
			now := t0.Add(c.after)
			if s, _ := table.Choose(now, "s", "a", nil); s.ID != c.want {
				t.Errorf("chosen %q, want %q", s.ID, c.want)
			}
			if got := table.BackingOff(now, "s"); !slices.Equal(got, c.backingOff) {
				t.Errorf("backing off %v, want %v", got, c.backingOff)
			}
			if got := table.RetryAfter(now, "s"); got != c.retryAfter {
				t.Errorf("retry after %v, want %v", got, c.retryAfter)
			}
		})
	}
	table := pool.New()
	table.Put(x)
	table.Put(y)
	table.ApplySignal(t0, x, pool.Signal{RetryAfter: 2 * time.Second})
	table.ApplySignal(t0, y, pool.Signal{RetryAfter: 3 * time.Second})
	table.ApplySignal(t0, y, pool.Signal{RetryAfter: time.Second})
	if s, ok := table.Choose(t0, "s", "a", nil); ok || table.RetryAfter(t0, "s") != 2*time.Second {
		t.Errorf("chosen %q, retry after %v; want none for two seconds", s.ID, table.RetryAfter(t0, "s"))
	}
}

// Guards against comparing revisions of different eras, and against a restore of
// the store that brings back removed servers or drops live ones.
func TestEntriesOfEras(t *testing.T) {
	newEra := func(id string, sequence, number uint64) pool.Server {
		s := server(id, sequence, number)
		s.Revision.Era = 1
		return s
	}
	cases := map[string]struct {
		play func(*pool.Table)
		want bool
	}{
		"older entry of the copy": {func(t *pool.Table) {
			t.Put(drain(server("x", 5, 90)))
			t.Put(newEra("x", 4, 60))
		}, false},
		"entry written again": {func(t *pool.Table) {
			t.Put(server("x", 5, 90))
			t.Put(drain(newEra("x", 6, 61)))
		}, false},
		"removal in the new era": {func(t *pool.Table) {
			t.Put(server("x", 5, 90))
			t.Remove(t0, "x", pool.Revision{Era: 1, Number: 61}, false)
		}, false},
		"late removal of the old era": {func(t *pool.Table) {
			t.Put(newEra("x", 5, 60))
			t.Remove(t0, "x", pool.Revision{Number: 91}, false)
		}, true},
		"removed before the return": {func(t *pool.Table) {
			t.Put(server("x", 5, 90))
			t.Remove(t0, "x", pool.Revision{Number: 91}, false)
			t.Put(newEra("x", 5, 60))
		}, false},
		"missing in the copy": {func(t *pool.Table) {
			t.Put(server("x", 5, 90))
			t.StoreRestored(t0)
			t.Reset(t0, nil, pool.Revision{Era: 1, Number: 60}, t.DuringOutage(t0))
		}, true},
		"leaving and missing in the copy": {func(t *pool.Table) {
			t.Put(drain(server("x", 5, 90)))
			t.StoreRestored(t0)
			t.Reset(t0, nil, pool.Revision{Era: 1, Number: 60}, t.DuringOutage(t0))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			c.play(table)
			if _, ok := table.Get(t0, "x"); ok != c.want {
				t.Errorf("usable: %v, want %v", ok, c.want)
			}
		})
	}
}
