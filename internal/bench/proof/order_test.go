package proof

import (
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/stand/plain"
)

// Guards against an at-most-once call that is executed a second time, or is reported
// as not run, when its edge daemon dies between the execution and the answer.
func TestOrderRepeatedAfterDeath(t *testing.T) {
	for name, fault := range map[string]string{"late answer": `{"late":2500}`, "lost answer": `{"drop":true}`} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4)
			r.awaitKeyOwnership(r.daemonsExcept())
			victim, issuer := "d2", "d3"
			for _, s := range r.f.Document().Servers {
				r.must(r.f.Fault(r.ctx, s.Name, fault))
			}
			own, forwarded := r.newOrders(8, "own", victim), r.newOrders(8, "forwarded", issuer)
			orders := append(own, forwarded...)
			var group sync.WaitGroup
			for _, o := range orders {
				group.Go(func() { o.send(r.ctx, r, victim) })
			}
			r.await(2*time.Second, "execution of all orders", func() bool {
				runs, err := r.f.Runs(r.ctx, "/order")
				r.must(err)
				for _, o := range orders {
					if runs[plain.Sum("/order", []byte(o.body))] == 0 {
						return false
					}
				}
				return true
			})
			r.must(r.f.Kill(victim))
			group.Wait()
			for _, s := range r.f.Document().Servers {
				r.must(r.f.Fault(r.ctx, s.Name, `{"late":0,"drop":false}`))
			}
			for _, o := range orders {
				group.Go(func() { o.retryAt(r, r.daemonsExcept(victim)) })
			}
			group.Wait()
			for _, o := range orders {
				if o.notrun > 0 {
					t.Errorf("order %s ran and was reported as not run %d times", o.body, o.notrun)
				}
			}
			// The issuer of these tokens is alive and keeps the answers that it received.
			for _, o := range forwarded {
				if o.token != "" && o.answers == 0 && name == "late answer" {
					t.Errorf("order %s was not replayed by the issuer of its token", o.body)
				}
			}
			logOutcomes(t, orders)
		})
	}
}
