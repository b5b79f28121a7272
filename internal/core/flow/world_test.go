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

// world runs a machine against small fake engines and owners, with faults drawn
// from a seed. It records what the properties check.
type world struct {
	rnd  *rand.Rand
	seed uint64
	m    *flow.Machine
	now  time.Time
	// chance is the probability of a fault at each place where one can happen.
	chance float64
	// expire makes reservations and caches end by themselves, as on real engines.
	// Without it nothing hides what the machine fails to free.
	expire bool
	// mute makes owners drop what they get now and then.
	mute    bool
	pending schedule
	seq     int
	engines map[string]*fake
	owners  map[string]map[string]*peer.Grant
	silent  map[string]time.Time
	callers map[string]*caller
	order   []string
	log     []logged
	pauses  int
	// resumed is the end of the last pause.
	resumed time.Time
	errs    []string
}

// logged is one step, for the replay.
type logged struct {
	at  time.Time
	in  event.Event
	out []event.Action
}

// caller is the traffic side of a request.
type caller struct {
	service           string
	from, max         uint32
	deadline          time.Time
	stream, next      uint32
	answers           int
	answer            event.Answer
	ran               int
	asks, sent, opens int
	gone              bool
}

// fake is an engine: the memory it holds by request, and its caches.
type fake struct {
	name  string
	down  bool
	life  int
	held  map[string]*memory
	cache map[string]time.Time
}

type memory struct {
	until  time.Time
	cached bool
	// stream is the number of the stream that runs, next its token index.
	stream, next uint32
}

type todo struct {
	at  time.Time
	seq int
	f   func()
}

type schedule []todo

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(todo)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

func newWorld(seed uint64, chance float64, expire, mute bool) *world {
	w := &world{
		seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, chance: chance, expire: expire, mute: mute,
		m:       flow.New("d1", seed, flow.WithStrikes(newMarks())),
		engines: map[string]*fake{}, owners: map[string]map[string]*peer.Grant{},
		silent: map[string]time.Time{}, callers: map[string]*caller{},
	}
	for _, e := range document().Engines {
		w.engines[e.Name] = &fake{name: e.Name, held: map[string]*memory{}, cache: map[string]time.Time{}}
		w.owners[e.Cell] = map[string]*peer.Grant{}
	}
	w.feed(event.Published{Document: document()})
	return w
}

func (w *world) fault() bool { return w.rnd.Float64() < w.chance }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.pending, todo{w.now.Add(d), w.seq, f})
}

// delay is the time of one message; now and then it is far too long.
func (w *world) delay() time.Duration {
	d := time.Duration(w.rnd.IntN(4000)) * time.Microsecond
	if w.fault() {
		d += time.Duration(w.rnd.IntN(1500)) * time.Millisecond
	}
	return d
}

// report feeds an outcome after a delay, now and then twice.
func (w *world) report(e event.Event) {
	w.after(w.delay(), func() { w.feed(e) })
	if w.fault() {
		w.after(w.delay(), func() { w.feed(e) })
	}
}

func (w *world) feed(e event.Event) {
	out := w.m.Step(w.now, e, nil)
	w.log = append(w.log, logged{w.now, e, out})
	for _, a := range out {
		w.carryOut(a)
	}
}

// run lets time pass until end or, when quiet, until nothing is left to do.
func (w *world) run(end time.Time, quiet bool) {
	for {
		at := w.m.Wake()
		if len(w.pending) > 0 && (at.IsZero() || w.pending[0].at.Before(at)) {
			at = w.pending[0].at
		}
		if at.IsZero() && quiet || at.After(end) || at.IsZero() {
			break
		}
		w.now = later(w.now, at)
		if len(w.pending) > 0 && !w.pending[0].at.After(w.now) {
			heap.Pop(&w.pending).(todo).f()
			continue
		}
		w.feed(event.Tick{})
	}
	if !quiet {
		w.now = later(w.now, end)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) carryOut(a event.Action) {
	switch a := a.(type) {
	case event.SendAsk:
		w.callers[a.Ask.GetRequest()].asks++
		w.asked(a.Ask)
	case event.SendDone:
		w.after(time.Millisecond, func() { w.finished(a.Done) })
	case event.Hold:
		w.at(a.Engine, func(e *fake, f event.Fault) {
			w.report(event.Held{Request: a.Request, Engine: a.Engine, Fault: w.holdOn(e, a, f)})
		})
	case event.Prefill:
		w.callers[a.Request].sent++
		w.at(a.Engine, func(e *fake, f event.Fault) { w.prefillOn(e, a, f) })
	case event.Move:
		w.at(a.To, func(e *fake, f event.Fault) { w.moveTo(e, a, f) })
	case event.Decode:
		w.opened(a)
		w.at(a.Engine, func(e *fake, f event.Fault) { w.decodeOn(e, a, f) })
	case event.Cancel:
		w.at(a.Engine, func(e *fake, f event.Fault) { w.cancelOn(e, a, f) })
	case event.Answer:
		w.answered(a)
	}
}

// at reaches an engine after a delay. The fault says what the attempt will
// report: FaultBroken when its reply is lost after it was carried out.
func (w *world) at(name string, f func(*fake, event.Fault)) {
	e := w.engines[name]
	w.after(w.delay(), func() {
		switch {
		case e.down || w.fault():
			f(e, event.FaultUnsent)
		case w.fault():
			f(e, event.FaultRefused)
		case w.fault():
			f(e, event.FaultBroken)
		default:
			f(e, event.FaultNone)
		}
	})
}

func (w *world) answered(a event.Answer) {
	c := w.callers[a.Request]
	c.answers++
	if c.answers > 1 {
		w.fail("%s: %d answers", a.Request, c.answers)
	}
	c.answer = a
	if w.now.After(later(c.deadline, w.resumed).Add(50 * time.Millisecond)) {
		w.fail("%s: answered %v after its deadline", a.Request, w.now.Sub(c.deadline))
	}
	if a.Kind == 0 && c.next != c.max {
		w.fail("%s: success with %d of %d tokens", a.Request, c.next, c.max)
	}
	if a.Kind == 1 && c.ran > 0 {
		w.fail("%s: not run, but a prefill ran", a.Request)
	}
}

func (w *world) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// asked answers an Ask in the order of arrival at the owner.
func (w *world) asked(a *peer.Ask) {
	if w.mute && w.fault() {
		w.silent[a.GetCell()] = w.now.Add(time.Duration(w.rnd.IntN(4000)) * time.Millisecond)
	}
	w.after(time.Millisecond, func() {
		if w.now.Before(w.silent[a.GetCell()]) {
			return
		}
		g := &peer.Grant{Request: a.GetRequest(), After: uint32(20 + w.rnd.IntN(200)), Reason: "overload"}
		if !w.fault() {
			w.assign(a, g)
		}
		if g.GetGranted() {
			w.owners[a.GetCell()][a.GetRequest()] = g
		} else {
			delete(w.owners[a.GetCell()], a.GetRequest())
		}
		w.report(event.Granted{Grant: g})
	})
}

// assign picks engines at random; now and then one that the Ask says to avoid.
func (w *world) assign(a *peer.Ask, g *peer.Grant) {
	avoid := a.GetAvoid()
	if w.fault() {
		avoid = nil
	}
	pick := func(names ...string) string {
		names = slices.DeleteFunc(names, func(n string) bool { return slices.Contains(avoid, a.GetCell()+n) })
		if len(names) == 0 {
			return ""
		}
		return a.GetCell() + names[w.rnd.IntN(len(names))]
	}
	g.Decode = pick("d1", "d2", "d3")
	g.Prefill = pick("p1", "p2")
	if w.rnd.IntN(5) == 0 {
		g.Prefill = g.GetDecode()
	}
	g.Granted = g.GetDecode() != "" && g.GetPrefill() != ""
	g.Pieces, g.Fence = 1, 5
	g.Start = uint32(w.rnd.IntN(30))
	g.First = g.GetStart() + 30
}

func (w *world) finished(d *peer.Done) {
	if w.now.Before(w.silent[d.GetCell()]) {
		return
	}
	delete(w.owners[d.GetCell()], d.GetRequest())
}
