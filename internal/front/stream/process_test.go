package stream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against a stream that is recorded at the version of an entry because a connection
// of its engine fails after the header: that says nothing of the process that sent it.
func TestDoubtAfterTheHeader(t *testing.T) {
	cases := map[string]struct {
		replaced string
		doubt    func(*pool.Table, pool.Server)
		want     string
	}{
		"a connection fails, it is the same":     {"", func(t *pool.Table, s pool.Server) { t.SetDown(s, true) }, "v1"},
		"a connection fails, it was replaced":    {"d1", func(t *pool.Table, s pool.Server) { t.SetDown(s, true) }, ""},
		"a run breaks off, it was replaced":      {"d1", func(t *pool.Table, s pool.Server) { t.Begin(s.ID)(time.Now(), pool.Broken, 0) }, ""},
		"it reported its start after the header": {"d1", func(t *pool.Table, s pool.Server) { t.ConfirmProcess(time.Now(), s) }, "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionedFleet("v1")
				f.opening = func(s pool.Server) {
					time.Sleep(time.Millisecond)
					f.replaced = c.replaced
					c.doubt(f.table, s)
				}
				(&client{fleet: f}).attempt(t, "")
				if got := f.origins["try1"].Version; got != c.want {
					t.Errorf("recorded at %q, want %q", got, c.want)
				}
			})
		})
	}
}

// Guards against a record that stays at the version of an entry although a later process,
// known only while the stream runs, brings its events: the client may leave this daemon at
// any time.
func TestRecordIsTakenBack(t *testing.T) {
	cases := map[string]struct {
		during func(*versionedFleet, pool.Server)
		want   string
	}{
		"nothing happens":      {func(*versionedFleet, pool.Server) {}, "v1"},
		"the entry is renewed": {func(f *versionedFleet, s pool.Server) { s.Sequence++; f.table.Put(s) }, "v1"},
		"another version":      {func(f *versionedFleet, s pool.Server) { f.start(s.ID, 0, "v2") }, ""},
		"the same version":     {func(f *versionedFleet, s pool.Server) { f.start(s.ID, 0, "v1") }, "v1"},
		"another version after the end of the process": {func(f *versionedFleet, s pool.Server) {
			time.Sleep(time.Millisecond)
			f.table.SetDown(s, true)
			f.start(s.ID, 0, "v2")
		}, "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionedFleet("v1")
				f.during = func(s pool.Server) { c.during(f, s) }
				_, o := (&client{fleet: f}).attempt(t, "")
				if got := f.origins["try1"]; o.Result != "ok" || got.Version != c.want {
					t.Errorf("result %q, recorded at %q; want %q", o.Result, got.Version, c.want)
				}
			})
		})
	}
}

// reporting is an engine that takes 20 ms to say which process it is.
type reporting struct {
	citronrock.Backends
	questions, runs atomic.Int64
	// replaced is set once another process has the engine's ID, late counts the runs there.
	replaced atomic.Bool
	late     atomic.Int64
}

func (r *reporting) Usage(context.Context, pool.Server) (ledger.Usage, error) {
	r.questions.Add(1)
	replaced := r.replaced.Load()
	time.Sleep(20 * time.Millisecond)
	if replaced {
		return ledger.Usage{}, &proxy.SendError{Fault: event.FaultRefused, Misdirected: true, Err: errReset}
	}
	return ledger.Usage{}, nil
}

func (r *reporting) Acquire(context.Context, ledger.Request) (*lease.Lease, error) {
	return lease.Unmanaged("d1"), nil
}

func (r *reporting) Send(context.Context, pool.Server, *proxy.Request, proxy.Options) (*proxy.Response, error) {
	r.runs.Add(1)
	if r.replaced.Load() {
		r.late.Add(1)
	}
	time.Sleep(time.Second)
	return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader(events(4)), Close: func() {}}, nil
}

// handler returns a function that serves one new stream at the engine.
func (r *reporting) handler(t *testing.T, servers *pool.Table) func() {
	h := stream.New(servers, r, ingress{}, r, newBudget(60), lines.New(io.Discard, "test"))
	route := &config.Route{Name: "r", Kind: config.Stream, Timeout: 10 * time.Second, Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond, Attempts: 2}
	service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
	return func() {
		req := &proxy.Request{ID: "a", Method: http.MethodPost, Received: time.Now(), Prompt: 100, MaxOutput: 80}
		h.Serve(t.Context(), httptest.NewRecorder(), req, route, service, time.Now().Add(10*time.Second))
	}
}

// Guards against a stream that relies on an answer from before the engine was replaced.
func TestOldAnswerDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers, engine := table(), new(reporting)
		s, _ := servers.Entry("d1")
		servers.SetDown(s, true)
		time.Sleep(time.Millisecond)
		begin := engine.handler(t, servers)
		var all sync.WaitGroup
		all.Go(begin)
		time.Sleep(10 * time.Millisecond)
		engine.replaced.Store(true)
		servers.Begin("d1")(time.Now(), pool.Broken, 0)
		time.Sleep(time.Millisecond)
		all.Go(begin)
		all.Wait()
		// The first stream is sent before its question shows the doubt, and is not recorded.
		if engine.late.Load() > 1 || engine.questions.Load() < 2 {
			t.Errorf("%d runs at the other process after %d questions", engine.late.Load(), engine.questions.Load())
		}
	})
}

// Guards against a question to the engine for each new stream: in 30 s without trouble none
// is asked, after a failed connection one, which all streams share, and without news of the
// store one each 1.2 s.
func TestQuestionsAreShared(t *testing.T) {
	cases := map[string]struct {
		prepare func(*pool.Table, pool.Server)
		most    int64
	}{
		"no trouble":           {func(*pool.Table, pool.Server) {}, 0},
		"a failed connection":  {func(t *pool.Table, s pool.Server) { t.SetDown(s, true); t.SetDown(s, false) }, 1},
		"no news of the store": {func(t *pool.Table, _ pool.Server) { t.MarkCurrent(time.Now().Add(-time.Minute)) }, 25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers, engine := table(), new(reporting)
				s, _ := servers.Entry("d1")
				c.prepare(servers, s)
				time.Sleep(time.Millisecond)
				begin := engine.handler(t, servers)
				var all sync.WaitGroup
				for range 600 { // ten together, for 30 s
					for range 10 {
						all.Go(begin)
					}
					time.Sleep(50 * time.Millisecond)
				}
				all.Wait()
				if engine.runs.Load() != 6000 || engine.questions.Load() > c.most || c.most > 0 && engine.questions.Load() == 0 {
					t.Errorf("%d questions for %d streams, want %d at most for 6000", engine.questions.Load(), engine.runs.Load(), c.most)
				}
			})
		})
	}
}
