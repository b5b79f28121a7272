package sweep_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/route/sweep"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a fake of the members, of the engines and of the origins.
type fleet struct {
	alive   []gossip.LiveMember
	usages  map[string]ledger.Usage
	mu      sync.Mutex
	asked   map[string]int
	learned map[string]string
}

func (f *fleet) Alive() []gossip.LiveMember { return f.alive }

func (f *fleet) Usage(_ context.Context, s pool.Server) (ledger.Usage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[s.ID]++
	u, ok := f.usages[s.ID]
	if !ok {
		return u, errors.New("connection refused")
	}
	return u, nil
}

func (f *fleet) Learn(o origin.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Until.Before(time.Now().Add(15 * time.Second)) {
		panic("record ends before clients stop trying")
	}
	f.learned[o.Attempt+"@"+o.Service] = o.Version
}

// newFleet returns daemons of the given ages.
func newFleet(ages ...time.Duration) *fleet {
	f := &fleet{usages: map[string]ledger.Usage{}, asked: map[string]int{}, learned: map[string]string{}}
	for i, age := range ages {
		f.alive = append(f.alive, gossip.LiveMember{Member: gossip.Member{
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 7000),
			Incarnation: time.Now().Add(-age).UnixNano()}})
	}
	return f
}

// Guards against streams that no daemon knows after all of them have died, though engines
// still run them, and against evidence from engines that only read prompts.
func TestSweep(t *testing.T) {
	servers := []pool.Server{
		{ID: "a", Service: "llm", Stage: pool.Decode, Version: "v1"},
		{ID: "b", Service: "llm", Stage: pool.Decode, Version: "v2"},
		{ID: "leaving", Service: "llm", Stage: pool.Decode, Version: "v0", Draining: true},
		{ID: "reader", Service: "llm", Stage: pool.Prefill, Version: "v2"},
		{ID: "switching", Service: "llm", Stage: pool.Decode, Version: "v2"},
		{ID: "nameless", Service: "llm", Stage: pool.Decode},
		{ID: "plain", Service: "shop", Version: "v1"},
		{ID: "dead", Service: "llm", Stage: pool.Decode, Version: "v3"},
	}
	all := map[string]string{"x1@llm": "v1", "x2@llm": "v1", "y@llm": "v2", "z@llm": "v0"}
	cases := map[string]struct {
		ages    []time.Duration
		learned map[string]string
		asked   int
	}{
		"all have just started":          {[]time.Duration{0, time.Second}, all, 5},
		"alone":                          {[]time.Duration{0}, all, 5},
		"another one has its records":    {[]time.Duration{0, time.Minute}, nil, 0},
		"the clock of another one is on": {[]time.Duration{0, -2 * time.Second}, all, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, table := newFleet(c.ages...), pool.New()
				for i, s := range servers {
					s.Sequence, s.Addr = 1, netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(i+1))
					table.Put(s)
				}
				f.usages = map[string]ledger.Usage{"a": {Stage: pool.Decode, Attempts: []string{"x1", "x2"}}, "b": {Stage: pool.Decode, Attempts: []string{"y"}},
					"leaving": {Stage: pool.Decode, Attempts: []string{"z"}}, "reader": {Stage: pool.Prefill, Attempts: []string{"w"}},
					"switching": {Stage: pool.Decode, Busy: true, Attempts: []string{"v"}}, "nameless": {Attempts: []string{"u"}}, "plain": {Attempts: []string{"s"}}}
				s := sweep.Start(f.alive[0].Addr, f, table, f, f, hclog.NewNullLogger())
				defer s.Close()
				time.Sleep(10 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				if !maps.Equal(f.learned, c.learned) || f.asked["a"] != c.asked || f.asked["plain"]+f.asked["nameless"] > 0 {
					t.Errorf("learned %v, asked %v; want %v, %d rounds", f.learned, f.asked, c.learned, c.asked)
				}
			})
		})
	}
}

// Guards against engines that are asked by the whole fleet, and against some that nobody
// asks.
func TestEnginesAreShared(t *testing.T) {
	for _, n := range []int{1, 7, 72, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, table := newFleet(slices.Repeat([]time.Duration{0}, n)...), pool.New()
				for i := range 40 {
					table.Put(pool.Server{ID: fmt.Sprint("e", i), Service: "llm", Stage: pool.Decode, Version: "v1", Sequence: 1,
						Addr: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(i+1))})
					f.usages[fmt.Sprint("e", i)] = ledger.Usage{Attempts: []string{fmt.Sprint("x", i)}}
				}
				for _, m := range f.alive {
					defer sweep.Start(m.Addr, f, table, f, f, hclog.NewNullLogger()).Close()
				}
				time.Sleep(10 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, times := range f.asked {
					if times > 10 {
						t.Errorf("%s was asked %d times, want twice in each of 5 rounds at most", id, times)
					}
				}
				if len(f.learned) != 40 {
					t.Errorf("%d of 40 streams are known", len(f.learned))
				}
			})
		})
	}
}
