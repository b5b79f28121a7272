package stream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// What fails while a fleet is in trouble.
const (
	noEngine = iota
	noRoom
	noOwner
	decodeUnsent
	decodeFull
	prefillUnsent
	engineLeft
	// queued is an owner that queues requests for as long as they may wait.
	queued
	faults
)

// troubledFleet fails in any order from the first break of a stream until soundAt.
type troubledFleet struct {
	*versionedFleet
	rng     *rand.Rand
	faults  []int
	soundAt time.Time
	// asked are the lease requests.
	asked []ledger.Request
}

// fault returns what fails now, faults for nothing.
func (f *troubledFleet) fault(kinds ...int) bool {
	if !time.Now().Before(f.soundAt) || len(f.breaks) > 0 && len(f.sent) == 0 {
		return false
	}
	kind := f.faults[f.rng.IntN(len(f.faults))]
	for _, k := range kinds {
		if k == kind {
			return true
		}
	}
	return false
}

func (f *troubledFleet) Acquire(ctx context.Context, r ledger.Request) (*lease.Lease, error) {
	f.asked = append(f.asked, r)
	refuse := func(reason string) (*lease.Lease, error) {
		return nil, &lease.RefusedError{Reply: ledger.Reply{Status: ledger.Refused, Reason: reason, RetryAfter: time.Second}}
	}
	switch {
	case f.fault(noEngine):
		return refuse(ledger.ReasonNoEngine)
	case f.fault(noRoom):
		return refuse(ledger.ReasonLate)
	case f.fault(noOwner):
		return nil, errors.New("no owner")
	case f.fault(queued):
		time.Sleep(min(r.RetryMaxWait, time.Until(f.soundAt)))
		if time.Now().Before(f.soundAt) {
			return refuse(ledger.ReasonMaxWait)
		}
	}
	l, err := f.versionedFleet.Acquire(ctx, r)
	if err == nil && l.Decode == "d1" && f.fault(engineLeft) {
		s, _ := f.table.Entry(l.Decode)
		s.Draining, s.Sequence = true, s.Sequence+1
		f.table.Put(s)
		s.Draining, s.StartedAt = false, s.StartedAt.Add(time.Hour)
		time.AfterFunc(time.Until(f.soundAt), func() { f.table.Put(s) })
	}
	return l, err
}

func (f *troubledFleet) Prefill(ctx context.Context, s pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Cache, error) {
	if f.fault(prefillUnsent) {
		return nil, &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	}
	return f.versionedFleet.Prefill(ctx, s, r, o)
}

func (f *troubledFleet) Send(ctx context.Context, s pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	switch {
	case f.fault(decodeUnsent):
		return nil, &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	case f.fault(decodeFull):
		return nil, &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errReset}
	}
	return f.versionedFleet.Send(ctx, s, r, o)
}

// trouble is a stream that meets a fleet in trouble.
type trouble struct {
	faults []int
	// lasts is the time until the fleet is sound again.
	lasts, deadline time.Duration
	// early is set if the first run breaks off before its first event.
	early bool
	// takenUp is set for a stream that its client takes up, new for one that has not begun.
	takenUp, new bool
	// budget is the retries that are left until the fleet is sound.
	budget int
	// leaves is when the client leaves, zero for never.
	leaves time.Duration
	// first is the time before the events of the first run, and gone tells whether all
	// engines of the version leave in it.
	first time.Duration
	gone  bool
	seed  uint64
}

func (p trouble) play(t *testing.T) (rec *httptest.ResponseRecorder, o lines.Outcome, took time.Duration, requests []ledger.Request) {
	synctest.Test(t, func(t *testing.T) {
		f := &troubledFleet{versionedFleet: newVersionedFleet("v1", "v1", "v2"), rng: rand.New(rand.NewPCG(p.seed, 1)), faults: p.faults}
		f.soundAt = time.Now().Add(p.lasts)
		f.prefilling = func(string) {}
		f.sending = func(string) {
			time.Sleep(p.first)
			for _, s := range f.table.Usable(time.Now(), "s") {
				if s.Draining = p.gone; p.gone && s.Version == "v1" {
					f.table.Put(s)
				}
			}
			p.first = 0
		}
		f.origins["first"] = origin.Origin{Version: "v1"}
		budget := newBudget(p.budget)
		time.AfterFunc(p.lasts, func() { refill(budget, 10) })
		req := &proxy.Request{ID: "c", Method: http.MethodPost, Received: time.Now(), Prompt: 100, MaxOutput: 80}
		switch {
		case p.takenUp:
			req.Resumes, req.LastEventID = "first", "2"
		case p.early:
			f.breaks = []int{0}
		case !p.new:
			f.breaks = []int{2}
		}
		route := &config.Route{Name: "r", Kind: config.Stream, Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond,
			Resume: true, Attempts: 3, Model: true, Splits: []config.Split{{Service: "s", Weight: 1}}}
		service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
		h := stream.New(f.table, f, ingress{}, f, budget, lines.New(io.Discard, "test"), stream.WithOrigins(f))
		ctx, cancel := context.WithTimeout(t.Context(), p.deadline)
		defer cancel()
		if p.leaves > 0 {
			time.AfterFunc(p.leaves, cancel)
		}
		rec = httptest.NewRecorder()
		o = h.Serve(ctx, rec, req, route, service, time.Now().Add(p.deadline))
		took, requests = time.Since(req.Received), f.asked
		time.Sleep(time.Minute) // timers of the case
		synctest.Wait()
	})
	return rec, o, took, requests
}

// patience is the time for which the clients of the cases wait for an event, less that from
// a grant to the first event.
const patience = 3300 * time.Millisecond

// Guards against a stream that has begun and is broken off or refused, with time left, for
// what is there again in time: leases used up, engines full, gone or leaving, no owner, an
// empty retry budget.
func TestBegunStreamWaits(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(40)
	p.MinSuccessfulTests = 1000
	ps := gopter.NewProperties(p)
	kinds := gen.SliceOfN(3, gen.IntRange(0, faults-1))
	ps.Property("a stream whose run broke, also before an event, is whole if the trouble ends in time, and ends with its client's patience if not", prop.ForAll(
		func(kinds []int, ms int64, budget int, seed uint64) string {
			lasts := time.Duration(ms) * time.Millisecond
			rec, o, took, asked := trouble{faults: kinds, lasts: lasts, deadline: 11 * time.Second, early: seed%3 == 0, budget: budget, seed: seed}.play(t)
			if lasts < patience && o.Result != "ok" || o.Result != "ok" && (took < patience || o.NotMoved == "") || took > patience+100*time.Millisecond || len(asked) > 40 {
				return fmt.Sprintf("%+v after %v and %d leases, trouble for %v: %q", o, took, len(asked), lasts, rec.Body)
			}
			return ""
		}, kinds, gen.Int64Range(0, 5000), gen.IntRange(0, 3), gen.UInt64()))
	ps.Property("so is one that is taken up, unless the owner says when there is room", prop.ForAll(
		func(kinds []int, ms int64, budget int, seed uint64) string {
			for i := range kinds {
				if kinds[i] == noRoom {
					kinds[i] = noEngine
				}
			}
			lasts := time.Duration(ms) * time.Millisecond
			rec, o, took, _ := trouble{faults: kinds, lasts: lasts, deadline: 11 * time.Second, takenUp: true, budget: budget, seed: seed}.play(t)
			if lasts < patience && o.Result != "ok" || o.Result != "ok" && (took < patience || o.RetryAfter <= 0) || took > patience+100*time.Millisecond {
				return fmt.Sprintf("%+v after %v, trouble for %v: %q", o, took, lasts, rec.Body)
			}
			return ""
		}, kinds, gen.Int64Range(0, 5000), gen.IntRange(0, 3), gen.UInt64()))
	ps.Property("an owner queues a stream for no longer than its client waits", prop.ForAll(func(seed uint64) bool {
		_, _, took, _ := trouble{faults: []int{noRoom, noRoom, noRoom, queued}, lasts: 8 * time.Second, deadline: 11 * time.Second, budget: 3, seed: seed}.play(t)
		return took < patience+100*time.Millisecond
	}, gen.UInt64()))
	ps.TestingRun(t)
}

// Guards against a stream that ends at once because its last event came long after the
// request, and against an owner that may queue it for less than its client waits.
func TestPatienceBeginsAtTheLastEvent(t *testing.T) {
	const deadline, first = 20 * time.Second, 8 * time.Second
	_, o, _, requests := trouble{faults: []int{noRoom, noEngine}, lasts: first + 3*time.Second, deadline: deadline, budget: 3, first: first}.play(t)
	if o.Result != "ok" {
		t.Errorf("%+v, want a whole stream", o)
	}
	waits := 0
	for _, r := range requests {
		if r.Resumed {
			waits++
			// The time from a grant to the first event grew with the first run.
			if r.RetryMaxWait < 0 || r.RetryMaxWait > patience {
				t.Errorf("lease request may wait for %v, want what is left of the client's time", r.RetryMaxWait)
			}
		}
	}
	if first := requests[1].RetryMaxWait; waits < 2 || first < 2*time.Second {
		t.Errorf("%d lease requests of the stream, the first may wait for %v; want the time that its client waits", waits, first)
	}
}

// silentTroubled falls silent in the run of a stream's last lease.
type silentTroubled struct {
	*versionedFleet
	sends int
}

func (f *silentTroubled) Send(ctx context.Context, s pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	switch f.sends++; f.sends {
	case 2, 3:
		return nil, &proxy.SendError{Fault: event.FaultUnsent, Err: errReset}
	case 4:
		f.sent = append(f.sent, s.ID)
		return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: hung{ctx}, Close: func() {}}, nil
	}
	return f.versionedFleet.Send(ctx, s, r, o)
}

// Guards against a stream that ends at its deadline because the engine of its fourth lease
// is silent and not watched.
func TestSilentEngineOfTheLastLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentTroubled{versionedFleet: newVersionedFleet("v1", "v1", "v1", "v1", "v1")}
		f.breaks = []int{2}
		route := &config.Route{Name: "r", Kind: config.Stream, Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond, Resume: true, Attempts: 3, Model: true}
		service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
		h := stream.New(f.table, f, ingress{}, f, newBudget(60), lines.New(io.Discard, "test"))
		const deadline = 11 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		rec, start := httptest.NewRecorder(), time.Now()
		o := h.Serve(ctx, rec, &proxy.Request{ID: "c", Method: http.MethodPost, Received: start, Prompt: 100, MaxOutput: 80}, route, service, start.Add(deadline))
		if took := time.Since(start); o.Result != "ok" || took > 1300*time.Millisecond {
			t.Errorf("%+v after %v, want a whole stream within 1.3 s", o, took)
		}
	})
}

// Guards against waiting where it can't help: a client that left, a time limit that is near,
// a request that has not begun.
func TestWaitEnds(t *testing.T) {
	cases := map[string]struct {
		plan    trouble
		result  string
		unmoved string
		took    time.Duration
	}{
		"the client leaves":   {trouble{faults: []int{noEngine}, deadline: 11 * time.Second, budget: 3, leaves: time.Second}, "gone", "", time.Second},
		"the deadline":        {trouble{faults: []int{noEngine}, deadline: 2 * time.Second, budget: 3}, "broken", "deadline", 1700 * time.Millisecond},
		"no engine":           {trouble{faults: []int{noEngine}, deadline: 11 * time.Second, budget: 3}, "broken", "deadline", patience},
		"all engines leave":   {trouble{faults: []int{faults}, deadline: 11 * time.Second, budget: 3, gone: true}, "broken", "version", 0},
		"no budget":           {trouble{faults: []int{faults}, deadline: 11 * time.Second}, "broken", "budget", patience},
		"taken up, no engine": {trouble{faults: []int{noEngine}, deadline: 11 * time.Second, takenUp: true}, "refused", "deadline", patience},
		"taken up, no room":   {trouble{faults: []int{noRoom}, deadline: 11 * time.Second, takenUp: true}, "refused", "", 0},
		"new, no engine":      {trouble{faults: []int{noEngine}, deadline: 11 * time.Second, new: true}, "refused", "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.plan.lasts = time.Minute
			_, o, took, _ := c.plan.play(t)
			if o.Result != c.result || o.NotMoved != c.unmoved || took < c.took || took > c.took+50*time.Millisecond {
				t.Errorf("%+v after %v, want %s, %q after %v", o, took, c.result, c.unmoved, c.took)
			}
		})
	}
}

// Guards against streams that wait at the owner for a decode engine that prefills a long prompt
// itself, until their client leaves, while the budget allows a prefill engine again.
func TestAloneAsksAgain(t *testing.T) {
	alone := 0
	_, _, _, asked := trouble{faults: []int{noRoom}, lasts: time.Second, deadline: 11 * time.Second, budget: 1, seed: 1}.play(t)
	for _, r := range asked {
		if !r.Alone {
			continue
		}
		if alone++; r.RetryMaxWait > time.Second {
			t.Errorf("a lease request with one retry left may wait %v, want a second at most", r.RetryMaxWait)
		}
	}
	if alone == 0 {
		t.Errorf("no lease request with one retry left in %+v", asked)
	}
}
