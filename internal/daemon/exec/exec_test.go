package exec_test

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/exec"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// control is a control loop whose epoch the test sets.
type control struct {
	posted chan event.Event

	mu    sync.Mutex
	epoch uint64
}

func (c *control) Post(e event.Event) { c.posted <- e }

func (c *control) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

func (c *control) Valid(epoch uint64) bool { return epoch == c.Epoch() }

func (c *control) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
}

// backend is an engine that records the calls it gets.
type backend struct {
	citronrock.Engine
	mu    sync.Mutex
	calls []string
	// tokens and cached are returned by prefills.
	tokens, cached uint32
	decode         func(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended
}

func (b *backend) record(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, name)
}

func (b *backend) Hold(_ context.Context, a event.Hold) event.Held {
	b.record("hold")
	return event.Held{Request: a.Request, Engine: a.Engine}
}

func (b *backend) Prefill(_ context.Context, a event.Prefill, _ string, _ []uint64) event.Prefilled {
	b.record("prefill")
	return event.Prefilled{Request: a.Request, Engine: a.Engine, Tokens: b.tokens, Cached: b.cached}
}

func (b *backend) Move(_ context.Context, a event.Move, _ string) event.Moved {
	b.record("move")
	return event.Moved{Request: a.Request, Engine: a.To}
}

func (b *backend) Decode(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
	b.record("decode")
	if b.decode != nil {
		return b.decode(ctx, a, emit)
	}
	return event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream}
}

func (b *backend) Cancel(_ context.Context, a event.Cancel) event.Cancelled {
	b.record("cancel")
	return event.Cancelled{Request: a.Request, Engine: a.Engine}
}

// engines contains e1 and e2. The hook runs at each lookup, which is after an
// action was decided and before it is sent.
type engines struct {
	client *backend
	hook   func()
}

func (e *engines) Engine(name string) (citronrock.Engine, string) {
	e.hook()
	if name != "e1" && name != "e2" {
		return nil, ""
	}
	return e.client, "127.0.0.1:1"
}

type noPeers struct{ citronrock.Peers }

func setup(t *testing.T, hook func(*control)) (*exec.Exec, *control, *backend, *exec.Request) {
	t.Helper()
	c, b := &control{posted: make(chan event.Event, 100)}, &backend{}
	x := exec.New("d1", c, &engines{b, func() { hook(c) }}, noPeers{},
		func(string) string { return "" }, func(*peer.Strike) {})
	r := exec.NewRequest(t.Context(), "r", 4)
	r.Deadline = time.Now().Add(time.Minute)
	x.Register(r)
	t.Cleanup(func() {
		x.Remove(r)
		x.Close()
	})
	return x, c, b, r
}

// Guards against an action that was decided before a process pause and reaches an
// engine after it, and against actions on engines that were removed from the
// document: each must be reported as unsent and send nothing.
func TestUnsent(t *testing.T) {
	orders := map[string]struct {
		action func(engine string) event.Action
		want   func(engine string, f event.Fault) event.Event
	}{
		"hold": {
			func(e string) event.Action { return event.Hold{Request: "r", Engine: e} },
			func(e string, f event.Fault) event.Event { return event.Held{Request: "r", Engine: e, Fault: f} },
		},
		"prefill": {
			func(e string) event.Action { return event.Prefill{Request: "r", Engine: e} },
			func(e string, f event.Fault) event.Event { return event.Prefilled{Request: "r", Engine: e, Fault: f} },
		},
		"move": {
			func(e string) event.Action { return event.Move{Request: "r", From: "e2", To: e} },
			func(e string, f event.Fault) event.Event { return event.Moved{Request: "r", Engine: e, Fault: f} },
		},
		"decode": {
			func(e string) event.Action { return event.Decode{Request: "r", Engine: e, Stream: 3} },
			func(e string, f event.Fault) event.Event {
				return event.Ended{Request: "r", Engine: e, Stream: 3, Fault: f}
			},
		},
		"cancel": {
			func(e string) event.Action { return event.Cancel{Request: "r", Engine: e} },
			func(e string, f event.Fault) event.Event {
				return event.Cancelled{Request: "r", Engine: e, Held: f != event.FaultNone, Fault: f}
			},
		},
	}
	cases := map[string]struct {
		engine string
		hook   func(*control)
		fault  event.Fault
	}{
		"sent":    {"e1", func(*control) {}, event.FaultNone},
		"paused":  {"e1", (*control).pause, event.FaultUnsent},
		"unknown": {"e9", func(*control) {}, event.FaultUnsent},
	}
	for order, o := range orders {
		for name, c := range cases {
			t.Run(order+" "+name, func(t *testing.T) {
				// A move also looks up its source, on the control goroutine, where
				// no pause can occur in between.
				lookups := 0
				x, control, b, _ := setup(t, func(k *control) {
					if lookups++; order != "move" || lookups > 1 {
						c.hook(k)
					}
				})
				x.Act(o.action(c.engine))
				if got, want := <-control.posted, o.want(c.engine, c.fault); !reflect.DeepEqual(got, want) {
					t.Errorf("got %T %+v, want %+v", got, got, want)
				}
				if sent := len(b.calls) > 0; sent != (c.fault == event.FaultNone) {
					t.Errorf("the engine got %v", b.calls)
				}
			})
		}
	}
}

// Guards against calls to engines for a request that has ended. Only a cancel must
// still be sent.
func TestShut(t *testing.T) {
	x, control, b, r := setup(t, func(*control) {})
	x.Remove(r)
	for _, a := range []event.Action{
		event.Hold{Request: "r", Engine: "e1"}, event.Prefill{Request: "r", Engine: "e1"},
		event.Move{Request: "r", From: "e2", To: "e1"}, event.Decode{Request: "r", Engine: "e1"},
	} {
		x.Act(a)
		<-control.posted
	}
	if len(b.calls) != 0 {
		t.Errorf("the engine got %v", b.calls)
	}
	// An answer to a request that has ended is dropped.
	x.Act(event.Answer{Request: "r"})
	x.Act(event.Cancel{Request: "r", Engine: "e1"})
	if e := <-control.posted; len(b.calls) != 1 {
		t.Errorf("a cancel was not sent: %+v", e)
	}
}

// Guards against a decode stream that continues after a new one has replaced it,
// and against its late tokens being reported as progress.
func TestLateTokens(t *testing.T) {
	x, control, b, r := setup(t, func(*control) {})
	begun := make(chan struct{}, 2)
	b.decode = func(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
		_ = emit(&engine.DecodeChunk{Request: "r", Index: a.From})
		begun <- struct{}{}
		<-ctx.Done()
		// A token that was in flight when the stream was cancelled.
		_ = emit(&engine.DecodeChunk{Request: "r", Index: a.From + 1})
		return event.Ended{Request: "r", Engine: a.Engine, Stream: a.Stream, Fault: event.FaultBroken}
	}
	x.Act(event.Decode{Request: "r", Engine: "e1", Stream: 1})
	<-begun
	x.Act(event.Decode{Request: "r", Engine: "e2", Stream: 2, From: 1})
	<-begun
	progress := map[uint32]int{}
	for {
		switch e := (<-control.posted).(type) {
		case event.Progress:
			progress[e.Stream]++
			continue
		case event.Ended:
			if e.Stream != 1 {
				t.Fatalf("stream %d ended, want the first", e.Stream)
			}
		}
		break
	}
	if progress[1] != 1 {
		t.Errorf("%d progress events of stream 1, want 1", progress[1])
	}
	x.Remove(r)
}

// Guards against unbounded buffering when an engine sends tokens without end.
func TestTooManyTokens(t *testing.T) {
	x, control, b, r := setup(t, func(*control) {})
	var failed error
	b.decode = func(_ context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
		for i := uint32(0); failed == nil; i++ {
			if failed = emit(&engine.DecodeChunk{Request: "r", Index: i}); i > 100 {
				failed = errors.New("no end")
			}
		}
		return event.Ended{Request: "r", Stream: a.Stream}
	}
	x.Act(event.Decode{Request: "r", Engine: "e1", Stream: 1})
	for {
		if _, over := (<-control.posted).(event.Ended); over {
			break
		}
	}
	if n := len(r.Take()); n != 9 || failed == nil || failed.Error() == "no end" {
		t.Errorf("%d tokens are buffered, want 9 for a request of 4; %v", n, failed)
	}
}

// Guards against prefill tokens without output that are not counted as wasted, and
// against used ones that are.
func TestWaste(t *testing.T) {
	prefill, decode := event.Prefill{Request: "r", Engine: "e1"}, event.Decode{Request: "r", Engine: "e1", Stream: 1}
	cases := map[string]struct {
		actions []event.Action
		want    uint32
	}{
		"none":              {nil, 0},
		"used":              {[]event.Action{prefill, decode}, 0},
		"no output":         {[]event.Action{prefill}, 60},
		"first one lost":    {[]event.Action{prefill, prefill, decode}, 60},
		"second after loss": {[]event.Action{prefill, decode, prefill, decode}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, control, b, r := setup(t, func(*control) {})
			b.tokens, b.cached = 100, 40
			b.decode = func(_ context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
				_ = emit(&engine.DecodeChunk{Request: "r"})
				return event.Ended{Request: "r", Stream: a.Stream}
			}
			for _, a := range c.actions {
				x.Act(a)
				for done := false; !done; {
					switch (<-control.posted).(type) {
					case event.Prefilled, event.Ended:
						done = true
					}
				}
			}
			if got := r.WastedTokens(); got != c.want {
				t.Errorf("%d tokens are wasted, want %d", got, c.want)
			}
		})
	}
}
