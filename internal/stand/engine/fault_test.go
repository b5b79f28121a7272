package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// Guards against late orders and reservations of an owner that was paused and has been
// replaced meanwhile.
func TestFence(t *testing.T) {
	cases := map[string]struct {
		checks, accepted bool
	}{
		"checked": {true, false},
		"ignored": {false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, e *Engine) {
				order := func(fence uint64) *wire.OrderReply {
					r, err := e.order(t.Context(), &wire.OrderRequest{Origin: &wire.Origin{Fence: fence}, Role: "decode"})
					if err != nil {
						t.Fatal(err)
					}
					return r
				}
				if r := order(7); !r.Accepted || r.Fence != 7 {
					t.Fatalf("first order %+v", r)
				}
				if r := order(6); r.Accepted != c.accepted || r.Fence != 7 {
					t.Fatalf("order with an outdated token: %+v", r)
				}
				_, err := e.reserve(t.Context(), &wire.ReserveRequest{Request: "a", Origin: &wire.Origin{Fence: 6}, Pieces: 1})
				if (err == nil) != c.accepted {
					t.Fatalf("reservation with an outdated token: %v", err)
				}
			}, func(s *Settings) { s.CheckFence = c.checks })
		})
	}
}

// Guards against a prompt with the poison text that doesn't crash the engine.
func TestPoison(t *testing.T) {
	crashes := 0
	bubble(t, func(t *testing.T, e *Engine) {
		_, err := e.prefill(t.Context(), &wire.PrefillRequest{Request: "a", Prompt: "some venom here"})
		if crashes != 1 || err == nil {
			t.Fatalf("%d crashes, error %v", crashes, err)
		}
	}, func(s *Settings) {
		s.Poison = "venom"
		s.Crash = func() { crashes++ }
	})
}

// Guards against load reports whose actual age differs from the stated one.
func TestWatchLag(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		enough := errors.New("enough")
		start := time.Now()
		_ = reserve(t, e, "a", 3, 95*time.Millisecond)
		seen := map[time.Duration]uint32{}
		err := e.watch(t.Context(), &wire.WatchRequest{Every: durationpb.New(20 * time.Millisecond)}, func(r *wire.Report) error {
			at := time.Since(start)
			seen[at] = r.Free
			if r.Lag.AsDuration() != 60*time.Millisecond {
				t.Errorf("lag %s at %s", r.Lag.AsDuration(), at)
			}
			if at >= 180*time.Millisecond {
				return enough
			}
			return nil
		})
		if !errors.Is(err, enough) {
			t.Fatal(err)
		}
		// The reservation expires at 95 ms. With the lag of 60 ms, the report at
		// 160 ms is the first to show it.
		if seen[60*time.Millisecond] != 7 || seen[140*time.Millisecond] != 7 || seen[160*time.Millisecond] != 10 {
			t.Fatalf("free KV blocks by time: %v", seen)
		}
	}, func(s *Settings) { s.ReportLag = 60 * time.Millisecond })
}

// Guards against cache events that are sent early, and against dropped events that
// leave no gap in the sequence.
func TestEvents(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		e.SetFault(Fault{SkipEvery: 2, EventDelay: 30})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		got := make(chan *wire.CacheEvent, 8)
		go func() {
			_ = e.events(ctx, func(c *wire.CacheEvent) error {
				got <- c
				return nil
			})
		}()
		synctest.Wait()
		for _, id := range []string{"a", "b", "c"} {
			prefill(t, e, id, makePrompt(2000, id))
		}
		synctest.Wait()
		if len(got) != 1 {
			t.Fatalf("%d events before the delay of the last one", len(got))
		}
		time.Sleep(31 * time.Millisecond)
		synctest.Wait()
		first, second := <-got, <-got
		if first.Sequence != 1 || second.Sequence != 3 || len(first.Stored) != 1 {
			t.Fatalf("events %+v and %+v", first, second)
		}
	})
}

// Guards against a frozen engine that responds or generates tokens.
func TestFreeze(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		reserve(t, e, "a", 1, time.Minute)
		prefill(t, e, "a", makePrompt(10, "a"))
		tokens := 0
		ended := make(chan error, 1)
		go func() {
			ended <- e.decode(t.Context(), &wire.DecodeRequest{Request: "a", Max: 16},
				func(*wire.DecodeChunk) error { tokens++; return nil })
		}()
		time.Sleep(35 * time.Millisecond)
		e.SetFault(Fault{Freeze: true})
		time.Sleep(time.Second)
		synctest.Wait()
		if tokens != 3 {
			t.Fatalf("%d tokens, want the 3 generated before the freeze", tokens)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := e.cancel(ctx, &wire.CancelRequest{Request: "x"}); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a frozen engine responded: %v", err)
		}
		e.SetFault(Fault{})
		if err := <-ended; err != nil || tokens != 16 {
			t.Fatalf("%d tokens after the freeze ended, %v", tokens, err)
		}
	})
}

// Guards against work that is admitted under the fault Refuse.
func TestRefuse(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		e.SetFault(Fault{Refuse: true})
		_, err := e.reserve(t.Context(), &wire.ReserveRequest{Request: "a", Pieces: 1})
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Fatalf("reserve: %v", err)
		}
		_, err = e.prefill(t.Context(), &wire.PrefillRequest{Request: "a", Prompt: "p"})
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Fatalf("prefill: %v", err)
		}
	})
}
