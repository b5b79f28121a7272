package unary_test

import (
	"context"
	"errors"
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
	"citronrock.example/citronrock/internal/front/unary"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var errReset = errors.New("connection reset")

// step is a server's reaction to one attempt. ran tells whether the request ran.
type step struct {
	fault  event.Fault
	status int
	cut    bool
	ran    bool
	// limited is set when the server's limit leaves no room.
	limited bool
}

var (
	unsent  = step{fault: event.FaultUnsent}
	refused = step{fault: event.FaultRefused}
	reset   = step{fault: event.FaultBroken, ran: true}
	lost    = step{fault: event.FaultBroken}
	failed  = step{status: 500, ran: true}
	cut     = step{status: 200, cut: true, ran: true}
	bare503 = step{status: 503, ran: true}
	fine    = step{status: 200, ran: true}
	limited = step{fault: event.FaultUnsent, limited: true}
)

// servers is a fake of the backend servers.
type servers struct {
	citronrock.Backends
	steps []step
	ran   int
	sent  []string
	// denied is called when the limit of a server leaves no room.
	denied func(to pool.Server)
}

func (s *servers) Send(_ context.Context, to pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Response, error) {
	s.sent = append(s.sent, to.ID)
	x := s.steps[min(len(s.sent), len(s.steps))-1]
	if x.ran {
		s.ran++
	}
	if x.limited {
		s.denied(to)
		return nil, &proxy.SendError{Fault: x.fault, Limited: true, Err: errReset}
	}
	if x.status == 0 {
		return nil, &proxy.SendError{Fault: x.fault, Full: x.fault == event.FaultRefused, Err: errReset}
	}
	var body io.Reader = strings.NewReader("answer")
	if x.cut {
		body = io.MultiReader(strings.NewReader("ans"), broken{})
	}
	return &proxy.Response{Status: x.status, Header: http.Header{}, Body: body, Close: func() {}}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errReset }

type ingress struct{ citronrock.Ingress }

func (ingress) Refuse(w http.ResponseWriter, _ *proxy.Request, status int, after time.Duration, _ string) {
	if after > 0 {
		w.Header().Set("After", after.String())
	}
	w.WriteHeader(status)
}

func serve(kind config.Kind, steps ...step) (*httptest.ResponseRecorder, *servers) {
	s := &servers{steps: steps}
	table := pool.New()
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		table.Put(pool.Server{ID: id, Service: "s", Sequence: 1, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i))})
	}
	h := unary.New(table, s, ingress{}, newBudget(60), lines.New(io.Discard, "test"))
	route := &config.Route{Name: "r", Kind: kind, Timeout: time.Second, Target: 100 * time.Millisecond, Attempts: 1}
	if kind == config.Idempotent {
		route.Attempts = 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rec := httptest.NewRecorder()
	h.Serve(ctx, rec, &proxy.Request{ID: "c", Method: http.MethodPost, Received: time.Now()}, route, "s", time.Now().Add(time.Second))
	return rec, s
}

// Guards against requests that are executed twice, and against statuses that
// guarantee what is not known.
func TestServe(t *testing.T) {
	cases := map[string]struct {
		kind   config.Kind
		steps  []step
		status int
		sends  int
	}{
		"order answered":             {config.NonIdempotent, []step{fine}, 200, 1},
		"order reset":                {config.NonIdempotent, []step{reset, fine}, 502, 1},
		"order cut":                  {config.NonIdempotent, []step{cut, fine}, 502, 1},
		"order fails":                {config.NonIdempotent, []step{failed, fine}, 500, 1},
		"order not sent":             {config.NonIdempotent, []step{unsent, fine}, 200, 2},
		"order refused":              {config.NonIdempotent, []step{refused, fine}, 200, 2},
		"order refused by all":       {config.NonIdempotent, []step{refused}, 503, 3},
		"order, bare 503":            {config.NonIdempotent, []step{bare503, fine}, 502, 1},
		"order refused, then reset":  {config.NonIdempotent, []step{refused, reset, fine}, 502, 2},
		"lookup reset":               {config.Idempotent, []step{reset, fine}, 200, 2},
		"lookup cut":                 {config.Idempotent, []step{cut, fine}, 200, 2},
		"lookup fails once":          {config.Idempotent, []step{failed, fine}, 200, 2},
		"lookup fails twice":         {config.Idempotent, []step{failed, failed, fine}, 500, 2},
		"lookup reset twice":         {config.Idempotent, []step{reset, reset, fine}, 502, 2},
		"lookup refused, then reset": {config.Idempotent, []step{refused, reset, fine}, 502, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rec, s := serve(c.kind, c.steps...)
			if rec.Code != c.status || len(s.sent) != c.sends {
				t.Errorf("status %d after %v; want %d after %d attempts", rec.Code, s.sent, c.status, c.sends)
			}
		})
	}
}

// Checks the guarantees to clients for random sequences of failures.
func TestServeProperties(t *testing.T) {
	steps := []step{unsent, refused, reset, lost, failed, cut, bare503, fine}
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 2000
	ps := gopter.NewProperties(p)
	play := func(kind config.Kind, picks []int) (*httptest.ResponseRecorder, *servers) {
		list := make([]step, 0, len(picks))
		for _, i := range picks {
			list = append(list, steps[i])
		}
		return serve(kind, list...)
	}
	picks := gen.SliceOfN(6, gen.IntRange(0, len(steps)-1))
	ps.Property("a request that may not be repeated runs at most once", prop.ForAll(func(p []int) bool {
		_, s := play(config.NonIdempotent, p)
		return s.ran <= 1
	}, picks))
	ps.Property("503 is said only for a request that did not run, with a time to come back", prop.ForAll(func(p []int) bool {
		rec, s := play(config.NonIdempotent, p)
		return rec.Code != 503 || s.ran == 0 && rec.Header().Get("After") != ""
	}, picks))
	ps.Property("no server gets a request twice", prop.ForAll(func(p []int) bool {
		_, s := play(config.Idempotent, p)
		seen := map[string]bool{}
		for _, id := range s.sent {
			if seen[id] {
				return false
			}
			seen[id] = true
		}
		return true
	}, picks))
	ps.Property("a request runs on two servers at most", prop.ForAll(func(p []int) bool {
		_, s := play(config.Idempotent, p)
		return s.ran <= 2
	}, picks))
	ps.TestingRun(t)
}

// Guards against requests to servers that are backing off, which would only refuse
// them, and against clients that retry before any server is available.
func TestServersBackingOff(t *testing.T) {
	cases := map[string]struct {
		wait   map[string]time.Duration
		status int
		sends  int
		after  time.Duration
	}{
		"one of two": {map[string]time.Duration{"a": time.Second}, http.StatusOK, 1, 0},
		"both":       {map[string]time.Duration{"a": 700 * time.Millisecond, "b": time.Second}, http.StatusServiceUnavailable, 0, 600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &servers{steps: []step{fine}}
			table := pool.New()
			for _, id := range []string{"a", "b"} {
				e := pool.Server{ID: id, Service: "s", Sequence: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
				table.Put(e)
				table.ApplySignal(time.Now(), e, pool.Signal{RetryAfter: c.wait[id]})
			}
			h := unary.New(table, s, ingress{}, newBudget(60), lines.New(io.Discard, "test"))
			route := &config.Route{Name: "r", Kind: config.NonIdempotent, Timeout: time.Second, Target: 100 * time.Millisecond, Attempts: 1}
			rec := httptest.NewRecorder()
			o := h.Serve(t.Context(), rec, &proxy.Request{ID: "c", Method: http.MethodPost, Received: time.Now()}, route, "s", time.Now().Add(time.Second))
			if rec.Code != c.status || len(s.sent) != c.sends || o.RetryAfter < c.after {
				t.Errorf("status %d after %d attempts, retry after %v; want %d after %d, retry after at least %v", rec.Code, len(s.sent), o.RetryAfter, c.status, c.sends, c.after)
			}
		})
	}
}

// Guards against requests that wait for a server whose limit leaves no room, or are
// answered with a failure, while another server takes them, and against an answer that
// says nothing of when there will be room.
func TestLimitedServers(t *testing.T) {
	cases := map[string]struct {
		kind    config.Kind
		steps   []step
		held    []string
		status  int
		sends   int
		reason  string
		atLeast time.Duration
	}{
		"one denied":                   {config.NonIdempotent, []step{limited, fine}, nil, 200, 1, "", 0},
		"four denied":                  {config.NonIdempotent, []step{limited, limited, limited, limited, fine}, nil, 200, 1, "", 0},
		"denied, then reset":           {config.NonIdempotent, []step{limited, reset, fine}, nil, 502, 1, "backend", 0},
		"denied, failed, denied":       {config.Idempotent, []step{limited, failed, limited, fine}, nil, 200, 2, "", 0},
		"failed, all others denied":    {config.Idempotent, []step{failed, limited}, nil, 500, 1, "server", 0},
		"all denied":                   {config.NonIdempotent, []step{limited}, nil, 503, 0, "limit", 700 * time.Millisecond},
		"held without being asked for": {config.NonIdempotent, []step{fine}, []string{"a", "b", "c", "d", "e"}, 503, 0, "limit", 700 * time.Millisecond},
		"one is not held":              {config.NonIdempotent, []step{fine}, []string{"a", "b", "c", "d"}, 200, 1, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &servers{steps: c.steps}
			table := pool.New()
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				e := pool.Server{ID: id, Service: "s", Sequence: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
				table.Put(e)
				if slices.Contains(c.held, id) {
					table.Hold(e.Process(), time.Now().Add(400*time.Millisecond), time.Now().Add(800*time.Millisecond))
				}
			}
			s.denied = func(to pool.Server) {
				table.Hold(to.Process(), time.Now().Add(400*time.Millisecond), time.Now().Add(800*time.Millisecond))
			}
			h := unary.New(table, s, ingress{}, newBudget(60), lines.New(io.Discard, "test"))
			route := &config.Route{Name: "r", Kind: c.kind, Timeout: time.Second, Target: 100 * time.Millisecond, Attempts: 2}
			rec, start := httptest.NewRecorder(), time.Now()
			o := h.Serve(t.Context(), rec, &proxy.Request{ID: "c", Method: http.MethodPost, Received: start}, route, "s", start.Add(time.Second))
			if rec.Code != c.status || o.Attempts != c.sends || o.Reason != c.reason || o.RetryAfter < c.atLeast {
				t.Errorf("status %d after %d attempts, reason %q, retry after %v; want %d after %d, %q, at least %v",
					rec.Code, o.Attempts, o.Reason, o.RetryAfter, c.status, c.sends, c.reason, c.atLeast)
			}
			if took := time.Since(start); took > 100*time.Millisecond {
				t.Errorf("answered after %v, want at once", took)
			}
		})
	}
}
