package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against parts that crash engines and are found too late, and against sound
// requests that are refused for them, in fleets, chains and mixes that nobody thought of.
func TestRandomChains(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 25
	params.Rng.Seed(31)
	properties := gopter.NewProperties(params)
	plays, most, sent, refused := 0, 0, 0, 0
	properties.Property("few requests with the part are late, few sound ones are refused", prop.ForAll(func(seed uint64) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			firsts, middles, depth := 1+random.IntN(20), 5+random.IntN(200), 1+random.IntN(4)
			f := newFleet(2+random.IntN(60), 4+random.IntN(80), random.Float64()*0.3, seed)
			defer f.close()
			chainOf := func(random *rand.Rand) []string {
				out := []string{some(random, "first", firsts)}
				for i := range depth {
					out = append(out, some(random, fmt.Sprint("middle", i, "-"), middles))
				}
				return out
			}
			sound := load{rate: 5 + 20*random.Float64(), parts: func(random *rand.Rand, _ int) []string { return chainOf(random) }}
			loads := []load{sound}
			for i := range 1 + random.IntN(2) {
				bad, place := fmt.Sprint("bad", i), random.IntN(depth+1)
				f.bad[bad] = true
				loads = append(loads, load{rate: 1 + 4*random.Float64(), parts: func(random *rand.Rand, _ int) []string {
					ids := chainOf(random)
					ids[place] = bad
					return ids
				}})
			}
			f.run(4*time.Second, sound)
			f.run(10*time.Second, loads...)
			clear(f.sound)
			f.run(12*time.Second, loads...)
			plays, most = plays+1, max(most, f.engineDeaths)
			for bad := range f.bad {
				if f.later[bad] > toleratedLater {
					t.Logf("seed %d: %d requests with %s reached engines later", seed, f.later[bad], bad)
					ok = false
				}
			}
			all, no := 0, 0
			for _, n := range f.sound {
				all, no = all+n.sent, no+n.refused
			}
			if sent, refused = sent+all, refused+no; no*10 > all {
				t.Logf("seed %d: %d of %d sound requests refused", seed, no, all)
				ok = false
			}
		})
		return ok
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Logf("%d plays: %d engines crashed at most; %d of %d sound requests refused", plays, most, refused, sent)
}
