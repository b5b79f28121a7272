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

// testSettings sets round numbers: a prefill rate of 1,000 tokens/s, 10 ms per token and
// a link of 1 MiB/s.
func testSettings(s *Settings) {
	s.Pieces, s.Slots = 10, 4
	s.TokenGap, s.Growth = 10*time.Millisecond, 0
	s.PrefillRate = 1000
	s.LinkRate, s.TokenBytes = 1<<20, 1<<10
	s.ReportLag, s.EventDelay = 0, 0
}

// bubble runs f in a synctest bubble with an engine that is closed after it.
func bubble(t *testing.T, f func(t *testing.T, e *Engine), options ...Option) {
	synctest.Test(t, func(t *testing.T) {
		e := New(append([]Option{testSettings}, options...)...)
		defer func() { _ = e.Close() }()
		f(t, e)
	})
}

// makePrompt returns a prompt of the given number of tokens that repeats seed.
func makePrompt(tokens int, seed string) string {
	return strings.Repeat(fmt.Sprintf("%-4.4s", seed), tokens)
}

// reserve reserves KV blocks for a request and reports whether they were granted.
func reserve(t *testing.T, e *Engine, id string, pieces uint32, term time.Duration) bool {
	t.Helper()
	r, err := e.reserve(t.Context(), &wire.ReserveRequest{Request: id, Pieces: pieces, Term: durationpb.New(term)})
	if err != nil {
		t.Fatalf("reserve %s: %v", id, err)
	}
	return r.Granted
}

func prefill(t *testing.T, e *Engine, id, prompt string) *wire.PrefillReply {
	t.Helper()
	r, err := e.prefill(t.Context(), &wire.PrefillRequest{Request: id, Prompt: prompt, Pieces: BlockHashes(prompt)})
	if err != nil {
		t.Fatalf("prefill %s: %v", id, err)
	}
	return r
}

// decodeAll decodes request a, from an index to the end, and returns the text and the
// finish reason.
func decodeAll(ctx context.Context, e *Engine, from, limit uint32) (string, string, error) {
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

// Guards against a reservation that waits for memory, exceeds the slots or never
// expires.
func TestReserve(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		if !reserve(t, e, "a", 6, 100*time.Millisecond) || reserve(t, e, "b", 5, time.Second) {
			t.Fatal("10 KV blocks: a reservation of 6 must be granted and one of 5 more refused")
		}
		time.Sleep(101 * time.Millisecond)
		if h := e.Stats(); h.Pieces != 0 || h.Requests != 0 {
			t.Fatalf("stats %+v after the reservation expired", h)
		}
		for i := range 4 {
			if !reserve(t, e, fmt.Sprint(i), 1, time.Second) {
				t.Fatalf("reservation refused in slot %d", i)
			}
		}
		if reserve(t, e, "x", 1, time.Second) {
			t.Fatal("reservation granted to a fifth request with four slots")
		}
		if !reserve(t, e, "0", 3, time.Second) || e.Stats().Pieces != 6 {
			t.Fatal("a second call must resize the reservation")
		}
	})
}

// Guards against prefix cache hits that don't shorten the prefill, and against a cache
// that exceeds its size.
func TestPrefixCache(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		head := makePrompt(4000, "head")
		start := time.Now()
		if r := prefill(t, e, "a", head+makePrompt(100, "a")); r.Tokens != 4100 || r.Cached != 0 {
			t.Fatalf("reply %+v", r)
		}
		if d := time.Since(start); d != 4100*time.Millisecond {
			t.Fatalf("prefill took %s", d)
		}
		start = time.Now()
		if r := prefill(t, e, "b", head+makePrompt(200, "b")); r.Cached != 4000 {
			t.Fatalf("reply %+v", r)
		}
		if d := time.Since(start); d != 200*time.Millisecond {
			t.Fatalf("prefill with a cache hit took %s", d)
		}
		prefill(t, e, "c", makePrompt(4000, "else"))
		if r := prefill(t, e, "d", head); r.Cached != 0 {
			t.Fatalf("third KV block hit in a cache of 2: %+v", r)
		}
	}, func(s *Settings) { s.CachePieces = 2 })
}

// Guards against a prefill of high priority that is queued behind others.
func TestPrefillPriority(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		order := make(chan string, 3)
		for i, p := range []uint32{5, 5, 1} {
			id := fmt.Sprint(i)
			go func() {
				_, _ = e.prefill(t.Context(), &wire.PrefillRequest{Request: id, Prompt: makePrompt(100, id), Priority: p})
				order <- id
			}()
			synctest.Wait()
		}
		if got := <-order + <-order + <-order; got != "021" {
			t.Fatalf("order %s, want 021: 0 was running, 2 has the higher priority", got)
		}
	})
}

// Guards against a KV cache that outlives the retention time, and against wasted
// tokens that aren't counted, after an eviction and after a cancel during the prefill.
func TestWaste(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		prefill(t, e, "a", makePrompt(500, "a"))
		if h := e.Stats(); h.Pieces != 1 || h.Wasted != 0 || h.Computed != 500 {
			t.Fatalf("stats %+v after prefill", h)
		}
		time.Sleep(801 * time.Millisecond)
		if h := e.Stats(); h.Pieces != 0 || h.Wasted != 500 {
			t.Fatalf("stats %+v after the retention time", h)
		}
		failed := make(chan error, 1)
		go func() {
			_, err := e.prefill(t.Context(), &wire.PrefillRequest{Request: "b", Prompt: makePrompt(500, "b")})
			failed <- err
		}()
		time.Sleep(205 * time.Millisecond)
		if _, err := e.cancel(t.Context(), &wire.CancelRequest{Request: "b"}); err != nil {
			t.Fatal(err)
		}
		if connect.CodeOf(<-failed) != connect.CodeAborted {
			t.Fatal("a cancelled prefill must end with code aborted")
		}
		if h := e.Stats(); h.Requests != 0 || h.Wasted != 700 {
			t.Fatalf("stats %+v after cancel", h)
		}
	})
}

// Guards against answers that differ between engines, and against KV transfers that
// are faster than the link.
func TestMove(t *testing.T) {
	bubble(t, func(t *testing.T, from *Engine) {
		to := New(testSettings)
		defer func() { _ = to.Close() }()
		to.pull = func(ctx context.Context, _ string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error {
			return from.export(ctx, r, recv)
		}
		prompt := makePrompt(2048, "p")
		if !reserve(t, to, "a", 2, 10*time.Second) {
			t.Fatal("reservation refused")
		}
		handle := prefill(t, from, "a", prompt).Handle
		start := time.Now()
		r, err := to.importKV(t.Context(), &wire.ImportRequest{Request: "a", Handle: handle})
		if err != nil || r.Bytes != 2<<20 {
			t.Fatalf("import %+v, %v", r, err)
		}
		// A single chunk of 2 MiB passes both links, of 1 MiB/s each, one after the
		// other.
		if d := time.Since(start); d != 4*time.Second {
			t.Fatalf("transfer took %s", d)
		}
		got, finish, err := decodeAll(t.Context(), to, 0, 20)
		want, end := Answer(prompt, 20)
		if err != nil || got != want || finish != end {
			t.Fatalf("%q %s %v, want %q %s", got, finish, err, want, end)
		}
		f, d := from.Stats(), to.Stats()
		if f.Requests+d.Requests != 0 || f.Pieces+d.Pieces != 0 || f.Wasted+d.Wasted != 0 || d.Used != f.Computed {
			t.Fatalf("stats %+v and %+v", f, d)
		}
	})
}

// Guards against a stalled KV transfer that completes or loses the KV cache. The link
// is fast, so that only the stall can block the first import.
func TestStall(t *testing.T) {
	fast := func(s *Settings) { s.LinkRate = 1 << 40 }
	bubble(t, func(t *testing.T, from *Engine) {
		to := New(testSettings, fast)
		defer func() { _ = to.Close() }()
		to.pull = func(ctx context.Context, _ string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error {
			return from.export(ctx, r, recv)
		}
		reserve(t, to, "a", 1, time.Minute)
		handle := prefill(t, from, "a", makePrompt(512, "p")).Handle
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

// Guards against an engine that drops a request when its stream breaks, and against
// two concurrent streams of one request.
func TestTakeover(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		prompt := makePrompt(100, "p")
		reserve(t, e, "a", 1, 10*time.Second)
		prefill(t, e, "a", prompt)
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, _, err := decodeAll(ctx, e, 0, 16)
			first <- err
		}()
		time.Sleep(35 * time.Millisecond)
		cancel()
		if err := <-first; err == nil {
			t.Fatal("a stream whose context was cancelled ended without an error")
		}
		if h := e.Stats(); h.Requests != 1 {
			t.Fatalf("stats %+v after the stream broke", h)
		}
		second := make(chan error, 1)
		go func() {
			second <- e.decode(t.Context(), &wire.DecodeRequest{
				Request: "a", Origin: &wire.Origin{Instance: "d2"}, From: 3, Max: 16,
			}, func(*wire.DecodeChunk) error { return nil })
		}()
		synctest.Wait()
		if r := e.report().Running; len(r) != 1 || r[0].Instance != "d2" || r[0].State != "decode" {
			t.Fatalf("running %v, want the request with origin d2", r)
		}
		got, _, err := decodeAll(t.Context(), e, 3, 16)
		if connect.CodeOf(<-second) != connect.CodeAborted {
			t.Fatal("the replaced stream was not aborted")
		}
		whole, _ := Answer(prompt, 16)
		head := NewText(prompt).Token(0) + NewText(prompt).Token(1) + NewText(prompt).Token(2)
		if err != nil || head+got != whole {
			t.Fatalf("%q after %q is not %q (%v)", got, head, whole, err)
		}
		if tail, finish, err := decodeAll(t.Context(), e, 15, 16); err != nil || finish != "length" || tail == "" {
			t.Fatalf("resuming a finished request: %q %q %v", tail, finish, err)
		}
		if h := e.Stats(); h.Requests != 0 || h.Duplicates != 0 || h.Finished != 1 {
			t.Fatalf("stats %+v at the end", h)
		}
	})
}

// Guards against a second decode of a finished request that isn't counted.
func TestDouble(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		for range 2 {
			reserve(t, e, "a", 1, 10*time.Second)
			prefill(t, e, "a", makePrompt(10, "p"))
			if _, _, err := decodeAll(t.Context(), e, 0, 4); err != nil {
				t.Fatal(err)
			}
		}
		if h := e.Stats(); h.Duplicates != 1 {
			t.Fatalf("stats %+v", h)
		}
	})
}

// Guards against full memory that blocks all requests, and against preempting the
// request of higher priority.
func TestPreempt(t *testing.T) {
	bubble(t, func(t *testing.T, e *Engine) {
		// Both prompts are one token shorter than a KV block, so both need a second
		// one.
		var group sync.WaitGroup
		for _, id := range []string{"low", "high"} {
			reserve(t, e, id, 1, time.Minute)
			prefill(t, e, id, makePrompt(1999, id))
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
			t.Fatalf("stats %+v", h)
		}
	}, func(s *Settings) { s.Pieces = 2 })
}
