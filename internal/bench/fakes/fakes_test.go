package fakes

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/bench/sched"
	"citronrock.example/citronrock/internal/core/event"
)

// Guards against lost prefill work that isn't counted as wasted, and against
// useful work that is.
func TestWaste(t *testing.T) {
	const work = 5*time.Millisecond + time.Second
	tests := map[string]struct {
		act    func(q *sched.Queue, p, d *Engine)
		wasted time.Duration
	}{
		"used":     {func(q *sched.Queue, _, _ *Engine) { q.Run(q.Now().Add(3 * time.Second)) }, 0},
		"killed":   {func(q *sched.Queue, p, _ *Engine) { q.Run(q.Now().Add(time.Second / 2)); p.Kill() }, time.Second / 2},
		"canceled": {func(q *sched.Queue, p, _ *Engine) { q.Run(q.Now().Add(time.Second / 2)); p.Cancel("a") }, time.Second / 2},
		"evicted":  {func(q *sched.Queue, _, d *Engine) { d.Kill(); q.Run(q.Now().Add(3 * time.Second)) }, work},
		"no hold":  {func(q *sched.Queue, _, d *Engine) { d.Cancel("a"); q.Run(q.Now().Add(3 * time.Second)) }, work},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w Work
			q := sched.New()
			p, d := New(q, "p", "prefill", "x", &w), New(q, "d", "decode", "x", &w)
			r := &loads.Request{ID: "a", Tokens: Speed, Output: 5}
			d.Hold(r, Origin{}, 7, time.Minute)
			p.Prefill(r, Origin{}, r.Tokens, 1, func(f event.Fault) {
				if f != event.FaultNone {
					return
				}
				d.Move("a", p, func(f event.Fault) {
					if f == event.FaultNone {
						d.Decode("a", 1, 0, func(uint32) {}, func(event.Fault) {})
					}
				})
			})
			test.act(q, p, d)
			if w.Wasted != test.wasted {
				t.Errorf("wasted %v of %v, want %v", w.Wasted, w.Total, test.wasted)
			}
		})
	}
}

// Guards against a memory leak: blocks that stay reserved after a request has
// ended or its reservation has expired.
func TestMemoryIsFreed(t *testing.T) {
	var w Work
	q := sched.New()
	d := New(q, "d", "decode", "x", &w)
	a, b := &loads.Request{ID: "a", Tokens: 100, Output: 5}, &loads.Request{ID: "b", Tokens: 100, Output: 5}
	d.Hold(a, Origin{}, 2, time.Second)
	d.Hold(b, Origin{}, 2, time.Second)
	if f := d.Hold(&loads.Request{ID: "c"}, Origin{}, Pieces, time.Second); f != event.FaultRefused {
		t.Errorf("a reservation of more than the free memory returned %v", f)
	}
	d.Decode("a", 1, 0, func(uint32) {}, func(event.Fault) {})
	q.Run(q.Now().Add(2 * time.Second))
	if r := d.Report(); r.Free != Pieces || len(r.Running) != 0 {
		t.Errorf("%d of %d blocks are free after one request ended and one reservation expired", r.Free, Pieces)
	}
}
