package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// simulation models the engines and edge daemons around one machine. Its engines
// reserve memory as the leases require, and their load reports are delayed.
type simulation struct {
	*harness
	fakes     map[string]*fakeEngine
	grants    map[string]*peer.Grant
	grantedAt map[string]time.Time
	held      map[string]bool
	ended     []string
	leaving   map[string]bool
	lastID    int
	// refused counts the reservations for which an engine had no memory.
	refused int
	// log holds all actions as text.
	log []string
	// onGrant is called for each reply that grants a lease.
	onGrant func(*peer.Grant)
}

type fakeEngine struct {
	pieces, free uint32
	incarnation  uint64
	holds        map[string]uint32
	last         *engine.Report
	lastAt       time.Time
}

func newSimulation() *simulation {
	sim := &simulation{
		harness: newHarness(engines(2, 3)), fakes: map[string]*fakeEngine{},
		grants: map[string]*peer.Grant{}, grantedAt: map[string]time.Time{}, held: map[string]bool{},
		leaving: map[string]bool{}, onGrant: func(*peer.Grant) {},
	}
	for _, e := range sim.document.Engines {
		sim.fakes[e.Name] = &fakeEngine{pieces: 24, free: 24, incarnation: 1, holds: map[string]uint32{}}
	}
	sim.reports()
	sim.reports()
	return sim
}

func (sim *simulation) step(e event.Event) []event.Action {
	actions := sim.do(e)
	for _, a := range actions {
		sim.log = append(sim.log, fmt.Sprintf("%T%+v", a, a))
	}
	return actions
}

func (sim *simulation) names() []string { return slices.Sorted(maps.Keys(sim.fakes)) }

func (sim *simulation) reports() {
	for _, name := range sim.names() {
		sim.sendReport(name)
	}
}

// sendReport sends a load report that was measured when the previous one was sent.
func (sim *simulation) sendReport(name string) {
	f := sim.fakes[name]
	report := f.last
	if report == nil || report.Incarnation != f.incarnation {
		report, f.lastAt = f.report(name), sim.now
	}
	report.Lag = durationpb.New(sim.now.Sub(f.lastAt))
	sim.step(event.Reported{Engine: name, Report: report})
	f.last, f.lastAt = f.report(name), sim.now
}

func (f *fakeEngine) report(name string) *engine.Report {
	report := &engine.Report{
		Engine: name, Incarnation: f.incarnation, Pieces: f.pieces, Free: f.free,
		Slots: 100, Busy: uint32(len(f.holds)), Speed: 20000,
	}
	for _, request := range slices.Sorted(maps.Keys(f.holds)) {
		report.Running = append(report.Running, &engine.Running{Request: request, Instance: "me", Incarnation: 7, Pieces: f.holds[request], State: stateDecode})
	}
	return report
}

func (sim *simulation) ask(a *peer.Ask) {
	for _, action := range sim.step(event.Asked{From: "edge", Ask: a}) {
		if g, ok := action.(event.SendGrant); ok && g.Grant.Granted {
			sim.grants[a.Request], sim.grantedAt[a.Request] = g.Grant, sim.now
			sim.onGrant(g.Grant)
		}
	}
}

// choose returns one of the names by number, "" when there are none.
func choose(names []string, n uint32) string {
	if len(names) == 0 {
		return ""
	}
	return names[int(n)%len(names)]
}

func (sim *simulation) leased(held bool) []string {
	var names []string
	for _, request := range slices.Sorted(maps.Keys(sim.grants)) {
		if sim.held[request] == held {
			names = append(names, request)
		}
	}
	return names
}

func (sim *simulation) newAsk(n uint32) {
	sim.lastID++
	sim.ask(&peer.Ask{
		Request: fmt.Sprintf("r%05d", sim.lastID), Cell: "c", Tokens: 100 + n%9000,
		Output: 200, Print: uint64(sim.lastID), Priority: n % 3,
	})
}

// hold reserves the memory of an unused lease at its engine, as the edge daemon
// does within the term of the lease.
func (sim *simulation) hold(n uint32) {
	request := choose(sim.leased(false), n)
	if request == "" {
		return
	}
	g := sim.grants[request]
	f := sim.fakes[g.Decode]
	if sim.now.Sub(sim.grantedAt[request]) >= leaseTerm {
		delete(sim.grants, request)
		return
	}
	if f.free < g.Pieces {
		sim.refused++
		return
	}
	f.free -= g.Pieces
	f.holds[request] = g.Pieces
	sim.held[request] = true
}

func (sim *simulation) end(request, outcome string) {
	if request == "" {
		return
	}
	g := sim.grants[request]
	f := sim.fakes[g.Decode]
	f.free += f.holds[request]
	delete(f.holds, request)
	delete(sim.grants, request)
	sim.ended = append(sim.ended, request)
	sim.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcome, Output: 150}})
}

// crash restarts an engine with a new incarnation. The edge daemons report the
// crash for each of its runs.
func (sim *simulation) crash(n uint32) {
	name := choose(sim.names(), n)
	f := sim.fakes[name]
	f.incarnation++
	f.free, f.holds, f.last = f.pieces, map[string]uint32{}, nil
	sim.step(event.Unreachable{Engine: name})
	for _, request := range slices.Sorted(maps.Keys(sim.grants)) {
		if sim.grants[request].Decode != name {
			continue
		}
		delete(sim.grants, request)
		sim.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcomeCrash, Engine: name}})
	}
	sim.sendReport(name)
}

func (sim *simulation) leave(n uint32) {
	name := choose(sim.names(), n)
	sim.leaving[name] = !sim.leaving[name]
	list := event.Listed{Revision: sim.m.listRevision + 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}}
	for _, name := range sim.names() {
		state := "live"
		if sim.leaving[name] {
			state = stateLeaving
		}
		list.Instances = append(list.Instances, &platfm.Instance{Name: name, Kind: "engine", State: state})
	}
	sim.step(list)
}

func (sim *simulation) repeat(n uint32) {
	if request := choose(sim.leased(false), n); request != "" && n%2 == 0 {
		sim.step(event.Asked{From: "edge", Ask: &peer.Ask{Request: request, Cell: "c", Tokens: 100, Output: 200}})
	}
	if request := choose(sim.ended, n/2); request != "" {
		sim.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: "finish", Output: 150}})
	}
}

// takeover makes the machine give up its cell and take it over again.
func (sim *simulation) takeover(pause bool) {
	if pause {
		sim.step(event.Paused{Gap: time.Second})
	} else {
		sim.step(event.Members{Alive: map[string]uint64{"other": 1}})
	}
	sim.step(event.Members{Alive: map[string]uint64{"me": 7}})
}

// normalOp performs one of the operations that happen without faults.
func (sim *simulation) normalOp(op uint32) {
	n := op / 16
	switch op % 16 {
	case 0, 1, 2, 3, 4:
		sim.newAsk(n)
	case 5, 6, 7, 8:
		sim.hold(n)
	case 9, 10:
		sim.end(choose(sim.leased(true), n), "finish")
	case 11, 12:
		sim.sendReport(choose(sim.names(), n))
	case 13:
		sim.sleep(time.Duration(n%300) * time.Millisecond)
	case 14:
		sim.end(choose(sim.leased(false), n), "cancel")
	case 15:
		sim.repeat(n)
	}
	sim.step(event.Tick{})
}

// faultOp performs one of the operations that are due to faults.
func (sim *simulation) faultOp(op uint32) {
	n := op / 8
	switch op % 8 {
	case 0:
		sim.crash(n)
	case 1:
		sim.leave(n)
	case 2:
		sim.takeover(n%2 == 0)
	case 3:
		sim.sleep(time.Duration(n%4000) * time.Millisecond)
	case 4:
		sim.step(event.Unreachable{Engine: choose(sim.names(), n)})
	default:
		sim.reports()
	}
}

func (sim *simulation) anyOp(op uint32) {
	if op%10 == 0 {
		sim.faultOp(op / 10)
		return
	}
	sim.normalOp(op / 10)
}

// check tests a property on random sequences of operations, with a fixed seed.
func check(t *testing.T, holds func(ops []uint32) string) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 60
	properties := gopter.NewProperties(p)
	properties.Property("holds", prop.ForAll(holds, gen.SliceOfN(400, gen.UInt32()).WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
}
