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

// TestAccounts guards against requests that the queue loses or returns twice, and
// against queues over their bounds.
func TestAccounts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20260105)
	all := gopter.NewProperties(p)
	all.Property("each queued request leaves once", prop.ForAll(func(seed uint64) string {
		rnd, ctl, now := rand.New(rand.NewPCG(seed, 3)), newController(), start
		inside := map[*Request]bool{}
		for range 400 {
			now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
			r := request([]string{"free", "heavy", "slow", "few"}[rnd.IntN(2)], "drafts", rnd.Uint32N(9), 0)
			r.Deadline = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			switch rnd.IntN(5) {
			case 0:
				ctl.refuse(now.Sub(start) + time.Duration(rnd.IntN(500))*time.Millisecond)
			case 1:
				if r, ok := ctl.Dequeue(now); ok && !inside[r] {
					return "dequeued a request that is not queued"
				} else if ok {
					delete(inside, r)
					ctl.Release(r)
				}
			default:
				if v := ctl.Arrive(now, r); v.Next == Wait {
					inside[r] = true
				} else if v.Next == Run {
					ctl.Release(r)
				}
			}
			for r, _, ok := ctl.Shed(now); ok; r, _, ok = ctl.Shed(now) {
				if !inside[r] {
					return "shed a request that is not queued"
				}
				delete(inside, r)
				ctl.Release(r)
			}
			if ctl.Queued() != len(inside) || ctl.Queued() > 20 {
				return fmt.Sprintf("%d are queued, want %d", ctl.Queued(), len(inside))
			}
		}
		for _, name := range []string{"free", "heavy", "slow", "few"} {
			t := ctl.tenants.Find(name)
			waiting := 0
			for r := range inside {
				if r.Tenant == name {
					waiting++
				}
			}
			if t.InFlight() != waiting {
				return fmt.Sprintf("%s has %d in flight, want %d", name, t.InFlight(), waiting)
			}
		}
		return ""
	}, gen.UInt64()))
	all.TestingRun(t)
}
