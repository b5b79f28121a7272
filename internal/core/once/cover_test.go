package once_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
)

// Guards each condition under which a home runs a key. Random schedules rarely
// violate one condition alone.
func TestOnceConditions(t *testing.T) {
	began := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	alone := map[string]uint64{"d1": 1}
	all := map[string]uint64{"d1": 1, "d2": 1, "d3": 1}
	covered := began.Add(10 * time.Second)
	cases := map[string]struct {
		prepare func(table *once.Table)
		at      time.Time
		made    time.Time
		runs    bool
		after   time.Duration
	}{
		"covered":                {nil, covered.Add(3 * time.Second), covered.Add(2 * time.Second), true, 0},
		"not covered yet":        {nil, covered.Add(-3 * time.Second), covered, false, 3 * time.Second},
		"made before":            {nil, covered.Add(3 * time.Second), covered.Add(time.Second), false, 100 * time.Millisecond},
		"made before the window": {nil, covered.Add(time.Hour), covered.Add(2 * time.Second), false, 100 * time.Millisecond},
		"no majority": {func(table *once.Table) { table.Members(alone) },
			covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, time.Second},
		"newer list": {func(table *once.Table) { table.ObserveRevision(2) },
			covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, time.Second},
		"paused": {func(table *once.Table) { table.Paused(began, time.Second) },
			covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, time.Second},
		"paused and confirmed": {func(table *once.Table) {
			table.Paused(began, time.Second)
			table.Members(all)
		}, covered.Add(3 * time.Second), covered.Add(2 * time.Second), true, 0},
		"paused for long": {func(table *once.Table) {
			table.Paused(covered, 10*time.Second)
			table.Members(all)
		}, covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, 7 * time.Second},
		"home moved": {func(table *once.Table) { table.UpdateList(began, 2, []string{"d2", "d3"}) },
			covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, time.Second},
		"home came back": {func(table *once.Table) {
			table.UpdateList(began, 2, []string{"d2", "d3"})
			table.UpdateList(covered, 3, []string{"d1", "d2", "d3"})
		}, covered.Add(3 * time.Second), covered.Add(2 * time.Second), false, 7 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := once.New("d1", 1)
			table.UpdateList(began, 1, []string{"d1", "d2", "d3"})
			table.Members(all)
			call := once.Call{Tenant: "t", Service: "s", First: true}
			for n, home := uint64(0), ""; home != "d1"; n++ {
				call.Key = uuidv7(c.made, n)
				home, _ = table.Homes(call)
			}
			if c.prepare != nil {
				c.prepare(table)
			}
			v := table.Begin(c.at, call)
			if c.runs != (v.Next == once.Run) {
				t.Fatalf("%+v, want run %v", v, c.runs)
			}
			if !c.runs && (v.Refusal.Kind != citronrock.NotRun || v.Refusal.RetryAfter != c.after) {
				t.Errorf("%v after %v, want not run after %v", v.Refusal, v.Refusal.RetryAfter, c.after)
			}
		})
	}
}
