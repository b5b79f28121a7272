package decide

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/bench/fakes"
	"citronrock.example/citronrock/internal/core/cell"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
)

// incarnation is the incarnation of all daemons; none restarts in a run.
const incarnation = uint64(1_800_000_000_000_000_000)

// daemon is one simulated daemon with the edge and the owner state machine of the
// core.
type daemon struct {
	f            *fleet
	name, domain string
	edge         *flow.Machine
	owner        citronrock.Machine
	// cell is the owner if it is the core's, nil for a baseline.
	cell *cell.Machine
	wake time.Time
	out  []event.Action
	// dead makes the daemon ignore all events, as after a crash.
	dead bool
}

func newDaemon(f *fleet, i int) *daemon {
	d := &daemon{f: f, name: daemonName(i), domain: f.c.Load.Domains[i%len(f.c.Load.Domains)]}
	opts := []cell.Option{cell.WithTokenBytes(fakes.CacheBytes)}
	switch f.c.Mode {
	case ModeReports:
		opts = append(opts, cell.WithoutLeases())
	case ModePrefix:
		opts = append(opts, cell.WithoutPrefixes())
	case ModeRandom, ModeLeast, ModeTwo:
		d.owner = newBaseline(f.c.Mode, f.c.Seed+uint64(i))
	}
	edge := []flow.Option{flow.WithSeed(f.c.Seed + uint64(i))}
	if d.owner == nil {
		d.cell = cell.New(d.name, incarnation, opts...)
		d.owner = d.cell
		edge = append(edge, flow.WithStrikes(d.cell.Strikes()))
	}
	d.edge = flow.New(d.name, incarnation, edge...)
	return d
}

// hasOwner reports whether a cell has a single owner, which places all its requests.
func (d *daemon) hasOwner() bool { return d.cell != nil && d.f.c.Mode != ModeOwner }

// setMembers sets the membership. Without ownership each daemon's owner state
// machine has only that daemon as a member, so that it owns the cell itself.
func (d *daemon) setMembers(alive map[string]uint64) {
	d.executeAll(d.edge.Step(d.f.q.Now(), event.Members{Alive: alive}, nil))
	if !d.hasOwner() {
		alive = map[string]uint64{d.name: incarnation}
	}
	d.executeAll(d.owner.Step(d.f.q.Now(), event.Members{Alive: alive}, nil))
}

func (d *daemon) watches(string) bool {
	return !d.hasOwner() || d.cell.Owner("cell") == d.name
}

// feed steps both state machines with an event and executes their actions.
func (d *daemon) feed(e event.Event) {
	if d.dead {
		return
	}
	now := d.f.q.Now()
	d.out = d.edge.Step(now, e, d.out[:0])
	n := len(d.out)
	d.out = d.owner.Step(now, e, d.out)
	for i, a := range d.out {
		if _, ok := a.(event.Cancel); ok && i >= n && !d.hasOwner() {
			// Without ownership, requests of other daemons in a load report aren't
			// orphans and must not be canceled.
			continue
		}
		d.execute(a)
	}
	d.scheduleTick()
}

func (d *daemon) executeAll(actions []event.Action) {
	for _, a := range actions {
		d.execute(a)
	}
	d.scheduleTick()
}

// scheduleTick schedules the next Tick for when either state machine wants one.
func (d *daemon) scheduleTick() {
	next := d.edge.Wake()
	if w := d.owner.Wake(); next.IsZero() || !w.IsZero() && w.Before(next) {
		next = w
	}
	if next.IsZero() || !d.wake.IsZero() && !next.Before(d.wake) {
		return
	}
	d.wake = next
	d.f.q.At(next, func() {
		if d.wake.Equal(next) {
			d.wake = time.Time{}
			d.feed(event.Tick{})
		}
	})
}

func (d *daemon) delay(domain string) time.Duration {
	if domain == d.domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// send feeds an event to another daemon after the network's delay.
func (d *daemon) send(to string, e event.Event) {
	for _, o := range d.f.daemons {
		if o.name == to {
			d.f.q.After(d.delay(o.domain), func() { o.feed(e) })
		}
	}
}

func (d *daemon) ownerOf(cell string) string {
	if !d.hasOwner() {
		return d.name
	}
	return d.cell.Owner(cell)
}

func (d *daemon) execute(a event.Action) {
	switch a := a.(type) {
	case event.SendAsk:
		d.send(d.ownerOf(a.Ask.GetCell()), event.Asked{From: d.name, Ask: a.Ask})
	case event.SendDone:
		d.send(d.ownerOf(a.Done.GetCell()), event.Finished{From: d.name, Done: a.Done})
	case event.SendGrant:
		d.send(a.To, event.Granted{Grant: a.Grant})
	case event.SendStrike:
		d.f.q.After(gossipDelay, func() {
			for _, o := range d.f.daemons {
				if o != d {
					o.feed(event.Struck(a))
				}
			}
		})
	case event.Answer:
		if r := d.f.requests[a.Request]; r != nil && !r.answered {
			r.answered, r.kind, r.reason = true, a.Kind, a.Reason
		}
	default:
		d.executeAtEngine(a)
	}
}

// executeAtEngine executes an action at an engine and feeds back its outcome.
func (d *daemon) executeAtEngine(a event.Action) {
	origin := fakes.Origin{Name: d.name, Incarnation: incarnation}
	switch a := a.(type) {
	case event.Hold:
		d.call(a.Engine, a.Request, func(e *fakes.Engine, r *request, back func(event.Event)) {
			fault := e.Hold(&r.Request, origin, a.Pieces, a.Term)
			back(event.Held{Request: a.Request, Engine: a.Engine, Fault: fault})
		})
	case event.Prefill:
		d.call(a.Engine, a.Request, func(e *fakes.Engine, r *request, back func(event.Event)) {
			e.Prefill(&r.Request, origin, r.Tokens+r.tokens, a.Priority, func(f event.Fault) {
				back(event.Prefilled{Request: a.Request, Engine: a.Engine, Handle: a.Request, Tokens: r.Tokens, Fault: f})
			})
		})
	case event.Move:
		d.call(a.To, a.Request, func(e *fakes.Engine, _ *request, back func(event.Event)) {
			e.Move(a.Request, d.f.engines[a.From], func(f event.Fault) {
				back(event.Moved{Request: a.Request, Engine: a.To, Fault: f})
			})
		})
	case event.Decode:
		d.call(a.Engine, a.Request, func(e *fakes.Engine, r *request, back func(event.Event)) { d.decode(a, e, r, back) })
	case event.Cancel:
		d.call(a.Engine, a.Request, func(e *fakes.Engine, _ *request, back func(event.Event)) {
			back(event.Cancelled{Request: a.Request, Engine: a.Engine, Fault: e.Cancel(a.Request)})
		})
	}
}

// call runs f at an engine after the network's delay; back feeds an event to
// the daemon after the same delay.
func (d *daemon) call(name, request string, f func(e *fakes.Engine, r *request, back func(event.Event))) {
	e, r := d.f.engines[name], d.f.requests[request]
	delay := d.delay(e.Domain)
	back := func(v event.Event) { d.f.q.After(delay, func() { d.feed(v) }) }
	d.f.q.After(delay, func() { f(e, r, back) })
}

func (d *daemon) decode(a event.Decode, e *fakes.Engine, r *request, back func(event.Event)) {
	emit := func(next uint32) {
		back(event.Progress{Request: a.Request, Stream: a.Stream, Next: next})
		if next <= r.tokens {
			return
		}
		r.tokens, r.last = next, d.f.q.Now().Sub(d.f.start)
		if next == 1 {
			r.first = r.last
		}
	}
	end := func(f event.Fault) {
		back(event.Ended{Request: a.Request, Engine: a.Engine, Stream: a.Stream, Next: r.tokens, Fault: f})
	}
	e.Decode(a.Request, a.Stream, a.From, emit, end)
}
