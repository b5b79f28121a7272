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

// backend is an engine that counts the orders it gets.
type backend struct {
	citronrock.Engine
	mu     sync.Mutex
	orders []string
	// tokens and cached are the outcome of prefills.
	tokens, cached uint32
	decode         func(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended
}

func (b *backend) note(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, name)
}

func (b *backend) Hold(_ context.Context, a event.Hold) event.Held {
	b.note("hold")
	return event.Held{Request: a.Request, Engine: a.Engine}
}

func (b *backend) Prefill(_ context.Context, a event.Prefill, _ string, _ []uint64) event.Prefilled {
	b.note("prefill")
	return event.Prefilled{Request: a.Request, Engine: a.Engine, Tokens: b.tokens, Cached: b.cached}
}

func (b *backend) Move(_ context.Context, a event.Move, _ string) event.Moved {
	b.note("move")
	return event.Moved{Request: a.Request, Engine: a.To}
}

func (b *backend) Decode(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
	b.note("decode")
	if b.decode != nil {
		return b.decode(ctx, a, emit)
	}
	return event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream}
}

func (b *backend) Cancel(_ context.Context, a event.Cancel) event.Cancelled {
	b.note("cancel")
	return event.Cancelled{Request: a.Request, Engine: a.Engine}
}

// engines knows e1 and e2. The hook runs before a client is found, which is after
// an order was decided and before it is sent.
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

type nobody struct{ citronrock.Peers }

func setup(t *testing.T, hook func(*control)) (*exec.Exec, *control, *backend, *exec.Request) {
	t.Helper()
	c, b := &control{posted: make(chan event.Event, 100)}, &backend{}
	x := exec.New("d1", c, &engines{b, func() { hook(c) }}, nobody{},
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

// Guards against an order that was decided before a pause and reaches an engine
// after it, and against orders to engines that the document no longer has: each is
// reported as unsent and sends nothing.
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
				// no pause can come in between.
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
				if sent := len(b.orders) > 0; sent != (c.fault == event.FaultNone) {
					t.Errorf("the engine got %v", b.orders)
				}
			})
		}
	}
}

// Guards against orders for a request that has ended.
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
	if len(b.orders) != 0 {
		t.Errorf("the engine got %v", b.orders)
	}
	// An answer to a request that is gone goes nowhere.
	x.Act(event.Answer{Request: "r"})
	x.Act(event.Cancel{Request: "r", Engine: "e1"})
	if e := <-control.posted; len(b.orders) != 1 {
		t.Errorf("a cancel was not sent: %+v", e)
	}
}

// Guards against an old stream that goes on beside its successor, and against
// progress that counts for the wrong stream.
func TestLateTokens(t *testing.T) {
	x, control, b, r := setup(t, func(*control) {})
	begun := make(chan struct{}, 2)
	b.decode = func(ctx context.Context, a event.Decode, emit func(*engine.DecodeChunk) error) event.Ended {
		_ = emit(&engine.DecodeChunk{Request: "r", Index: a.From})
		begun <- struct{}{}
		<-ctx.Done()
		// A token that was under way when the stream was given up.
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

// Guards against an engine that sends without end and fills the memory.
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
		t.Errorf("%d tokens are kept, want 9 for a request of 4; %v", n, failed)
	}
}

// Guards against wasted prefill that is not counted, and against used prefill that
// is.
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
