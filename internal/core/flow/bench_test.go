package flow_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/wire/peer"
)

// largeDocument returns a document with the services and engines of one region of
// the largest size.
func largeDocument() *policy.Document {
	d := &policy.Document{Version: 1}
	for t := range 100 {
		d.Tenants = append(d.Tenants, policy.Tenant{Name: fmt.Sprint("t", t)})
	}
	for s := range 19 {
		name := fmt.Sprint("s", s)
		d.Services = append(d.Services, modelService(name, true))
		for c := range 6 {
			for e := range 6 {
				d.Engines = append(d.Engines, policy.Engine{
					Name: fmt.Sprintf("%s-%d-%d", name, c, e), Service: name,
					Cell: fmt.Sprintf("%s-%d", name, c), Role: policy.RoleBoth,
				})
			}
		}
	}
	return d
}

// driver runs complete requests, many at a time, without faults. Progress is
// reported once for four tokens.
type driver struct {
	m       *flow.Machine
	now     time.Time
	out     []event.Action
	steps   int
	streams []event.Decode
	next    int
	batch   uint32
	pieces  []uint64
}

func newDriver() *driver {
	d := &driver{m: flow.New("d1", 1), now: start, pieces: []uint64{1, 2, 3, 4}}
	d.step(event.Published{Document: largeDocument()})
	return d
}

func (d *driver) step(e event.Event) {
	d.steps++
	d.out = d.m.Step(d.now, e, d.out[:0])
}

// start starts a request and drives it to the decode stream.
func (d *driver) start() {
	d.next++
	id := fmt.Sprintf("d1-%08x", d.next)
	d.now = d.now.Add(100 * time.Microsecond)
	d.step(event.Arrive{
		Request: id, Tenant: fmt.Sprint("t", d.next%100), Service: fmt.Sprint("s", d.next%19),
		Tokens: 8000, Max: 300, Pieces: d.pieces, Print: uint64(d.next), Deadline: d.now.Add(time.Hour),
	})
	cell := d.out[0].(event.SendAsk).Ask.GetCell()
	d.step(event.Granted{Grant: &peer.Grant{
		Request: id, Granted: true, Prefill: cell + "-0", Decode: cell + "-1", Pieces: 5, First: 20, Fence: 3,
	}})
	d.step(event.Held{Request: id, Engine: cell + "-1"})
	d.step(event.Prefilled{Request: id, Engine: cell + "-0", Handle: id})
	d.step(event.Moved{Request: id, Engine: cell + "-1"})
	d.streams = append(d.streams, d.out[0].(event.Decode))
}

// round advances all streams by a batch of tokens, with the Tick that is due.
func (d *driver) round() {
	d.batch += 4
	d.now = d.now.Add(128 * time.Millisecond)
	if wake := d.m.Wake(); !wake.IsZero() && !wake.After(d.now) {
		d.step(event.Tick{})
	}
	for _, a := range d.streams {
		d.step(event.Progress{Request: a.Request, Stream: a.Stream, Next: d.batch})
	}
}

func (d *driver) finish() {
	for _, a := range d.streams {
		d.step(event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: 300})
	}
	d.streams, d.batch = d.streams[:0], 0
}

// BenchmarkSteps measures complete requests, 1,000 at a time. The target is 500,000
// steps per second.
func BenchmarkSteps(b *testing.B) {
	for name, rounds := range map[string]int{"short": 0, "full": 70} {
		b.Run(name, func(b *testing.B) {
			d := newDriver()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			d.steps = 0
			for b.Loop() {
				for range 1000 {
					d.start()
				}
				for range rounds {
					d.round()
				}
				d.finish()
			}
			runtime.ReadMemStats(&after)
			steps := float64(d.steps)
			b.ReportMetric(steps/b.Elapsed().Seconds(), "steps/s")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/steps, "allocs/step")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkMemory measures the heap that a request in flight takes.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		d := newDriver()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range 100_000 {
			d.start()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		open, _ := d.m.InFlight()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(open), "B/request")
	}
}
