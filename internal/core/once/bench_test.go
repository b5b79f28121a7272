package once_test

import (
	"fmt"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
)

// BenchmarkBegin starts and ends calls at the home of their keys in a fleet of
// 350 daemons that has seen 64 lists.
func BenchmarkBegin(b *testing.B) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	table := once.New("d0", 1)
	alive := map[string]uint64{}
	var names []string
	for i := range 350 {
		names = append(names, fmt.Sprintf("d%d", i))
		alive[names[i]] = 1
	}
	for i := range uint64(64) {
		table.UpdateList(now, i+1, append(names[:340:340], fmt.Sprintf("e%d", i)))
		now = now.Add(3 * time.Minute)
	}
	now = now.Add(time.Minute)
	table.Members(alive)
	var keys []once.Call
	for n := uint64(0); len(keys) < 100; n++ {
		c := once.Call{Tenant: "t", Service: "s", Key: uuidv7(now, n), First: true}
		if home, _ := table.Homes(c); home == "d0" {
			keys = append(keys, c)
		}
	}
	notrun := once.Result{Refusal: &citronrock.Error{Kind: citronrock.NotRun}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v := table.Begin(now, keys[i%len(keys)])
		if v.Next != once.Run {
			b.Fatalf("%+v, want run", v)
		}
		table.End(now, v.ID, notrun) // drops the record
	}
}
