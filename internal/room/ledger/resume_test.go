package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// resumeFleet plays streams that clients take up among new ones at engines of several
// versions, whose memory is nearly full. Outputs are as long as expected.
type resumeFleet struct {
	ledger  *ledger.Ledger
	rng     *rand.Rand
	now     time.Time
	engines []ledger.Engine
	// gone are versions whose engines have left.
	gone    map[string]bool
	waiting map[uint64]ledger.Request
	running map[uint64]*generation
	id      uint64
	// later are versions of streams that broke off, by the step in which their clients
	// take them up.
	later map[uint64][]string
	// asked and begun count the settled requests and the granted ones, for streams that
	// were taken up and for new ones.
	asked, begun map[bool]int
	fault        string
}

func newResumeFleet(seed uint64, count, versions int) *resumeFleet {
	f := &resumeFleet{ledger: ledger.New("s"), rng: rand.New(rand.NewPCG(seed, 1)), now: t0, gone: map[string]bool{},
		waiting: map[uint64]ledger.Request{}, running: map[uint64]*generation{}, later: map[uint64][]string{}, asked: map[bool]int{}, begun: map[bool]int{}}
	f.engines = []ledger.Engine{{ID: "p1", Stage: pool.Prefill, Slots: 64, Tokens: 100_000, Version: "v0"}}
	for i := range count {
		f.engines = append(f.engines, ledger.Engine{ID: fmt.Sprintf("d%03d", i), Stage: pool.Decode, Slots: 16,
			Tokens: 60_000, Version: fmt.Sprint("v", i%versions)})
	}
	f.apply()
	return f
}

// apply gives the ledger the engines whose versions serve.
func (f *resumeFleet) apply() {
	var out []ledger.Engine
	for _, e := range f.engines {
		if e.Stage == pool.Prefill || !f.gone[e.Version] {
			out = append(out, e)
		}
	}
	f.ledger.SetEngines(f.now, out)
}

func (f *resumeFleet) version(id string) string {
	for _, e := range f.engines {
		if e.ID == id {
			return e.Version
		}
	}
	return ""
}

// submit asks for a lease: for a new stream, or for one of a version that is taken up,
// with a part of its text to be read.
func (f *resumeFleet) submit(version string) {
	f.id++
	req := ledger.Request{Service: "s", Incarnation: 1, ID: f.id, Prompt: 2000 + f.rng.IntN(6000), Expected: 2000, Slack: 800 * time.Millisecond,
		MaxWait: 1200 * time.Millisecond, RetryMaxWait: 2 * time.Second, MaxRetryAfter: 4 * time.Second, Fingerprint: f.id}
	if version != "" {
		read := f.rng.IntN(1800)
		req.Resumed, req.Version = true, version
		req.Prompt, req.Expected = req.Prompt+read, max(2000-read, 400)
	}
	f.waiting[req.ID] = req
	f.handle(f.ledger.Submit(f.now, edge1, req))
}

func (f *resumeFleet) handle(replies []ledger.Reply) {
	for _, r := range replies {
		req, ok := f.waiting[r.ID]
		if !ok || r.Status == ledger.Queued {
			continue
		}
		delete(f.waiting, r.ID)
		served := req.Version == "" || !f.gone[req.Version]
		if served {
			f.asked[req.Resumed]++
		} else if r.Status == ledger.Granted || r.Reason != ledger.ReasonNoEngine {
			f.fault = fmt.Sprintf("reply %+v to a request for version %s, which is gone", r, req.Version)
		}
		if r.Status != ledger.Granted {
			continue
		}
		f.begun[req.Resumed]++
		if req.Version != "" && f.version(r.Decode) != req.Version {
			f.fault = fmt.Sprintf("%s granted for version %s", r.Decode, req.Version)
		}
		f.running[r.ID] = &generation{decode: r.Decode, prompt: req.Prompt, output: req.Expected}
	}
}

// step plays 10 ms.
func (f *resumeFleet) step(sequence uint64) {
	f.now = f.now.Add(simStep)
	held := map[string]int{}
	for id, d := range f.running {
		if d.generated += simDecodeRate * simStep.Seconds(); d.generated >= float64(d.output) {
			delete(f.running, id)
			continue
		}
		if held[d.decode] += d.prompt + int(d.generated); held[d.decode] > 60_000 {
			f.fault = fmt.Sprintf("%d tokens at %s, which has 60000", held[d.decode], d.decode)
		}
	}
	if sequence%10 == 0 {
		report := ledger.Report{Service: "s", Incarnation: 1, Sequence: sequence + 1}
		for id, d := range f.running {
			report.Runs = append(report.Runs, ledger.Run{Lease: id, Decode: d.decode, Prompt: d.prompt, Expected: d.output,
				Generated: int(d.generated), Phase: ledger.Decoding})
		}
		f.ledger.ApplyReport(f.now, edge1, report)
	}
	f.handle(f.ledger.Tick(f.now))
}

// breakOff ends a part of the running streams, whose clients take them up within a
// second.
func (f *resumeFleet) breakOff(step uint64, share float64) {
	for id, g := range f.running {
		if f.rng.Float64() < share {
			delete(f.running, id)
			at := step + 10 + f.rng.Uint64N(90)
			f.later[at] = append(f.later[at], f.version(g.decode))
		}
	}
}

// resumeLoad is what a fleet has to serve: new requests in multiples of what its memory
// holds, the share of taken-up streams among requests, and the share of the running ones
// that break off every two seconds.
type resumeLoad struct {
	load, share, breaks float64
	// flap lets versions leave and come back.
	flap bool
}

func (f *resumeFleet) play(d time.Duration, c resumeLoad) {
	const capacity = 60_000.0 / (5000 + 2000) / 2.2 // requests per second and engine
	rate := c.load * capacity * float64(len(f.engines)-1)
	due := 0.0
	for i := range uint64(d / simStep) {
		if i%200 == 199 {
			f.breakOff(i, c.breaks)
		}
		if c.flap && i%150 == 149 {
			clear(f.gone)
			f.gone[fmt.Sprint("v", f.rng.IntN(4))] = true
			for id, g := range f.running {
				if f.gone[f.version(g.decode)] {
					delete(f.running, id)
				}
			}
			f.apply()
		}
		for _, v := range f.later[i] {
			f.submit(v)
		}
		for due += rate * simStep.Seconds(); due >= 1; due-- {
			version := ""
			if f.rng.Float64() < c.share {
				version = f.engines[1+f.rng.IntN(len(f.engines)-1)].Version
			}
			f.submit(version)
		}
		f.step(i)
	}
}

// Guards against streams that clients take up and that are refused while new ones begin,
// against a grant at another version than they need, and against memory that is granted
// twice.
func TestResumedComeFirst(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(34)
	p.MinSuccessfulTests = 40
	ps := gopter.NewProperties(p)
	ps.Property("taken-up streams go on at least as often as new ones begin", prop.ForAll(
		func(seed uint64, count, versions int, load, share, breaks float64, flap bool) string {
			f := newResumeFleet(seed, max(count, versions), versions)
			f.play(6*time.Second, resumeLoad{load, share, breaks, flap})
			up, fresh := float64(f.begun[true])/float64(max(f.asked[true], 1)), float64(f.begun[false])/float64(max(f.asked[false], 1))
			switch {
			case f.fault != "":
				return f.fault
			case f.asked[true] >= 12 && up < fresh:
				return fmt.Sprintf("%d of %d taken-up streams went on, %d of %d new ones began", f.begun[true], f.asked[true], f.begun[false], f.asked[false])
			}
			return ""
		},
		gen.UInt64(), gen.IntRange(2, 12), gen.IntRange(1, 3), gen.Float64Range(0.5, 3), gen.Float64Range(0, 0.9), gen.Float64Range(0, 1), gen.Bool()))
	ps.TestingRun(t)
}

// Guards against new requests that starve, though no stream is taken up, or because the
// streams that are taken up need other engines.
func TestNewRequestsGoOn(t *testing.T) {
	begun := func(versions int, change func(*ledger.Request)) int {
		f := newResumeFleet(5, 8, versions)
		for id := uint64(1000); id < 1040; id++ {
			req := ledger.Request{Service: "s", Incarnation: 1, ID: id, Prompt: 50_000, Expected: 9000, MaxWait: time.Minute, RetryMaxWait: time.Minute}
			change(&req)
			f.ledger.Submit(f.now, edge1, req)
		}
		f.play(6*time.Second, resumeLoad{load: 2})
		return f.begun[false]
	}
	none := begun(2, func(r *ledger.Request) { r.MaxWait = -time.Second })
	if one := begun(1, func(r *ledger.Request) { r.MaxWait = -time.Second }); none < one*95/100 {
		t.Errorf("%d requests begun at engines of two versions, %d at those of one", none, one)
	}
	beside := begun(2, func(r *ledger.Request) { r.Resumed, r.Version = true, "v1" })
	if none == 0 || beside < none/3 {
		t.Errorf("%d requests begun beside many taken-up streams of one version of two, %d without; want a third at least", beside, none)
	}
}

// Guards against a version's lack of room that keeps requests for another one waiting,
// and against a request that waits for a version which has left.
func TestVersionsAreApart(t *testing.T) {
	l := ledger.New("s")
	list := engines(2, 1, 20000)
	list[1].Version, list[2].Version = "v1", "v2"
	l.SetEngines(t0, list)
	ask := func(id uint64, version string) ledger.Reply {
		req := request(id)
		req.Version, req.Resumed, req.RetryMaxWait = version, true, 9*time.Second
		return replyTo(t, l.Submit(t0, edge1, req), id)
	}
	want := map[uint64]struct {
		version, decode, reason string
		status                  ledger.Status
	}{
		1: {"v1", "d1", "", ledger.Granted},
		2: {"v1", "", "", ledger.Queued},
		3: {"v2", "d2", "", ledger.Granted},
		4: {"v3", "", ledger.ReasonNoEngine, ledger.Refused},
	}
	for id := uint64(1); id <= 4; id++ {
		if got, w := ask(id, want[id].version), want[id]; got.Decode != w.decode || got.Status != w.status || got.Reason != w.reason {
			t.Errorf("request %d for %s: reply %+v, want %+v", id, w.version, got, w)
		}
	}
	l.SetEngines(t0, append(list[:1:1], list[2]))
	if got := replyTo(t, l.Tick(t0.Add(10*time.Millisecond)), 2); got.Status != ledger.Refused || got.Reason != ledger.ReasonNoEngine {
		t.Errorf("reply %+v after the version has left, want a refusal", got)
	}
}

// keptRoom returns a ledger with an engine of v1, d1, that is kept for the waiting resumed
// request 10 and has room for a small request only, and a full engine of v2.
func keptRoom(t *testing.T) *ledger.Ledger {
	t.Helper()
	l := ledger.New("s")
	list := engines(2, 8, 20000)
	list[1].Version, list[2].Version = "v1", "v2"
	l.SetEngines(t0, list)
	for id := uint64(1); id <= 6; id++ {
		replyTo(t, l.Submit(t0, edge1, sized(id, 5000, 1000)), id)
	}
	large := sized(10, 12_000, 1000)
	large.Version, large.Resumed, large.RetryMaxWait = "v1", true, 9*time.Second
	if got := replyTo(t, l.Submit(t0, edge1, large), 10); got.Status != ledger.Queued {
		t.Fatalf("reply %+v, want the request queued", got)
	}
	l.Cancel(t0, edge1, 1, 1)
	return l
}

func sized(id uint64, prompt, expected int) ledger.Request {
	req := request(id)
	req.Prompt, req.Expected = prompt, expected
	return req
}

// Guards against a taken-up stream that waits for room, while new requests with shorter
// prompts take each piece of memory that becomes free at its version's engines.
func TestRoomIsKeptForResumed(t *testing.T) {
	l := keptRoom(t)
	if got := replyTo(t, l.Submit(t0, edge1, sized(11, 3000, 500)), 11); got.Status == ledger.Granted {
		t.Errorf("reply %+v, want no grant on the engine that is kept", got)
	}
	l.Cancel(t0, edge1, 1, 3)
	if got := replyTo(t, l.Tick(t0.Add(10*time.Millisecond)), 10); got.Decode != "d1" {
		t.Errorf("reply %+v, want a grant on d1", got)
	}
}

// Guards against room that is kept from resumed requests, too, because a new request found
// none.
func TestKeptRoomIsForResumed(t *testing.T) {
	l := keptRoom(t)
	replyTo(t, l.Submit(t0, edge1, sized(11, 3000, 500)), 11)
	small := sized(12, 3000, 500)
	small.Version, small.Resumed = "v1", true
	if got := replyTo(t, l.Submit(t0, edge1, small), 12); got.Decode != "d1" {
		t.Errorf("reply %+v, want a grant on d1", got)
	}
}

// Guards against engines of a version that a sample of a large fleet misses.
func TestVersionInLargeFleet(t *testing.T) {
	l := ledger.New("s")
	var list []ledger.Engine
	for i := range 1000 {
		version := "v1"
		if i == 777 {
			version = "v2"
		}
		list = append(list, ledger.Engine{ID: fmt.Sprintf("e%05d", i), Stage: pool.Decode, Slots: 64, Tokens: 600_000, Version: version})
	}
	l.SetEngines(t0, list)
	for id := uint64(1); id <= 40; id++ {
		req := request(id)
		req.Version = "v2"
		if got := replyTo(t, l.Submit(t0, edge1, req), id); got.Decode != "e00777" {
			t.Fatalf("reply %+v, want the engine of v2", got)
		}
	}
}

// Guards against a KV cache that is prefilled at another version than that of its decode
// engine, though a prefill engine of the same version is as good.
func TestPrefillAtSameVersion(t *testing.T) {
	cases := map[string]struct {
		version, domain string
		prefill         string
	}{
		"the first is of the version":  {"v1", "a", "p1"},
		"the second is of the version": {"v2", "a", "p2"},
		"it is in another domain":      {"v2", "b", "p1"},
		"neither is of the version":    {"v3", "a", "p1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			list := append(engines(1, 4, 20000), ledger.Engine{ID: "p2", Domain: c.domain, Stage: pool.Prefill, Slots: 4, Tokens: 20000, Version: "v2"})
			list[0].Version, list[1].Version = "v1", c.version
			l.SetEngines(t0, list)
			if got := replyTo(t, l.Submit(t0, edge1, request(1)), 1); got.Prefill != c.prefill {
				t.Errorf("prefilled by %s, want %s", got.Prefill, c.prefill)
			}
		})
	}
}
