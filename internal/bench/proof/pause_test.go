package proof

import (
	"sync"
	"testing"
	"time"
)

// Guards against calls that are executed twice and streams that break when a daemon
// acts on stale state after a process pause, in which others took over its cell, its
// idempotency keys and its execution tokens.
func TestDaemonPaused(t *testing.T) {
	r := newRig(t, 5)
	names := r.daemonsExcept()
	r.awaitKeyOwnership(names)
	victim := r.owner("d1")
	others := r.daemonsExcept(victim)
	// Responses delayed by 1.5 s after the execution keep calls in flight at the pause.
	for _, s := range r.f.Document().Servers {
		r.must(r.f.Fault(r.ctx, s.Name, `{"late":1500}`))
	}
	wait := []func() []error{r.startStreams(5, victim, "pauze"), r.startStreams(5, others[0], "naast")}
	sent, fresh := r.newOrders(8, "before", victim), r.newOrders(8, "during", victim)
	var group sync.WaitGroup
	for _, o := range sent {
		group.Go(func() { o.send(r.ctx, r, victim) })
	}
	time.Sleep(300 * time.Millisecond)
	r.must(r.f.Pause(victim))
	begin := time.Now()
	for i, o := range append(sent, fresh...) {
		group.Go(func() { o.retryAt(r, []string{others[i%len(others)], others[(i+1)%len(others)]}) })
	}
	time.Sleep(time.Until(begin.Add(5 * time.Second)))
	r.must(r.f.Resume(victim))
	group.Wait()
	for _, s := range r.f.Document().Servers {
		r.must(r.f.Fault(r.ctx, s.Name, `{"late":0}`))
	}
	for _, o := range append(sent, fresh...) {
		group.Go(func() { o.retryAt(r, names) })
	}
	group.Wait()
	for i, w := range wait {
		for j, err := range w() {
			if err != nil {
				t.Errorf("stream %d of group %d: %v", j, i, err)
			}
		}
	}
	r.awaitIdle()
	r.startLoad(12, 15, 2*time.Second, 5, names).mustSucceed()
	logOutcomes(t, append(sent, fresh...))
}

// logOutcomes logs how many orders ended with each outcome.
func logOutcomes(t *testing.T, orders []*order) {
	t.Helper()
	answered, refused, unknown := 0, 0, 0
	for _, o := range orders {
		switch {
		case o.answers > 0:
			answered++
		case o.unknown > 0:
			unknown++
		default:
			refused++
		}
	}
	t.Logf("%d orders: %d answered, %d unknown, %d not run", len(orders), answered, unknown, refused)
}
