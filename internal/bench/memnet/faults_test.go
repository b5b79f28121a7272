package memnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// chaos injects random faults, ends them all and returns the version of the
// last document published, which is valid.
func chaos(f *Fleet, rng *rand.Rand, steps int) uint64 {
	version, valid := uint64(1), uint64(1)
	for range steps {
		n := f.Nodes[f.Names[rng.IntN(len(f.Names))]]
		switch rng.IntN(10) {
		case 0, 1:
			version++
			f.Platform.Publish(version, nil)
			valid = version
		case 2:
			version++
			f.Platform.Publish(version, errors.New("invalid"))
		case 3:
			n.Kill()
		case 4:
			n.Kill()
			n.Start()
		case 5:
			if n.Up() {
				n.Pause()
			}
		case 6:
			if n.Up() && n.paused {
				n.Resume()
			}
		case 7:
			side := map[string]bool{}
			for _, name := range f.Names {
				side[name] = rng.IntN(2) == 0
			}
			f.Cut = func(a, b string) bool { return side[a] != side[b] }
		case 8:
			f.Cut = nil
		case 9:
			faultPlatform(f, rng)
		}
		f.Run(time.Duration(rng.Int64N(int64(3 * time.Second))))
	}
	heal(f)
	if version > valid {
		version++
		f.Platform.Publish(version, nil)
	}
	return version
}

func faultPlatform(f *Fleet, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		f.Platform.Down = func(string) bool { return true }
	case 1:
		f.Platform.Down = nil
	case 2:
		f.Platform.Freeze()
	case 3:
		f.Platform.Thaw()
	}
}

func heal(f *Fleet) {
	f.Cut, f.Platform.Down = nil, nil
	f.Platform.Thaw()
	for _, name := range f.Names {
		n := f.Nodes[name]
		if !n.Up() {
			n.Start()
		}
		if n.paused {
			n.Resume()
		}
	}
	f.List()
}

// Guards against a daemon that goes back to an older version or an earlier
// incarnation, and against memberships that don't converge after all faults
// have ended.
func TestFaultsThenCommonView(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(21)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("safe throughout, and one view 30 s after healing", prop.ForAll(func(seed uint64, n int) (string, error) {
		f := New(Settings{Seed: seed, Domains: 3, Loss: 0.1, Delay: time.Millisecond, Jitter: 200 * time.Millisecond})
		f.Platform.Publish(1, nil)
		for range n {
			f.Add()
		}
		f.List()
		f.Run(3 * time.Second)
		version := chaos(f, rand.New(rand.NewPCG(seed, 5)), 40)
		d, ok := f.RunUntil(30*time.Second, func() bool { return f.InForce(version) && f.Agree() })
		switch {
		case len(f.Violations) > 0:
			return "", errors.New(f.Violations[0])
		case f.Largest > 1200:
			return "", fmt.Errorf("a datagram has %d bytes, more than 1200", f.Largest)
		case !ok:
			return "", fmt.Errorf("memberships have not converged %v after the faults ended", d)
		}
		return "", nil
	}, gen.UInt64(), gen.IntRange(2, 16)))
	properties.TestingRun(t)
}

// Guards against a membership that doesn't converge after a long partition, and
// against a side that keeps the unreachable daemons as members.
func TestPartition(t *testing.T) {
	t.Parallel()
	f := build(t, Settings{Seed: 9}, 40)
	side := func(n string) bool { return n < "d015" }
	f.Cut = func(a, b string) bool { return side(a) != side(b) }
	f.Run(time.Minute)
	for _, n := range f.Live() {
		want := 25
		if side(n.Name) {
			want = 15
		}
		if len(n.Alive) != want {
			t.Errorf("%s has %d daemons as members during the partition", n.Name, len(n.Alive))
		}
	}
	f.Cut = nil
	t.Logf("memberships converged %v after the partition ended", settle(t, f, 20*time.Second, 1))
}
