package stream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against streams that end sooner, or go on twice, because their engine is silent.
func TestSilenceProperties(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 300
	ps := gopter.NewProperties(p)
	pauses := gen.SliceOfN(3*streamLength, gen.Int64Range(0, 6000))
	owner := gen.SliceOf(gen.IntRange(refuses, grantsRegardless))
	budget, header := gen.IntRange(0, 3), gen.Int64Range(0, 3000)
	plan := func(pauses []int64, owner []int, budget int, header int64, dies int) silence {
		return silence{pauses: pauses, owner: owner, budget: budget, header: time.Duration(header) * time.Millisecond, dies: dies}
	}
	ps.Property("the stream of a sound engine is whole", prop.ForAll(func(pauses []int64, owner []int, budget int, header int64) string {
		out := plan(pauses, owner, budget, header, -1).play(t)
		if out.body != events(streamLength) || out.outcome.Result != "ok" {
			return fmt.Sprintf("%+v", out)
		}
		return ""
	}, pauses, owner, budget, header))
	ps.Property("each arrival after the first one is charged once, and a run follows the end of the one before", prop.ForAll(
		func(pauses []int64, owner []int, budget int, header int64, dies int) string {
			out := plan(pauses, owner, budget, header, dies).play(t)
			if out.charged != out.extra() || out.overlaps > 0 || out.runs > 3 {
				return fmt.Sprintf("%+v", out)
			}
			return ""
		}, pauses, owner, budget, header, gen.IntRange(-1, streamLength)))
	ps.Property("the stream of an engine that dies goes on once there are budget and lease", prop.ForAll(
		func(pauses []int64, owner []int, budget, dies int) string {
			for i := range owner {
				if owner[i] == isSilent {
					owner[i] = refuses
				}
			}
			p := plan(pauses, owner, budget, 0, dies)
			for i := range dies {
				p.pauses[i] %= 1000
			}
			if out := p.play(t); out.body != events(streamLength) || out.outcome.Result != "ok" {
				return fmt.Sprintf("%+v", out)
			}
			return ""
		}, pauses, owner, gen.IntRange(1, 3), gen.IntRange(0, streamLength-1)))
	ps.Property("the stream of a sound engine is whole, whatever its replacements do", prop.ForAll(
		func(pauses []int64, owner []int, budget, refusals int) string {
			for i := range owner {
				if owner[i] == isSilent {
					owner[i] = refuses
				}
			}
			p := plan(pauses, owner, budget, 0, -1)
			p.refusals, p.refillAt = refusals, 10*time.Second
			if out := p.play(t); out.body != events(streamLength) || out.outcome.Result != "ok" || out.overlaps > 0 {
				return fmt.Sprintf("%+v", out)
			}
			return ""
		}, pauses, owner, budget, gen.IntRange(0, 5)))
	ps.TestingRun(t)
}

// Guards against silent streams that end before their deadline although the engine would
// go on, and against dead engines that hold a stream until then.
func TestSilence(t *testing.T) {
	const seconds = time.Second
	cases := map[string]struct {
		plan         silence
		status, runs int
		sent         int
		result       string
		from, to     time.Duration
	}{
		"no header for a while":                    {silence{pauses: []int64{100}, header: 20 * seconds, dies: -1, budget: 3}, 200, 1, 4, "ok", 20 * seconds, 21 * seconds},
		"no first event for a while, no budget":    {silence{pauses: []int64{20_000, 100, 100, 100}, dies: -1}, 200, 1, 4, "ok", 20 * seconds, 21 * seconds},
		"no first event, no lease":                 {silence{pauses: []int64{5000, 100, 100, 100}, dies: -1, budget: 3, owner: []int{refuses, refuses, isSilent}}, 200, 1, 4, "ok", 5 * seconds, 6 * seconds},
		"no first event, another engine":           {silence{pauses: []int64{100}, budget: 3}, 200, 2, 4, "ok", seconds, 2 * seconds},
		"the event comes before the late lease":    {silence{pauses: []int64{100, 1500, 100, 100}, dies: -1, budget: 3, owner: []int{grantsLate}}, 200, 1, 4, "ok", seconds, 2 * seconds},
		"the event crosses the grant":              {silence{pauses: []int64{100, 1500, 100, 100}, dies: -1, budget: 3, owner: []int{grantsRegardless}}, 200, 1, 4, "ok", seconds, 2 * seconds},
		"the end crosses the grant":                {silence{pauses: []int64{100, 100, 100, 1500}, dies: -1, budget: 3, owner: []int{grantsRegardless}}, 200, 1, 4, "ok", seconds, 3 * seconds},
		"dead, another engine":                     {silence{pauses: []int64{100}, dies: 2, budget: 3}, 200, 2, 4, "ok", seconds, 2 * seconds},
		"dead, the owner grants later":             {silence{pauses: []int64{100}, dies: 2, budget: 3, owner: []int{refuses, refuses}}, 200, 2, 4, "ok", 2 * seconds, 4 * seconds},
		"dead, no budget":                          {silence{pauses: []int64{100}, dies: 2}, 200, 1, 2, "broken", silentDeadline, silentDeadline + seconds},
		"dead and down, no budget":                 {silence{pauses: []int64{100}, dies: 2, down: true}, 200, 1, 2, "broken", 2 * seconds, 4 * seconds},
		"dead and down before an event, no budget": {silence{pauses: []int64{100}, down: true}, 502, 1, 0, "unknown", 2 * seconds, 4 * seconds},
		"dead and down, may not go on elsewhere":   {silence{pauses: []int64{100}, dies: 2, down: true, budget: 3, stays: true}, 200, 1, 2, "broken", silentDeadline, silentDeadline + seconds},
		"silent, may not go on elsewhere":          {silence{pauses: []int64{100, 20_000, 100, 100}, dies: -1, budget: 3, stays: true}, 200, 1, 4, "ok", 20 * seconds, 21 * seconds},
		"silent, its entry is removed":             {silence{pauses: []int64{100, 20_000, 100, 100}, dies: -1, leaves: true}, 200, 1, 4, "ok", 20 * seconds, 21 * seconds},
		"dead and down, its entry is removed":      {silence{pauses: []int64{100}, dies: 2, down: true, leaves: true}, 200, 1, 2, "broken", 2 * seconds, 8 * seconds},
		"no first event for a while, in a stop":    {silence{pauses: []int64{1500, 100, 100, 100}, dies: -1, budget: 3, stopAt: 100 * time.Millisecond, grace: 2400 * time.Millisecond}, 200, 1, 4, "ok", seconds, 2 * seconds},
		"silent, in a stop":                        {silence{pauses: []int64{100}, dies: 1, budget: 3, stopAt: 100 * time.Millisecond, grace: 2400 * time.Millisecond}, 200, 2, 4, "ok", seconds, 2 * seconds},
		"silent twice, no run is left for a third": {silence{pauses: []int64{100, 100, 100, 100, 100, 9000, 100, 100, 100, 100, 9000}, dies: 1, budget: 9}, 200, 3, 4, "ok", 11 * seconds, 13 * seconds},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := c.plan.play(t)
			if out.status != c.status || out.runs != c.runs || out.body != events(c.sent) || out.outcome.Result != c.result {
				t.Errorf("%+v; want status %d, %d runs, %d events, %s", out, c.status, c.runs, c.sent, c.result)
			}
			if out.charged != out.extra() || out.overlaps > 0 {
				t.Errorf("%d runs, %d prefills, %d charged, %d overlaps", out.runs, out.prefills, out.charged, out.overlaps)
			}
			if out.took < c.from || out.took > c.to {
				t.Errorf("took %v, want %v to %v", out.took, c.from, c.to)
			}
		})
	}
}

// Guards against streams that end, though their engine was sound, because the replacement
// of a silent run fails or is not to be had again.
func TestReplacementFails(t *testing.T) {
	const seconds = time.Second
	refused := &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errReset}
	broken := &proxy.SendError{Fault: event.FaultBroken, Err: errReset}
	cases := map[string]struct {
		plan     silence
		from, to time.Duration
	}{
		"run refused, then no lease":         {silence{dies: 1, budget: 5, refusals: 1, owner: []int{grants, refuses, refuses}}, 1 * seconds, 5 * seconds},
		"run refused, then no budget":        {silence{dies: 1, budget: 1, refusals: 1, refillAt: 8 * seconds}, 8 * seconds, 11 * seconds},
		"many runs refused":                  {silence{dies: 1, budget: 20, refusals: 6}, 1 * seconds, 9 * seconds},
		"prefill refused, then no budget":    {silence{dies: 1, budget: 2, prefillFaults: []error{nil, refused}, refusals: 1, refillAt: 8 * seconds}, 8 * seconds, 11 * seconds},
		"prefill breaks, then no lease":      {silence{dies: 1, budget: 5, prefillFaults: []error{nil, broken}, owner: []int{grants, refuses, refuses, refuses}}, 1 * seconds, 9 * seconds},
		"before an event, then no budget":    {silence{budget: 1, refusals: 1, refillAt: 8 * seconds}, 8 * seconds, 11 * seconds},
		"no budget for the rest of its time": {silence{dies: 1, budget: 1, refusals: 1}, silentDeadline, silentDeadline + seconds},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.plan.pauses = []int64{100}
			out := c.plan.play(t)
			whole := out.body == events(streamLength) && out.outcome.Result == "ok"
			if whole != (c.to < silentDeadline) || out.overlaps > 0 {
				t.Errorf("%+v", out)
			}
			if out.took < c.from || out.took > c.to {
				t.Errorf("took %v, want %v to %v", out.took, c.from, c.to)
			}
		})
	}
}

// Guards against requests that are refused, or streams that break off, because a prefill
// engine is silent for a while.
func TestSilentPrefill(t *testing.T) {
	const second = time.Second
	dead := 2 * silentDeadline
	cases := map[string]struct {
		plan     silence
		status   int
		prefills int
		charged  int
		result   string
		from, to time.Duration
	}{
		"goes on, no budget":                        {silence{prefills: []time.Duration{2 * second}, dies: -1}, 200, 1, 0, "ok", 2 * second, 3 * second},
		"goes on, no lease":                         {silence{prefills: []time.Duration{2 * second}, dies: -1, budget: 3, owner: []int{refuses, refuses, refuses}}, 200, 1, 0, "ok", 2 * second, 3 * second},
		"goes on before the lease":                  {silence{prefills: []time.Duration{1200 * time.Millisecond}, dies: -1, budget: 3, owner: []int{grantsLate}}, 200, 1, 0, "ok", second, 2 * second},
		"the cache crosses the lease":               {silence{prefills: []time.Duration{1200 * time.Millisecond}, dies: -1, budget: 3, owner: []int{grantsRegardless}}, 200, 1, 0, "ok", second, 2 * second},
		"silent, another engine":                    {silence{prefills: []time.Duration{dead}, dies: -1, budget: 3}, 200, 2, 1, "ok", 900 * time.Millisecond, 2 * second},
		"down, another engine":                      {silence{prefills: []time.Duration{dead}, dies: -1, budget: 3, down: true, owner: []int{refuses}}, 200, 2, 1, "ok", 900 * time.Millisecond, 4 * second},
		"down, no budget":                           {silence{prefills: []time.Duration{dead}, dies: -1, down: true}, 503, 1, 0, "refused", second, 4 * second},
		"silent for good, no budget":                {silence{prefills: []time.Duration{dead}, dies: -1}, 503, 1, 0, "refused", silentDeadline, silentDeadline + second},
		"in a stream that goes on elsewhere":        {silence{prefills: []time.Duration{0, 5 * second}, dies: 1, budget: 2}, 200, 2, 2, "ok", 2 * second, 3 * second},
		"a stream goes on elsewhere with one retry": {silence{prefills: []time.Duration{0, 5 * second}, dies: 1, budget: 1}, 200, 1, 1, "ok", second, 2 * second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.plan.pauses = []int64{50}
			out := c.plan.play(t)
			if out.status != c.status || out.prefills != c.prefills || out.charged != c.charged || out.outcome.Result != c.result ||
				out.status == http.StatusOK && out.body != events(streamLength) {
				t.Errorf("%+v; want status %d, %d prefills, %d charged, %s", out, c.status, c.prefills, c.charged, c.result)
			}
			if out.took < c.from || out.took > c.to {
				t.Errorf("took %v, want %v to %v", out.took, c.from, c.to)
			}
		})
	}
}

// Guards against prefills beyond the first one that the retry budget is not charged for:
// engines count them as arrivals, as they do the run that follows.
func TestFurtherPrefillIsCharged(t *testing.T) {
	out := silence{pauses: []int64{100}, dies: 1, budget: 5}.play(t)
	if out.runs != 2 || out.prefills != 2 || out.charged != 2 {
		t.Errorf("%d charged for %d runs and %d prefills, want 2 for 2 and 2", out.charged, out.runs, out.prefills)
	}
}

// alone connects one daemon to no other.
type alone struct{ netip.AddrPort }

func (alone) Send(dgram.Kind, any, ...netip.AddrPort) {}

func (alone) Handle(dgram.Kind, dgram.Handler) {}

func (alone) Decode([]byte, any) bool { return false }

func (a alone) Alive() []gossip.LiveMember {
	return []gossip.LiveMember{{Member: gossip.Member{Addr: a.AddrPort, Incarnation: 1, CPUShare: 40}, Mature: true}}
}

func (alone) Known() int { return 1 }

func (alone) Usage(context.Context, pool.Server) (ledger.Usage, error) { return ledger.Usage{}, nil }

func (alone) Order(context.Context, pool.Server, lease.Order) error { return nil }

// lateManager returns grants late, even if the request was withdrawn meanwhile.
type lateManager struct {
	*lease.Manager
	granted int
}

func (m *lateManager) Acquire(ctx context.Context, a ledger.Request) (*lease.Lease, error) {
	l, err := m.Manager.Acquire(context.WithoutCancel(ctx), a)
	if err == nil {
		m.granted++
	}
	time.Sleep(lateGrant)
	return l, err
}

// Guards against slots that stay taken by leases which came too late for a silent stream.
func TestLateGrantIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers, self := table(), alone{netip.MustParseAddrPort("10.0.0.9:7000")}
		m := &lateManager{Manager: lease.Start(gossip.Member{Addr: self.AddrPort, Incarnation: 1}, "", self, self, servers, self, hclog.NewNullLogger())}
		defer m.Close()
		m.SetServices(map[string]lease.Capacity{"s": {Slots: 8, Tokens: 100_000}})
		time.Sleep(time.Second)
		w := &silentEngines{silence: silence{pauses: []int64{100, 1500, 100, 1500}, dies: -1}, table: servers, fakeBackends: fakeBackends{freed: make(chan string, 8)}}
		rec, o := handle(t, stream.New(servers, w, ingress{}, m, newBudget(60), lines.New(io.Discard, "test")), true, 20*time.Second)
		if rec.Body.String() != events(streamLength) || o.Result != "ok" || len(w.sends) != 1 || m.granted != 3 {
			t.Fatalf("body %q after %d runs and %d grants; want the whole stream after one and 3", rec.Body, len(w.sends), m.granted)
		}
		time.Sleep(2 * time.Second)
		if runs := m.Loads()["s"].Runs; runs != 0 {
			t.Errorf("%d runs at the owner after the end of the stream", runs)
		}
	})
}

// slowWriter is a client that takes a while to read the second event.
type slowWriter struct {
	*httptest.ResponseRecorder
	events int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.events++; w.events == 2 {
		time.Sleep(3 * time.Second)
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against slots that stay taken while a slow client reads the event that ended a
// search. It runs on real time: a goroutine that waits for a mutex stops that of synctest.
func TestSlowClientHoldsNoGrant(t *testing.T) {
	servers, self := table(), alone{netip.MustParseAddrPort("10.0.0.9:7000")}
	m := lease.Start(gossip.Member{Addr: self.AddrPort, Incarnation: 1}, "", self, self, servers, self, hclog.NewNullLogger())
	defer m.Close()
	m.SetServices(map[string]lease.Capacity{"s": {Slots: 8, Tokens: 100_000}})
	time.Sleep(time.Second)
	late := &lateManager{Manager: m}
	w := &silentEngines{silence: silence{pauses: []int64{100, 1500, 100, 100}, dies: -1}, table: servers, fakeBackends: fakeBackends{freed: make(chan string, 8)}}
	h := stream.New(servers, w, ingress{}, late, newBudget(60), lines.New(io.Discard, "test"))
	route := &config.Route{Name: "r", Kind: config.Stream, Gap: 300 * time.Millisecond, Resume: true, Attempts: 2, Model: true}
	service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Serve(t.Context(), &slowWriter{ResponseRecorder: httptest.NewRecorder()},
			&proxy.Request{ID: "c", Received: time.Now(), Prompt: 100, MaxOutput: 80}, route, service, time.Now().Add(time.Minute))
	}()
	time.Sleep(3 * time.Second) // the second event is being read
	runs := m.Loads()["s"].Runs
	<-done
	if late.granted != 2 || runs != 1 {
		t.Errorf("%d runs at the owner after %d grants, want one after 2", runs, late.granted)
	}
}
