package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Times of the simulated fleet. Notices are messages that a daemon has started or leaves;
// noticeLag is the bound within which views have to agree.
const (
	leaseDuration = 3 * time.Second
	noticeLag     = minOwnerTime - leaseDuration - orderTimeout
	deathLag      = 3500 * time.Millisecond
	stopsEnd      = 40 * time.Second
	fleetEnd      = 75 * time.Second
)

// life is one process of a daemon: when it starts, says that it leaves, and ends.
type life struct{ starts, leaves, ends time.Duration }

type simDaemon struct {
	addr  netip.AddrPort
	share uint32
	lives []life
}

// simFleet is a fleet whose daemons are stopped and started again in random order. Each
// daemon learns of the others late.
type simFleet struct {
	base    time.Time
	daemons []simDaemon
	lags    [][]float64
}

func newSimFleet(rng *rand.Rand, n int) *simFleet {
	f := &simFleet{base: time.Unix(1_000_000, 0)}
	strong := []int{1, 2, 3, n}[rng.IntN(4)]
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	spread := between(time.Second, stopsEnd-10*time.Second)
	for i := range n {
		d := simDaemon{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), share: 19}
		if i < strong {
			d.share = uint32(40 + rng.IntN(60))
		}
		current := life{starts: -time.Minute, leaves: fleetEnd * 2, ends: fleetEnd * 2}
		for at := 10*time.Second + between(0, spread); at < stopsEnd && rng.IntN(4) > 0; {
			current.leaves, current.ends = at, at+between(500*time.Millisecond, 15*time.Second)
			d.lives = append(d.lives, current)
			current = life{starts: current.ends + between(300*time.Millisecond, 2*time.Second), leaves: fleetEnd * 2, ends: fleetEnd * 2}
			at = current.starts + between(time.Second, 15*time.Second)
		}
		d.lives = append(d.lives, current)
		f.daemons = append(f.daemons, d)
		lags := make([]float64, n)
		for j := range lags {
			lags[j] = rng.Float64()
		}
		f.lags = append(f.lags, lags)
	}
	return f
}

// simView is the view of one process.
type simView struct {
	*simFleet
	viewer int
	at     time.Duration
}

func (v *simView) Known() int { return len(v.daemons) }

func (v *simView) Alive() []gossip.LiveMember {
	out := make([]gossip.LiveMember, 0, len(v.daemons))
	for i, d := range v.daemons {
		lag := v.lags[v.viewer][i]
		if i == v.viewer {
			lag = 0
		}
		notice, death := time.Duration(lag*float64(noticeLag)), time.Duration(lag*float64(deathLag))
		for _, l := range slices.Backward(d.lives) {
			if v.at < l.starts+notice || v.at >= l.ends+death {
				continue
			}
			m := gossip.Member{Addr: d.addr, CPUShare: d.share, Incarnation: int64(l.starts), Leaving: v.at >= l.leaves+notice}
			out = append(out, gossip.LiveMember{Member: m, Mature: !m.Leaving && v.at >= l.starts+notice+time.Second})
			break
		}
	}
	return out
}

// orders returns when each daemon may order, at checks of all processes, and whether all
// live daemons ask the same one in the end. Some daemons get no answers from others.
func (f *simFleet) orders() (at map[time.Duration][]int, agreed bool) {
	at = map[time.Duration][]int{}
	firsts := map[netip.AddrPort]bool{}
	for i, d := range f.daemons {
		view := &simView{simFleet: f, viewer: i}
		for _, l := range d.lives {
			m := &Manager{self: d.addr, members: view, table: pool.New(), log: hclog.NewNullLogger(),
				skipUntil: map[netip.AddrPort]time.Time{}, ownerSince: map[string]time.Time{}, startedAt: f.base.Add(l.starts)}
			deaf := f.lags[i][0] > 0.8
			for _, other := range f.daemons {
				if deaf && other.addr != d.addr {
					m.skipUntil[other.addr] = f.base.Add(stopsEnd)
				}
			}
			step := balanceInterval
			if len(f.daemons) > 100 {
				step = maxPause - balanceInterval // for the length of the test
			}
			phase := time.Duration(f.lags[i][i] * float64(step))
			for t := max(l.starts, 0) + phase; t < min(l.ends, fleetEnd); t += step {
				view.at = t
				now := f.base.Add(t)
				if m.balancedAt.IsZero() {
					m.balancedAt = now
				}
				if m.mayOrder(now, service) {
					if t >= l.leaves || t <= l.starts+minUptime {
						return nil, false
					}
					at[t] = append(at[t], i)
				}
				m.balancedAt = now
			}
			if l.ends > fleetEnd {
				owners, _ := m.owners(f.base.Add(fleetEnd), service)
				firsts[owners[0]] = true
			}
		}
	}
	return at, len(firsts) == 1
}

// conflict describes the first two orders of different daemons within a lease duration,
// where an order may take effect until its time limit.
func conflict(orders map[time.Duration][]int) string {
	type order struct {
		at time.Duration
		by int
	}
	var all []order
	for at, by := range orders {
		for _, d := range by {
			all = append(all, order{at, d})
		}
	}
	slices.SortFunc(all, func(a, b order) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	for i := 1; i < len(all); i++ {
		if a, b := all[i-1], all[i]; a.by != b.by && b.at-a.at-orderTimeout < leaseDuration {
			return fmt.Sprintf("daemon %d may order at %v, daemon %d at %v", a.by, a.at, b.by, b.at)
		}
	}
	return ""
}

// Guards against leases that each daemon gives for itself, unaware of the runs of others,
// while all strong daemons leave, and against an owner that nobody has reported to yet.
func TestOwnersWhileStrongLeave(t *testing.T) {
	const strong, weak = 80, 19
	cases := map[string]struct {
		shares         []uint32
		leaving, young string
		want           string
	}{
		"none leaves":          {[]uint32{strong, weak, weak}, "", "", "0"},
		"the strong one":       {[]uint32{strong, weak, weak}, "0", "", "12"},
		"one of two strong":    {[]uint32{strong, strong, weak}, "0", "", "1"},
		"all":                  {[]uint32{strong, weak, weak}, "012", "", "0"},
		"the strong one is up": {[]uint32{strong, weak, weak}, "", "0", "12"},
		"all are young":        {[]uint32{strong, weak, weak}, "", "012", "0"},
		"a young one stays":    {[]uint32{strong, weak, weak}, "01", "2", "2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var view []gossip.LiveMember
			for i, share := range c.shares {
				id := fmt.Sprint(i)
				m := gossip.Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), CPUShare: share,
					Leaving: strings.Contains(c.leaving, id)}
				view = append(view, gossip.LiveMember{Member: m, Mature: !m.Leaving && !strings.Contains(c.young, id)})
			}
			got := ""
			mature, _ := candidates(view)
			for _, m := range mature {
				got += fmt.Sprint(m.Addr.Addr().As4()[3])
			}
			if got != c.want {
				t.Errorf("candidates %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against two daemons that order the engines of one service at the same time, since
// each takes itself as the owner while the strong daemons, or all, are leaving.
// A daemon that leaves, or has just started, orders none.
func TestOneDaemonOrders(t *testing.T) {
	for name, c := range map[string]struct{ daemons, runs int }{
		"3 daemons": {3, 200}, "7 daemons": {7, 100}, "72 daemons": {72, 3}, "295 daemons": {295, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			parameters := gopter.DefaultTestParametersWithSeed(40)
			parameters.MinSuccessfulTests = c.runs
			properties := gopter.NewProperties(parameters)
			properties.Property("one daemon orders at a time", prop.ForAll(func(seed uint64) string {
				orders, agreed := newSimFleet(rand.New(rand.NewPCG(seed, 0)), c.daemons).orders()
				if text := conflict(orders); text != "" {
					return text
				}
				last := 0
				for at, by := range orders {
					if at > fleetEnd-2*time.Second {
						last += len(by)
					}
				}
				if !agreed || last == 0 {
					return fmt.Sprintf("no order while leaving or young, same owner for all after the stops: %v; orders in the last two seconds: %d", agreed, last)
				}
				return ""
			}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
			properties.TestingRun(t)
		})
	}
}
