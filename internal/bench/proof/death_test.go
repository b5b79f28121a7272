package proof

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/load"
)

// Guards against engine memory that stays reserved for a dead daemon, against a death
// that breaks requests at other daemons, and against goodput that doesn't recover
// once another daemon has taken over the dead owner's cell.
func TestDaemonKilled(t *testing.T) {
	r := newRig(t, 5)
	victim := r.owner("d1")
	wait := r.startStreams(8, victim, "dode")
	if n := r.requestsOf(victim); n < 8 {
		t.Fatalf("engines hold %d requests of %s, want 8: %v", n, victim, r.reports())
	}
	orders := r.newOrders(4, "dode", victim)
	for _, o := range orders {
		go o.send(r.ctx, r, victim)
	}
	const span, part = 12 * time.Second, 1200 * time.Millisecond
	begin := time.Now()
	bg := r.startLoad(11, 15, span, 20, r.daemonsExcept(victim))
	time.Sleep(2 * part)
	r.must(r.f.Kill(victim))
	killed := time.Since(begin)
	free := r.await(orphanTimeout, "end of the dead daemon's requests at the engines", func() bool { return r.requestsOf(victim) == 0 })
	for i, err := range wait() {
		if err == nil {
			t.Errorf("stream %d completed at a dead daemon", i)
		}
	}
	result := bg.mustSucceed()
	// Goodput must have recovered in all tenths of the run that begin after the
	// suspicion timeout, and as much again for the new owner's first leases.
	first := int((killed+2*suspectTimeout)/part) + 1
	for i := first; i < 10; i++ {
		good, all := 0, 0
		for _, f := range result.Classes {
			good += f.Parts[i][0]
			all += f.Parts[i][1]
		}
		if 10*good < 9*all {
			t.Errorf("part %d of 10: %d of %d requests met their targets", i, good, all)
		}
	}
	for _, o := range orders {
		o.retryAt(r, r.daemonsExcept(victim))
	}
	r.awaitIdle()
	_, answered := result.Count(load.Answered)
	t.Logf("seed 11: killed after %s, %d answered at other daemons, engines free after %s", killed.Round(time.Millisecond), answered, free.Round(time.Millisecond))
	for _, late := range result.Late {
		t.Log("late:", late)
	}
}
