package proof

import (
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/fleet"
)

// Guards against calls that are executed on both sides of a network partition between
// daemons, against a side that stops serving, and against failures that persist after
// the partition has healed.
func TestPartition(t *testing.T) {
	r := newRig(t, 5, func(s *fleet.Settings) { s.Relay = true })
	minor, major := []string{"d1", "d2"}, []string{"d3", "d4", "d5"}
	names := r.daemonsExcept()
	r.awaitKeyOwnership(names)
	orders := append(r.newOrders(6, "minor", "d1"), r.newOrders(6, "major", "d3")...)
	r.f.Partition(minor...)
	loads := []*background{r.startLoad(19, 6, 8*time.Second, 20, minor), r.startLoad(20, 6, 8*time.Second, 20, major)}
	var group sync.WaitGroup
	for i, o := range orders {
		first, second := minor, major
		if i%2 == 0 {
			first, second = major, minor
		}
		group.Go(func() { o.retryAt(r, append(append([]string{}, first[0]), second[1], first[1])) })
	}
	r.await(4*suspectTimeout, "split of the membership", func() bool {
		return len(r.status("d1").Members) == 2 && len(r.status("d3").Members) == 3
	})
	apart := r.newOrders(6, "apart", "d2")
	for i, o := range apart {
		side := [][]string{minor, major}[i/2%2]
		group.Go(func() { o.retryAt(r, []string{side[0], "d1", "d4", side[1]}) })
	}
	group.Wait()
	for _, bg := range loads {
		bg.mustSucceed()
	}
	r.f.Heal()
	r.await(10*time.Second, "rejoined membership", func() bool {
		for _, n := range names {
			if len(r.status(n).Members) != len(names) {
				return false
			}
		}
		return true
	})
	r.awaitKeyOwnership(names)
	all := append(orders, apart...)
	for _, o := range all {
		group.Go(func() { o.retryAt(r, names) })
	}
	group.Wait()
	r.startLoad(21, 10, 3*time.Second, 5, names).mustSucceed()
	r.awaitIdle()
	logOutcomes(t, all)
}

// Guards against a loss of capacity or of requests when an engine and its owner, the
// daemon that accounts for it, die at the same time.
func TestEngineAndOwnerKilled(t *testing.T) {
	r := newRig(t, 4)
	victim := r.owner("d1")
	others := r.daemonsExcept(victim)
	wait := r.startStreams(6, others[0], "samen")
	bg := r.startLoad(22, 10, 10*time.Second, 20, others)
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for _, n := range []string{"e5", victim} {
		group.Go(func() { r.must(r.f.Kill(n)) })
	}
	group.Wait()
	r.await(orphanTimeout, "end of the dead daemon's requests at the engines", func() bool { return r.requestsOf(victim) == 0 })
	for i, err := range wait() {
		if err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	bg.mustSucceed()
	r.awaitIdle()
}

// Guards against a takeover that needs the platform: a daemon dies while the
// platform is down.
func TestDaemonKilledWithoutPlatform(t *testing.T) {
	r := newRig(t, 4)
	victim := r.owner("d1")
	others := r.daemonsExcept(victim)
	r.must(r.f.Fault(r.ctx, "platform", `{"down":true}`))
	wait := r.startStreams(4, victim, "alleen")
	bg := r.startLoad(23, 10, 10*time.Second, 20, others)
	time.Sleep(time.Second)
	r.must(r.f.Kill(victim))
	r.await(orphanTimeout, "end of the dead daemon's requests at the engines", func() bool { return r.requestsOf(victim) == 0 })
	wait()
	bg.mustSucceed()
	r.awaitIdle()
	for _, n := range others {
		if o := r.owner(n); o == victim {
			t.Errorf("%s still regards the dead %s as owner", n, o)
		}
	}
}
