package stream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/quota"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

var errReset = errors.New("connection reset")

// run is what an engine does with one request: a fault instead of an answer, or
// an answer of a status with events from one ID to another, that breaks or ends.
type run struct {
	fault    *proxy.SendError
	status   int
	from, to int
	breaks   bool
	// hangs keeps the stream open after its events.
	hangs bool
	// lasts is the time before the first event.
	lasts time.Duration
}

// world is a fake of the engines and of the ledger's owner.
type world struct {
	citronrock.Backends
	runs     []run
	prefills []error
	refuse   *ledger.Reply
	sends    []proxy.Options
	asks     []ledger.Request
	readers  []string
	// sending is called before each sending, nil for nothing.
	sending func(to string)
	freed   chan string
}

func (w *world) Acquire(_ context.Context, a ledger.Request) (*lease.Lease, error) {
	w.asks = append(w.asks, a)
	if w.refuse != nil {
		return nil, &lease.RefusedError{Reply: *w.refuse}
	}
	pick := func(prefix string) string {
		for i := 1; ; i++ {
			if id := fmt.Sprint(prefix, i); !slices.Contains(a.Excluded, id) {
				return id
			}
		}
	}
	l := lease.Unmanaged(pick("d"))
	if !a.Prefilled {
		l.Prefill = pick("p")
	}
	return l, nil
}

func (w *world) Prefill(_ context.Context, s pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Cache, error) {
	w.readers = append(w.readers, s.ID)
	if n := len(w.readers); n <= len(w.prefills) && w.prefills[n-1] != nil {
		return nil, w.prefills[n-1]
	}
	return &proxy.Cache{Source: s.Addr, Handle: "h-" + s.ID, Tokens: 100, Created: time.Now()}, nil
}

func (w *world) Send(ctx context.Context, s pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	w.sends = append(w.sends, o)
	if w.sending != nil {
		w.sending(s.ID)
	}
	r := w.runs[min(len(w.sends), len(w.runs))-1]
	if r.fault != nil {
		return nil, r.fault
	}
	time.Sleep(r.lasts)
	var body bytes.Buffer
	for i := r.from; i <= r.to; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: x\n\n", i)
	}
	var end io.Reader = strings.NewReader("")
	switch {
	case r.breaks:
		end = broken{}
	case r.hangs:
		end = hung{ctx}
	}
	return &proxy.Response{Status: r.status, Header: http.Header{"Seal": {s.ID}},
		Body: io.MultiReader(&body, end), Close: func() {}}, nil
}

func (w *world) Free(_ context.Context, c *proxy.Cache) error {
	w.freed <- c.Handle
	return nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errReset }

type hung struct{ ctx context.Context }

func (h hung) Read([]byte) (int, error) {
	<-h.ctx.Done()
	return 0, context.Cause(h.ctx)
}

// ingress writes failures with their status and time to come back.
type ingress struct{ citronrock.Ingress }

func (ingress) Refuse(w http.ResponseWriter, _ *proxy.Request, status int, after time.Duration, _ string) {
	if after > 0 {
		w.Header().Set("After", after.String())
	}
	w.WriteHeader(status)
}

func table() *pool.Table {
	t := pool.New()
	for i, id := range []string{"d1", "d2", "d3", "d4", "p1", "p2", "p3"} {
		stage := pool.Decode
		if id[0] == 'p' {
			stage = pool.Prefill
		}
		t.Put(pool.Server{ID: id, Service: "s", Stage: stage, Sequence: 1,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i))})
	}
	return t
}

// serve plays one call against a world.
func serve(t *testing.T, w *world, resume bool, limit time.Duration) (*httptest.ResponseRecorder, lines.Outcome, *pool.Table) {
	t.Helper()
	w.freed = make(chan string, 8)
	servers := table()
	h := newHandler(servers, w)
	rec, o := handle(t, h, resume, limit)
	return rec, o, servers
}

func newHandler(servers *pool.Table, w *world, opts ...stream.Option) *stream.Handler {
	return stream.New(servers, w, ingress{}, w, quota.New(0.2, 100, func() int { return 1 }), lines.New(io.Discard, "test"), opts...)
}

// handle has a handler serve one request.
func handle(t *testing.T, h *stream.Handler, resume bool, limit time.Duration) (*httptest.ResponseRecorder, lines.Outcome) {
	t.Helper()
	route := &config.Route{Name: "r", Kind: config.Stream, Timeout: limit, Target: 900 * time.Millisecond,
		Gap: 300 * time.Millisecond, Resume: resume, Attempts: 2, Model: true}
	service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
	c := &proxy.Request{ID: "c", Method: http.MethodPost, Received: time.Now(), Prompt: 100, MaxOutput: 80}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	rec := httptest.NewRecorder()
	return rec, h.Serve(ctx, rec, c, route, service, time.Now().Add(limit))
}

// Guards against a stopping daemon that takes streams which its end would cut
// off, and against one that refuses those that it can finish.
func TestStopping(t *testing.T) {
	cases := map[string]struct {
		left   time.Duration
		status int
	}{
		"not stopping":  {0, http.StatusOK},
		"time is left":  {5 * time.Second, http.StatusOK},
		"it ends soon":  {250 * time.Millisecond, http.StatusServiceUnavailable},
		"it has to end": {-time.Second, http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &world{runs: []run{{status: 200, from: 1, to: 4, lasts: 200 * time.Millisecond}}}
			w.freed = make(chan string, 8)
			var end time.Time
			h := newHandler(table(), w, stream.WithShutdownDeadline(func() time.Time { return end }))
			if rec, _ := handle(t, h, false, 3*time.Second); rec.Code != http.StatusOK {
				t.Fatalf("status %d before the stop", rec.Code)
			}
			if c.left != 0 {
				end = time.Now().Add(c.left)
			}
			rec, o := handle(t, h, false, 3*time.Second)
			if rec.Code != c.status || c.status != http.StatusOK && (o.Reason != "stop" || o.After <= 0 || len(w.sends) != 1) {
				t.Errorf("status %d, reason %q, after %v, %d sendings; want status %d", rec.Code, o.Reason, o.After, len(w.sends), c.status)
			}
		})
	}
}

// events are the first n events of a stream.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// Guards against answers that are doubled, mixed, cut off or made up when
// engines fail at any point of a generation.
func TestServe(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	unsent := &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	reset := &proxy.SendError{Fault: event.FaultBroken, Err: errReset}
	whole := run{status: 200, from: 1, to: 4}
	cases := map[string]struct {
		world  world
		resume bool
		status int
		body   string
		result string
		sends  int
		reads  []string
	}{
		"whole":                         {world: world{runs: []run{whole}}, status: 200, body: events(4), result: "ok", sends: 1, reads: []string{"p1"}},
		"engine dies after its header":  {world: world{runs: []run{{status: 200, from: 1, to: 0, breaks: true}}}, status: 502, result: "unknown", sends: 1},
		"engine resets the request":     {world: world{runs: []run{{fault: reset}}}, status: 502, result: "unknown", sends: 1},
		"stream breaks":                 {world: world{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, whole}}, status: 200, body: events(2), result: "broken", sends: 1},
		"stream breaks, may be resumed": {world: world{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 4}}}, resume: true, status: 200, body: events(4), result: "ok", sends: 2},
		"stream breaks twice":           {world: world{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 3, breaks: true}}}, resume: true, status: 200, body: events(3), result: "broken", sends: 2},
		"reset, may be resumed":         {world: world{runs: []run{{fault: reset}, whole}}, resume: true, status: 200, body: events(4), result: "ok", sends: 2},
		"cache lost":                    {world: world{runs: []run{{fault: full}, whole}}, status: 200, body: events(4), result: "ok", sends: 2, reads: []string{"p1", "p2"}},
		"decode engine unreachable":     {world: world{runs: []run{{fault: unsent}, whole}}, status: 200, body: events(4), result: "ok", sends: 2, reads: []string{"p1"}},
		"prefill engine resets":         {world: world{prefills: []error{reset}, runs: []run{whole}}, status: 200, body: events(4), result: "ok", sends: 1, reads: []string{"p1", "p2"}},
		"engine reports a failure":      {world: world{runs: []run{{status: 500, from: 1}}}, status: 500, result: "failed", sends: 1},
		"engine's 503 says nothing":     {world: world{runs: []run{{status: 503, from: 1}}}, status: 502, result: "unknown", sends: 1},
		"refused":                       {world: world{refuse: &ledger.Reply{Status: ledger.Refused, Reason: ledger.ReasonLate, RetryAfter: 2 * time.Second}}, status: 503, result: "refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rec, o, _ := serve(t, &c.world, c.resume, 3*time.Second)
			if rec.Code != c.status || rec.Body.String() != c.body || o.Result != c.result {
				t.Errorf("status %d, body %q, result %q (%s); want %d, %q, %q", rec.Code, rec.Body, o.Result, o.Reason, c.status, c.body, c.result)
			}
			if len(c.world.sends) != c.sends {
				t.Errorf("%d sendings, want %d", len(c.world.sends), c.sends)
			}
			if c.reads != nil && !slices.Equal(c.world.readers, c.reads) {
				t.Errorf("prompt read by %v, want %v", c.world.readers, c.reads)
			}
		})
	}
}

// Guards against a resumed run that starts at the wrong event, or whose answer
// bears another engine's signature.
func TestResume(t *testing.T) {
	w := &world{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 4}}}
	rec, _, _ := serve(t, w, true, 3*time.Second)
	if got := w.sends[1].LastEventID; got != "2" {
		t.Errorf("second run goes on after event %q, want 2", got)
	}
	if got := rec.Header().Get("Seal"); got != "d1" {
		t.Errorf("answer is signed by %q, want d1", got)
	}
	if !w.asks[1].Resumed || !slices.Contains(w.asks[1].Excluded, "d1") {
		t.Errorf("second ask %+v, want one for a begun answer without d1", w.asks[1])
	}
}

// Guards against a stream that hangs at a dead engine although it may go on
// elsewhere.
func TestStalledStreamGoesOn(t *testing.T) {
	w := &world{runs: []run{{status: 200, from: 1, to: 2, hangs: true}, {status: 200, from: 3, to: 4}}}
	rec, o, _ := serve(t, w, true, 4*time.Second)
	if rec.Body.String() != events(4) || o.Result != "ok" {
		t.Errorf("body %q, result %q; want the whole stream", rec.Body, o.Result)
	}
}

// Guards against a 503 for a request that may have run when its time is up.
func TestDeadline(t *testing.T) {
	w := &world{runs: []run{{status: 200, from: 1, to: 0, hangs: true}}}
	rec, o, _ := serve(t, w, false, 200*time.Millisecond)
	if rec.Code != http.StatusGatewayTimeout || o.Result != "unknown" {
		t.Errorf("status %d, result %q; want 504, unknown", rec.Code, o.Result)
	}
}

// Guards against caches that stay at an engine after their request has ended,
// and against a source of lapsed caches that is used again at once.
func TestLostCache(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	w := &world{runs: []run{{fault: full}, {status: 200, from: 1, to: 1}}}
	_, _, servers := serve(t, w, false, 3*time.Second)
	select {
	case h := <-w.freed:
		if h != "h-p1" {
			t.Errorf("cache %q freed, want the first one", h)
		}
	case <-time.After(time.Second):
		t.Error("first cache is not freed")
	}
	if !servers.IsUnhealthy(time.Now(), "p1") {
		t.Error("source of the lost cache is not left alone")
	}
}

// Guards against a stream of a service without model engines that is cut off at
// its end.
func TestPlainStream(t *testing.T) {
	w := &world{runs: []run{{status: 200, from: 1, to: 3}}, freed: make(chan string, 1)}
	h := stream.New(table(), w, ingress{}, w, quota.New(0.2, 100, func() int { return 1 }), lines.New(io.Discard, "test"))
	route := &config.Route{Name: "r", Kind: config.Stream, Target: time.Second, Attempts: 1}
	c := &proxy.Request{ID: "c", Received: time.Now(), MaxOutput: 80}
	rec := httptest.NewRecorder()
	o := h.Serve(t.Context(), rec, c, route, config.Service{Name: "s"}, time.Now().Add(time.Second))
	if rec.Body.String() != events(3) || o.Result != "ok" || len(w.asks) > 0 {
		t.Errorf("body %q, result %q, %d asks; want the whole stream without a ledger", rec.Body, o.Result, len(w.asks))
	}
}

// Guards against grants of engines that want no request of this daemon for a while,
// and against a prompt that is read again since such an engine turned it away.
func TestEngineLeftAlone(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	cases := map[string]struct {
		// before names engines left alone before the request, during the one that the
		// first sending finds so.
		before, during string
		runs           []run
		reads          []string
		sends          int
	}{
		"decode engine before":  {"d1", "", []run{{status: 200, from: 1, to: 4}}, []string{"p1"}, 1},
		"prefill engine before": {"p1", "", []run{{status: 200, from: 1, to: 4}}, []string{"p2"}, 1},
		"decode engine refuses": {"", "d1", []run{{fault: full}, {status: 200, from: 1, to: 4}}, []string{"p1"}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &world{runs: c.runs, freed: make(chan string, 8)}
			servers := table()
			alone := func(id string) {
				if s, ok := servers.Get(time.Now(), id); ok {
					servers.ApplySignal(time.Now(), s, pool.Signal{RetryAfter: 2 * time.Second})
				}
			}
			alone(c.before)
			w.sending = func(to string) {
				if to == c.before {
					t.Errorf("request sent to %s", to)
				}
				alone(c.during)
			}
			rec, _ := handle(t, newHandler(servers, w), false, 2*time.Second)
			if rec.Code != http.StatusOK || rec.Body.String() != events(4) || len(w.sends) != c.sends || !slices.Equal(w.readers, c.reads) {
				t.Errorf("status %d after %d sendings, prompts read by %v; want %d sendings, read by %v", rec.Code, len(w.sends), w.readers, c.sends, c.reads)
			}
		})
	}
}
