package proof

import (
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/fleet"
)

// Guards against calls that run on both sides of a partition between daemons,
// against a side that stops serving, and against damage that outlasts it.
func TestPartition(t *testing.T) {
	r := newRig(t, 5, func(s *fleet.Settings) { s.Relay = true })
	minor, major := []string{"d1", "d2"}, []string{"d3", "d4", "d5"}
	names := r.others()
	r.covered(names)
	orders := append(r.orders(6, "minor", "d1"), r.orders(6, "major", "d3")...)
	r.f.Partition(minor...)
	loads := []*background{r.load(19, 6, 8*time.Second, 20, minor), r.load(20, 6, 8*time.Second, 20, major)}
	var group sync.WaitGroup
	for i, o := range orders {
		first, second := minor, major
		if i%2 == 0 {
			first, second = major, minor
		}
		group.Go(func() { o.repeat(r, append(append([]string{}, first[0]), second[1], first[1])) })
	}
	r.within(4*suspected, "two sides", func() bool {
		return len(r.status("d1").Members) == 2 && len(r.status("d3").Members) == 3
	})
	apart := r.orders(6, "apart", "d2")
	for i, o := range apart {
		side := [][]string{minor, major}[i/2%2]
		group.Go(func() { o.repeat(r, []string{side[0], "d1", "d4", side[1]}) })
	}
	group.Wait()
	for _, bg := range loads {
		bg.whole()
	}
	r.f.Heal()
	r.within(10*time.Second, "one membership", func() bool {
		for _, n := range names {
			if len(r.status(n).Members) != len(names) {
				return false
			}
		}
		return true
	})
	r.covered(names)
	all := append(orders, apart...)
	for _, o := range all {
		group.Go(func() { o.repeat(r, names) })
	}
	group.Wait()
	r.load(21, 10, 3*time.Second, 5, names).whole()
	r.settled()
	counts(t, all)
}

// Guards against a loss of capacity or of requests when an engine and the
// daemon that accounts for it die together.
func TestEngineAndOwnerKilled(t *testing.T) {
	r := newRig(t, 4)
	victim := r.owner("d1")
	others := r.others(victim)
	wait := r.streams(6, others[0], "samen")
	bg := r.load(22, 10, 10*time.Second, 20, others)
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for _, n := range []string{"e5", victim} {
		group.Go(func() { r.must(r.f.Kill(n)) })
	}
	group.Wait()
	r.within(orphaned, "release of the dead daemon's requests", func() bool { return r.runs(victim) == 0 })
	for i, err := range wait() {
		if err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	bg.whole()
	r.settled()
}

// Guards against a takeover that needs the platform: a daemon dies while the
// platform is down.
func TestDaemonKilledWithoutPlatform(t *testing.T) {
	r := newRig(t, 4)
	victim := r.owner("d1")
	others := r.others(victim)
	r.must(r.f.Fault(r.ctx, "platform", `{"down":true}`))
	wait := r.streams(4, victim, "alleen")
	bg := r.load(23, 10, 10*time.Second, 20, others)
	time.Sleep(time.Second)
	r.must(r.f.Kill(victim))
	r.within(orphaned, "release of the dead daemon's requests", func() bool { return r.runs(victim) == 0 })
	wait()
	bg.whole()
	r.settled()
	for _, n := range others {
		if o := r.owner(n); o == victim {
			t.Errorf("%s still takes %s for the owner", n, o)
		}
	}
}
