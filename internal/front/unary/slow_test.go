package unary_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/unary"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	slowTarget   = 100 * time.Millisecond
	slowDeadline = 3 * time.Second
	bodyBudget   = 1 << 20
	never        = time.Hour
)

// slowStep is a server's reaction after a time.
type slowStep struct {
	after time.Duration
	step
}

// slowServers are servers whose reactions take their time, in the order in which they
// get the request.
type slowServers struct {
	citronrock.Backends
	table *pool.Table
	// hold is how long a limit leaves no room.
	hold time.Duration

	mu            sync.Mutex
	steps         []slowStep
	sent, running int
}

func (s *slowServers) Send(ctx context.Context, to pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Response, error) {
	s.mu.Lock()
	x := s.steps[min(s.sent, len(s.steps)-1)]
	s.sent++
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		return nil, &proxy.SendError{Fault: event.FaultBroken, Err: context.Cause(ctx)}
	case <-time.After(x.after):
	}
	switch {
	case x.limited:
		s.table.Hold(to.Process(), time.Now().Add(s.hold), time.Now().Add(s.hold))
		return nil, &proxy.SendError{Fault: x.fault, Limited: true, Err: errReset}
	case x.status == 0:
		return nil, &proxy.SendError{Fault: x.fault, Full: x.fault == event.FaultRefused, Err: errReset}
	}
	return &proxy.Response{Status: x.status, Header: http.Header{}, Body: strings.NewReader("answer"), Close: func() {}}, nil
}

// slowPlay is a request to slow servers and what became of it.
type slowPlay struct {
	kind            config.Kind
	servers, budget int
	steps           []slowStep
	// unhealthy is the server that gets requests only if no other is left, "" for none.
	unhealthy string
	// hold is how long a limit leaves no room, zero for longer than any request.
	hold time.Duration

	code, sent, charged, running int
	memory                       int64
	took                         time.Duration
}

func (p slowPlay) serve(t *testing.T) slowPlay {
	synctest.Test(t, func(t *testing.T) {
		s := &slowServers{table: pool.New(), steps: p.steps, hold: cmp.Or(p.hold, never)}
		for i := range p.servers {
			s.table.Put(pool.Server{ID: fmt.Sprint("s", i), Service: "s", Sequence: 1, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i))})
		}
		if p.unhealthy != "" {
			s.table.MarkUnhealthy(time.Now(), p.unhealthy, never)
		}
		budget := newBudget(p.budget)
		bodies := memory.New(bodyBudget)
		h := unary.New(s.table, s, ingress{}, budget, lines.New(io.Discard, "test"), unary.WithMemory(bodies))
		ctx, cancel := context.WithTimeout(t.Context(), slowDeadline)
		defer cancel()
		rec, start := httptest.NewRecorder(), time.Now()
		route := &config.Route{Name: "r", Kind: p.kind, Timeout: slowDeadline, Target: slowTarget, Attempts: 2}
		h.Serve(ctx, rec, &proxy.Request{ID: "c", Method: http.MethodGet, Received: start}, route, "s", start.Add(slowDeadline))
		p.code, p.took, p.memory, p.sent, p.running = rec.Code, time.Since(start), bodies.Available(), s.sent, s.running
		p.charged = p.budget - countLeft(budget)
	})
	return p
}

// Guards against requests that fail because their server was given up for taking long,
// when no other server answered instead.
func TestSlowServer(t *testing.T) {
	const (
		second   = time.Second
		fallback = 130 * time.Millisecond // slowShare of the target
	)
	slow, dead := slowStep{second, fine}, slowStep{never, fine}
	cases := map[string]struct {
		kind            config.Kind
		servers, budget int
		steps           []slowStep
		code, sent      int
		charged         int
		took            time.Duration
	}{
		"another server answers":           {config.Idempotent, 2, 5, []slowStep{dead, {0, fine}}, 200, 2, 1, fallback},
		"no retry budget":                  {config.Idempotent, 2, 0, []slowStep{slow}, 200, 1, 0, second},
		"no other server":                  {config.Idempotent, 1, 5, []slowStep{slow}, 200, 1, 0, second},
		"the other one refuses":            {config.Idempotent, 2, 5, []slowStep{slow, {0, refused}}, 200, 2, 1, second},
		"the others refuse":                {config.Idempotent, 4, 5, []slowStep{slow, {0, refused}, {0, refused}, {0, refused}}, 200, 4, 3, second},
		"the other one can't be reached":   {config.Idempotent, 2, 1, []slowStep{slow, {0, unsent}}, 200, 2, 0, second},
		"the other one breaks":             {config.Idempotent, 2, 5, []slowStep{slow, {0, reset}}, 200, 2, 1, second},
		"the other one fails":              {config.Idempotent, 2, 5, []slowStep{slow, {0, failed}}, 200, 2, 1, second},
		"the other one is slow, too":       {config.Idempotent, 2, 5, []slowStep{slow, dead}, 200, 2, 1, second},
		"the other one's limit":            {config.Idempotent, 3, 1, []slowStep{dead, {0, limited}, {0, fine}}, 200, 3, 1, fallback},
		"the limits of all others":         {config.Idempotent, 3, 5, []slowStep{slow, {0, limited}, {0, limited}}, 200, 3, 0, second},
		"it breaks, the other one is slow": {config.Idempotent, 2, 5, []slowStep{{second, reset}, slow}, 200, 2, 1, fallback + second},
		"both answer at once":              {config.Idempotent, 2, 5, []slowStep{slow, {second - fallback, fine}}, 200, 2, 1, second},
		"both dead":                        {config.Idempotent, 3, 5, []slowStep{dead}, 504, 2, 1, slowDeadline},
		"may not be repeated":              {config.NonIdempotent, 2, 5, []slowStep{slow}, 200, 1, 0, second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := slowPlay{kind: c.kind, servers: c.servers, budget: c.budget, steps: c.steps}.serve(t)
			if out.code != c.code || out.sent != c.sent || out.charged != c.charged || out.took != c.took {
				t.Errorf("status %d after %v and %d attempts, %d charged; want %d after %v and %d, %d charged",
					out.code, out.took, out.sent, out.charged, c.code, c.took, c.sent, c.charged)
			}
			if out.running > 0 || out.memory != bodyBudget {
				t.Errorf("%d attempts go on after the end, %d bytes available", out.running, out.memory)
			}
		})
	}
}

// Guards against a request that fails for want of budget, though the budget was charged
// for an attempt that the limit of a server prevented.
func TestChargeIsKeptForNextAttempt(t *testing.T) {
	steps := []slowStep{{time.Second, reset}, {0, limited}, {0, fine}}
	out := slowPlay{kind: config.Idempotent, servers: 3, budget: 1, unhealthy: "s2", hold: time.Second / 2, steps: steps}.serve(t)
	if out.code != http.StatusOK || out.charged != 1 {
		t.Errorf("status %d after %d attempts, %d charged; want 200 and one", out.code, out.sent, out.charged)
	}
}

// Checks for random reactions and times that a request gets the answer of a sound server,
// and that nothing outlives it.
func TestSlowServerProperties(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 500
	ps := gopter.NewProperties(p)
	reactions := []step{unsent, refused, reset, lost, failed, bare503, fine, limited}
	play := func(first int64, times []int64, picks []int, budget int) slowPlay {
		steps := []slowStep{{time.Duration(first) * time.Millisecond, fine}}
		for i, pick := range picks {
			steps = append(steps, slowStep{time.Duration(times[i]) * time.Millisecond, reactions[pick]})
		}
		return slowPlay{kind: config.Idempotent, servers: len(steps), budget: budget, steps: steps}.serve(t)
	}
	inTime, times := gen.Int64Range(0, slowDeadline.Milliseconds()-1), gen.SliceOfN(4, gen.Int64Range(0, 4000))
	picks, budget := gen.SliceOfN(4, gen.IntRange(0, len(reactions)-1)), gen.IntRange(0, 5)
	ps.Property("a request whose first server answers in time is answered by then", prop.ForAll(
		func(first int64, times []int64, picks []int, budget int) bool {
			out := play(first, times, picks, budget)
			return out.code == http.StatusOK && out.took <= time.Duration(first)*time.Millisecond
		}, inTime, times, picks, budget))
	ps.Property("each attempt beside another one is charged once, and none outlives the request", prop.ForAll(
		func(first int64, times []int64, picks []int, budget int) bool {
			out := play(first, times, picks, budget)
			return out.charged < max(out.sent, 1) && out.charged <= budget && out.running == 0 && out.memory == bodyBudget
		}, gen.Int64Range(0, 2*slowDeadline.Milliseconds()), times, picks, budget))
	ps.TestingRun(t)
}
