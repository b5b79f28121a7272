package stream_test

import (
	"context"
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
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
)

// streamEvents is the number of events of a whole stream.
const streamEvents = 6

// versionedFleet is a fake of engines that write their version into their events, of the
// owner of the service and of the records of origins.
type versionedFleet struct {
	citronrock.Backends
	table    *pool.Table
	origins  map[string]origin.Origin
	requests []ledger.Request
	// sent are the engines that got the request.
	sent []string
	// breaks is the number of events after which the next runs break off, 0 for before
	// the first one. Runs beyond the list are whole.
	breaks []int
	// sending and answered are called while a run starts, before and after the process
	// that serves it is found.
	sending, answered func(id string)
	// prefilling is called in the prefill of a prompt, nil if there is none. granted
	// is the last engine that was granted.
	prefilling func(decode string)
	granted    string
	// grants chooses an engine; the default is the first of the version.
	grants func(ledger.Request) string
	// records counts the calls of Record.
	records int
	// lost lets Find fail.
	lost func() bool
	// late is the version whose entry under the same ID comes when the next run breaks off.
	late string
	// noted is called before that, nil for nothing.
	noted func(pool.Server)
	// opening is called before the first event of the next run, after its header; nil for
	// nothing.
	opening func(pool.Server)
	// during is called after the first event of the next run, nil for nothing.
	during func(pool.Server)
	// replaced is the engine that started again without a new entry yet.
	replaced string
	// unrecorded is set when an event came before its record.
	unrecorded bool
	starts     time.Time
}

// Usage confirms each engine but a replaced one.
func (f *versionedFleet) Usage(_ context.Context, s pool.Server) (ledger.Usage, error) {
	if s.ID == f.replaced {
		return ledger.Usage{}, &proxy.SendError{Fault: event.FaultRefused, Misdirected: true, Err: errReset}
	}
	return ledger.Usage{}, nil
}

func newVersionedFleet(versions ...string) *versionedFleet {
	f := &versionedFleet{table: pool.New(), origins: map[string]origin.Origin{}, starts: time.Now(),
		sending: func(string) {}, answered: func(string) {}, lost: func() bool { return false }}
	f.grants = func(r ledger.Request) string {
		for _, s := range f.table.Usable(time.Now(), "s") {
			if (r.Version == "" || s.Version == r.Version) && !slices.Contains(r.Excluded, s.ID) {
				return s.ID
			}
		}
		return ""
	}
	for i, v := range versions {
		f.start(fmt.Sprint("d", i+1), i, v)
	}
	return f
}

// start starts a new process under an engine's ID and at an address.
func (f *versionedFleet) start(id string, address int, version string) {
	f.starts = f.starts.Add(time.Second)
	f.table.Put(pool.Server{ID: id, Service: "s", Stage: pool.Decode, Version: version, Sequence: 1, StartedAt: f.starts,
		Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+address))})
}

func (f *versionedFleet) leave(id string) {
	f.table.Remove(time.Now(), id, pool.Revision{Number: 1}, false)
}

func (f *versionedFleet) Acquire(_ context.Context, r ledger.Request) (*lease.Lease, error) {
	f.requests = append(f.requests, r)
	if f.granted = f.grants(r); f.granted != "" {
		l := lease.Unmanaged(f.granted)
		if f.prefilling != nil && !r.Prefilled {
			f.table.Put(pool.Server{ID: "p1", Service: "s", Stage: pool.Prefill, Sequence: 1, StartedAt: f.starts})
			l.Prefill = "p1"
		}
		return l, nil
	}
	return nil, &lease.RefusedError{Reply: ledger.Reply{Status: ledger.Refused, Reason: ledger.ReasonNoEngine, RetryAfter: 4 * time.Second}}
}

func (f *versionedFleet) Prefill(_ context.Context, s pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Cache, error) {
	f.prefilling(f.granted)
	return &proxy.Cache{Source: s.Addr, Tokens: 100, Created: time.Now()}, nil
}

func (f *versionedFleet) Free(context.Context, *proxy.Cache) error { return nil }

func (f *versionedFleet) Send(_ context.Context, s pool.Server, _ *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	f.sent = append(f.sent, s.ID)
	f.sending(s.ID)
	now, ok := f.table.Entry(s.ID)
	if !ok {
		return nil, &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	}
	f.answered(s.ID)
	last, end := streamEvents, io.Reader(strings.NewReader(""))
	first := 0
	_, _ = fmt.Sscan(o.LastEventID, &first)
	if n := len(f.sent) - 1; n < len(f.breaks) {
		last, end = min(first+f.breaks[n], streamEvents), broken{}
		if version := f.late; version != "" {
			f.late, end = "", lateEntry{func() {
				if f.noted != nil {
					time.Sleep(10 * time.Millisecond)
					f.noted(s)
				}
				f.start(s.ID, int(s.Addr.Port())-8000, version)
			}}
		}
	}
	var body strings.Builder
	for i := first + 1; i <= last; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i, now.Version)
	}
	events := io.Reader(strings.NewReader(body.String()))
	if opening := f.opening; opening != nil {
		f.opening = nil
		events = io.MultiReader(hook(func() { opening(s) }), events)
	}
	if during := f.during; during != nil {
		f.during = nil
		first := strings.Index(body.String(), "\n\n") + 2
		events = io.MultiReader(strings.NewReader(body.String()[:first]), hook(func() { during(s) }), strings.NewReader(body.String()[first:]))
	}
	return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.MultiReader(events, end), Close: func() {}}, nil
}

// hook is an empty reader that calls a function.
type hook func()

func (h hook) Read([]byte) (int, error) {
	h()
	return 0, io.EOF
}

// lateEntry calls a function when a run breaks off.
type lateEntry struct{ before func() }

func (l lateEntry) Read([]byte) (int, error) {
	l.before()
	return 0, errReset
}

func (f *versionedFleet) Record(_ context.Context, o origin.Origin) {
	f.origins[o.Attempt] = o
	f.records++
}

func (f *versionedFleet) Find(_ context.Context, _, attempt string) (string, bool) {
	o := f.origins[attempt]
	return o.Version, o.Version != "" && !f.lost()
}

// client is a client's stream over its attempts.
type client struct {
	fleet *versionedFleet
	// held are the versions of the events that it has, in their order.
	held []string
	// first is the attempt that brought the first event.
	first    string
	attempts int
}

// attempt sends one attempt that names the one that brought the first event.
func (c *client) attempt(t *testing.T, resumes string) (*httptest.ResponseRecorder, lines.Outcome) {
	t.Helper()
	f := c.fleet
	c.attempts++
	req := &proxy.Request{ID: fmt.Sprint("try", c.attempts), Method: http.MethodPost, Received: time.Now(), Timeout: 8 * time.Second, Prompt: 100, MaxOutput: 80, Resumes: resumes}
	if len(c.held) > 0 {
		req.LastEventID = fmt.Sprint(len(c.held))
	}
	route := &config.Route{Name: "r", Kind: config.Stream, Timeout: time.Second, Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond,
		Resume: true, Attempts: 3, Model: true, Splits: []config.Split{{Service: "s", Weight: 1}}}
	service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
	h := stream.New(f.table, f, ingress{}, f, newBudget(60), lines.New(io.Discard, "test"), stream.WithOrigins(f))
	rec := httptest.NewRecorder()
	out := recordedWriter{rec, func() {
		_, here := f.origins[req.ID]
		_, there := f.origins[resumes]
		f.unrecorded = f.unrecorded || !here && !there
	}}
	o := h.Serve(t.Context(), out, req, route, service, time.Now().Add(time.Second))
	for line := range strings.Lines(rec.Body.String()) {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			if len(c.held) == 0 {
				c.first = req.ID
			}
			c.held = append(c.held, strings.TrimSpace(v))
		}
	}
	return rec, o
}

// recordedWriter calls a function before each write.
type recordedWriter struct {
	*httptest.ResponseRecorder
	before func()
}

func (w recordedWriter) Write(b []byte) (int, error) {
	w.before()
	return w.ResponseRecorder.Write(b)
}
