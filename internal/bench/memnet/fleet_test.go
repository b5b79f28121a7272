package memnet

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// build starts n daemons and waits until their memberships have converged and
// version 1 is adopted.
func build(t *testing.T, s Settings, n int) *Fleet {
	t.Helper()
	f := New(s)
	f.Platform.Publish(1, nil)
	for range n {
		f.Add()
	}
	f.List()
	settle(t, f, 30*time.Second, 1)
	return f
}

// settle runs until the memberships of all running daemons have converged and
// the version is adopted.
func settle(t *testing.T, f *Fleet, limit time.Duration, version uint64) time.Duration {
	t.Helper()
	d, ok := f.RunUntil(limit, func() bool { return f.InForce(version) && f.Agree() })
	if !ok {
		for _, n := range f.Live() {
			t.Logf("%s: version %d, revision %d, %d alive", n.Name, n.Version(), n.Revision(), len(n.Alive))
		}
		t.Fatalf("memberships have not converged after %v", d)
	}
	check(t, f)
	return d
}

func check(t *testing.T, f *Fleet) {
	t.Helper()
	for _, v := range f.Violations {
		t.Error(v)
	}
	if f.Largest > 1200 {
		t.Errorf("a datagram has %d bytes, more than 1200", f.Largest)
	}
}

// Guards against a membership that doesn't converge after all daemons start at once.
func TestColdStart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 2, 7, 64} {
		f := New(Settings{Seed: 1, Domains: 3})
		f.Platform.Publish(1, nil)
		for range n {
			f.Add()
		}
		f.List()
		t.Logf("memberships of %d daemons converged after %v", n, settle(t, f, 15*time.Second, 1))
	}
}

// Guards against a simulation that isn't reproducible from its seed.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	var sums [2]uint64
	for i := range sums {
		f := build(t, Settings{Seed: 5, Loss: 0.1, Jitter: 50 * time.Millisecond}, 20)
		f.Nodes["d003"].Kill()
		f.Platform.Publish(2, nil)
		f.Run(20 * time.Second)
		for _, n := range f.Live() {
			sums[i] = sums[i]*31 + n.In + 7*n.Out
		}
	}
	if sums[0] != sums[1] {
		t.Error("two runs with one seed differ")
	}
}

// Guards against slow failure detection: until a dead daemon is removed from the
// membership, the cells that it owns get no other owner.
func TestDeathIsNoticed(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 40} {
		worst := time.Duration(0)
		for seed := range uint64(6) {
			f := build(t, Settings{Seed: seed}, n)
			f.Nodes["d002"].Kill()
			// 1 s until the next probe, 3 s of suspicion, 1 s of dissemination.
			worst = max(worst, settle(t, f, 5*time.Second, 1))
		}
		t.Logf("%d daemons: detected by all after %v at most", n, worst)
	}
}

// Guards against a graceful stop that peers notice only by the failure detector.
func TestLeaveIsFast(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 2}, 40)
	f.Run(700 * time.Millisecond)
	f.Nodes["d007"].Leave()
	// A process may end as soon as it has sent its leave messages.
	f.Run(5 * time.Millisecond)
	f.Nodes["d007"].Kill()
	_, ok := f.RunUntil(2*time.Second, func() bool {
		return f.All(func(n *Node) bool { _, there := n.Alive["d007"]; return !there })
	})
	if !ok {
		t.Error("a leaving daemon is still a member after 2 s")
	}
	f.Run(5 * time.Second)
	if !f.All(func(n *Node) bool { _, there := n.Alive["d007"]; return !there }) {
		t.Error("a daemon that left is a member again")
	}
}

// Guards against a restarted daemon that is confused with its previous
// incarnation, whose last datagrams arrive late and out of order.
func TestRestartIsNotThePredecessor(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		f := build(t, Settings{Seed: seed, Loss: 0.1, Jitter: 800 * time.Millisecond, Delay: time.Millisecond}, 12)
		for range 3 {
			n := f.Nodes["d004"]
			n.Kill()
			f.Run(100 * time.Millisecond)
			n.Start()
			f.Run(700 * time.Millisecond)
		}
		settle(t, f, 30*time.Second, 1)
	}
}

// Guards against a daemon that doesn't refute its removal after a process pause,
// and against one that declares its peers dead because its timers expired during
// the pause.
func TestPausedRefutes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		f := build(t, Settings{Seed: seed}, 12)
		n := f.Nodes["d005"]
		incarnation := n.Incarnation
		f.Run(200 * time.Millisecond * time.Duration(seed))
		n.Pause()
		f.Run(12 * time.Second)
		for _, o := range f.Live() {
			if _, ok := o.Alive["d005"]; ok && o != n {
				t.Fatalf("%s still has a daemon as a member that was paused for 12 s", o.Name)
			}
		}
		changes := n.Changes
		n.Resume()
		if n.Changes != changes {
			t.Error("membership is reported before a peer has answered after the pause")
		}
		if _, ok := f.RunUntil(2*time.Second, func() bool { return n.Changes > changes }); !ok {
			t.Fatal("membership is not reported 2 s after the pause")
		}
		if len(n.Alive) != 12 {
			t.Errorf("after the pause %d daemons are members, want 12", len(n.Alive))
		}
		settle(t, f, 5*time.Second, 1)
		if n.Incarnation != incarnation {
			t.Error("a pause changed the incarnation")
		}
	}
}

// Guards against a process that doesn't detect a later incarnation of its name.
func TestReplacedIsNoticed(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 3}, 5)
	n := f.Nodes["d001"]
	n.Kill()
	n.ClockStep = time.Hour
	n.Start()
	settle(t, f, 10*time.Second, 1)
	n.Kill()
	n.ClockStep = 0
	n.Start()
	if _, ok := f.RunUntil(10*time.Second, func() bool { return n.Replaced }); !ok {
		t.Error("the process with the lower incarnation doesn't detect the later one")
	}
}

// Guards against datagrams over the size limit when names are long and there are
// many membership changes and strikes.
func TestPacketsAreBounded(t *testing.T) {
	t.Parallel()
	f := New(Settings{Seed: 4, Prefix: strings.Repeat("n", 60)})
	f.Platform.Publish(1, nil)
	for range 40 {
		f.Add()
	}
	f.List()
	for i := range 150 {
		n := f.Live()[i%40]
		n.Strike(strike(uint64(i)))
		f.Run(20 * time.Millisecond)
	}
	settle(t, f, 30*time.Second, 1)
	if f.Largest < 1000 {
		t.Errorf("the largest datagram has %d bytes; the test doesn't reach the size limit", f.Largest)
	}
}

// Guards against false suspicion of a daemon that one peer can't reach while
// others can: indirect probes must succeed.
func TestIndirectProbes(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 10}, 6)
	f.Cut = func(a, b string) bool { return a+b == "d000d001" || a+b == "d001d000" }
	before := map[string]int{}
	for _, n := range f.Live() {
		before[n.Name] = n.Changes
	}
	f.Run(2 * time.Minute)
	for _, n := range f.Live() {
		if n.Changes != before[n.Name] || len(n.Alive) != 6 {
			t.Errorf("%s reported %d changes", n.Name, n.Changes-before[n.Name])
		}
		if r := n.View().Members().Digest()[0].Round; r != 0 {
			t.Errorf("%s had to refute %d suspicions", n.Name, r)
		}
	}
}

// Guards against slow convergence when daemons start one after another: once a
// daemon knows a peer, it probes only one listed but unknown daemon every 4 s.
func TestStaggeredStart(t *testing.T) {
	t.Parallel()
	const limit = 10 * time.Second
	worst := time.Duration(0)
	for seed := range uint64(300) {
		f := New(Settings{Seed: seed, Domains: 3, Loss: 0.02})
		f.Platform.Publish(1, nil)
		rng := rand.New(rand.NewPCG(seed, 7))
		for range 7 {
			f.Add()
			f.List()
			f.Run(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
		}
		took, ok := f.RunUntil(limit, f.Agree)
		if worst = max(worst, took); !ok {
			t.Errorf("seed %d: memberships have not converged %v after the last start", seed, limit)
		}
	}
	t.Logf("longest %v", worst)
}
