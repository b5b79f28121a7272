package strike

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against one crash that counts twice, and against strikes that stay after a
// run that crashed no server or after their expiry.
func TestTable(t *testing.T) {
	ttl := uint32(TTL / time.Millisecond)
	tests := map[string]struct {
		do    func(*Table)
		after time.Duration
		want  int
	}{
		"one death":            {func(t *Table) { t.Add(start, 1, "a") }, 0, 1},
		"same death twice":     {func(t *Table) { t.Add(start, 1, "a"); t.Add(start, 1, "a") }, 0, 1},
		"two deaths":           {func(t *Table) { t.Add(start, 1, "a"); t.Add(start, 1, "b") }, 0, 2},
		"edge and owner tell":  {func(t *Table) { t.Add(start, 1, "a"); t.Add(start, 1, "a#1") }, 0, 1},
		"owner and edge tell":  {func(t *Table) { t.Add(start, 1, "a#1"); t.Add(start, 1, "a") }, 0, 1},
		"restart in between":   {func(t *Table) { t.Add(start, 1, "a"); t.Add(start, 1, "a#1"); t.Add(start, 1, "a#2") }, 0, 2},
		"later death untagged": {func(t *Table) { t.Add(start, 1, "a"); t.Add(start.Add(dedupWindow), 1, "a") }, dedupWindow, 2},
		"other print":          {func(t *Table) { t.Add(start, 2, "a") }, 0, 0},
		"expired":              {func(t *Table) { t.Add(start, 1, "a") }, TTL, 0},
		"cleared":              {func(t *Table) { t.Add(start, 1, "a"); t.Clear(start, 1) }, 0, 0},
		"told by two peers":    {func(t *Table) { merge(t, 1, ttl, "a"); merge(t, 1, ttl-50, "a") }, 0, 1},
		"two told deaths":      {func(t *Table) { merge(t, 1, ttl, "a"); merge(t, 1, ttl, "b") }, 0, 2},
		"told count":           {func(t *Table) { merge(t, 2, ttl, "b") }, 0, 2},
		"old news after clearing": {func(t *Table) {
			t.Add(start, 1, "a")
			t.Clear(start.Add(time.Second), 1)
			merge(t, 1, ttl-1000, "a")
		}, 2 * time.Second, 0},
		"new death after clearing": {func(t *Table) {
			t.Add(start, 1, "a")
			t.Clear(start.Add(time.Second), 1)
			t.Add(start.Add(2*time.Second), 1, "b")
		}, 2 * time.Second, 1},
		"clearing from a peer": {func(t *Table) {
			t.Add(start, 1, "a")
			t.Merge(start.Add(time.Second), &peer.Strike{Print: 1, Left: ttl, Clear: true})
		}, 2 * time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New()
			test.do(table)
			if got := table.Count(start.Add(test.after), 1); got != test.want {
				t.Errorf("count is %d, want %d", got, test.want)
			}
		})
	}
}

func merge(t *Table, count, left uint32, engine string) {
	t.Merge(start, &peer.Strike{Print: 1, Count: count, Left: left, Engine: engine})
}

// Guards against a flood of requests that crash servers and fill the memory with
// records.
func TestCapacity(t *testing.T) {
	table := New(WithCapacity(10))
	for i := range uint64(100) {
		table.Add(start.Add(time.Duration(i)*time.Second), i+1, "a")
	}
	if table.Len() != 10 {
		t.Errorf("%d records, want 10", table.Len())
	}
	if table.Count(start.Add(100*time.Second), 100) != 1 {
		t.Error("the newest record is gone")
	}
}

// Guards against a strike that two tables broadcast to each other without end.
func TestMergeIsNewsOnce(t *testing.T) {
	a, b := New(), New()
	s := a.Add(start, 1, "a")
	if !b.Merge(start, s) {
		t.Error("a first strike did not change the table")
	}
	if b.Merge(start, s) || a.Merge(start, s) {
		t.Error("a known strike changed the table")
	}
}
