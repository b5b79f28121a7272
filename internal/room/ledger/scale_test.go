package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// crowd is a ledger with many engines, runs of many daemons, and, when it is
// full, a queue.
type crowd struct {
	l      *ledger.Ledger
	rng    *rand.Rand
	now    time.Time
	id     uint64
	decode []string
	runs   [][]ledger.Run
	edges  []netip.AddrPort
}

func newCrowd(engines, runs, edges int) *crowd {
	c := &crowd{l: ledger.New("s"), rng: rand.New(rand.NewPCG(1, 1)), now: t0}
	var list []ledger.Engine
	for i := range engines {
		e := ledger.Engine{ID: fmt.Sprintf("e%05d", i), Stage: pool.Decode, Slots: 16, Tokens: 60_000}
		if i%4 == 0 {
			e.Stage = pool.Prefill
		} else {
			c.decode = append(c.decode, e.ID)
		}
		list = append(list, e)
	}
	c.l.SetEngines(c.now, list)
	c.runs = make([][]ledger.Run, edges)
	for i := range edges {
		c.edges = append(c.edges, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000))
	}
	for i := range runs {
		c.id++
		c.runs[i%edges] = append(c.runs[i%edges], ledger.Run{Lease: c.id, Decode: c.decode[i%len(c.decode)], Prompt: 5000, Expected: 600,
			Phase: ledger.Decoding})
	}
	for i := range edges {
		c.report(i)
	}
	return c
}

func (c *crowd) report(edge int) {
	c.id++
	c.l.ApplyReport(c.now, c.edges[edge], ledger.Report{Service: "s", Incarnation: 1, Sequence: c.id, Runs: c.runs[edge], PrefillRate: 55_000})
}

// step is one ask, one report and one millisecond.
func (c *crowd) step(i int) (granted int) {
	c.now = c.now.Add(time.Millisecond)
	edge := i % len(c.edges)
	c.id++
	a := ask(c.id)
	a.Incarnation, a.Fingerprint = 1, c.id
	for _, got := range c.l.Submit(c.now, c.edges[edge], a) {
		if got.Status == ledger.Granted {
			granted++
		}
	}
	c.report(edge)
	return granted
}

// Measures one ask and one report at the planned size, with room and without.
func BenchmarkAskAtScale(b *testing.B) {
	cases := map[string]struct{ engines, runs int }{
		"room":   {1900, 5000},
		"full":   {1900, 16000},
		"a site": {12, 60},
	}
	for name, s := range cases {
		b.Run(name, func(b *testing.B) {
			c := newCrowd(s.engines, s.runs, min(350, s.engines))
			b.ResetTimer()
			for i := range b.N {
				c.step(i)
			}
		})
	}
}

// Guards against asks that are refused in a large fleet though some of its
// engines have room, since only a part is searched.
func TestLargeFleetIsUsedUp(t *testing.T) {
	cases := map[string]struct {
		read bool
		want int
	}{
		// 300 decode engines hold six requests of 9,000 tokens within 95% of 60,000.
		"decode engines": {true, 300 * 6},
		// 100 prefill engines read 27,500 tokens in half a second; the prompt that
		// exceeds that is the sixth. Each of 300 decode engines reads one itself.
		"prefill engines": {false, 100*6 + 300},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(400, 0, 20)
			granted := 0
			for i := range uint64(2500) {
				a := ask(i + 1)
				a.Prefilled = k.read
				for _, got := range c.l.Submit(t0.Add(time.Duration(i)*10*time.Microsecond), c.edges[i%20], a) {
					if got.Status == ledger.Granted {
						granted++
					}
				}
			}
			if granted != k.want {
				t.Errorf("%d grants, want %d", granted, k.want)
			}
		})
	}
}
