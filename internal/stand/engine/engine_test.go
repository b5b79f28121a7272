package engine

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// small is an engine with round figures: 1,000 tokens a second, 10 ms a token.
func small(s *Settings) {
	s.Pieces, s.Slots = 10, 4
	s.TokenGap, s.Growth = 10*time.Millisecond, 0
	s.PrefillRate = 1000
	s.LinkRate, s.TokenBytes = 1<<20, 1<<10
	s.ReportLag, s.EventDelay = 0, 0
}

// bubble runs f with fake time and an engine that ends with it.
func bubble(t *testing.T, f func(t *testing.T, e *Engine), options ...Option) {
	synctest.Test(t, func(t *testing.T) {
		e := New(append([]Option{small}, options...)...)
		defer func() { _ = e.Close() }()
		f(t, e)
	})
}

func text(tokens int, seed string) string {
	return strings.Repeat(fmt.Sprintf("%-4.4s", seed), tokens)
}

func hold(t *testing.T, e *Engine, id string, pieces uint32, term time.Duration) bool {
	t.Helper()
	r, err := e.reserve(t.Context(), &wire.ReserveRequest{Request: id, Pieces: pieces, Term: durationpb.New(term)})
	if err != nil {
		t.Fatalf("reserve %s: %v", id, err)
	}
	return r.Granted
}

func fill(t *testing.T, e *Engine, id, prompt string) *wire.PrefillReply {
	t.Helper()
	r, err := e.prefill(t.Context(), &wire.PrefillRequest{Request: id, Prompt: prompt, Pieces: PieceHashes(prompt)})
	if err != nil {
		t.Fatalf("prefill %s: %v", id, err)
	}
	return r
}

// read decodes request a from an index to the end and returns text and finish.
func read(ctx context.Context, e *Engine, from, limit uint32) (string, string, error) {
	var b strings.Builder
	finish := ""
	next := from
	err := e.decode(ctx, &wire.DecodeRequest{Request: "a", From: from, Max: limit}, func(c *wire.DecodeChunk) error {
		if c.Index != next {
			return fmt.Errorf("index %d, want %d", c.Index, next)
		}
		next++
		b.WriteString(c.Text)
		finish = c.Finish
		return nil
	})
	return b.String(), finish, err
}

// Guards against waiting for memory and against reservations that never end.
func TestReserve(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		if !hold(t, e, "a", 6, 100*time.Millisecond) || hold(t, e, "b", 5, time.Second) {
			t.Fatal("10 pieces must hold 6 and refuse 5 more")
		}
		time.Sleep(101 * time.Millisecond)
		if h := e.Stats(); h.Pieces != 0 || h.Requests != 0 {
			t.Fatalf("held %+v after the term", h)
		}
		for i := range 4 {
			if !hold(t, e, fmt.Sprint(i), 1, time.Second) {
				t.Fatalf("slot %d refused", i)
			}
		}
		if hold(t, e, "x", 1, time.Second) {
			t.Fatal("a fifth request got one of four slots")
		}
		if !hold(t, e, "0", 3, time.Second) || e.Stats().Pieces != 6 {
			t.Fatal("a repeat must resize the same reservation")
		}
	})
}

// Guards against prefix hits that don't shorten prefill and a cache that grows.
func TestPrefixCache(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		head := text(4000, "head")
		start := time.Now()
		if r := fill(t, e, "a", head+text(100, "a")); r.Tokens != 4100 || r.Cached != 0 {
			t.Fatalf("reply %+v", r)
		}
		if d := time.Since(start); d != 4100*time.Millisecond {
			t.Fatalf("prefill took %s", d)
		}
		start = time.Now()
		if r := fill(t, e, "b", head+text(200, "b")); r.Cached != 4000 {
			t.Fatalf("reply %+v", r)
		}
		if d := time.Since(start); d != 200*time.Millisecond {
			t.Fatalf("prefill with a hit took %s", d)
		}
		fill(t, e, "c", text(4000, "else"))
		if r := fill(t, e, "d", head); r.Cached != 0 {
			t.Fatalf("2 pieces of cache kept a third: %+v", r)
		}
	}, func(s *Settings) { s.CachePieces = 2 })
}

// Guards against urgent prefills that wait behind others.
func TestPrefillPriority(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		order := make(chan string, 3)
		for i, p := range []uint32{5, 5, 1} {
			id := fmt.Sprint(i)
			go func() {
				_, _ = e.prefill(t.Context(), &wire.PrefillRequest{Request: id, Prompt: text(100, id), Priority: p})
				order <- id
			}()
			synctest.Wait()
		}
		if got := <-order + <-order + <-order; got != "021" {
			t.Fatalf("order %s, want 0, which ran already, then 2, then 1", got)
		}
	})
}

// Guards against a KV cache that outlives the eviction time, and against waste
// that is not counted, for eviction and for a cancel during the work.
func TestWaste(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		fill(t, e, "a", text(500, "a"))
		if h := e.Stats(); h.Pieces != 1 || h.Wasted != 0 || h.Computed != 500 {
			t.Fatalf("held %+v after prefill", h)
		}
		time.Sleep(801 * time.Millisecond)
		if h := e.Stats(); h.Pieces != 0 || h.Wasted != 500 {
			t.Fatalf("held %+v after the eviction time", h)
		}
		failed := make(chan error, 1)
		go func() {
			_, err := e.prefill(t.Context(), &wire.PrefillRequest{Request: "b", Prompt: text(500, "b")})
			failed <- err
		}()
		time.Sleep(205 * time.Millisecond)
		if _, err := e.cancel(t.Context(), &wire.CancelRequest{Request: "b"}); err != nil {
			t.Fatal(err)
		}
		if connect.CodeOf(<-failed) != connect.CodeAborted {
			t.Fatal("a cancelled prefill must end with aborted")
		}
		if h := e.Stats(); h.Requests != 0 || h.Wasted != 700 {
			t.Fatalf("held %+v after cancel", h)
		}
	})
}

// Guards against answers that differ between engines, and against transfers
// that are faster than the link.
func TestMove(t *testing.T) {
	bubble(t, func(t *testing.T, from *Engine) {
		to := New(small)
		defer func() { _ = to.Close() }()
		to.pull = func(ctx context.Context, _ string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error {
			return from.export(ctx, r, recv)
		}
		prompt := text(2048, "p")
		if !hold(t, to, "a", 2, 10*time.Second) {
			t.Fatal("refused")
		}
		handle := fill(t, from, "a", prompt).Handle
		start := time.Now()
		r, err := to.importKV(t.Context(), &wire.ImportRequest{Request: "a", Handle: handle})
		if err != nil || r.Bytes != 2<<20 {
			t.Fatalf("import %+v, %v", r, err)
		}
		// Both links carry the 2 MiB at 1 MiB/s, one after the other for a
		// single chunk.
		if d := time.Since(start); d != 4*time.Second {
			t.Fatalf("transfer took %s", d)
		}
		got, finish, err := read(t.Context(), to, 0, 20)
		want, end := Answer(prompt, 20)
		if err != nil || got != want || finish != end {
			t.Fatalf("%q %s %v, want %q %s", got, finish, err, want, end)
		}
		f, d := from.Stats(), to.Stats()
		if f.Requests+d.Requests != 0 || f.Pieces+d.Pieces != 0 || f.Wasted+d.Wasted != 0 || d.Used != f.Computed {
			t.Fatalf("held %+v and %+v", f, d)
		}
	})
}

// Guards against a stalled transfer that ends by itself or loses the cache. The
// link is fast, so that only the stall can stop the first import.
func TestStall(t *testing.T) {
	fast := func(s *Settings) { s.LinkRate = 1 << 40 }
	bubble(t, func(t *testing.T, from *Engine) {
		to := New(small, fast)
		defer func() { _ = to.Close() }()
		to.pull = func(ctx context.Context, _ string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error {
			return from.export(ctx, r, recv)
		}
		hold(t, to, "a", 1, time.Minute)
		handle := fill(t, from, "a", text(512, "p")).Handle
		from.SetFault(Fault{Stall: true})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := to.importKV(ctx, &wire.ImportRequest{Request: "a", Handle: handle})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a stalled import ended with %v", err)
		}
		from.SetFault(Fault{})
		if _, err := to.importKV(t.Context(), &wire.ImportRequest{Request: "a", Handle: handle}); err != nil {
			t.Fatalf("second import: %v", err)
		}
	}, fast)
}

// Guards against an engine that frees requests by itself when a stream breaks,
// and against two streams of one request.
func TestTakeover(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		prompt := text(100, "p")
		hold(t, e, "a", 1, 10*time.Second)
		fill(t, e, "a", prompt)
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, _, err := read(ctx, e, 0, 16)
			first <- err
		}()
		time.Sleep(35 * time.Millisecond)
		cancel()
		if err := <-first; err == nil {
			t.Fatal("a broken stream ended well")
		}
		if h := e.Stats(); h.Requests != 1 {
			t.Fatalf("held %+v after the stream broke", h)
		}
		second := make(chan error, 1)
		go func() {
			second <- e.decode(t.Context(), &wire.DecodeRequest{
				Request: "a", Origin: &wire.Origin{Instance: "d2"}, From: 3, Max: 16,
			}, func(*wire.DecodeChunk) error { return nil })
		}()
		synctest.Wait()
		if r := e.report().Running; len(r) != 1 || r[0].Instance != "d2" || r[0].State != "decode" {
			t.Fatalf("running %v, want the request with its new origin", r)
		}
		got, _, err := read(t.Context(), e, 3, 16)
		if connect.CodeOf(<-second) != connect.CodeAborted {
			t.Fatal("the earlier stream went on")
		}
		whole, _ := Answer(prompt, 16)
		head := NewText(prompt).Token(0) + NewText(prompt).Token(1) + NewText(prompt).Token(2)
		if err != nil || head+got != whole {
			t.Fatalf("%q after %q is not %q (%v)", got, head, whole, err)
		}
		if tail, finish, err := read(t.Context(), e, 15, 16); err != nil || finish != "length" || tail == "" {
			t.Fatalf("a finished request can't be resumed: %q %q %v", tail, finish, err)
		}
		if h := e.Stats(); h.Requests != 0 || h.Duplicates != 0 || h.Finished != 1 {
			t.Fatalf("held %+v at the end", h)
		}
	})
}

// Guards against double runs that go unnoticed.
func TestDouble(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		for range 2 {
			hold(t, e, "a", 1, 10*time.Second)
			fill(t, e, "a", text(10, "p"))
			if _, _, err := read(t.Context(), e, 0, 4); err != nil {
				t.Fatal(err)
			}
		}
		if h := e.Stats(); h.Duplicates != 1 {
			t.Fatalf("held %+v", h)
		}
	})
}

// Guards against a full memory that stops all requests, and against preempting
// the urgent one.
func TestPreempt(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		// Both prompts end just below a piece, so both need a second one.
		var group sync.WaitGroup
		for _, id := range []string{"low", "high"} {
			hold(t, e, id, 1, time.Minute)
			fill(t, e, id, text(1999, id))
		}
		for id, priority := range map[string]uint32{"low": 5, "high": 1} {
			group.Go(func() {
				err := e.decode(t.Context(), &wire.DecodeRequest{Request: id, Max: 16, Priority: priority},
					func(*wire.DecodeChunk) error { return nil })
				if (err == nil) != (id == "high") {
					t.Errorf("%s ended with %v", id, err)
				}
			})
		}
		group.Wait()
		if h := e.Stats(); h.Preempted != 1 || h.Finished != 1 || h.Pieces != 0 {
			t.Fatalf("held %+v", h)
		}
	}, func(s *Settings) { s.Pieces = 2 })
}
