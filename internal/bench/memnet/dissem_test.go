package memnet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/wire/peer"
)

func strike(i uint64) *peer.Strike {
	return &peer.Strike{Print: i, Count: 1, Left: 600_000, Engine: fmt.Sprintf("engine-%d", i)}
}

// Guards against strikes that don't reach all daemons or reach one twice.
func TestStrikesReachAll(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 6, Loss: 0.2}, 40)
	for i := range 10 {
		f.Live()[i].Strike(strike(uint64(i)))
	}
	if _, ok := f.RunUntil(10*time.Second, func() bool {
		return f.All(func(n *Node) bool { return len(n.Strikes) >= 9 })
	}); !ok {
		t.Fatal("strikes are missing after 10 s")
	}
	f.Run(20 * time.Second)
	for _, n := range f.Live() {
		seen := map[uint64]bool{}
		for _, s := range n.Strikes {
			if seen[s.Print] {
				t.Errorf("%s received strike %d twice", n.Name, s.Print)
			}
			seen[s.Print] = true
		}
	}
}

// Guards against a read load on the platform that grows with the fleet: only a
// few watchers in each failure domain poll it often.
func TestFewReaders(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 7, Domains: 3}, 60)
	f.Run(90 * time.Second)
	watchers := 0
	for _, n := range f.Live() {
		if n.View().Dissemination().Watching() {
			watchers++
		}
	}
	if watchers != 3*dissem.Watchers {
		t.Errorf("%d watchers in 3 failure domains", watchers)
	}
	before := f.Platform.Reads
	f.Run(5 * time.Minute)
	reads := f.Platform.Reads - before
	// Each watcher reads twice in 5 s, each other daemon twice in 45 s or more.
	most := 6*2*60 + 54*2*7
	if reads > most {
		t.Errorf("%d reads in 5 minutes, more than %d", reads, most)
	}
	t.Logf("%d reads in 5 minutes", reads)
}

// Guards against an update that is delayed because all watchers have died.
func TestLostWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		f := build(t, Settings{Seed: seed, Domains: 1}, 20)
		f.Run(70 * time.Second)
		for _, n := range f.Live() {
			if n.View().Dissemination().Watching() {
				n.Kill()
			}
		}
		f.Platform.Publish(2, nil)
		d, ok := f.RunUntil(12*time.Second, func() bool { return f.InForce(2) })
		if !ok {
			t.Error("version 2 is not adopted by all 12 s after all watchers died")
		}
		t.Logf("seed %d: in force after %v", seed, d)
		f.Run(12*time.Second - d)
		watchers := 0
		for _, n := range f.Live() {
			if n.View().Dissemination().Watching() {
				watchers++
			}
		}
		if watchers != dissem.Watchers {
			t.Errorf("seed %d: %d watchers 12 s after all died", seed, watchers)
		}
	}
}

// Guards against slow dissemination of a new version to all daemons.
func TestVersionSpreadsFast(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		f := build(t, Settings{Seed: seed, Domains: 6, Loss: 0.05}, 60)
		f.Platform.Publish(2, nil)
		d, ok := f.RunUntil(time.Second, func() bool { return f.InForce(2) })
		if !ok {
			t.Errorf("seed %d: not in force after %v", seed, d)
		}
		t.Logf("seed %d: in force after %v", seed, d)
		check(t, f)
	}
}

// Guards against a new daemon that adopts an older document from a stale platform
// though its peers have a newer one, and against one that gets no document when
// the platform is down.
func TestFreshDaemonTakesTheHighest(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *Fleet){
		"stale": func(f *Fleet) { f.Platform.Revert(1) },
		"down":  func(f *Fleet) { f.Platform.Down = func(string) bool { return true } },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := build(t, Settings{Seed: seed}, 7)
				for v := uint64(2); v <= 5; v++ {
					f.Platform.Publish(v, nil)
					settle(t, f, 10*time.Second, v)
				}
				fault(f)
				n := f.Nodes["d003"]
				n.Kill()
				f.Run(time.Duration(seed) * time.Second)
				n.Start()
				if d, ok := f.RunUntil(time.Second, func() bool { return n.Version() > 0 }); !ok && name == "stale" {
					t.Errorf("not ready %v after the start", d)
				}
				settle(t, f, 20*time.Second, 5)
				if n.First != 5 {
					t.Errorf("the first document of the new daemon has version %d, want 5", n.First)
				}
			}
		})
	}
}

// Guards against a rejected document that is adopted, is fetched again and again,
// or masks the next valid one.
func TestRejectedOnce(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"all watch": 2, "most poll": 12} {
		t.Run(name, func(t *testing.T) { rejectedOnce(t, build(t, Settings{Seed: 8}, n)) })
	}
}

func rejectedOnce(t *testing.T, f *Fleet) {
	f.Run(70 * time.Second)
	before := f.Platform.Reads
	f.Run(2 * time.Minute)
	usual := f.Platform.Reads - before
	f.Platform.Publish(9, errors.New("unknown key"))
	before = f.Platform.Reads
	f.Run(2 * time.Minute)
	if got := f.Platform.Reads - before; got > usual+60 {
		t.Errorf("%d reads with a rejected version, %d without", got, usual)
	}
	shown := 0
	for _, n := range f.Live() {
		if n.View().Dissemination().RejectErr(dissem.Document) != nil {
			shown++
		}
	}
	if shown < min(2*dissem.Watchers, len(f.Names)) {
		t.Errorf("%d daemons report the rejection, fewer than there are watchers", shown)
	}
	if !f.All(func(n *Node) bool { return n.Version() == 1 }) {
		t.Error("a rejected version was adopted")
	}
	f.Platform.Publish(5, nil)
	if _, ok := f.RunUntil(90*time.Second, func() bool { return f.InForce(5) }); !ok {
		t.Error("a valid version below the rejected one was not adopted")
	}
	check(t, f)
}
