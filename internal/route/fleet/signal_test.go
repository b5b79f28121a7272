package fleet_test

import (
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/fleet"
)

// Guards against new work for a process that says that it leaves while its entry
// says that it is ready, and against a successor that is left out with it.
func TestLeavingByAnswer(t *testing.T) {
	leaves := func(t *fleet.Table) { t.Heard(t0, server("x", 1, 1), fleet.Signal{Leaving: true}) }
	cases := map[string]struct {
		play func(*fleet.Table)
		want bool
	}{
		"ready":                {func(*fleet.Table) {}, true},
		"says that it leaves":  {leaves, false},
		"newer entry is ready": {func(t *fleet.Table) { leaves(t); t.Put(server("x", 2, 2)) }, false},
		"newer era is ready": {func(t *fleet.Table) {
			leaves(t)
			again := server("x", 2, 1)
			again.Revision.Era = 1
			t.Put(again)
		}, false},
		"next process": {func(t *fleet.Table) { leaves(t); t.Put(reborn(server("x", 1, 2))) }, true},
		"told by another daemon": {func(t *fleet.Table) {
			t.MarkLeaving(t0, fleet.Process{ID: "x", Born: 1000})
		}, false},
		"told before its entry": {func(t *fleet.Table) {
			t.MarkLeaving(t0, fleet.Process{ID: "x", Born: server("x", 1, 1).Born.Add(time.Minute).UnixMilli()})
			t.Put(reborn(server("x", 1, 2)))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := fleet.New()
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

// Guards against a message to all daemons for each answer of a leaving server.
func TestLeavingIsToldOnce(t *testing.T) {
	told := 0
	table := fleet.New(fleet.WithLeaving(func(fleet.Server) { told++ }))
	table.Put(server("x", 1, 1))
	for range 3 {
		table.Heard(t0, server("x", 1, 1), fleet.Signal{Leaving: true})
	}
	table.MarkLeaving(t0, fleet.Process{ID: "y", Born: 7})
	table.Heard(t0, fleet.Server{ID: "y", Born: time.UnixMilli(7)}, fleet.Signal{Leaving: true})
	if told != 1 {
		t.Errorf("told %d times, want once and not at all what another daemon told", told)
	}
}

// Guards against requests to a server that wants none of this daemon for a while,
// and against one that is left alone for longer than that.
func TestServerLeftAlone(t *testing.T) {
	x, y := server("x", 1, 1), server("y", 1, 1)
	y.Domain = "b"
	cases := map[string]struct {
		wait, after time.Duration
		next        bool
		want        string
		barred      []string
		opens       time.Duration
	}{
		"during the time":  {2 * time.Second, 1900 * time.Millisecond, false, "y", []string{"x"}, 0},
		"after the time":   {2 * time.Second, 2 * time.Second, false, "x", nil, 0},
		"for hours":        {10 * time.Hour, time.Minute, false, "x", nil, 0},
		"its next process": {2 * time.Second, time.Second, true, "x", nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := fleet.New()
			table.Put(x)
			table.Put(y)
			table.Heard(t0, x, fleet.Signal{Wait: c.wait})
			if c.next {
				table.Put(reborn(server("x", 1, 2)))
			}
			now := t0.Add(c.after)
			if s, _ := table.Choose(now, "s", "a", nil); s.ID != c.want {
				t.Errorf("chosen %q, want %q", s.ID, c.want)
			}
			if got := table.Barred(now, "s"); !slices.Equal(got, c.barred) {
				t.Errorf("left alone %v, want %v", got, c.barred)
			}
			if got := table.Opens(now, "s"); got != c.opens {
				t.Errorf("opens in %v, want %v", got, c.opens)
			}
		})
	}
	table := fleet.New()
	table.Put(x)
	table.Put(y)
	table.Heard(t0, x, fleet.Signal{Wait: 2 * time.Second})
	table.Heard(t0, y, fleet.Signal{Wait: 3 * time.Second})
	table.Heard(t0, y, fleet.Signal{Wait: time.Second})
	if s, ok := table.Choose(t0, "s", "a", nil); ok || table.Opens(t0, "s") != 2*time.Second {
		t.Errorf("chosen %q, opens in %v; want none for two seconds", s.ID, table.Opens(t0, "s"))
	}
}

// Guards against entries that are ordered by revisions of different eras, and
// against servers that a restored store brings back or drops.
func TestEntriesOfEras(t *testing.T) {
	late := func(id string, beat, number uint64) fleet.Server {
		s := server(id, beat, number)
		s.Revision.Era = 1
		return s
	}
	cases := map[string]struct {
		play func(*fleet.Table)
		want bool
	}{
		"older entry of the copy": {func(t *fleet.Table) {
			t.Put(leaving(server("x", 5, 90)))
			t.Put(late("x", 4, 60))
		}, false},
		"entry written again": {func(t *fleet.Table) {
			t.Put(server("x", 5, 90))
			t.Put(leaving(late("x", 6, 61)))
		}, false},
		"removal in the new era": {func(t *fleet.Table) {
			t.Put(server("x", 5, 90))
			t.Remove(t0, "x", fleet.Revision{Era: 1, Number: 61}, false)
		}, false},
		"late removal of the old era": {func(t *fleet.Table) {
			t.Put(late("x", 5, 60))
			t.Remove(t0, "x", fleet.Revision{Number: 91}, false)
		}, true},
		"removed before the return": {func(t *fleet.Table) {
			t.Put(server("x", 5, 90))
			t.Remove(t0, "x", fleet.Revision{Number: 91}, false)
			t.Put(late("x", 5, 60))
		}, false},
		"missing in the copy": {func(t *fleet.Table) {
			t.Put(server("x", 5, 90))
			t.Restored(t0)
			t.Reset(t0, nil, fleet.Revision{Era: 1, Number: 60})
		}, true},
		"leaving and missing in the copy": {func(t *fleet.Table) {
			t.Put(leaving(server("x", 5, 90)))
			t.Restored(t0)
			t.Reset(t0, nil, fleet.Revision{Era: 1, Number: 60})
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := fleet.New()
			c.play(table)
			if _, ok := table.Get(t0, "x"); ok != c.want {
				t.Errorf("usable: %v, want %v", ok, c.want)
			}
		})
	}
}
