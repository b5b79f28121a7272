package stream_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a stream that goes on at another version, and against one that is broken
// off or refused although an engine of its version serves.
func TestStreamOverItsAttempts(t *testing.T) {
	v1, v2 := "v1", "v2"
	// try is what changes before an attempt, what it names (the first attempt if empty),
	// and how it ends.
	type try struct {
		before func(*versionedFleet)
		names  string
		result string
		reason string
	}
	cases := map[string]struct {
		versions []string
		breaks   []int
		prepare  func(*versionedFleet)
		tries    []try
		held     string
	}{
		"the second attempt brings no event": {[]string{v1, v2, v1}, []int{2, 0, 0, 0, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {nil, "", "unknown", "broken"}, {nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the same attempt is named twice": {[]string{v2, v1}, []int{1, 0, 0, 2, 0, 0, 1, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {nil, "", "broken", "broken"}, {nil, "", "broken", "broken"}, {nil, "", "ok", ""}}, "v2 v2 v2 v2 v2 v2"},
		"an attempt that nobody served is named": {[]string{v1, v2}, []int{2, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {nil, "?", "refused", "origin"}, {nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the version has left": {[]string{v1, v2}, []int{2, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {func(f *versionedFleet) { f.leave("d1") }, "", "refused", "version"}}, "v1 v1"},
		"the version comes back": {[]string{v1, v2}, []int{2, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {func(f *versionedFleet) { f.start("d1", 0, v2) }, "", "refused", "version"},
				{func(f *versionedFleet) { f.start("d2", 1, v1) }, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"three versions": {[]string{"v3", v1, v2, "v3"}, []int{2, 1, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {nil, "", "ok", ""}}, "v3 v3 v3 v3 v3 v3"},
		"another version at the address of the first": {[]string{v1, v2}, []int{2, 0, 0}, nil,
			[]try{{nil, "", "broken", "broken"}, {func(f *versionedFleet) { f.leave("d1"); f.start("d9", 0, v2) }, "", "refused", "version"}}, "v1 v1"},
		"the engine starts again with another version before its first event": {[]string{v1, v1, v2}, []int{2},
			func(f *versionedFleet) {
				f.sending = func(string) { f.start("d1", 0, v2); f.sending = func(string) {} }
			},
			[]try{{nil, "", "broken", "broken"}, {nil, "", "refused", "origin"}}, "v2 v2"},
		"the same, seen when the run has broken off": {[]string{v1, v1, v2}, []int{2},
			func(f *versionedFleet) { f.late = v2 },
			[]try{{nil, "", "broken", "broken"}, {nil, "", "refused", "origin"}}, "v1 v1"},
		"the same, and its end was seen before": {[]string{v1, v1, v2}, []int{2},
			func(f *versionedFleet) {
				f.late, f.noted = v2, func(s pool.Server) { f.table.SetDown(s, true) }
			},
			[]try{{nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the same, and it was heard of after its answer": {[]string{v1, v1, v2}, []int{2},
			func(f *versionedFleet) {
				f.late, f.noted = v2, func(s pool.Server) { f.table.ConfirmProcess(time.Now(), s) }
			},
			[]try{{nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the engine seems to end before it answers, and has": {[]string{v1, v1}, []int{2},
			func(f *versionedFleet) {
				f.replaced = "d1"
				f.sending = func(string) { f.table.Begin("d1")(time.Now(), pool.Broken, 0); f.sending = func(string) {} }
			},
			[]try{{nil, "", "broken", "broken"}, {nil, "", "refused", "origin"}}, "v1 v1"},
		"the engine seems to end before it answers, and has not": {[]string{v1, v1}, []int{2},
			func(f *versionedFleet) {
				f.sending = func(string) { f.table.Begin("d1")(time.Now(), pool.Broken, 0); f.sending = func(string) {} }
			},
			[]try{{nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the engine starts again while the prompt is prefilled": {[]string{v1, v2, v1}, []int{2, 0, 0},
			func(f *versionedFleet) {
				f.prefilling = func(decode string) {
					if decode == "d3" {
						f.start("d3", 2, v2)
					}
				}
			},
			[]try{{nil, "", "broken", "broken"}, {nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
		"the record can't be read": {[]string{v1, v2}, []int{2, 0, 0}, func(f *versionedFleet) { f.lost = func() bool { return true } },
			[]try{{nil, "", "broken", "broken"}, {nil, "", "refused", "origin"}}, "v1 v1"},
		"the version is not known": {[]string{"", ""}, []int{2}, nil,
			[]try{{nil, "", "broken", "broken"}, {nil, "", "refused", "origin"}}, "- -"},
		"the owner grants any engine": {slices.Concat([]string{v1}, slices.Repeat([]string{v2}, 40), []string{v1}), []int{2}, func(f *versionedFleet) {
			f.prefilling = func(decode string) {
				if s, _ := f.table.Entry(decode); s.Version != v1 {
					t.Errorf("prompt is prefilled for %s of version %s", decode, s.Version)
				}
			}
			f.grants = func(r ledger.Request) string {
				for i := range 42 {
					if id := fmt.Sprint("d", i+1); !slices.Contains(r.Excluded, id) {
						return id
					}
				}
				return ""
			}
		}, []try{{nil, "", "ok", ""}}, "v1 v1 v1 v1 v1 v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionedFleet(c.versions...)
				f.breaks = c.breaks
				if c.prepare != nil {
					c.prepare(f)
				}
				cl := &client{fleet: f}
				for i, try := range c.tries {
					if try.before != nil {
						try.before(f)
					}
					names := cl.first
					if try.names != "" {
						names = try.names
					}
					begun := time.Now()
					rec, o := cl.attempt(t, names)
					if o.Result != try.result || o.Reason != try.reason {
						t.Errorf("attempt %d: result %q, reason %q, status %d; want %q, %q", i+1, o.Result, o.Reason, rec.Code, try.result, try.reason)
					}
					if o.Result == "refused" && (rec.Code != http.StatusServiceUnavailable || o.RetryAfter <= 0 || time.Since(begun) > 0) {
						t.Errorf("attempt %d: status %d after %v, to retry after %v; want 503 at once, with a delay", i+1, rec.Code, time.Since(begun), o.RetryAfter)
					}
				}
				if held := strings.Join(cl.held, " "); held != strings.ReplaceAll(c.held, "-", "") || f.unrecorded {
					t.Errorf("events of %q, recorded too late: %v; want %q", held, f.unrecorded, c.held)
				}
			})
		})
	}
}

// Guards against a response, or a stream over its client's attempts, that holds events of
// two versions or lacks some, in any mix of runs that break off, engines that start again,
// move or leave, owners that grant any engine, records that can't be read, and clients that
// name other attempts.
func TestNoStreamHoldsTwoVersions(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(34)
	p.MinSuccessfulTests = 3000
	ps := gopter.NewProperties(p)
	wentOn := 0
	ps.Property("one version a stream", prop.ForAll(func(seed uint64) (failure string) {
		synctest.Test(t, func(t *testing.T) { failure = playVersions(t, seed, &wentOn) })
		return failure
	}, gen.UInt64()))
	ps.TestingRun(t)
	if wentOn < 100 {
		t.Errorf("%d attempts took up a stream, too few to show anything", wentOn)
	}
}

// playVersions plays a stream over its attempts, in each of which engines change.
func playVersions(t *testing.T, seed uint64, wentOn *int) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	version := func() string { return []string{"v1", "v2", "v3", ""}[min(rng.IntN(7)/2, 3)] }
	f := newVersionedFleet(version(), version(), version(), version(), version())
	change := func(string) {
		id, address := fmt.Sprint("d", 1+rng.IntN(6)), rng.IntN(6)
		switch rng.IntN(12) {
		case 0, 1:
			f.start(id, address, version())
		case 2:
			f.leave(id)
		case 3: // the entry changes without a new process, to what it never was before
			if s, ok := f.table.Entry(id); ok {
				s.Version, s.Sequence = fmt.Sprint("w", s.Sequence), s.Sequence+1
				f.table.Put(s)
			}
		}
	}
	// An engine changes once at most between the send and its first event: that it
	// changed and then left, or changed back, can't be seen.
	seen := false
	f.sending = func(string) {
		if seen = rng.IntN(2) == 0; seen {
			change("")
		}
	}
	f.answered = func(string) {
		if !seen {
			change("")
		}
	}
	f.lost = func() bool { return rng.IntN(4) == 0 }
	exact := f.grants
	f.grants = func(r ledger.Request) string {
		change("")
		if rng.IntN(2) == 0 {
			return exact(r)
		}
		return fmt.Sprint("d", 1+rng.IntN(6))
	}
	for range 30 {
		f.breaks = append(f.breaks, rng.IntN(streamEvents))
	}
	c := &client{fleet: f}
	for range 8 {
		names := c.first
		if rng.IntN(5) == 0 {
			names = []string{"", "?", "try1", "try2"}[rng.IntN(4)]
		}
		had := len(c.held)
		_, o := c.attempt(t, names)
		if had > 0 && len(c.held) > had {
			*wentOn++
		}
		change("")
		if o.Result == "ok" {
			break
		}
	}
	for _, v := range c.held {
		if v != c.held[0] {
			return fmt.Sprintf("stream of %q, sent to %v", c.held, f.sent)
		}
	}
	switch {
	case len(c.held) > streamEvents:
		return fmt.Sprintf("%d events", len(c.held))
	case f.unrecorded:
		return "an event came before its record"
	}
	return ""
}

// Guards against lease requests of taken-up streams that ask for too little memory, or
// that count as new ones.
func TestLeaseOfTakenUpStream(t *testing.T) {
	cases := map[string]struct {
		lastEventID      string
		prompt, expected int
	}{
		"three events":              {"3", 130, 10},
		"nearly all":                {"7", 170, 8},
		"an ID that is no number":   {"abc", 100, 40},
		"more than can be":          {"99999999999", 180, 8},
		"more than a number holds":  {"99999999999999999999999", 100, 40},
		"below zero":                {"-4", 100, 40},
		"only the attempt is named": {"", 100, 40},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet("v2", "v1")
			f.origins["first"] = origin.Origin{Version: "v1"}
			h := stream.New(f.table, f, ingress{}, f, newBudget(60), lines.New(io.Discard, "test"), stream.WithOrigins(f))
			received := time.Now()
			req := &proxy.Request{ID: "c", Method: http.MethodPost, Received: received, Timeout: 7 * time.Second, Prompt: 100, MaxOutput: 80, Resumes: "first", LastEventID: c.lastEventID}
			route := &config.Route{Name: "r", Kind: config.Stream, Target: time.Second, Resume: true, Attempts: 2}
			o := h.Serve(t.Context(), httptest.NewRecorder(), req, route, config.Service{Name: "s", Engine: &config.Engine{Stride: 10}}, received.Add(time.Second))
			if len(f.requests) != 1 {
				t.Fatalf("result %q, %d lease requests", o.Result, len(f.requests))
			}
			r := f.requests[0]
			if !r.Resumed || r.Version != "v1" || r.Prompt != c.prompt || r.Expected != c.expected {
				t.Errorf("lease request %+v, want a resumed one for v1, %d tokens to read and %d expected", r, c.prompt, c.expected)
			}
			if got, want := f.origins["first"], (origin.Origin{Attempt: "first", Service: "s", Version: "v1", Until: received.Add(7 * time.Second)}); c.lastEventID == "3" && got != want {
				t.Errorf("recorded %+v, want %+v", got, want)
			}
		})
	}
}

// Guards against a guess where the stream may have begun at another service, on a route
// that forbids to take streams up, and at services without a ledger.
func TestTakenUpElsewhere(t *testing.T) {
	one, two := []config.Split{{Service: "s", Weight: 1}, {Service: "u", Weight: 0}}, []config.Split{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}
	cases := map[string]struct {
		resumes string
		splits  []config.Split
		resume  bool
		plain   bool
		sent    string
		reason  string
	}{
		"one service, version is clear":     {"", one, true, false, "d2", ""},
		"two services, attempt is not said": {"", two, true, false, "", "origin"},
		"two services, attempt is known":    {"first", two, true, false, "d2", ""},
		"route forbids it, not known":       {"other", one, false, false, "", "origin"},
		"no ledger":                         {"first", one, true, true, "d2", ""},
		"no ledger, not known":              {"other", one, true, true, "", "origin"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet("v2", "v1", "v3")
			f.origins["first"], f.origins[""] = origin.Origin{Version: "v1"}, origin.Origin{Version: "v1"}
			h := stream.New(f.table, f, ingress{}, f, newBudget(60), lines.New(io.Discard, "test"), stream.WithOrigins(f))
			req := &proxy.Request{ID: "c", Method: http.MethodPost, Received: time.Now(), Prompt: 100, MaxOutput: 80, Resumes: c.resumes, LastEventID: "3"}
			route := &config.Route{Name: "r", Kind: config.Stream, Target: time.Second, Resume: c.resume, Attempts: 2, Splits: c.splits}
			service := config.Service{Name: "s"}
			if !c.plain {
				service.Engine = &config.Engine{Stride: 10}
			}
			o := h.Serve(t.Context(), httptest.NewRecorder(), req, route, service, time.Now().Add(time.Second))
			if sent := strings.Join(f.sent, " "); sent != c.sent || o.Reason != c.reason {
				t.Errorf("sent to %q, reason %q; want %q, %q", sent, o.Reason, c.sent, c.reason)
			}
		})
	}
}

// Guards against a client that comes back late because the owner doesn't know an engine of
// its stream's version yet.
func TestOwnerLacksTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testOwnerLacksTheVersion(t) })
}

func testOwnerLacksTheVersion(t *testing.T) {
	f := newVersionedFleet("v1", "v2")
	c := &client{fleet: f}
	f.breaks = []int{2, 0, 0}
	c.attempt(t, "")
	f.grants = func(ledger.Request) string { return "" }
	if _, o := c.attempt(t, c.first); o.Result != "refused" || o.RetryAfter <= 0 || o.RetryAfter > 500*time.Millisecond {
		t.Errorf("result %q, to retry after %v; want a refusal with half a second at most", o.Result, o.RetryAfter)
	}
}

// Guards against a record, with its messages and its wait, for each run of a response.
func TestOneRecordEachResponse(t *testing.T) {
	f := newVersionedFleet("v1", "v1", "v1")
	f.breaks = []int{0, 2, 2}
	c := &client{fleet: f}
	c.attempt(t, "")
	if len(f.sent) != 3 || f.records != 1 {
		t.Errorf("%d runs, %d records; want three runs and one record", len(f.sent), f.records)
	}
	if c.attempt(t, c.first); f.records != 2 {
		t.Errorf("%d records after the second response, want two", f.records)
	}
}
