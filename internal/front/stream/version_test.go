package stream_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// setVersions sets the software versions of engines by their IDs.
func setVersions(servers *pool.Table, versions map[string]string) {
	for id, version := range versions {
		if s, ok := servers.Get(time.Now(), id); ok {
			s.Version, s.Sequence = version, s.Sequence+1
			servers.Put(s)
		}
	}
}

// Guards against a response that is joined from two software versions, because the run
// that broke off goes on at any engine.
func TestMovedStreamStaysAtItsVersion(t *testing.T) {
	cases := map[string]struct {
		versions map[string]string
		second   run
		// sent are the engines that get the request, one after the other.
		sent   []string
		body   string
		result string
	}{
		"another engine of the version": {map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}, run{status: 200, from: 3, to: 4},
			[]string{"d1", "d3"}, events(4), "ok"},
		"no other engine of the version": {map[string]string{"d1": "v1", "d2": "v2", "d3": "v2", "d4": "v3"}, run{status: 200, from: 3, to: 4},
			[]string{"d1", "d1"}, events(4), "ok"},
		"the version of the others is not known": {map[string]string{"d1": "v1", "d2": "", "d3": "", "d4": ""}, run{status: 200, from: 3, to: 4},
			[]string{"d1", "d1"}, events(4), "ok"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sent []string
			w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, c.second}, freed: make(chan string, 8)}
			w.sending = func(to string) { sent = append(sent, to) }
			servers := table()
			setVersions(servers, c.versions)
			rec, o := handle(t, newHandler(servers, w), true, 3*time.Second)
			if rec.Body.String() != c.body || o.Result != c.result || !slices.Equal(sent, c.sent) {
				t.Errorf("sent to %v, body %q, result %q (%s); want %v, %q, %q", sent, rec.Body, o.Result, o.Reason, c.sent, c.body, c.result)
			}
		})
	}
}

// Guards against a stream that goes on at an engine which started again under its ID with
// another version, while this daemon has its old entry.
func TestMovedStreamAvoidsReplacedProcess(t *testing.T) {
	var sent []string
	w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 2, breaks: true}, {status: 200, from: 3, to: 4}}, freed: make(chan string, 8), replaced: []string{"d1", "d2"}}
	w.sending = func(to string) { sent = append(sent, to) }
	rec, o := handle(t, newHandler(table(), w), true, 3*time.Second)
	if rec.Body.String() != events(4) || o.Result != "ok" || !slices.Equal(sent, []string{"d1", "d3"}) {
		t.Errorf("sent to %v, body %q, result %q (%s); want d1, then d3", sent, rec.Body, o.Result, o.Reason)
	}
}

// Guards against a stream that begins, and is recorded, at the version of an entry whose
// engine started again under its ID (review/1), and against a question to the engine for
// each new stream.
func TestNewStreamAvoidsReplacedProcess(t *testing.T) {
	cases := map[string]struct {
		doubt       func(*pool.Table, pool.Server)
		replaced    []string
		sent, asked []string
	}{
		"no reason to doubt": {func(*pool.Table, pool.Server) {}, nil, []string{"d1"}, nil},
		"its connections failed, it was replaced": {func(t *pool.Table, s pool.Server) { t.SetDown(s, true); t.SetDown(s, false) },
			[]string{"d1"}, []string{"d2"}, []string{"d1"}},
		"its connections failed, it is the same": {func(t *pool.Table, s pool.Server) { t.SetDown(s, true); t.SetDown(s, false) },
			nil, []string{"d1"}, []string{"d1"}},
		"a run broke off, it was replaced": {func(t *pool.Table, s pool.Server) { t.Begin(s.ID)(time.Now(), pool.Broken, 0) },
			[]string{"d1"}, []string{"d2"}, []string{"d1"}},
		"it was silent, it was replaced": {func(t *pool.Table, s pool.Server) { t.RecordSilence(time.Now(), s, pool.TimedOut) },
			[]string{"d1"}, []string{"d2"}, []string{"d1"}},
		"no news of the store, it was replaced": {func(t *pool.Table, _ pool.Server) { t.MarkCurrent(time.Now().Add(-2 * time.Second)) },
			[]string{"d1"}, []string{"d2"}, []string{"d1", "d2"}},
		"the store is back, it was replaced": {func(t *pool.Table, _ pool.Server) {
			t.MarkCurrent(time.Now().Add(-2 * time.Second))
			t.MarkCurrent(time.Now())
		}, []string{"d1"}, []string{"d2"}, []string{"d1", "d2"}},
		"confirmed since": {func(t *pool.Table, s pool.Server) {
			t.SetDown(s, true)
			t.SetDown(s, false)
			time.Sleep(time.Millisecond)
			t.ConfirmProcess(time.Now(), s)
		}, nil, []string{"d1"}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sent []string
			w := &fakeBackends{runs: []run{{status: 200, from: 1, to: 4}}, freed: make(chan string, 8), replaced: c.replaced}
			w.sending = func(to string) { sent = append(sent, to) }
			servers := table()
			s, _ := servers.Entry("d1")
			c.doubt(servers, s)
			rec, o := handle(t, newHandler(servers, w), true, 3*time.Second)
			if rec.Body.String() != events(4) || !slices.Equal(sent, c.sent) || !slices.Equal(w.asked, c.asked) {
				t.Errorf("sent to %v, asked %v, result %q; want %v, %v", sent, w.asked, o.Result, c.sent, c.asked)
			}
		})
	}
}

// Guards against a stream that a client takes up and that goes on at any version, when
// nothing is known of the attempt that began it.
func TestUnknownStreamIsNotGuessed(t *testing.T) {
	w := &fakeBackends{runs: []run{{status: 200, from: 3, to: 4}}, freed: make(chan string, 8)}
	servers := table()
	setVersions(servers, map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"})
	h := newHandler(servers, w)
	route := &config.Route{Name: "r", Kind: config.Stream, Timeout: time.Second, Target: 900 * time.Millisecond,
		Gap: 300 * time.Millisecond, Resume: true, Attempts: 2, Model: true}
	service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
	req := &proxy.Request{ID: "second", Method: http.MethodPost, Received: time.Now(), Prompt: 100, MaxOutput: 80, LastEventID: "2", Resumes: "first"}
	rec := httptest.NewRecorder()
	h.Serve(t.Context(), rec, req, route, service, time.Now().Add(time.Second))
	if rec.Code != http.StatusServiceUnavailable || len(w.sends) > 0 {
		t.Errorf("status %d after %d attempts, want 503 and none", rec.Code, len(w.sends))
	}
}
