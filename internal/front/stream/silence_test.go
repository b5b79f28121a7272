package stream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

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

const (
	// streamLength is the number of events of a whole stream.
	streamLength = 4
	// silentDeadline is the time that a client gives a silent stream.
	silentDeadline = 5 * time.Minute
	// lateGrant is how long a late grant takes.
	lateGrant = 700 * time.Millisecond
)

// Answers of the owner to one lease request.
const (
	refuses = iota
	grants
	grantsLate
	isSilent
	// grantsRegardless grants late even if the request was withdrawn meanwhile.
	grantsRegardless
)

// silence is a plan of silences and faults.
type silence struct {
	// pauses are the times before the events of the runs, in milliseconds. They repeat.
	pauses []int64
	// prefills are the times that the first prefills take, longer than silentDeadline for
	// engines that are silent for good.
	prefills []time.Duration
	// header is the time before the header of each run.
	header time.Duration
	// dies is the number of events after which the engine of the first run is silent for
	// good, negative for a sound engine.
	dies int
	// down tells whether connections to a dead engine fail.
	down bool
	// leaves tells whether its entry is removed while it is silent, as that of a server
	// that goes on for a while.
	leaves bool
	// owner has the owner's answers to the lease requests after the first one; grants
	// follow.
	owner  []int
	budget int
	// stays means that the route's streams may not go on elsewhere.
	stays bool
	// refusals is the number of runs after the first one that are refused, prefillFaults
	// the results of the first prefills, and refillAt the time between other requests,
	// which add one retry to the budget, zero for none.
	refusals      int
	prefillFaults []error
	refillAt      time.Duration
	// stopAt is when the daemon stops, zero for never, and grace the grace period.
	stopAt, grace time.Duration
}

// silentEngines are engines and an owner that behave as planned.
type silentEngines struct {
	fakeBackends
	silence
	open     []context.Context
	overlaps int
	table    *pool.Table
}

func (w *silentEngines) Acquire(ctx context.Context, a ledger.Request) (*lease.Lease, error) {
	answer := grants
	if n := len(w.requests); n > 0 && n <= len(w.owner) {
		answer = w.owner[n-1]
	}
	granted, err := w.fakeBackends.Acquire(ctx, a)
	wait := time.Duration(0)
	switch answer {
	case refuses:
		return nil, &lease.RefusedError{Reply: ledger.Reply{Reason: ledger.ReasonLate}}
	case grantsLate:
		wait = lateGrant
	case isSilent:
		wait = silentDeadline
	}
	if answer == grantsRegardless {
		time.Sleep(lateGrant)
		return granted, err
	}
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-time.After(wait):
		return granted, err
	}
}

func (w *silentEngines) Prefill(ctx context.Context, s pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Cache, error) {
	cache, err := w.fakeBackends.Prefill(ctx, s, r, o)
	if n := len(w.prefillers); n <= len(w.silence.prefills) {
		select {
		case <-ctx.Done():
			return nil, &proxy.SendError{Fault: event.FaultBroken, Err: context.Cause(ctx)}
		case <-time.After(w.silence.prefills[n-1]):
		}
	}
	return cache, err
}

func (w *silentEngines) Send(ctx context.Context, s pool.Server, _ *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	for _, earlier := range w.open {
		if earlier.Err() == nil {
			w.overlaps++
		}
	}
	w.sends = append(w.sends, o)
	if n := len(w.sends) - 1; n > 0 && n <= w.refusals {
		return nil, &proxy.SendError{Fault: event.FaultRefused, Full: true, Err: errReset}
	}
	w.open = append(w.open, ctx)
	time.Sleep(w.header)
	body := &plannedBody{ctx: ctx, plan: w.silence, run: len(w.sends) - 1}
	_, _ = fmt.Sscan(o.LastEventID, &body.sent)
	if body.run > 0 {
		body.plan.dies = -1
	}
	return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Close: func() {}}, nil
}

// plannedBody sends the events of one run after the planned pauses.
type plannedBody struct {
	ctx       context.Context
	plan      silence
	run, sent int
}

func (b *plannedBody) Read(p []byte) (int, error) {
	if b.sent == streamLength {
		return 0, io.EOF
	}
	var pause <-chan time.Time
	if b.sent != b.plan.dies {
		i := b.run*streamLength + b.sent
		pause = time.After(time.Duration(b.plan.pauses[i%len(b.plan.pauses)]) * time.Millisecond)
	}
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-pause:
		b.sent++
		return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.sent)), nil
	}
}

// played is what became of a stream.
type played struct {
	body    string
	outcome lines.Outcome
	took    time.Duration
	// runs counts the runs, charged what the retry budget was charged.
	runs, charged, overlaps, prefills int
	status                            int
}

// extra returns the number of arrivals at engines beyond the first one. The first prefill
// is not counted.
func (p played) extra() int { return max(p.runs+p.prefills-2, 0) }

// play serves one stream as planned.
func (p silence) play(t *testing.T) (out played) {
	synctest.Test(t, func(t *testing.T) {
		w := &silentEngines{silence: p, fakeBackends: fakeBackends{freed: make(chan string, 64), prefills: p.prefillFaults}}
		w.table = pool.New(pool.WithSuspect(func(s pool.Server) {
			if p.down && (s.ID == "d1" || s.ID == "p1") {
				w.table.SetDown(s, true)
			}
			if p.leaves {
				time.AfterFunc(700*time.Millisecond, func() { w.table.Remove(time.Now(), s.ID, pool.Revision{}, false) })
			}
		}))
		for _, s := range table().All() {
			w.table.Put(s)
		}
		budget := newBudget(p.budget)
		var refillLater func()
		refillLater = func() {
			refill(budget, 1)
			time.AfterFunc(p.refillAt, refillLater)
		}
		if p.refillAt > 0 {
			time.AfterFunc(p.refillAt, refillLater)
		}
		stop := grace.New()
		if p.stopAt > 0 {
			time.AfterFunc(p.stopAt, func() { stop.Begin(p.grace/3, time.Now().Add(p.grace)) })
		}
		h := stream.New(w.table, w, ingress{}, w, budget, lines.New(io.Discard, "test"), stream.WithStop(stop))
		route := &config.Route{Name: "r", Kind: config.Stream, Target: 900 * time.Millisecond,
			Gap: 300 * time.Millisecond, Resume: !p.stays, Attempts: 3, Model: true}
		service := config.Service{Name: "s", Engine: &config.Engine{Slots: 8, Tokens: 1000, Stride: 10, Handle: 500 * time.Millisecond}}
		ctx, cancel := context.WithTimeout(t.Context(), silentDeadline)
		defer cancel()
		rec, start := httptest.NewRecorder(), time.Now()
		out.outcome = h.Serve(ctx, rec, &proxy.Request{ID: "c", Method: http.MethodPost, Received: start, Prompt: 100, MaxOutput: 80},
			route, service, start.Add(silentDeadline))
		out.body, out.status, out.took = rec.Body.String(), rec.Code, time.Since(start)
		out.prefills = len(w.prefillers)
		out.runs, out.charged, out.overlaps = len(w.sends), p.budget-countLeft(budget), w.overlaps
		synctest.Wait()
	})
	return out
}
