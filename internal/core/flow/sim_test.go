package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/wire/peer"
)

// simulation runs a machine against fake engines and owners, with random faults from
// a seed. It records what the properties check.
type simulation struct {
	rnd  *rand.Rand
	seed uint64
	m    *flow.Machine
	now  time.Time
	// faultRate is the probability of a fault at each point where one can happen.
	faultRate float64
	// expire makes reservations and caches expire, as on real engines. Without it no
	// expiry hides what the machine fails to free.
	expire bool
	// ownersSilent makes owners drop messages at times.
	ownersSilent bool
	pending      schedule
	seq          int
	engines      map[string]*fakeEngine
	owners       map[string]map[string]*peer.Grant
	silentUntil  map[string]time.Time
	clients      map[string]*client
	order        []string
	log          []step
	pauses       int
	// resumed is the end of the last process pause.
	resumed time.Time
	errs    []string
}

// step is one step of the machine, for the replay.
type step struct {
	at  time.Time
	in  event.Event
	out []event.Action
}

// client is the client of a request, with what it received and what the machine did
// for it.
type client struct {
	service                 string
	from, max               uint32
	deadline                time.Time
	stream, next            uint32
	answers                 int
	answer                  event.Answer
	runs                    int
	asks, prefills, streams int
	left                    bool
}

// fakeEngine is an engine with its reservations and KV caches by request.
type fakeEngine struct {
	name   string
	down   bool
	starts int
	held   map[string]*heldMemory
	cache  map[string]time.Time
}

type heldMemory struct {
	until  time.Time
	cached bool
	// stream is the number of the stream that runs, next its token index.
	stream, next uint32
}

type scheduled struct {
	at  time.Time
	seq int
	f   func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

func newSimulation(seed uint64, faultRate float64, expire, ownersSilent bool) *simulation {
	sim := &simulation{
		seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, faultRate: faultRate, expire: expire, ownersSilent: ownersSilent,
		m:       flow.New("d1", seed, flow.WithStrikes(newStrikeTable())),
		engines: map[string]*fakeEngine{}, owners: map[string]map[string]*peer.Grant{},
		silentUntil: map[string]time.Time{}, clients: map[string]*client{},
	}
	for _, e := range document().Engines {
		sim.engines[e.Name] = &fakeEngine{name: e.Name, held: map[string]*heldMemory{}, cache: map[string]time.Time{}}
		sim.owners[e.Cell] = map[string]*peer.Grant{}
	}
	sim.feed(event.Published{Document: document()})
	return sim
}

func (sim *simulation) fault() bool { return sim.rnd.Float64() < sim.faultRate }

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.pending, scheduled{sim.now.Add(d), sim.seq, f})
}

// delay returns the delay of a message; some are far too long.
func (sim *simulation) delay() time.Duration {
	d := time.Duration(sim.rnd.IntN(4000)) * time.Microsecond
	if sim.fault() {
		d += time.Duration(sim.rnd.IntN(1500)) * time.Millisecond
	}
	return d
}

// report feeds an outcome after a delay, sometimes twice.
func (sim *simulation) report(e event.Event) {
	sim.after(sim.delay(), func() { sim.feed(e) })
	if sim.fault() {
		sim.after(sim.delay(), func() { sim.feed(e) })
	}
}

func (sim *simulation) feed(e event.Event) {
	out := sim.m.Step(sim.now, e, nil)
	sim.log = append(sim.log, step{sim.now, e, out})
	for _, a := range out {
		sim.carryOut(a)
	}
}

// run advances the time until end or, when quiet, until nothing is left to do.
func (sim *simulation) run(end time.Time, quiet bool) {
	for {
		at := sim.m.Wake()
		if len(sim.pending) > 0 && (at.IsZero() || sim.pending[0].at.Before(at)) {
			at = sim.pending[0].at
		}
		if at.IsZero() && quiet || at.After(end) || at.IsZero() {
			break
		}
		sim.now = later(sim.now, at)
		if len(sim.pending) > 0 && !sim.pending[0].at.After(sim.now) {
			heap.Pop(&sim.pending).(scheduled).f()
			continue
		}
		sim.feed(event.Tick{})
	}
	if !quiet {
		sim.now = later(sim.now, end)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (sim *simulation) carryOut(a event.Action) {
	switch a := a.(type) {
	case event.SendAsk:
		sim.clients[a.Ask.GetRequest()].asks++
		sim.asked(a.Ask)
	case event.SendDone:
		sim.after(time.Millisecond, func() { sim.finished(a.Done) })
	case event.Hold:
		sim.at(a.Engine, func(e *fakeEngine, f event.Fault) {
			sim.report(event.Held{Request: a.Request, Engine: a.Engine, Fault: sim.holdOn(e, a, f)})
		})
	case event.Prefill:
		sim.clients[a.Request].prefills++
		sim.at(a.Engine, func(e *fakeEngine, f event.Fault) { sim.prefillOn(e, a, f) })
	case event.Move:
		sim.at(a.To, func(e *fakeEngine, f event.Fault) { sim.moveTo(e, a, f) })
	case event.Decode:
		sim.opened(a)
		sim.at(a.Engine, func(e *fakeEngine, f event.Fault) { sim.decodeOn(e, a, f) })
	case event.Cancel:
		sim.at(a.Engine, func(e *fakeEngine, f event.Fault) { sim.cancelOn(e, a, f) })
	case event.Answer:
		sim.answered(a)
	}
}

// at calls f with an engine after a delay. The fault is what the attempt reports:
// FaultBroken when the answer is lost after the engine has carried it out.
func (sim *simulation) at(name string, f func(*fakeEngine, event.Fault)) {
	e := sim.engines[name]
	sim.after(sim.delay(), func() {
		switch {
		case e.down || sim.fault():
			f(e, event.FaultUnsent)
		case sim.fault():
			f(e, event.FaultRefused)
		case sim.fault():
			f(e, event.FaultBroken)
		default:
			f(e, event.FaultNone)
		}
	})
}

func (sim *simulation) answered(a event.Answer) {
	c := sim.clients[a.Request]
	c.answers++
	if c.answers > 1 {
		sim.fail("%s: %d answers", a.Request, c.answers)
	}
	c.answer = a
	if sim.now.After(later(c.deadline, sim.resumed).Add(50 * time.Millisecond)) {
		sim.fail("%s: answered %v after its deadline", a.Request, sim.now.Sub(c.deadline))
	}
	if a.Kind == 0 && c.next != c.max {
		sim.fail("%s: success with %d of %d tokens", a.Request, c.next, c.max)
	}
	if a.Kind == 1 && c.runs > 0 {
		sim.fail("%s: not run, but a prefill ran", a.Request)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	sim.errs = append(sim.errs, fmt.Sprintf(format, args...))
}

// asked replies to lease requests in the order in which they reach the owner.
func (sim *simulation) asked(a *peer.Ask) {
	if sim.ownersSilent && sim.fault() {
		sim.silentUntil[a.GetCell()] = sim.now.Add(time.Duration(sim.rnd.IntN(4000)) * time.Millisecond)
	}
	sim.after(time.Millisecond, func() {
		if sim.now.Before(sim.silentUntil[a.GetCell()]) {
			return
		}
		g := &peer.Grant{Request: a.GetRequest(), After: uint32(20 + sim.rnd.IntN(200)), Reason: "overload"}
		if !sim.fault() {
			sim.assign(a, g)
		}
		if g.GetGranted() {
			sim.owners[a.GetCell()][a.GetRequest()] = g
		} else {
			delete(sim.owners[a.GetCell()], a.GetRequest())
		}
		sim.report(event.Granted{Grant: g})
	})
}

// assign picks random engines, sometimes one that the lease request avoids.
func (sim *simulation) assign(a *peer.Ask, g *peer.Grant) {
	avoid := a.GetAvoid()
	if sim.fault() {
		avoid = nil
	}
	pick := func(names ...string) string {
		names = slices.DeleteFunc(names, func(n string) bool { return slices.Contains(avoid, a.GetCell()+n) })
		if len(names) == 0 {
			return ""
		}
		return a.GetCell() + names[sim.rnd.IntN(len(names))]
	}
	g.Decode = pick("d1", "d2", "d3")
	g.Prefill = pick("p1", "p2")
	if sim.rnd.IntN(5) == 0 {
		g.Prefill = g.GetDecode()
	}
	g.Granted = g.GetDecode() != "" && g.GetPrefill() != ""
	g.Pieces, g.Fence = 1, 5
	g.Start = uint32(sim.rnd.IntN(30))
	g.First = g.GetStart() + 30
}

func (sim *simulation) finished(d *peer.Done) {
	if sim.now.Before(sim.silentUntil[d.GetCell()]) {
		return
	}
	delete(sim.owners[d.GetCell()], d.GetRequest())
}
