package gossip_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/gossip"
)

var t0 = time.Unix(1_700_000_000, 0)

// fleet is a set of daemons over a network that loses messages at random.
type fleet struct {
	tables   []*gossip.Table
	index    map[netip.AddrPort]int
	nextTick []time.Time
	dead     map[int]bool
	loss     float64
	rng      *rand.Rand
	now      time.Time
	// sent and members count the delivered messages and the members in them.
	sent, members int
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

// newFleet returns n daemons whose seeds are the first one and an address without
// a daemon.
func newFleet(n int, loss float64) *fleet {
	f := &fleet{dead: map[int]bool{}, index: map[netip.AddrPort]int{}, loss: loss, rng: rand.New(rand.NewPCG(3, 3)), now: t0}
	seeds := []netip.AddrPort{addr(0), netip.MustParseAddrPort("10.9.9.9:7000")}
	for i := range n {
		f.index[addr(i)] = i
		f.tables = append(f.tables, gossip.New(gossip.Member{Addr: addr(i), Incarnation: int64(i + 1)}, seeds, uint64(i)))
		f.nextTick = append(f.nextTick, t0.Add(time.Duration(f.rng.IntN(300))*time.Millisecond))
	}
	return f
}

func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for i, table := range f.tables {
			if f.dead[i] || f.now.Before(f.nextTick[i]) {
				continue
			}
			for _, s := range table.Tick(f.now) {
				f.deliver(s)
			}
			f.nextTick[i] = f.now.Add(table.Interval())
		}
		check()
	}
}

func (f *fleet) deliver(s gossip.Send) {
	i, ok := f.index[s.To]
	if !ok || f.dead[i] || f.rng.Float64() < f.loss {
		return
	}
	f.sent++
	f.members += len(s.Message.Members)
	for _, answer := range f.tables[i].Receive(f.now, s.Message) {
		f.deliver(answer)
	}
}

func noCheck() {}

// startTime is the time from the start of the machines to the first requests.
const startTime = 10 * time.Second

// recoveryTime is the time after a fault within which requests must be served
// again. Daemons that need a dead one skip it at once.
const recoveryTime = 12 * time.Second

// Guards against daemons that don't discover each other through one live seed
// before the first requests come.
func TestDaemonsFindEachOther(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"one": 1, "six": 6, "nine": 9, "hundred": 100, "planned size": 350} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(n, 0.02)
			f.run(startTime, noCheck)
			for i, table := range f.tables {
				if got := table.Count(f.now); got != n {
					t.Fatalf("daemon %d sees %d of %d after %v", i, got, n, startTime)
				}
			}
		})
	}
}

// Guards against live daemons that are declared dead, which moves the ownership of
// state: none may be lost in 30 s with one message in fifty lost.
func TestLiveDaemonsStay(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"six": 6, "nine": 9, "hundred": 100, "planned size": 350} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(n, 0.02)
			f.run(startTime, noCheck)
			lost := 0
			f.run(30*time.Second, func() {
				if f.now.UnixMilli()%100 != 0 {
					return
				}
				for _, table := range f.tables {
					lost += n - table.Count(f.now)
				}
			})
			if lost > 0 {
				t.Errorf("live daemons were missing %d times", lost)
			}
		})
	}
}

// Guards against dead daemons that stay alive in the tables and keep their share
// of the work.
func TestDeadDaemonsGo(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		n      int
		within time.Duration
	}{
		"six":     {6, 2 * time.Second},
		"hundred": {100, recoveryTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.n, 0.02)
			f.run(startTime, noCheck)
			f.dead[c.n-1] = true
			f.run(c.within, noCheck)
			for i, table := range f.tables[:c.n-1] {
				if got := table.Count(f.now); got != c.n-1 {
					t.Fatalf("daemon %d sees %d daemons %v after one of %d died", i, got, c.within, c.n)
				}
			}
		})
	}
}

// Guards against a fleet that stays split after a network partition has healed.
func TestHalvesMeetAgain(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		n              int
		cut, recovered time.Duration
	}{
		"six":             {6, 3 * time.Second, 3 * time.Second},
		"sixty":           {60, 3 * time.Second, recoveryTime},
		"sixty, long cut": {60, 20 * time.Second, recoveryTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.n, 0)
			f.run(startTime, noCheck)
			f.loss = 1
			f.run(c.cut, noCheck)
			f.loss = 0
			f.run(c.recovered, noCheck)
			for i, table := range f.tables {
				if got := table.Count(f.now); got != c.n {
					t.Errorf("daemon %d sees %d of %d after the partition", i, got, c.n)
				}
			}
		})
	}
}

// Guards against a wide fleet in which most of the daemons die at once and stay
// alive in the tables of the rest, whose neighbours are all dead.
func TestMassFailureIsDetected(t *testing.T) {
	t.Parallel()
	for name, left := range map[string]int{"two in five": 40, "one": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const n = 100
			f := newFleet(n, 0.02)
			f.run(startTime, noCheck)
			for _, i := range f.rng.Perm(n)[left:] {
				f.dead[i] = true
			}
			f.run(recoveryTime, noCheck)
			for i, table := range f.tables {
				if got := table.Count(f.now); !f.dead[i] && got != left {
					t.Errorf("daemon %d sees %d of %d daemons", i, got, left)
				}
			}
		})
	}
}

// Guards against membership traffic that grows with the fleet: of the 15 KB/s that
// a daemon may use for control traffic, membership gets a fifth, in both
// directions. A member takes about 25 bytes and the header of a datagram 30.
func TestLoadStaysFlat(t *testing.T) {
	t.Parallel()
	const budget = 15_000 / 5
	for name, n := range map[string]int{"nine": 9, "hundred": 100, "planned size": 350} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(n, 0.02)
			f.run(startTime, noCheck)
			f.sent, f.members = 0, 0
			f.run(20*time.Second, noCheck)
			if each := 2 * (f.members*25 + f.sent*30) / n / 20; each > budget {
				t.Errorf("%d bytes/s per daemon, want at most %d", each, budget)
			}
		})
	}
}

// Guards against fresh daemons that own state before they have load reports from
// the others, and against leaving ones that keep it.
func TestMature(t *testing.T) {
	f := newFleet(2, 0)
	f.run(500*time.Millisecond, noCheck)
	for _, m := range f.tables[0].Alive(f.now) {
		if m.Mature {
			t.Errorf("%v is mature after 0.5 s", m.Addr)
		}
	}
	f.run(time.Second, noCheck)
	f.tables[1].Leave()
	f.run(500*time.Millisecond, noCheck)
	for _, m := range f.tables[0].Alive(f.now) {
		if m.Mature == (m.Addr == addr(1)) {
			t.Errorf("%v: mature %v", m.Addr, m.Mature)
		}
	}
}

// Guards against a part of a divided fleet that forgets the rest of it after a minute, and
// then takes the whole of a limit that the parts share.
func TestLostDaemonsCount(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		leaves, returns bool
		gone            time.Duration
		want            int
	}{
		"a moment":                {gone: 3 * time.Second, want: 1},
		"longer than contacted":   {gone: 3 * time.Minute, want: 1},
		"nearly an hour":          {gone: 59 * time.Minute, want: 1},
		"over an hour":            {gone: 62 * time.Minute, want: 0},
		"has said that it leaves": {leaves: true, gone: 3 * time.Minute, want: 0},
		"has returned":            {returns: true, gone: 3 * time.Minute, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(3, 0)
			f.run(startTime, noCheck)
			if c.leaves {
				f.tables[2].Leave()
				f.run(time.Second, noCheck)
			}
			f.dead[2] = true
			f.run(c.gone, noCheck)
			if c.returns {
				f.dead[2] = false
				f.run(startTime, noCheck)
			}
			if got := f.tables[0].Lost(f.now); got != c.want {
				t.Errorf("%d daemons are lost, want %d", got, c.want)
			}
		})
	}
}
