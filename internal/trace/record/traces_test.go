package record_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/trace/record"
	"citronrock.example/citronrock/internal/wire/peer"
)

// recorder passes events to a machine and records them.
type recorder struct {
	m    *flow.Machine
	w    *record.Writer
	now  time.Time
	last []event.Action
}

func (p *recorder) feed(after time.Duration, e event.Event) {
	end := p.now.Add(after)
	for wake := p.m.Wake(); !wake.IsZero() && !wake.After(end); wake = p.m.Wake() {
		p.step(wake, event.Tick{})
	}
	p.step(end, e)
}

func (p *recorder) step(at time.Time, e event.Event) {
	p.now = at
	p.w.Add(at, e)
	p.last = p.m.Step(at, e, nil)
}

// recordTrace runs the scenario with that name and writes its trace to testdata.
func recordTrace(t *testing.T, name string) {
	t.Helper()
	var buf bytes.Buffer
	w := record.New(&buf, record.Header{Name: "d1", Incarnation: 7, Start: start})
	p := &recorder{m: flow.New("d1", 7), w: w, now: start}
	p.step(start, event.Published{Document: document()})
	p.feed(time.Millisecond, event.Arrive{
		Request: "r", Tenant: "agentschap", Service: "taalpost", Tokens: 4100, Max: 20,
		Pieces: []uint64{11, 12}, Print: 13, Deadline: start.Add(20 * time.Second),
	})
	map[string]func(*recorder){"owner": ownerFails, "decode": decodeFails, "crossed": lateResults, "gone": callerGone}[name](p)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(tracePath(name), buf.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

const ms = time.Millisecond

func (p *recorder) grant(after time.Duration, prefill, decode string) {
	p.feed(after, event.Granted{Grant: &peer.Grant{
		Request: "r", Granted: true, Prefill: prefill, Decode: decode,
		Pieces: 3, Start: 5, First: 120, Free: 40, Queue: 5, Fence: 33,
	}})
	p.feed(2*ms, event.Held{Request: "r", Engine: decode, Free: 37})
}

// prefilled completes the prefill, 90 ms after its start.
func (p *recorder) prefilled(engine string) {
	p.feed(95*ms, event.Prefilled{Request: "r", Engine: engine, Handle: "h-" + engine, Tokens: 4100})
}

func (p *recorder) finish(engine string, stream uint32) {
	p.feed(12*ms, event.Moved{Request: "r", Engine: engine})
	p.feed(30*ms, event.Progress{Request: "r", Stream: stream, Next: 10})
	p.feed(30*ms, event.Ended{Request: "r", Engine: engine, Stream: stream, Next: 20})
}

// ownerFails: the cell's owner fails, and the fourth lease request reaches the daemon
// that took over.
func ownerFails(p *recorder) {
	p.grant(1200*ms, "p1", "d1")
	p.prefilled("p1")
	p.finish("d1", 1)
}

// decodeFails: the decode engine fails during the transfer; another one receives the
// KV cache, which the prefill engine still has.
func decodeFails(p *recorder) {
	p.grant(2*ms, "p1", "d1")
	p.prefilled("p1")
	p.feed(10*ms, event.Moved{Request: "r", Engine: "d1", Fault: event.FaultBroken})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "d1", Fault: event.FaultNone})
	p.grant(40*ms, "p2", "d2")
	p.finish("d2", 1)
}

// lateResults: results of an abandoned prefill and of an abandoned stream arrive after
// the next attempt has begun.
func lateResults(p *recorder) {
	p.grant(2*ms, "p1", "d1")
	p.feed(20*ms, event.Prefilled{Request: "r", Engine: "p1", Fault: event.FaultBroken})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "p1"})
	p.grant(40*ms, "p2", "d1")
	p.feed(ms, event.Prefilled{Request: "r", Engine: "p1", Handle: "h-p1"})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "p1"})
	p.prefilled("p2")
	p.feed(12*ms, event.Moved{Request: "r", Engine: "d1"})
	p.feed(20*ms, event.Ended{Request: "r", Engine: "d1", Stream: 1, Next: 6, Fault: event.FaultBroken})
	p.feed(ms, event.Progress{Request: "r", Stream: 1, Next: 9})
	p.feed(ms, event.Ended{Request: "r", Engine: "d1", Stream: 1, Next: 20})
	p.feed(40*ms, event.Ended{Request: "r", Engine: "d1", Stream: 2, Next: 20})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "d1"})
}

// callerGone: the caller disconnects during the transfer, and one engine confirms
// only the second Cancel.
func callerGone(p *recorder) {
	p.grant(2*ms, "p1", "d1")
	p.prefilled("p1")
	p.feed(4*ms, event.Gone{Request: "r"})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "p1"})
	p.feed(ms, event.Moved{Request: "r", Engine: "d1", Fault: event.FaultBroken})
	p.feed(2*ms, event.Cancelled{Request: "r", Engine: "d1", Fault: event.FaultStalled})
	p.feed(100*ms, event.Cancelled{Request: "r", Engine: "d1"})
}
