package start_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/wire/caller"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against answers that are lost, duplicated, mixed up or truncated when many
// run at once, and against reservations that are not released after them.
func TestAnswersWholeAndOwn(t *testing.T) {
	f := newFleet(t, 3)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			prompt := fmt.Sprintf("catalogue %d: ", i) + strings.Repeat("lace reel ", 900+i)
			want, finish := engine.Answer(prompt, 20)
			text, end, err := f.generate(context.Background(), i%3, &caller.GenerateRequest{Head: head("taalpost"), Prompt: prompt, Max: 20}, nil)
			if err != nil || text != want || end != finish {
				t.Errorf("request %d: got %q (%s, %v), want %q (%s)", i, text, end, err, want, finish)
			}
		})
	}
	wg.Wait()
	f.await("release of all memory", func() bool { return f.held() == 0 })
}

// Guards against a daemon that reports readiness before it can place requests,
// and against an owner that refuses early requests during the takeover delay.
func TestFirstRequestAfterReadiness(t *testing.T) {
	const bound = time.Second
	f := newFleet(t, 2)
	for i := range 2 {
		begin := time.Now()
		_, _, err := f.generate(context.Background(), i, &caller.GenerateRequest{Head: head("taalpost"), Prompt: "laces", Max: 1}, nil)
		if took := time.Since(begin); err != nil || took > bound {
			t.Errorf("daemon %d answered after %v (%v), want at most %v", i, took, err, bound)
		}
	}
}

// cancelBound is the time in which engines must release a request whose client
// disconnected, without other faults.
const cancelBound = 2 * time.Second

// Guards against engine memory that is not released when a client disconnects, at
// each stage of a request.
func TestCallerGoneFreesEngines(t *testing.T) {
	f := newFleet(t, 2)
	cases := map[string]struct {
		size int // bytes of the prompt; a long one is still in prefill
		stop func(ctx context.Context, cancel context.CancelFunc, index uint32)
		wait time.Duration
	}{
		"in prefill":      {size: 900_000, wait: 300 * time.Millisecond},
		"in decode":       {size: 4_000, stop: func(_ context.Context, cancel context.CancelFunc, i uint32) { cancelAt(i, 5, cancel) }},
		"at first token":  {size: 4_000, stop: func(_ context.Context, cancel context.CancelFunc, i uint32) { cancelAt(i, 0, cancel) }},
		"before prefill":  {size: 900_000, wait: time.Millisecond},
		"during transfer": {size: 400_000, wait: 700 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.wait > 0 {
				time.AfterFunc(c.wait, cancel)
			}
			seen := func(i uint32) {
				if c.stop != nil {
					c.stop(ctx, cancel, i)
				}
			}
			_, finish, err := f.generate(ctx, 0, &caller.GenerateRequest{
				Head: head("taalpost"), Prompt: name + strings.Repeat("x", c.size), Max: 4000,
			}, seen)
			if err == nil {
				t.Fatalf("the answer ended with %q", finish)
			}
			f.awaitWithin(cancelBound, "release of all memory", func() bool { return f.held() == 0 })
		})
	}
}

func cancelAt(i, at uint32, cancel context.CancelFunc) {
	if i == at {
		cancel()
	}
}

// Guards against invalid requests that are accepted, refused without a typed failure,
// or hold resources of engines.
func TestBadInput(t *testing.T) {
	f := newFleet(t, 1)
	with := func(change func(*caller.GenerateRequest)) *caller.GenerateRequest {
		r := &caller.GenerateRequest{Head: head("taalpost"), Prompt: "laces", Max: 3}
		change(r)
		return r
	}
	cases := map[string]struct {
		request *caller.GenerateRequest
		code    connect.Code
	}{
		"unknown service":  {with(func(r *caller.GenerateRequest) { r.Head.Service = "taalpst" }), connect.CodeInvalidArgument},
		"plain service":    {with(func(r *caller.GenerateRequest) { r.Head.Service = "bestelbalie" }), connect.CodeInvalidArgument},
		"unknown tenant":   {with(func(r *caller.GenerateRequest) { r.Head.Tenant = "nobody" }), connect.CodeInvalidArgument},
		"no head":          {with(func(r *caller.GenerateRequest) { r.Head = nil }), connect.CodeInvalidArgument},
		"no prompt":        {with(func(r *caller.GenerateRequest) { r.Prompt = "" }), connect.CodeInvalidArgument},
		"no max":           {with(func(r *caller.GenerateRequest) { r.Max = 0 }), connect.CodeInvalidArgument},
		"large max":        {with(func(r *caller.GenerateRequest) { r.Max = 1 << 30 }), connect.CodeInvalidArgument},
		"from beyond max":  {with(func(r *caller.GenerateRequest) { r.From = 3 }), connect.CodeInvalidArgument},
		"long prompt":      {with(func(r *caller.GenerateRequest) { r.Prompt = strings.Repeat("x", 1<<20+1) }), connect.CodeInvalidArgument},
		"past deadline":    {with(func(r *caller.GenerateRequest) { r.Head.Deadline = durationpb.New(-time.Second) }), connect.CodeInvalidArgument},
		"endless deadline": {with(func(r *caller.GenerateRequest) { r.Head.Deadline = durationpb.New(time.Hour) }), connect.CodeInvalidArgument},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := f.generate(context.Background(), 0, c.request, nil)
			if connect.CodeOf(err) != c.code {
				t.Fatalf("error %v, want code %v", err, c.code)
			}
			if fail := failure(t, err); fail.Kind != caller.Failure_NOTRUN || fail.Reason != "invalid" {
				t.Errorf("failure %v, want not run as invalid", fail)
			}
		})
	}
	if n := f.held(); n != 0 {
		t.Errorf("engines hold %d after refused requests", n)
	}
}

// Guards against malformed HTTP requests that reach the core or crash the process.
func TestBadBytes(t *testing.T) {
	f := newFleet(t, 1)
	cases := map[string]struct {
		body   string
		header http.Header
		code   int
	}{
		"malformed JSON": {body: `{"head":`, code: http.StatusBadRequest},
		"wrong types":    {body: `{"head":{"tenant":7}}`, code: http.StatusBadRequest},
		"oversized body": {body: `{"path":"` + strings.Repeat("x", 3<<20) + `"}`, code: http.StatusRequestEntityTooLarge},
		"large header":   {body: `{}`, header: http.Header{"X-Large": {strings.Repeat("x", 64<<10)}}, code: http.StatusRequestHeaderFieldsTooLarge},
		"empty object":   {body: `{}`, code: http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.callers[0]+caller.RouterCallProcedure, bytes.NewBufferString(c.body))
			f.must(err)
			req.Header = http.Header{"Content-Type": {"application/json"}}
			for k, v := range c.header {
				req.Header[k] = v
			}
			resp, err := f.client.Do(req)
			f.must(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			f.must(err)
			if resp.StatusCode != c.code {
				t.Errorf("status %d, want %d: %s", resp.StatusCode, c.code, body)
			}
		})
	}
	if code := f.get("http://" + f.admins[0] + "/health"); code != http.StatusOK {
		t.Errorf("health gives %d after bad input", code)
	}
}

// Guards against a tenant that exceeds its limits of rate or requests in flight.
func TestTenantLimits(t *testing.T) {
	f := newFleet(t, 1)
	refused := 0
	for range 6 {
		h := head("taalpost")
		h.Tenant = "small"
		_, _, err := f.generate(context.Background(), 0, &caller.GenerateRequest{Head: h, Prompt: "laces", Max: 1}, nil)
		if err == nil {
			continue
		}
		refused++
		if fail := failure(t, err); fail.Reason != "limit" || fail.Kind != caller.Failure_NOTRUN || fail.After.AsDuration() <= 0 {
			t.Errorf("failure %v, want limit with a Retry-After delay", fail)
		}
	}
	if refused == 0 {
		t.Error("6 requests at once passed a limit of 2 and 1 a second")
	}
}

// promptWithAnswer returns a prompt whose answer has limit tokens.
func promptWithAnswer(t *testing.T, limit uint32) string {
	t.Helper()
	for i := range 10_000 {
		prompt := fmt.Sprintf("letter %d", i)
		if n, _ := engine.NewText(prompt).Len(limit); n == limit {
			return prompt
		}
	}
	t.Fatalf("no prompt has an answer of %d tokens", limit)
	return ""
}

// Guards against a graceful stop that cuts off requests or accepts new ones.
func TestStopFinishesStreams(t *testing.T) {
	// The answer takes longer than the graceful shutdown of the HTTP servers.
	f := newFleetOf(t, 2, []string{"prefill", "decode"}, func(_ int, s *engine.Settings) { s.TokenGap = 4 * time.Millisecond })
	prompt := promptWithAnswer(t, 900)
	want, _ := engine.Answer(prompt, 900)
	started := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	wg.Go(func() {
		text, _, err := f.generate(context.Background(), 0, &caller.GenerateRequest{Head: head("taalpost"), Prompt: prompt, Max: 900},
			func(uint32) { once.Do(func() { close(started) }) })
		if err != nil || text != want {
			t.Errorf("the stream was cut off: %d of %d bytes, %v", len(text), len(want), err)
		}
	})
	<-started
	d := f.daemons[0]
	f.daemons = f.daemons[1:]
	stopped := make(chan struct{})
	go func() { d.Stop(); close(stopped) }()
	f.await("end of readiness", func() bool { return f.get("http://"+f.admins[0]+"/ready") == http.StatusServiceUnavailable })
	_, err := f.router(0).Call(context.Background(), connect.NewRequest(&caller.CallRequest{Head: head("bestelbalie"), Path: "/order"}))
	if fail := failure(t, err); fail.Kind != caller.Failure_NOTRUN || fail.Reason != "drain" {
		t.Errorf("a stopping daemon answered %v, want not run because of drain", fail)
	}
	wg.Wait()
	<-stopped
	f.await("release of all memory", func() bool { return f.held() == 0 })
}

// Guards against engines that keep a model or a role that the document has replaced,
// and against requests that are placed on them before they have switched.
func TestOrdersLoadTheModel(t *testing.T) {
	f := newFleetOf(t, 2, []string{"prefill", "decode"}, func(_ int, s *engine.Settings) {
		s.Model, s.LoadTime = "old", 200*time.Millisecond
	})
	h := head("taalpost")
	want, _ := engine.Answer("laces", 5)
	f.await("an answer from the ordered model", func() bool {
		text, _, err := f.generate(context.Background(), 0, &caller.GenerateRequest{Head: h, Prompt: "laces", Max: 5}, nil)
		if err == nil && text != want {
			t.Fatalf("got %q, want %q", text, want)
		}
		return err == nil
	})
}
