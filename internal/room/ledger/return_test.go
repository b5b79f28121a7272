package ledger_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a taken-up stream that is refused at once because the engines of its
// version can't be used at this moment, and against one that waits for nothing.
func TestResumedWaitsForItsVersion(t *testing.T) {
	cases := map[string]struct {
		// away changes the engines or the request before the request comes, back undoes it.
		away, back func(l *ledger.Ledger, list []ledger.Engine, req *ledger.Request)
		// reason is that of the refusal at once, empty if the request waits.
		reason string
	}{
		"crashed": {away: func(l *ledger.Ledger, _ []ledger.Engine, _ *ledger.Request) { unhealthy(l, t0, 1, "d1") },
			back: func(l *ledger.Ledger, _ []ledger.Engine, _ *ledger.Request) { unhealthy(l, t0.Add(time.Second), 2) }},
		"failed it": {away: func(_ *ledger.Ledger, _ []ledger.Engine, req *ledger.Request) { req.Excluded = []string{"d1"} }},
		"in the prefill stage": {away: func(l *ledger.Ledger, list []ledger.Engine, _ *ledger.Request) {
			list[1].Stage = pool.Prefill
			l.SetEngines(t0, list)
		}, back: func(l *ledger.Ledger, list []ledger.Engine, _ *ledger.Request) {
			list[1].Stage = pool.Decode
			l.SetEngines(t0.Add(time.Second), list)
		}},
		"carries out an order": {away: func(l *ledger.Ledger, _ []ledger.Engine, _ *ledger.Request) {
			l.SetUsage(t0, "d1", ledger.Usage{Busy: true, Stage: pool.Decode})
		}, back: func(l *ledger.Ledger, _ []ledger.Engine, _ *ledger.Request) {
			l.SetUsage(t0.Add(time.Second), "d1", ledger.Usage{Stage: pool.Decode})
		}},
		"gone": {away: func(l *ledger.Ledger, list []ledger.Engine, _ *ledger.Request) {
			l.SetEngines(t0, append(list[:1:1], list[2:]...))
		}, reason: ledger.ReasonNoEngine},
		"on the last prefill engine": {away: func(l *ledger.Ledger, list []ledger.Engine, _ *ledger.Request) {
			list[1].Stage = pool.Prefill
			l.SetEngines(t0, list[1:3])
		}, back: func(l *ledger.Ledger, list []ledger.Engine, _ *ledger.Request) {
			list[1].Stage = pool.Decode
			l.SetEngines(t0.Add(time.Second), list)
		}},
		"never known":   {away: func(_ *ledger.Ledger, _ []ledger.Engine, req *ledger.Request) { req.Version = "v3" }, reason: ledger.ReasonNoEngine},
		"limited":       {away: func(_ *ledger.Ledger, _ []ledger.Engine, req *ledger.Request) { req.Held = []string{"d1"} }, reason: ledger.ReasonNoEngine},
		"all too small": {away: func(_ *ledger.Ledger, _ []ledger.Engine, req *ledger.Request) { req.Prompt = 30_000 }, reason: ledger.ReasonTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := append(engines(2, 1, 20_000), ledger.Engine{ID: "p2", Stage: pool.Prefill, Slots: 1, Tokens: 20_000})
			list[1].Version, list[2].Version = "v1", "v2"
			l.SetEngines(t0, list)
			unhealthy(l, t0, 0)
			req := request(1)
			req.Resumed, req.Version = true, "v1"
			c.away(l, list, &req)
			got := replyTo(t, l.Submit(t0, edge1, req), 1)
			if c.reason != "" {
				if got.Status != ledger.Refused || got.Reason != c.reason {
					t.Errorf("reply %+v, want a refusal with the reason %s", got, c.reason)
				}
				return
			}
			if got.Status != ledger.Queued {
				t.Fatalf("reply %+v, want the stream queued", got)
			}
			if c.back != nil {
				c.back(l, list, &req)
			}
			now := t0.Add(1600 * time.Millisecond)
			unhealthy(l, now, 9)
			got = replyTo(t, l.Submit(now, edge2, request(2)), 1)
			if got.Decode != "d1" {
				t.Errorf("reply %+v, want the stream on d1 before the new request", got)
			}
		})
	}
}

// unhealthy applies a report of edge1 without runs.
func unhealthy(l *ledger.Ledger, now time.Time, sequence uint64, ids ...string) {
	l.ApplyReport(now, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: sequence + 1, PrefillRate: 50_000, Unhealthy: ids})
}

// Guards against a version that has engines in the prefill stage only, while streams that
// can go on nowhere else wait for it, and against a service that loses its last one.
func TestVersionIsSwitchedBack(t *testing.T) {
	cases := map[string]struct {
		prefill []string
		down    string
		// leaves is set if the second prefill engine leaves before the order.
		leaves bool
		want   string
	}{
		"one of two":       {[]string{"v1", "v2"}, "", false, "p1"},
		"the other":        {[]string{"v2", "v1"}, "", false, "p2"},
		"it is down":       {[]string{"v1", "v2"}, "p1", false, ""},
		"the last one":     {[]string{"v1", "v2"}, "", true, ""},
		"another's":        {[]string{"v3", "v2"}, "", false, ""},
		"first of its own": {[]string{"v1", "v1"}, "", false, "p1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := []ledger.Engine{{ID: "d1", Stage: pool.Decode, Slots: 8, Tokens: 60_000, Version: "v2"}}
			for i, v := range c.prefill {
				list = append(list, ledger.Engine{ID: fmt.Sprint("p", i+1), Stage: pool.Prefill, Slots: 8, Tokens: 60_000, Version: v})
			}
			l.SetEngines(t0, list)
			unhealthy(l, t0, 0, c.down)
			req := request(1)
			req.Resumed, req.Version = true, "v1"
			l.Submit(t0, edge1, req)
			if c.leaves {
				l.SetEngines(t0, list[:2])
			}
			change, ok := l.Rebalance(t0, 300*time.Millisecond, func(ids []string) string { return ids[0] })
			if ok != (c.want != "") || change.Engine != c.want {
				t.Fatalf("order %+v, %v; want one to %q", change, ok, c.want)
			}
			if !ok {
				return
			}
			if got := replyTo(t, l.Tick(t0.Add(400*time.Millisecond)), 1); got.Decode != c.want {
				t.Errorf("reply %+v, want the stream on %s", got, c.want)
			}
		})
	}
}

// asked is a stream, taken up or new, with its lease requests.
type asked struct {
	ledger.Request
	at     time.Time
	leases int
}

// troubled plays streams at engines that crash, change their stage, go away and come back.
// Its memory is never scarce.
type troubled struct {
	*ledger.Ledger
	rng      *rand.Rand
	now      time.Time
	engines  []ledger.Engine
	down     map[string]time.Time
	away     map[string]time.Time
	soundFor map[string]time.Duration
	open     map[uint64]*asked
	held     map[string]int
	id       uint64
	// ended are the leases that the next report names as released, granted those after.
	ended, granted []uint64
	begun          map[bool]int
	fault          string
}

const troubledStep = 20 * time.Millisecond

func newTroubled(seed uint64, versions int) *troubled {
	f := &troubled{Ledger: ledger.New("s"), rng: rand.New(rand.NewPCG(seed, 2)), now: t0, down: map[string]time.Time{}, away: map[string]time.Time{},
		soundFor: map[string]time.Duration{}, open: map[uint64]*asked{}, held: map[string]int{}, begun: map[bool]int{}}
	for v := range versions {
		for i, stage := range []pool.Stage{pool.Prefill, pool.Decode, pool.Decode} {
			f.engines = append(f.engines, ledger.Engine{ID: fmt.Sprint("e", v, i), Stage: stage, Slots: 500, Tokens: 4_000_000, Version: fmt.Sprint("v", v)})
		}
	}
	return f
}

// event changes an engine: it crashes for up to 1.5 s, its entry goes away as long, or it
// takes the other stage.
func (f *troubled) event() {
	e := &f.engines[f.rng.IntN(len(f.engines))]
	until := f.now.Add(time.Duration(f.rng.IntN(1500)) * time.Millisecond)
	switch f.rng.IntN(4) {
	case 0:
		f.away[e.ID] = until
	case 1:
		e.Stage = pool.Prefill + pool.Decode - e.Stage
	default:
		f.down[e.ID] = until
	}
}

func (f *troubled) submit(a *asked) {
	f.id++
	a.ID = f.id
	f.open[a.ID] = a
	f.handle(f.Submit(f.now, edge1, a.Request))
}

// listed and sound report whether an engine of a version has an entry, and whether one is
// a decode engine that has been sound for the time in which that is known.
func (f *troubled) listed(version string) (listed, sound bool) {
	for _, e := range f.engines {
		if e.Version == version && !f.now.Before(f.away[e.ID]) {
			listed = true
			sound = sound || f.soundFor[e.ID] > time.Second
		}
	}
	return listed, sound
}

func (f *troubled) handle(replies []ledger.Reply) {
	for _, r := range replies {
		a := f.open[r.ID]
		if a == nil || r.Status == ledger.Queued {
			continue
		}
		delete(f.open, r.ID)
		switch listed, sound := f.listed(a.Version); {
		case r.Status == ledger.Refused:
			if early := f.now.Before(a.at.Add(a.RetryMaxWait)); a.Resumed && (sound || listed && early) {
				f.fault = fmt.Sprintf("%+v to a stream of %s after %v; sound: %v", r, a.Version, f.now.Sub(a.at), sound)
			}
		case f.now.Before(f.down[r.Decode]) || f.now.Before(f.down[r.Prefill]):
			f.Cancel(f.now, edge1, 1, r.ID)
			if a.leases++; a.leases == 4 {
				if a.Resumed {
					f.fault = fmt.Sprintf("a stream of %s has used up its leases", a.Version)
				}
				continue
			}
			dead := r.Decode
			if f.now.Before(f.down[r.Prefill]) {
				dead = r.Prefill
			}
			a.Excluded = append(a.Excluded, dead)
			f.submit(a)
		default:
			f.begun[a.Resumed]++
			f.granted = append(f.granted, r.ID)
			if f.held[r.Decode] += a.Prompt + a.Expected; f.held[r.Decode] > 4_000_000 {
				f.fault = "memory of " + r.Decode + " granted twice"
			}
			if !a.Resumed && f.waiting(r.Decode) {
				f.fault = fmt.Sprintf("%v: a new request got %s, %s while a stream of its version waited", f.now.Sub(t0), r.Decode, r.Prefill)
			}
		}
	}
}

// waiting reports whether a stream that an engine could serve, and that excludes none,
// waits for another reason than the time of a prefill.
func (f *troubled) waiting(id string) bool {
	for _, a := range f.open {
		for _, e := range f.engines {
			if e.ID == id && a.Resumed && e.Version == a.Version && len(a.Excluded) == 0 && f.soundFor[id] > time.Second && f.now.Sub(a.at) > time.Second {
				return true
			}
		}
	}
	return false
}

func (f *troubled) play(d time.Duration, streams bool) {
	for i := range uint64(d / troubledStep) {
		f.now = f.now.Add(troubledStep)
		if i%20 == 19 {
			f.event()
		}
		var list []ledger.Engine
		var down []string
		for _, e := range f.engines {
			f.soundFor[e.ID] += troubledStep
			if f.now.Before(f.away[e.ID]) {
				f.soundFor[e.ID] = 0
			} else {
				list = append(list, e)
			}
			if f.now.Before(f.down[e.ID]) {
				f.soundFor[e.ID] = 0
				down = append(down, e.ID)
			}
			if e.Stage == pool.Prefill {
				f.soundFor[e.ID] = 0
			}
		}
		f.SetEngines(f.now, list)
		f.ApplyReport(f.now, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: i + 1, PrefillRate: 50_000, Unhealthy: down, Ended: f.ended})
		if i%10 == 9 {
			f.ended, f.granted = f.granted, nil
		}
		if i%5 == 4 {
			for _, id := range slices.Sorted(maps.Keys(f.open)) {
				if a := f.open[id]; a != nil {
					f.handle(f.Submit(f.now, edge1, a.Request)) // daemons send queued requests again
				}
			}
		}
		req := ledger.Request{Service: "s", Incarnation: 1, Prompt: 1000, Expected: 500, Slack: 300 * time.Millisecond, MaxWait: 600 * time.Millisecond,
			RetryMaxWait: 2500 * time.Millisecond}
		f.submit(&asked{Request: req, at: f.now})
		if req.Resumed = true; streams && i%3 == 0 {
			req.Version = f.engines[i/3%uint64(len(f.engines))].Version
			f.submit(&asked{Request: req, at: f.now})
		}
		f.handle(f.Tick(f.now))
	}
}

// Guards against streams that are refused, or use up their leases, while an engine of their
// version is back within their time, in whatever order engines crash, change their stage, go
// away and come back; and against new requests that pay more for it than streams get.
func TestResumedGoOnAfterTrouble(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(40)
	p.MinSuccessfulTests = 60
	ps := gopter.NewProperties(p)
	ps.Property("streams wait for engines that come back", prop.ForAll(func(seed uint64, versions int) string {
		f := newTroubled(seed, versions)
		f.play(8*time.Second, true)
		alone := newTroubled(seed, versions)
		alone.play(8*time.Second, false)
		fewer := ""
		if f.begun[false] < alone.begun[false]-f.begun[true] {
			fewer = fmt.Sprintf("%d new requests began, %d without the %d streams that went on", f.begun[false], alone.begun[false], f.begun[true])
		}
		return cmp.Or(f.fault, fewer)
	}, gen.UInt64(), gen.IntRange(2, 3)))
	ps.TestingRun(t)
}

// Guards against a stream that ends although a prefill engine of its version is sound, as
// the decode engines that are still listed have crashed, and against a switch for a crash
// that is over soon.
func TestCrashedDecodeEngineIsReplaced(t *testing.T) {
	cases := map[string]struct {
		down   []string
		waited time.Duration
		want   bool
	}{
		"crashed for long":     {[]string{"d1"}, 1100 * time.Millisecond, true},
		"crashed a moment ago": {[]string{"d1"}, 500 * time.Millisecond, false},
		"back":                 {nil, 1100 * time.Millisecond, false},
		"all have crashed":     {[]string{"d1", "p1"}, 1100 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, []ledger.Engine{
				{ID: "d1", Stage: pool.Decode, Slots: 8, Tokens: 60_000, Version: "v1"}, {ID: "d2", Stage: pool.Decode, Slots: 8, Tokens: 60_000, Version: "v2"},
				{ID: "p1", Stage: pool.Prefill, Slots: 8, Tokens: 60_000, Version: "v1"}, {ID: "p2", Stage: pool.Prefill, Slots: 8, Tokens: 60_000, Version: "v2"}})
			unhealthy(l, t0, 0, "d1")
			req := request(1)
			req.Resumed, req.Version, req.RetryMaxWait = true, "v1", 10*time.Second
			if got := replyTo(t, l.Submit(t0, edge1, req), 1); got.Status != ledger.Queued {
				t.Fatalf("reply %+v, want the stream queued", got)
			}
			now := t0.Add(c.waited)
			unhealthy(l, now, 1, c.down...)
			change, ok := l.Rebalance(now, 300*time.Millisecond, func(ids []string) string { return ids[0] })
			if ok != c.want || ok && change != (ledger.StageChange{Engine: "p1", Stage: pool.Decode}) {
				t.Errorf("order %+v, %v; want one to p1: %v", change, ok, c.want)
			}
		})
	}
}

// Guards against queued streams that are refused because a longer wait than their time is
// predicted, while an engine of their version is about to be free.
func TestQueuedStreamIsNotRefusedByPrediction(t *testing.T) {
	for name, resumed := range map[string]bool{"stream that goes on": true, "new request": false} {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, engines(1, 1, 40_000))
			replyTo(t, l.Submit(t0, edge1, request(1)), 1)
			req := request(2)
			req.Slack, req.MaxWait, req.Resumed = 2*time.Second, 2*time.Second, resumed
			if got := replyTo(t, l.Submit(t0, edge1, req), 2); got.Status != ledger.Queued {
				t.Fatalf("reply %+v, want the request queued", got)
			}
			var refused bool
			for at := t0; at.Before(t0.Add(1900 * time.Millisecond)); at = at.Add(100 * time.Millisecond) {
				refused = refused || len(l.Tick(at)) > 0
			}
			if refused == resumed {
				t.Fatalf("refused before its time is up: %v", refused)
			}
			if !resumed {
				return
			}
			l.Cancel(t0, edge1, 1, 1)
			if got := replyTo(t, l.Tick(t0.Add(1950*time.Millisecond)), 2); got.Decode != "d1" {
				t.Errorf("reply %+v, want the stream on d1", got)
			}
		})
	}
}

// Guards against a stream that goes on and is refused as it comes, because a longer wait
// than its time is predicted, and against one that waits for longer than its time.
func TestComingStreamIsNotRefusedByPrediction(t *testing.T) {
	l := ledger.New("s")
	l.SetEngines(t0, engines(1, 1, 40_000))
	replyTo(t, l.Submit(t0, edge1, request(1)), 1)
	req := request(2)
	req.Resumed, req.RetryMaxWait = true, 10*time.Millisecond
	if got := replyTo(t, l.Submit(t0, edge1, req), 2); got.Status != ledger.Queued || got.Wait < req.RetryMaxWait {
		t.Fatalf("reply %+v, want the stream queued with a longer wait than its time", got)
	}
	if got := replyTo(t, l.Tick(t0.Add(200*time.Millisecond)), 2); got.Status != ledger.Refused {
		t.Errorf("reply %+v after its time, want a refusal", got)
	}
}
