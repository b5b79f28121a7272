package parts_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/parts"
)

var t0 = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func always(parts.Part, int64) bool { return true }

// crash records that a process crashed under runs with these parts.
func crash(t *parts.Table, when time.Duration, process string, runs ...[]string) {
	for _, ids := range runs {
		t.AddRun(at(when), parts.Run{Service: "s", Parts: ids, Crash: process, At: at(when)})
	}
}

// blocked returns the parts that are blocked.
func blocked(t *parts.Table) string {
	var ids []string
	for _, v := range t.Verdicts() {
		if v.Ended.IsZero() {
			ids = append(ids, v.Part.ID+" ")
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, "")
}

// Guards against blocking a part by crashes that another one explains, by crashes of one
// cause, or although runs with it go on; and against not blocking one that crashes engines.
func TestTableBlocks(t *testing.T) {
	second := time.Second
	cases := map[string]struct {
		play func(t *parts.Table)
		want string
	}{
		"three crashes": {func(t *parts.Table) {
			for i := range 3 {
				crash(t, time.Duration(i)*second, fmt.Sprint(i), []string{"x"})
			}
		}, "x "},
		"two crashes": {func(t *parts.Table) {
			for i := range 2 {
				crash(t, time.Duration(i)*second, fmt.Sprint(i), []string{"x"})
			}
		}, ""},
		"crashes of one moment": {func(t *parts.Table) {
			for i := range 9 {
				crash(t, second+time.Duration(i)*time.Millisecond, fmt.Sprint(i), []string{"x"})
			}
		}, ""},
		"several runs of one crash": {func(t *parts.Table) {
			crash(t, second, "a", []string{"x"}, []string{"x", "y"}, []string{"y", "x"})
		}, ""},
		"a run went on since": {func(t *parts.Table) {
			crash(t, 1*second, "a", []string{"x"})
			crash(t, 2*second, "b", []string{"x"})
			t.AddSound(at(2500*time.Millisecond), at(2500*time.Millisecond), "s", []string{"x"})
			crash(t, 3*second, "c", []string{"x"})
		}, ""},
		"a run of another service went on": {func(t *parts.Table) {
			crash(t, 1*second, "a", []string{"x"})
			t.AddSound(at(2*second), at(2*second), "other", []string{"x"})
			crash(t, 3*second, "b", []string{"x"})
			crash(t, 4*second, "c", []string{"x"})
		}, "x "},
		"sound before, four crashes": {func(t *parts.Table) {
			t.AddSound(at(0), at(0), "s", []string{"x"})
			for i := range 4 {
				crash(t, time.Duration(i+1)*second, fmt.Sprint(i), []string{"x"})
			}
		}, ""},
		"sound before, five crashes": {func(t *parts.Table) {
			t.AddSound(at(0), at(0), "s", []string{"x"})
			for i := range 5 {
				crash(t, time.Duration(i+1)*second, fmt.Sprint(i), []string{"x"})
			}
		}, "x "},
		"the shared first part": {func(t *parts.Table) {
			for i := range 4 {
				crash(t, time.Duration(i)*second, fmt.Sprint(i), []string{"first", "x"}, []string{"first", fmt.Sprint("own", i)})
			}
		}, "x "},
		"the first part alone explains all": {func(t *parts.Table) {
			for i := range 4 {
				crash(t, time.Duration(i)*second, fmt.Sprint(i), []string{"first", fmt.Sprint("own", i)})
			}
		}, "first "},
		"two parts under one first part": {func(t *parts.Table) {
			t.AddSound(at(0), at(0), "s", []string{"first"})
			for i := range 6 {
				crash(t, time.Duration(i+1)*second, fmt.Sprint(i), []string{"first", []string{"x", "y"}[i%2]}, []string{"first", fmt.Sprint("own", i)})
			}
		}, "x y "},
		"shared by two chains": {func(t *parts.Table) {
			for i := range 3 {
				crash(t, time.Duration(i)*second, fmt.Sprint(i), []string{[]string{"a", "b"}[i%2], "x", fmt.Sprint("own", i)})
			}
		}, "x "},
		"a minute between them": {func(t *parts.Table) {
			for i := range 5 {
				crash(t, time.Duration(i)*time.Minute, fmt.Sprint(i), []string{"x"})
				t.Tick(at(time.Duration(i)*time.Minute + second))
			}
		}, ""},
		"many bystanders": {func(t *parts.Table) {
			for i := range 3 {
				runs := [][]string{{"first", "x"}}
				for j := range 63 {
					runs = append(runs, []string{"first", fmt.Sprint("m", i, "-", j)})
				}
				crash(t, time.Duration(i)*second, fmt.Sprint(i), runs...)
			}
		}, "x "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := parts.New(always)
			c.play(table)
			table.Tick(at(10 * second)) // the crashes have settled
			if got := blocked(table); got != c.want {
				t.Errorf("blocked %q, want %q", got, c.want)
			}
		})
	}
}

// settled returns a table that has blocked the part x at six seconds.
func settled(owner func(parts.Part, int64) bool) *parts.Table {
	table := parts.New(owner)
	for i := range 3 {
		crash(table, time.Duration(3+i)*time.Second, fmt.Sprint(i), []string{"x"})
	}
	table.Tick(at(6 * time.Second))
	return table
}

// Guards against a verdict that stays when its cause has gone, costs more crashes than
// three to find out, or is forgotten at once.
func TestVerdictEnds(t *testing.T) {
	ids := []string{"x"}
	t.Run("a request that goes on releases it", func(t *testing.T) {
		table, probes := settled(always), 0
		for s := 6; s < 300; s++ {
			if v, probe := table.Check(at(time.Duration(s)*time.Second), "s", ids); v == nil && probe {
				probes++
				table.AddSound(at(time.Duration(s+1)*time.Second), at(time.Duration(s+1)*time.Second), "s", ids)
			}
		}
		if probes != 1 || blocked(table) != "" {
			t.Errorf("%d requests let through, blocked %q", probes, blocked(table))
		}
	})
	t.Run("three requests at most while they crash", func(t *testing.T) {
		table, probes := settled(always), 0
		for s := 6; s < 3600; s++ {
			now := time.Duration(s) * time.Second
			if v, probe := table.Check(at(now), "s", ids); v == nil && probe {
				probes++
				crash(table, now, fmt.Sprint("p", s), ids)
			} else if v == nil {
				t.Fatalf("not refused after %v", now)
			}
			table.Tick(at(now))
		}
		if probes != 3 {
			t.Errorf("%d requests let through in an hour, want 3", probes)
		}
	})
	t.Run("no daemon but the owner lets one through", func(t *testing.T) {
		table := settled(func(parts.Part, int64) bool { return false })
		for s := 6; s < 300; s++ {
			if v, _ := table.Check(at(time.Duration(s)*time.Second), "s", ids); v == nil {
				t.Fatalf("not refused after %d s", s)
			}
		}
	})
	t.Run("quiet, then one crash", func(t *testing.T) {
		table := settled(always)
		table.Tick(at(67 * time.Second))
		if got := blocked(table); got != "" {
			t.Fatalf("blocked %q a minute after the last request", got)
		}
		crash(table, 80*time.Second, "again", ids)
		table.Tick(at(81 * time.Second))
		if got := blocked(table); got != "x " {
			t.Errorf("blocked %q after one more crash", got)
		}
	})
}

// Guards against daemons that don't agree: a late message that brings back an ended
// verdict, or a verdict that a run which went on refutes.
func TestMerge(t *testing.T) {
	part := parts.Part{Service: "s", ID: "x"}
	cases := map[string]struct {
		have []parts.Verdict
		got  parts.Verdict
		want string
	}{
		"news":            {nil, parts.Verdict{Part: part, Since: at(time.Second), SeenAt: at(time.Second), Round: 1}, "x "},
		"its end":         {[]parts.Verdict{{Part: part, Since: at(time.Second), Round: 1}}, parts.Verdict{Part: part, Since: at(time.Second), Ended: at(2 * time.Second), Round: 2}, ""},
		"a late copy":     {[]parts.Verdict{{Part: part, Since: at(time.Second), Ended: at(2 * time.Second), Round: 2}}, parts.Verdict{Part: part, Since: at(time.Second), Round: 1}, ""},
		"blocked anew":    {[]parts.Verdict{{Part: part, Since: at(time.Second), Ended: at(2 * time.Second), Round: 2}}, parts.Verdict{Part: part, Since: at(3 * time.Second), Round: 3}, "x "},
		"refuted by ours": {nil, parts.Verdict{Part: parts.Part{Service: "s", ID: "sound"}, Since: at(-time.Second), SeenAt: at(-time.Second), Round: 1}, ""},
		"a long name":     {nil, parts.Verdict{Part: parts.Part{Service: "s", ID: fmt.Sprintf("%0100d", 1)}, Round: 1}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := parts.New(always)
			table.AddSound(at(0), at(0), "s", []string{"sound"})
			for _, v := range c.have {
				table.Merge(at(4*time.Second), v)
			}
			table.Merge(at(4*time.Second), c.got)
			if got := blocked(table); got != c.want {
				t.Errorf("blocked %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against clients that choose a million different parts, or a thousand in one
// prompt, to grow the memory of a daemon or the time of its requests.
func TestTableIsBounded(t *testing.T) {
	table := parts.New(always)
	many := make([]string, 1000)
	for i := range 1_000_000 {
		now := at(time.Duration(i) * time.Millisecond)
		table.AddSound(now, now, "s", []string{fmt.Sprint("p", i)})
		if i%100 == 0 {
			for j := range many {
				many[j] = fmt.Sprint("m", i, "-", j)
			}
			table.AddRun(now, parts.Run{Service: "s", Parts: many, Crash: fmt.Sprint("c", i), At: now})
		}
	}
	if n := table.Size(); n > 30_000 {
		t.Errorf("%d entries after a million parts", n)
	}
	for _, r := range table.RecentRuns(1000) {
		if len(r.Parts) > 32 {
			t.Fatalf("a run with %d parts", len(r.Parts))
		}
	}
	begun := time.Now()
	table.Tick(at(2000 * time.Second))
	for range 1000 {
		table.Check(at(2000*time.Second), "s", many)
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("a thousand checks took %v", took)
	}
}
