// Package decide benchmarks the placement and admission decisions of the core.
// Several daemons, each with its edge and owner state machines, run in one
// process against simulated engines, in injected time and with seeded arrivals.
package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/bench/fakes"
	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/bench/sched"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Parameters of the simulated fleet: network delays, interval and age of load
// reports, delays of cache events and strikes, and the schedule of faults.
const (
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = time.Millisecond
	reportEvery      = 100 * time.Millisecond
	reportLag        = 100 * time.Millisecond
	cacheDelay       = 120 * time.Millisecond
	gossipDelay      = 300 * time.Millisecond
	crashDetection   = 50 * time.Millisecond
	faultEvery       = 10 * time.Second
	downFor          = 3 * time.Second
	warmup           = 10 * time.Second
	daemons          = 6
	// cacheEventLoss is the share of prefix cache events that are lost.
	cacheEventLoss = 0.01
)

// fleet is the state of one run: the daemons, the engines and the requests.
type fleet struct {
	c        Case
	q        *sched.Queue
	rnd      *rand.Rand
	start    time.Time
	daemons  []*daemon
	engines  map[string]*fakes.Engine
	order    []*fakes.Engine
	sequence map[string]uint64
	requests map[string]*request
	work     fakes.Work
	document *policy.Document
	records  []*request
	// rate is the arrival rate in requests per second.
	rate float64
}

// request is an arrival and its outcome. The times of its first and last token
// count from the start of the run.
type request struct {
	loads.Request
	first, last time.Duration
	tokens      uint32
	answered    bool
	kind        int
	reason      string
}

func newFleet(c Case) *fleet {
	f := &fleet{
		c: c, rate: c.rate(), q: sched.New(), rnd: rand.New(rand.NewPCG(c.Seed, 2)),
		engines: map[string]*fakes.Engine{}, sequence: map[string]uint64{}, requests: map[string]*request{},
	}
	f.start = f.q.Now()
	f.document = f.build()
	instances := f.instances()
	alive := map[string]uint64{}
	for i := range daemons {
		alive[daemonName(i)] = incarnation
	}
	for i := range daemons {
		f.daemons = append(f.daemons, newDaemon(f, i))
	}
	for _, d := range f.daemons {
		d.feed(event.Published{Document: f.document})
		d.feed(event.Listed{Revision: 1, Instances: instances})
		d.setMembers(alive)
	}
	return f
}

func daemonName(i int) string { return fmt.Sprint("daemon", i) }

// build creates the engines and returns the document that configures them.
func (f *fleet) build() *policy.Document {
	l := f.c.Load
	d := &policy.Document{
		Version: 1,
		Tenants: []policy.Tenant{{Name: "console", Rate: 1e6, Burst: 1e6, Weight: 1}},
		Services: []policy.Service{{
			Name: l.Service, Kind: policy.KindModel, LatencyTarget: policy.Duration(l.First), GapTarget: policy.Duration(l.Gap),
			Priority: 1, Idempotent: true, Deferrable: true, MaxQueue: 256, WasteWeight: l.Waste,
		}},
	}
	for i := range l.Prefill + l.Decode {
		role := policy.RoleDecode
		if i < l.Prefill {
			role = policy.RolePrefill
		}
		e := policy.Engine{
			Name: fmt.Sprintf("engine%02d", i), Service: l.Service, Cell: "cell", Role: role,
			Domain: l.Domains[i%len(l.Domains)], ChecksFencing: true,
		}
		d.Engines = append(d.Engines, e)
		f.addEngine(e)
	}
	return d
}

func (f *fleet) addEngine(p policy.Engine) {
	e := fakes.New(f.q, p.Name, p.Role, p.Domain, &f.work)
	e.Cached = func(stored, removed []uint64) { f.cached(e, stored, removed) }
	f.engines[p.Name] = e
	f.order = append(f.order, e)
	first := time.Duration(len(f.order)) * reportEvery / 16
	f.q.After(first, func() { f.report(e) })
}

func (f *fleet) instances() []*platfm.Instance {
	var list []*platfm.Instance
	for i := range daemons {
		list = append(list, &platfm.Instance{
			Name: daemonName(i), Kind: "daemon", State: "live", Domain: f.c.Load.Domains[i%len(f.c.Load.Domains)],
		})
	}
	for _, e := range f.order {
		list = append(list, &platfm.Instance{Name: e.Name, Kind: "engine", State: "live", Domain: e.Domain})
	}
	return list
}

// report sends an engine's load report to the daemons that watch it, delayed by
// reportLag, and schedules the next one.
func (f *fleet) report(e *fakes.Engine) {
	f.q.After(reportEvery, func() { f.report(e) })
	if !e.Up {
		return
	}
	r := e.Report()
	r.Lag = durationpb.New(reportLag)
	inc := e.Incarnation
	f.q.After(reportLag, func() {
		// The report of an engine that has crashed since is lost.
		if e.Up && e.Incarnation == inc {
			f.watchers(e.Name, event.Reported{Engine: e.Name, Report: r})
		}
	})
}

// cached sends a prefix cache event, delayed by cacheDelay; a random share is lost.
func (f *fleet) cached(e *fakes.Engine, stored, removed []uint64) {
	f.sequence[e.Name]++
	if f.rnd.Float64() < cacheEventLoss {
		return
	}
	c := &engine.CacheEvent{
		Sequence: f.sequence[e.Name], Incarnation: e.Incarnation,
		Stored: slices.Clone(stored), Removed: slices.Clone(removed),
	}
	f.q.After(cacheDelay, func() { f.watchers(e.Name, event.Cached{Engine: e.Name, Event: c}) })
}

func (f *fleet) watchers(name string, e event.Event) {
	for _, d := range f.daemons {
		if d.watches(name) {
			d.feed(e)
		}
	}
}

// fault crashes a random engine, restarts it after downFor and schedules the next
// fault.
func (f *fleet) fault() {
	e := f.order[f.rnd.IntN(len(f.order))]
	e.Kill()
	f.q.After(crashDetection, func() { f.watchers(e.Name, event.Unreachable{Engine: e.Name}) })
	f.q.After(downFor, e.Start)
	f.q.After(faultEvery, f.fault)
}

// arrivals schedules the next arrival, which schedules its successor, until end.
func (f *fleet) arrivals(s *loads.Source, end time.Duration) {
	r := &request{Request: s.Next(f.rate)}
	if r.At >= end {
		return
	}
	f.q.At(f.start.Add(r.At), func() {
		f.requests[r.ID] = r
		f.records = append(f.records, r)
		d := f.daemons[r.Edge%len(f.daemons)]
		d.feed(event.Arrive{
			Request: r.ID, Tenant: "console", Service: f.c.Load.Service, Priority: r.Priority,
			Tokens: r.Tokens, Max: f.c.Load.MaxOutput, Pieces: r.Pieces, Print: r.Fingerprint,
			Deadline: f.q.Now().Add(f.c.Load.Timeout),
		})
		f.arrivals(s, end)
	})
}

// run simulates the case and returns its result.
func (f *fleet) run() Result {
	// The warm-up isn't measured: a new owner grants fewer leases until its engines
	// have reported.
	end := warmup + f.c.Span
	f.arrivals(loads.New(f.c.Load, f.c.Seed), end)
	if f.c.Faults {
		f.q.After(warmup, f.fault)
	}
	f.q.Run(f.start.Add(warmup))
	before := f.work
	f.q.Run(f.start.Add(end))
	spent := fakes.Work{Total: f.work.Total - before.Total, Wasted: f.work.Wasted - before.Wasted}
	f.q.Run(f.start.Add(end + f.c.Load.Timeout))
	return f.result(spent)
}
