package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
)

// fleet returns total engines in cells of the given size; a third of them only
// prefill.
func fleet(total, size int) []policy.Engine {
	list := make([]policy.Engine, total)
	for i := range list {
		e := policy.Engine{Name: fmt.Sprintf("e%04d", i), Service: "s", Domain: "gent", ChecksFencing: true}
		e.Cell, e.Role = fmt.Sprintf("c%d", i/size), policy.RoleDecode
		if i%3 == 0 {
			e.Role = policy.RolePrefill
		}
		list[i] = e
	}
	list[0].Cell, list[1].Cell = "c0", "c0"
	return list
}

// workload holds prepared lease requests for one cell with their Dones, and load
// reports and prefix cache events of its engines.
type workload struct {
	h       *harness
	asks    []event.Event
	dones   []event.Event
	reports []event.Event
	caches  []event.Event
}

// newWorkload prepares events for a cell of the given size in a fleet of total
// engines, with the given number of leases at a time.
func newWorkload(size, total, open int) *workload {
	l := &workload{h: newHarness(fleet(total, size))}
	cell := "c0"
	for i := range size {
		name := fmt.Sprintf("e%04d", i)
		l.h.do(event.Reported{Engine: name, Report: &engine.Report{Incarnation: 1, Pieces: 1000, Free: 1000, Slots: 1000, Speed: 1 << 24}})
		rep := &engine.Report{Incarnation: 1, Pieces: 1000, Free: 1000, Slots: 1000, Speed: 1 << 24}
		for j := range 20 {
			rep.Running = append(rep.Running, &engine.Running{Request: fmt.Sprintf("%s-%d", name, j), Instance: "me", Incarnation: 7, Pieces: 2, State: stateDecode})
		}
		l.reports = append(l.reports, event.Reported{Engine: name, Report: rep})
		var hashes []uint64
		for j := range 4 {
			hashes = append(hashes, uint64(i%4*1000+j+1))
		}
		l.caches = append(l.caches, event.Cached{Engine: name, Event: &engine.CacheEvent{Incarnation: 1, Stored: hashes}})
	}
	for i := range open {
		a := &peer.Ask{Request: fmt.Sprintf("request-%06d", i), Cell: cell, Tokens: uint32(500 + i%8000), Output: 200, Print: uint64(i + 1), Slack: 10000}
		for j := range a.Tokens / policy.BlockTokens {
			a.Pieces = append(a.Pieces, uint64(i%4*1000)+uint64(j)+1)
		}
		l.asks = append(l.asks, event.Asked{From: "edge", Ask: a})
		l.dones = append(l.dones, event.Finished{From: "edge", Done: &peer.Done{Request: a.Request, Cell: cell, Outcome: "finish", Output: 100}})
	}
	return l
}

// BenchmarkStep measures a mix of events: a lease request and a Done for each
// request, and a load report and a cache event for every sixteen requests.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{16, 6} {
		for _, total := range []int{size, 1900} {
			b.Run(fmt.Sprintf("cell=%d/fleet=%d", size, total), func(b *testing.B) { benchmarkStep(b, size, total) })
		}
	}
}

func benchmarkStep(b *testing.B, size, total int) {
	const open = 256
	l := newWorkload(size, total, open)
	out := make([]event.Action, 0, 64)
	b.ReportAllocs()
	b.ResetTimer()
	refused := 0
	for steps := 0; steps < b.N; {
		i := steps / 2 % open
		l.h.now = l.h.now.Add(20 * time.Microsecond)
		out = l.h.m.Step(l.h.now, l.asks[i], out[:0])
		if g, ok := out[len(out)-1].(event.SendGrant); ok && !g.Grant.Granted {
			refused++
		}
		out = l.h.m.Step(l.h.now, l.dones[(i+open/2)%open], out[:0])
		steps += 2
		if i%16 == 0 {
			n := i / 16 % size
			out = l.h.m.Step(l.h.now, l.reports[n], out[:0])
			c := l.caches[n].(event.Cached)
			c.Event.Sequence++
			out = l.h.m.Step(l.h.now, l.caches[n], out[:0])
			steps += 2
		}
	}
	b.StopTimer()
	if refused > b.N/20 {
		b.Errorf("%d of %d steps refused", refused, b.N)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "steps/s")
}

// BenchmarkGrant measures the memory of one lease.
func BenchmarkGrant(b *testing.B) {
	const open = 10000
	for b.Loop() {
		l := newWorkload(16, 1900, open)
		for _, eng := range l.h.m.cells["c0"].engines {
			eng.blocks, eng.reportedFree, eng.slots = 1<<20, 1<<20, 1<<20
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		out := make([]event.Action, 0, 4)
		for _, a := range l.asks {
			out = l.h.m.Step(l.h.now, a, out[:0])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		n := len(l.h.m.cells["c0"].leases)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/grant")
		b.ReportMetric(float64(n), "grants")
		runtime.KeepAlive(l)
	}
}
