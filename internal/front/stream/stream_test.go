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
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

var errReset = errors.New("connection reset")

// run is an engine's reaction to one request: a fault instead of a response, or a
// response of a status with events from one ID to another, that breaks or ends.
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

// fakeBackends is a fake of the engines and of the owner of the service.
type fakeBackends struct {
	citronrock.Backends
	runs       []run
	prefills   []error
	refuse     *ledger.Reply
	sends      []proxy.Options
	requests   []ledger.Request
	prefillers []string
	// sending is called before each attempt, nil for nothing.
	sending func(to string)
	freed   chan string
	// replaced are engines that started again, without a new entry yet.
	replaced []string
	// asked are the engines that were asked which process they are; each answer takes delay.
	asked []string
	delay time.Duration
}

func (w *fakeBackends) Acquire(_ context.Context, a ledger.Request) (*lease.Lease, error) {
	w.requests = append(w.requests, a)
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
	if !a.Prefilled && !a.Alone {
		l.Prefill = pick("p")
	}
	return l, nil
}

func (w *fakeBackends) Prefill(_ context.Context, s pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Cache, error) {
	w.prefillers = append(w.prefillers, s.ID)
	if n := len(w.prefillers); n <= len(w.prefills) && w.prefills[n-1] != nil {
		return nil, w.prefills[n-1]
	}
	return &proxy.Cache{Source: s.Addr, Handle: "h-" + s.ID, Tokens: 100, Created: time.Now()}, nil
}

func (w *fakeBackends) Send(ctx context.Context, s pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Response, error) {
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

// Usage fails for engines whose process is another one than that of their entry.
func (w *fakeBackends) Usage(_ context.Context, s pool.Server) (ledger.Usage, error) {
	w.asked = append(w.asked, s.ID)
	time.Sleep(w.delay)
	if slices.Contains(w.replaced, s.ID) {
		return ledger.Usage{}, &proxy.SendError{Fault: event.FaultRefused, Misdirected: true, Err: errors.New("another process")}
	}
	return ledger.Usage{}, nil
}

func (w *fakeBackends) Free(_ context.Context, c *proxy.Cache) error {
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

// ingress writes failures with their status and Retry-After delay.
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
		t.Put(pool.Server{ID: id, Service: "s", Stage: stage, Version: "v1", Sequence: 1,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i))})
	}
	return t
}

// serve serves one request with fake backends.
func serve(t *testing.T, w *fakeBackends, resume bool, limit time.Duration) (*httptest.ResponseRecorder, lines.Outcome, *pool.Table) {
	t.Helper()
	w.freed = make(chan string, 8)
	servers := table()
	h := newHandler(servers, w)
	rec, o := handle(t, h, resume, limit)
	return rec, o, servers
}

func newHandler(servers *pool.Table, w *fakeBackends, opts ...stream.Option) *stream.Handler {
	return stream.New(servers, w, ingress{}, w, newBudget(60), lines.New(io.Discard, "test"), opts...)
}

// handle serves one request with a handler.
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

// Guards against a stopping daemon that accepts streams which its exit would abort,
// and against one that refuses streams which it can finish.
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
			w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 4, lasts: 200 * time.Millisecond}}}
			w.freed = make(chan string, 8)
			stop := grace.New()
			h := newHandler(table(), w, stream.WithStop(stop))
			if rec, _ := handle(t, h, false, 3*time.Second); rec.Code != http.StatusOK {
				t.Fatalf("status %d before the stop", rec.Code)
			}
			if c.left != 0 {
				stop.Begin(time.Second, time.Now().Add(c.left))
			}
			rec, o := handle(t, h, false, 3*time.Second)
			if rec.Code != c.status || c.status != http.StatusOK && (o.Reason != "stop" || o.RetryAfter <= 0 || len(w.sends) != 1) {
				t.Errorf("status %d, reason %q, retry after %v, %d attempts; want status %d", rec.Code, o.Reason, o.RetryAfter, len(w.sends), c.status)
			}
		})
	}
}

// events returns the first n events of a stream.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// Guards against answers that are duplicated, mixed, truncated or made up when
// engines fail at any point of a generation.
func TestServe(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	unsent := &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	reset := &proxy.SendError{Fault: event.FaultBroken, Err: errReset}
	whole := run{status: 200, from: 1, to: 4}
	cases := map[string]struct {
		backends   fakeBackends
		resume     bool
		status     int
		body       string
		result     string
		sends      int
		prefillers []string
	}{
		"whole":                         {backends: fakeBackends{runs: []run{whole}}, status: 200, body: events(4), result: "ok", sends: 1, prefillers: []string{"p1"}},
		"engine dies after its header":  {backends: fakeBackends{runs: []run{{status: 200, from: 1, to: 0, breaks: true}}}, status: 502, result: "unknown", sends: 1},
		"engine resets the request":     {backends: fakeBackends{runs: []run{{fault: reset}}}, status: 502, result: "unknown", sends: 1},
		"stream breaks":                 {backends: fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, whole}}, status: 200, body: events(2), result: "broken", sends: 1},
		"stream breaks, may be resumed": {backends: fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 4}}}, resume: true, status: 200, body: events(4), result: "ok", sends: 2},
		"stream breaks twice":           {backends: fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 3, breaks: true}}}, resume: true, status: 200, body: events(3), result: "broken", sends: 2},
		"reset, may be resumed":         {backends: fakeBackends{runs: []run{{fault: reset}, whole}}, resume: true, status: 200, body: events(4), result: "ok", sends: 2},
		"cache lost":                    {backends: fakeBackends{runs: []run{{fault: full}, whole}}, status: 200, body: events(4), result: "ok", sends: 2, prefillers: []string{"p1", "p2"}},
		"decode engine unreachable":     {backends: fakeBackends{runs: []run{{fault: unsent}, whole}}, status: 200, body: events(4), result: "ok", sends: 2, prefillers: []string{"p1"}},
		"prefill engine resets":         {backends: fakeBackends{prefills: []error{reset}, runs: []run{whole}}, status: 200, body: events(4), result: "ok", sends: 1, prefillers: []string{"p1", "p2"}},
		"engine reports a failure":      {backends: fakeBackends{runs: []run{{status: 500, from: 1}}}, status: 500, result: "failed", sends: 1},
		"engine's 503 says nothing":     {backends: fakeBackends{runs: []run{{status: 503, from: 1}}}, status: 502, result: "unknown", sends: 1},
		"refused":                       {backends: fakeBackends{refuse: &ledger.Reply{Status: ledger.Refused, Reason: ledger.ReasonLate, RetryAfter: 2 * time.Second}}, status: 503, result: "refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rec, o, _ := serve(t, &c.backends, c.resume, 3*time.Second)
			if rec.Code != c.status || rec.Body.String() != c.body || o.Result != c.result {
				t.Errorf("status %d, body %q, result %q (%s); want %d, %q, %q", rec.Code, rec.Body, o.Result, o.Reason, c.status, c.body, c.result)
			}
			if len(c.backends.sends) != c.sends {
				t.Errorf("%d attempts, want %d", len(c.backends.sends), c.sends)
			}
			if c.prefillers != nil && !slices.Equal(c.backends.prefillers, c.prefillers) {
				t.Errorf("prefilled by %v, want %v", c.backends.prefillers, c.prefillers)
			}
		})
	}
}

// Guards against a resumed run that starts at the wrong event, or whose answer bears
// another engine's signature.
func TestResume(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 4}}}
	rec, _, _ := serve(t, w, true, 3*time.Second)
	if got := w.sends[1].LastEventID; got != "2" {
		t.Errorf("second run resumes after event %q, want 2", got)
	}
	if got := rec.Header().Get("Seal"); got != "d1" {
		t.Errorf("answer is signed by %q, want d1", got)
	}
	if !w.requests[1].Resumed || !slices.Contains(w.requests[1].Excluded, "d1") {
		t.Errorf("second lease request %+v, want a resumed one that excludes d1", w.requests[1])
	}
}

// Guards against a stream that hangs at a dead engine although it could be resumed
// elsewhere.
func TestStalledStreamGoesOn(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 2, hangs: true}, {status: 200, from: 3, to: 4}}}
	rec, o, _ := serve(t, w, true, 4*time.Second)
	if rec.Body.String() != events(4) || o.Result != "ok" {
		t.Errorf("body %q, result %q; want the whole stream", rec.Body, o.Result)
	}
}

// Guards against a 503 for a request that may have run when its deadline passes.
func TestDeadline(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 0, hangs: true}}}
	rec, o, _ := serve(t, w, false, 200*time.Millisecond)
	if rec.Code != http.StatusGatewayTimeout || o.Result != "unknown" {
		t.Errorf("status %d, result %q; want 504, unknown", rec.Code, o.Result)
	}
}

// Guards against KV caches that stay at an engine after their request has ended, and
// against an engine that lost a cache and is used again at once.
func TestLostCache(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	w := &fakeBackends{runs: []run{{fault: full}, {status: 200, from: 1, to: 1}}}
	_, _, servers := serve(t, w, false, 3*time.Second)
	select {
	case h := <-w.freed:
		if h != "h-p1" {
			t.Errorf("KV cache %q freed, want the first one", h)
		}
	case <-time.After(time.Second):
		t.Error("first KV cache is not freed")
	}
	if !servers.IsUnhealthy(time.Now(), "p1") {
		t.Error("prefill engine of the lost KV cache is not marked as unhealthy")
	}
}

// Guards against a truncated stream of a service without model engines.
func TestPlainStream(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 3}}, freed: make(chan string, 1)}
	h := stream.New(table(), w, ingress{}, w, newBudget(60), lines.New(io.Discard, "test"))
	route := &config.Route{Name: "r", Kind: config.Stream, Target: time.Second, Attempts: 1}
	c := &proxy.Request{ID: "c", Received: time.Now(), MaxOutput: 80}
	rec := httptest.NewRecorder()
	o := h.Serve(t.Context(), rec, c, route, config.Service{Name: "s"}, time.Now().Add(time.Second))
	if rec.Body.String() != events(3) || o.Result != "ok" || len(w.requests) > 0 {
		t.Errorf("body %q, result %q, %d lease requests; want the whole stream and none", rec.Body, o.Result, len(w.requests))
	}
}

// Guards against leases on engines that are backing off, and against a second
// prefill because such an engine refused the request.
func TestEngineBackingOff(t *testing.T) {
	full := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errors.New("503")}
	cases := map[string]struct {
		// before is an engine that backs off before the request, during one that does so
		// at the first attempt.
		before, during string
		runs           []run
		prefillers     []string
		sends          int
	}{
		"decode engine before":  {"d1", "", []run{{status: 200, from: 1, to: 4}}, []string{"p1"}, 1},
		"prefill engine before": {"p1", "", []run{{status: 200, from: 1, to: 4}}, []string{"p2"}, 1},
		"decode engine refuses": {"", "d1", []run{{fault: full}, {status: 200, from: 1, to: 4}}, []string{"p1"}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &fakeBackends{runs: c.runs, freed: make(chan string, 8)}
			servers := table()
			alone := func(id string) {
				if s, ok := servers.Get(time.Now(), id); ok {
					servers.ApplySignal(time.Now(), s, pool.Signal{RetryAfter: 2 * time.Second})
				}
			}
			alone(c.before)
			w.sending = func(to string) {
				if to == c.before {
					t.Errorf("request sent to %s, which is backing off", to)
				}
				alone(c.during)
			}
			rec, _ := handle(t, newHandler(servers, w), false, 2*time.Second)
			if rec.Code != http.StatusOK || rec.Body.String() != events(4) || len(w.sends) != c.sends || !slices.Equal(w.prefillers, c.prefillers) {
				t.Errorf("status %d after %d attempts, prefilled by %v; want %d attempts, prefilled by %v", rec.Code, len(w.sends), w.prefillers, c.sends, c.prefillers)
			}
		})
	}
}
