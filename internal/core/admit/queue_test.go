package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestAccounts guards against requests that get lost in the queue or leave it
// twice, and against queues over their bounds.
func TestAccounts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20260105)
	all := gopter.NewProperties(p)
	all.Property("each queued request leaves once", prop.ForAll(func(seed uint64) string {
		rnd, g, now := rand.New(rand.NewPCG(seed, 3)), newGate(), start
		inside := map[*Request]bool{}
		for range 400 {
			now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
			r := request([]string{"free", "heavy", "slow", "few"}[rnd.IntN(2)], "drafts", rnd.Uint32N(9), 0)
			r.Deadline = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			switch rnd.IntN(5) {
			case 0:
				g.refuse(now.Sub(start) + time.Duration(rnd.IntN(500))*time.Millisecond)
			case 1:
				if r, ok := g.Dequeue(now); ok && !inside[r] {
					return "ran a request that is not inside"
				} else if ok {
					delete(inside, r)
					g.Release(r)
				}
			default:
				if v := g.Arrive(now, r); v.Next == Wait {
					inside[r] = true
				} else if v.Next == Run {
					g.Release(r)
				}
			}
			for r, _, ok := g.Shed(now); ok; r, _, ok = g.Shed(now) {
				if !inside[r] {
					return "shed a request that is not inside"
				}
				delete(inside, r)
				g.Release(r)
			}
			if g.Waiting() != len(inside) || g.Waiting() > 20 {
				return fmt.Sprintf("%d wait, %d inside", g.Waiting(), len(inside))
			}
		}
		for _, name := range []string{"free", "heavy", "slow", "few"} {
			t := g.tenants.Find(name)
			waiting := 0
			for r := range inside {
				if r.Tenant == name {
					waiting++
				}
			}
			if t.InFlight() != waiting {
				return fmt.Sprintf("%s has %d open, %d wait", name, t.InFlight(), waiting)
			}
		}
		return ""
	}, gen.UInt64()))
	all.TestingRun(t)
}
