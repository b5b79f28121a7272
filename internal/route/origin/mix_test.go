package origin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// mix plays random events on a fleet and keeps the truth.
type mix struct {
	*fleet
	// streams have the versions that their attempts were recorded with, one but for
	// those that contradict each other.
	streams map[string][]string
	names   []string
	// serving are the versions of all engines that may have begun a stream.
	serving []string
	faults  []string
	finds   map[string]int
}

// check takes up the stream of an attempt at a daemon.
func (m *mix) check(d *daemon, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	serving, started := len(m.serving), time.Now()
	version, ok := d.group.Find(ctx, "llm", attempt)
	recorded, known := m.streams[attempt]
	switch took := time.Since(started); {
	case took > 505*time.Millisecond:
		m.faults = append(m.faults, fmt.Sprintf("%q answered after %v", attempt, took))
	case !ok:
		m.finds["not found"]++
	case known && slices.Contains(recorded, version):
		m.finds["found"]++
	case !known && serving == 1 && version == m.serving[0]:
		m.finds["only one version"]++
	default:
		m.faults = append(m.faults, fmt.Sprintf("%q goes on at %q, recorded %v, serving %v", attempt, version, recorded, m.serving))
	}
}

// list is what any daemon, in step or not, may know: revision i of the store has the i-th
// version, and the versions before may have left.
func (m *mix) list(ctx context.Context, _ *daemon) origin.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := len(m.serving)
	known := 1 + m.noise.IntN(newest)
	l := origin.List{To: pool.Revision{Number: uint64(known)}, Complete: m.noise.IntN(2) == 0}
	from := 1
	if !l.Complete {
		from += m.noise.IntN(known)
	}
	l.From = pool.Revision{Number: uint64(from)}
	if l.Confirmed = ctx.Err() == nil && m.noise.IntN(3) > 0; l.Confirmed {
		known = newest
	}
	l.Versions = slices.Clone(m.serving[from-1 : known])
	return l
}

// step plays one random event.
func (m *mix) step() {
	r := m.random
	d := m.live()
	switch r.IntN(12) {
	case 0:
		if up := slices.DeleteFunc(slices.Clone(m.daemons), func(d *daemon) bool { return !d.down.IsZero() || d.old }); len(up) > 1 {
			m.kill(d)
		}
	case 1:
		if x := m.daemons[r.IntN(len(m.daemons))]; !x.down.IsZero() {
			m.heal(x)
		}
	case 2:
		if x := m.daemons[r.IntN(len(m.daemons))]; !x.down.IsZero() {
			x.start()
		}
	case 3:
		d.leave(!d.leaving)
	case 4:
		if len(m.serving) < 3 && r.IntN(3) == 0 {
			m.mu.Lock()
			m.serving = append(m.serving, fmt.Sprint("v", len(m.serving)))
			m.mu.Unlock()
		}
	case 5:
		m.check(d, []string{"", "nobody", "\xff\xfe", string(make([]byte, 70))}[r.IntN(4)])
	case 6:
		// The same attempt begins a second time, at another version.
		if len(m.names) > 0 && len(m.serving) > 1 && r.IntN(5) == 0 {
			m.record(d, m.names[r.IntN(len(m.names))])
		}
	case 7, 8:
		m.names = append(m.names, fmt.Sprintf("%x", r.Uint64()))
		m.record(d, m.names[len(m.names)-1])
	default:
		if len(m.names) > 0 {
			m.check(d, m.names[max(0, len(m.names)-1-r.IntN(10))])
		}
	}
	time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
}

func (m *mix) record(d *daemon, attempt string) {
	version := m.serving[m.random.IntN(len(m.serving))]
	m.streams[attempt] = append(m.streams[attempt], version)
	d.group.Record(context.Background(), origin.Origin{Attempt: attempt, Service: "llm", Version: version, Until: time.Now().Add(time.Duration(m.random.IntN(20)) * time.Second)})
}

// Guards against a version other than the recorded one, and against a guess, in mixes of
// deaths, starts, cuts, lost datagrams, older daemons and new versions that nobody thought
// of.
func TestRandomMixNeverGivesAnotherVersion(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(34)
	params.MinSuccessfulTests = 40
	properties := gopter.NewProperties(params)
	finds := map[string]int{}
	properties.Property("the version is the recorded one, or the only one", prop.ForAll(func(seed uint64) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 6))
			m := &mix{fleet: newFleet(2+random.IntN(40), 0.4*random.Float64(), seed), streams: map[string][]string{}, serving: []string{"v0"}, finds: finds}
			defer m.close()
			for _, d := range m.some(random.IntN(1 + len(m.daemons)/3)) {
				d.startOld()
			}
			m.history = m.list
			for range 150 {
				m.step()
			}
			for _, fault := range m.faults {
				t.Logf("seed %d: %s", seed, fault)
				ok = false
			}
		})
		return ok
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Logf("streams taken up: %v", finds)
}
