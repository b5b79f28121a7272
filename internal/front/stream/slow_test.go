package stream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// pacedBody is a body that repeats a part with pauses until it ends or its context
// does.
type pacedBody struct {
	ctx   context.Context
	part  string
	pause time.Duration
	times int
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if p.times == 0 {
		return 0, io.EOF
	}
	p.times--
	select {
	case <-p.ctx.Done():
		return 0, context.Cause(p.ctx)
	case <-time.After(p.pause):
		return copy(b, p.part), nil
	}
}

// body replaces the response body of the engine d1.
type body struct {
	*fakeBackends
	of func(ctx context.Context) io.Reader
}

func (b body) Send(ctx context.Context, s pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	reply, err := b.fakeBackends.Send(ctx, s, c, o)
	if err == nil && s.ID == "d1" {
		reply.Body = b.of(ctx)
	}
	return reply, err
}

func newBodyHandler(w *fakeBackends, of func(ctx context.Context) io.Reader, opts ...stream.Option) *stream.Handler {
	w.freed = make(chan string, 8)
	return stream.New(table(), body{w, of}, ingress{}, w, newBudget(60), lines.New(io.Discard, "test"), opts...)
}

// Guards against slow but healthy streams that are cancelled, and against stalled
// ones that send some bytes now and then, but no event, and hold their client until
// its deadline.
func TestSlowAndStalled(t *testing.T) {
	const limit = 10 * time.Minute
	cases := map[string]struct {
		part  string
		pause time.Duration
		times int
		// moves means that the stream is resumed at another engine.
		moves bool
		most  time.Duration
	}{
		"an event each second":    {"id: 1\ndata: x\n\n", time.Second, 200, false, 201 * time.Second},
		"a byte now and then":     {"x", 100 * time.Millisecond, 1 << 30, true, 2 * time.Second},
		"a comment now and then":  {": ping\n\n", 500 * time.Millisecond, 1 << 30, true, 2 * time.Second},
		"an empty line each time": {"\n", 500 * time.Millisecond, 1 << 30, true, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeBackends{runs: []run{{status: 200}, {status: 200, from: 1, to: 4}}}
				h := newBodyHandler(w, func(ctx context.Context) io.Reader { return &pacedBody{ctx, c.part, c.pause, c.times} })
				begun := time.Now()
				_, o := handle(t, h, true, limit)
				if took := time.Since(begun); o.Result != "ok" || took > c.most {
					t.Errorf("result %q after %s, want the whole stream within %s", o.Result, took, c.most)
				}
				if moved := len(w.sends) == 2; moved != c.moves {
					t.Errorf("%d attempts, want a second one: %v", len(w.sends), c.moves)
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against a stalled stream that may not be resumed and outlives its request's
// deadline.
func TestStalledStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeBackends{runs: []run{{status: 200}}}
		h := newBodyHandler(w, func(ctx context.Context) io.Reader { return &pacedBody{ctx, ": ping\n\n", time.Second, 1 << 30} })
		begun := time.Now()
		if _, o := handle(t, h, false, 14*time.Second); o.Result == "ok" || time.Since(begun) > 15*time.Second {
			t.Errorf("result %q after %s", o.Result, time.Since(begun))
		}
		synctest.Wait()
	})
}

// Guards against endless events and failure responses that use up the daemon's
// memory, and against a truncated answer that looks complete.
func TestEndlessBytes(t *testing.T) {
	cases := map[string]struct {
		status int
		part   string
		want   int
	}{
		"an event without end":      {200, "data: " + strings.Repeat("x", 1000), http.StatusBadGateway},
		"lines without end":         {200, "data: x\n", http.StatusBadGateway},
		"a failure without end":     {500, strings.Repeat("x", 1000), http.StatusBadGateway},
		"another success, no end":   {201, strings.Repeat("x", 1000), http.StatusBadGateway},
		"zeros instead of a stream": {200, strings.Repeat("\x00", 1000), http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := memory.New(8 << 20)
			w := &fakeBackends{runs: []run{{status: c.status}}}
			h := newBodyHandler(w, func(ctx context.Context) io.Reader { return &pacedBody{ctx, c.part, 0, 1 << 30} }, stream.WithMemory(b))
			if rec, o := handle(t, h, false, 20*time.Second); rec.Code != c.want || o.Result != "unknown" || rec.Body.Len() > 0 {
				t.Errorf("status %d with %d bytes, result %q; want %d, unknown", rec.Code, rec.Body.Len(), o.Result, c.want)
			}
			if b.Available() != 8<<20 {
				t.Errorf("%d bytes available, want all", b.Available())
			}
		})
	}
}

// Guards against a client that does not read its answer and holds an engine, and its
// lease, forever.
func TestClientThatNeverReads(t *testing.T) {
	const limit = 300 * time.Millisecond
	w := &fakeBackends{runs: []run{{status: 200}}}
	h := newBodyHandler(w, func(ctx context.Context) io.Reader {
		return &pacedBody{ctx, "id: 1\ndata: " + strings.Repeat("x", 3000) + "\n\n", 0, 1 << 30}
	})
	ended := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		route := &config.Route{Name: "r", Kind: config.Stream, Target: limit, Attempts: 1}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		h.Serve(ctx, w, &proxy.Request{ID: "c", Received: time.Now()}, route, config.Service{Name: "s"}, time.Now().Add(limit))
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("request of a client that does not read is still in progress")
	}
}

// Guards against a panic after which the request's resources are not released.
func TestPanicReleases(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200}}}
	h := newBodyHandler(w, func(context.Context) io.Reader { panic("engine") })
	func() {
		defer func() { _ = recover() }()
		handle(t, h, false, time.Second)
	}()
	select {
	case <-w.freed:
	case <-time.After(time.Second):
		t.Error("KV cache is not freed")
	}
}

// silentBody sends events, is silent, and goes on with the rest.
func silentBody(ctx context.Context, first, last int, silence time.Duration) io.Reader {
	return io.MultiReader(strings.NewReader(events(first)),
		&pacedBody{ctx, strings.TrimPrefix(events(last), events(first)), silence, 1})
}

// Guards against a stream that is broken off because its engine is silent for a while,
// when the retry budget doesn't allow another run: the engine would have gone on.
func TestSilentEngineWithoutRetryBudget(t *testing.T) {
	for name, silence := range map[string]time.Duration{"a second and a half": 1500 * time.Millisecond, "nearly to the deadline": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeBackends{runs: []run{{status: 200}}, freed: make(chan string, 8)}
				budget := newBudget(0)
				h := stream.New(table(), body{w, func(ctx context.Context) io.Reader { return silentBody(ctx, 2, 4, silence) }},
					ingress{}, w, budget, lines.New(io.Discard, "test"))
				rec, o := handle(t, h, true, 14*time.Second)
				if rec.Body.String() != events(4) || o.Result != "ok" {
					t.Errorf("body %q, result %q, reason %q, unmoved %q; want the whole stream", rec.Body, o.Result, o.Reason, o.NotMoved)
				}
				synctest.Wait()
			})
		})
	}
}
