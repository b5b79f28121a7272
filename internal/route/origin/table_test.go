package origin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/origin"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func of(attempt, service, version string, until float64) origin.Origin {
	return origin.Origin{Attempt: attempt, Service: service, Version: version, Until: at(until)}
}

func ExampleTable() {
	t := origin.NewTable(10)
	t.Put(at(0), of("a", "llm", "v1", 14))
	t.Put(at(0), of("b", "llm", "v1", 14))
	t.Put(at(1), of("b", "llm", "v2", 14))
	for _, attempt := range []string{"a", "b", "c"} {
		o, ok := t.Get(at(2), attempt)
		fmt.Printf("%q %v\n", o.Version, ok)
	}
	// Output:
	// "v1" true
	// "" true
	// "" false
}

// Guards against records that expire early or stay, against one that a later record
// replaces, and against IDs that take memory without bound.
func TestTable(t *testing.T) {
	long := string(make([]byte, origin.MaxAttempt+1))
	cases := map[string]struct {
		put     []origin.Origin
		at      float64
		attempt string
		version string
		known   bool
	}{
		"before its end":            {[]origin.Origin{of("a", "s", "v1", 5)}, 5, "a", "v1", true},
		"within the margin":         {[]origin.Origin{of("a", "s", "v1", 5)}, 6.99, "a", "v1", true},
		"after the margin":          {[]origin.Origin{of("a", "s", "v1", 5)}, 7, "a", "", false},
		"far ahead":                 {[]origin.Origin{of("a", "s", "v1", 1e6)}, 121.9, "a", "v1", true},
		"far ahead, later":          {[]origin.Origin{of("a", "s", "v1", 1e6)}, 122, "a", "", false},
		"long past":                 {[]origin.Origin{of("a", "s", "v1", -3)}, 0, "a", "", false},
		"the same, later":           {[]origin.Origin{of("a", "s", "v1", 5), of("a", "s", "v1", 9)}, 10, "a", "v1", true},
		"the same, sooner":          {[]origin.Origin{of("a", "s", "v1", 9), of("a", "s", "v1", 5)}, 10, "a", "v1", true},
		"another version":           {[]origin.Origin{of("a", "s", "v1", 9), of("a", "s", "v2", 9)}, 1, "a", "", true},
		"the first one again":       {[]origin.Origin{of("a", "s", "v1", 9), of("a", "s", "v2", 9), of("a", "s", "v1", 9)}, 1, "a", "", true},
		"another service":           {[]origin.Origin{of("a", "s", "v1", 9), of("a", "r", "v1", 9)}, 1, "a", "", true},
		"no version":                {[]origin.Origin{of("a", "s", "", 9), of("a", "s", "v1", 9)}, 1, "a", "", true},
		"a version without bound":   {[]origin.Origin{of("a", "s", string(make([]byte, 1000)), 9)}, 1, "a", "", true},
		"an attempt without an ID":  {[]origin.Origin{of("", "s", "v1", 9)}, 1, "", "", false},
		"an attempt with a long ID": {[]origin.Origin{of(long, "s", "v1", 9)}, 1, long, "", false},
		"the longest ID":            {[]origin.Origin{of(long[1:], "s", "v1", 9)}, 1, long[1:], "v1", true},
		"not UTF-8":                 {[]origin.Origin{of("\xff\x00", "s", "v1", 9)}, 1, "\xff\x00", "v1", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := origin.NewTable(10)
			for _, o := range c.put {
				table.Put(t0, o)
			}
			if o, known := table.Get(at(c.at), c.attempt); o.Version != c.version || known != c.known {
				t.Errorf("version %q, known %v; want %q, %v", o.Version, known, c.version, c.known)
			}
		})
	}
}

// Guards against a table that, for one attempt, gives two versions, one that was not
// recorded, one after a contradiction, or one that depends on the order of the records.
func TestTableNeverGivesTwoVersions(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(34))
	properties.Property("what is known is the one version of all records", prop.ForAll(func(seed uint64, n int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		puts := make([]origin.Origin, n)
		recorded := map[string]map[origin.Origin]bool{}
		for i := range puts {
			o := of(fmt.Sprint("a", random.IntN(12)), fmt.Sprint("s", random.IntN(8)/7), fmt.Sprint("v", random.IntN(9)/7), 0)
			if random.IntN(20) == 0 {
				o.Version = ""
			}
			if recorded[o.Attempt] == nil {
				recorded[o.Attempt] = map[origin.Origin]bool{}
			}
			recorded[o.Attempt][o] = true
			o.Until = at(10 + 20*random.Float64())
			puts[i] = o
		}
		one, other := origin.NewTable(100), origin.NewTable(100)
		for i, j := range random.Perm(n) {
			now := at(10 * float64(i) / float64(n))
			one.Put(now, puts[i])
			other.Put(now, puts[j])
			other.Put(now, puts[j])
			other.Get(now, fmt.Sprint("x", i))
		}
		for attempt, kinds := range recorded {
			want := origin.Origin{Attempt: attempt}
			if len(kinds) == 1 {
				for o := range kinds {
					if o.Version != "" {
						want.Service, want.Version = o.Service, o.Version
					}
				}
			}
			got, ok := one.Get(at(10), attempt)
			same, _ := other.Get(at(10), attempt)
			want.Until = got.Until
			if !ok || got != want || same != want {
				return false
			}
		}
		one.Put(at(1000), of("last", "s", "v", 1001))
		return one.Len() == 1 && other.Len() == len(recorded)
	}, gen.UInt64(), gen.IntRange(1, 80)))
	properties.Property("a full table drops what expires first", prop.ForAll(func(seed uint64, capacity int) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		table, n := origin.NewTable(capacity), 3*capacity
		for _, i := range random.Perm(n) {
			table.Put(t0, of(fmt.Sprint(i), "s", "v", float64(1+i)/10))
		}
		for i := range n {
			if _, ok := table.Get(t0, fmt.Sprint(i)); ok != (i >= n-capacity) {
				return false
			}
		}
		return table.Len() == capacity
	}, gen.UInt64(), gen.IntRange(1, 200)))
	properties.TestingRun(t)
}
