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

// world is a small model of engines and edges around one machine. Its engines
// hold memory as the machine's grants tell, and report it late.
type world struct {
	*rig
	fakes   map[string]*fake
	grants  map[string]*peer.Grant
	made    map[string]time.Time
	held    map[string]bool
	ended   []string
	leaving map[string]bool
	serial  int
	// refused counts holds that an engine had no memory for.
	refused int
	// log holds all actions as text.
	log []string
	// onGrant is called for each grant of a new request.
	onGrant func(*peer.Grant)
}

type fake struct {
	pieces, free uint32
	incarnation  uint64
	holds        map[string]uint32
	last         *engine.Report
	lastAt       time.Time
}

func newWorld() *world {
	w := &world{
		rig: newRig(engines(2, 3)), fakes: map[string]*fake{},
		grants: map[string]*peer.Grant{}, made: map[string]time.Time{}, held: map[string]bool{},
		leaving: map[string]bool{}, onGrant: func(*peer.Grant) {},
	}
	for _, e := range w.document.Engines {
		w.fakes[e.Name] = &fake{pieces: 24, free: 24, incarnation: 1, holds: map[string]uint32{}}
	}
	w.reports()
	w.reports()
	return w
}

func (w *world) step(e event.Event) []event.Action {
	actions := w.do(e)
	for _, a := range actions {
		w.log = append(w.log, fmt.Sprintf("%T%+v", a, a))
	}
	return actions
}

func (w *world) names() []string { return slices.Sorted(maps.Keys(w.fakes)) }

func (w *world) reports() {
	for _, name := range w.names() {
		w.sendReport(name)
	}
}

// sendReport sends the figures of the time of the last report, which is how far
// reports lag.
func (w *world) sendReport(name string) {
	f := w.fakes[name]
	r := f.last
	if r == nil || r.Incarnation != f.incarnation {
		r, f.lastAt = f.report(name), w.now
	}
	r.Lag = durationpb.New(w.now.Sub(f.lastAt))
	w.step(event.Reported{Engine: name, Report: r})
	f.last, f.lastAt = f.report(name), w.now
}

func (f *fake) report(name string) *engine.Report {
	r := &engine.Report{
		Engine: name, Incarnation: f.incarnation, Pieces: f.pieces, Free: f.free,
		Slots: 100, Busy: uint32(len(f.holds)), Speed: 20000,
	}
	for _, request := range slices.Sorted(maps.Keys(f.holds)) {
		r.Running = append(r.Running, &engine.Running{Request: request, Instance: "me", Incarnation: 7, Pieces: f.holds[request], State: stateDecode})
	}
	return r
}

func (w *world) ask(a *peer.Ask) {
	for _, action := range w.step(event.Asked{From: "edge", Ask: a}) {
		if g, ok := action.(event.SendGrant); ok && g.Grant.Granted {
			w.grants[a.Request], w.made[a.Request] = g.Grant, w.now
			w.onGrant(g.Grant)
		}
	}
}

// choose returns one of the names by number, "" when there is none.
func choose(names []string, n uint32) string {
	if len(names) == 0 {
		return ""
	}
	return names[int(n)%len(names)]
}

func (w *world) open(held bool) []string {
	var names []string
	for _, request := range slices.Sorted(maps.Keys(w.grants)) {
		if w.held[request] == held {
			names = append(names, request)
		}
	}
	return names
}

func (w *world) newAsk(n uint32) {
	w.serial++
	w.ask(&peer.Ask{
		Request: fmt.Sprintf("r%05d", w.serial), Cell: "c", Tokens: 100 + n%9000,
		Output: 200, Print: uint64(w.serial), Priority: n % 3,
	})
}

// hold lets the engine of an unused grant set its memory aside, as the edge
// would within the grant's term.
func (w *world) hold(n uint32) {
	request := choose(w.open(false), n)
	if request == "" {
		return
	}
	g := w.grants[request]
	f := w.fakes[g.Decode]
	if w.now.Sub(w.made[request]) >= term {
		delete(w.grants, request)
		return
	}
	if f.free < g.Pieces {
		w.refused++
		return
	}
	f.free -= g.Pieces
	f.holds[request] = g.Pieces
	w.held[request] = true
}

func (w *world) end(request, outcome string) {
	if request == "" {
		return
	}
	g := w.grants[request]
	f := w.fakes[g.Decode]
	f.free += f.holds[request]
	delete(f.holds, request)
	delete(w.grants, request)
	w.ended = append(w.ended, request)
	w.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcome, Output: 150}})
}

// crash kills an engine and brings it back with a new incarnation. Edges report
// the loss of each run.
func (w *world) crash(n uint32) {
	name := choose(w.names(), n)
	f := w.fakes[name]
	f.incarnation++
	f.free, f.holds, f.last = f.pieces, map[string]uint32{}, nil
	w.step(event.Unreachable{Engine: name})
	for _, request := range slices.Sorted(maps.Keys(w.grants)) {
		if w.grants[request].Decode != name {
			continue
		}
		delete(w.grants, request)
		w.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: outcomeCrash, Engine: name}})
	}
	w.sendReport(name)
}

func (w *world) leave(n uint32) {
	name := choose(w.names(), n)
	w.leaving[name] = !w.leaving[name]
	list := event.Listed{Revision: w.m.revision + 1, Instances: []*platfm.Instance{{Name: "me", Kind: "daemon", Domain: "gent", State: "live"}}}
	for _, name := range w.names() {
		state := "live"
		if w.leaving[name] {
			state = leaving
		}
		list.Instances = append(list.Instances, &platfm.Instance{Name: name, Kind: "engine", State: state})
	}
	w.step(list)
}

func (w *world) repeat(n uint32) {
	if request := choose(w.open(false), n); request != "" && n%2 == 0 {
		w.step(event.Asked{From: "edge", Ask: &peer.Ask{Request: request, Cell: "c", Tokens: 100, Output: 200}})
	}
	if request := choose(w.ended, n/2); request != "" {
		w.step(event.Finished{From: "edge", Done: &peer.Done{Request: request, Cell: "c", Outcome: "finish", Output: 150}})
	}
}

// takeover makes the machine lose its cell and own it again.
func (w *world) takeover(pause bool) {
	if pause {
		w.step(event.Paused{Gap: time.Second})
	} else {
		w.step(event.Members{Alive: map[string]uint64{"other": 1}})
	}
	w.step(event.Members{Alive: map[string]uint64{"me": 7}})
}

// normal does one of the things that happen without faults.
func (w *world) normal(op uint32) {
	n := op / 16
	switch op % 16 {
	case 0, 1, 2, 3, 4:
		w.newAsk(n)
	case 5, 6, 7, 8:
		w.hold(n)
	case 9, 10:
		w.end(choose(w.open(true), n), "finish")
	case 11, 12:
		w.sendReport(choose(w.names(), n))
	case 13:
		w.sleep(time.Duration(n%300) * time.Millisecond)
	case 14:
		w.end(choose(w.open(false), n), "cancel")
	case 15:
		w.repeat(n)
	}
	w.step(event.Tick{})
}

// fault does one of the things that happen with faults.
func (w *world) fault(op uint32) {
	n := op / 8
	switch op % 8 {
	case 0:
		w.crash(n)
	case 1:
		w.leave(n)
	case 2:
		w.takeover(n%2 == 0)
	case 3:
		w.sleep(time.Duration(n%4000) * time.Millisecond)
	case 4:
		w.step(event.Unreachable{Engine: choose(w.names(), n)})
	default:
		w.reports()
	}
}

func (w *world) any(op uint32) {
	if op%10 == 0 {
		w.fault(op / 10)
		return
	}
	w.normal(op / 10)
}

// check runs a property on sequences of operations, with a fixed seed.
func check(t *testing.T, holds func(ops []uint32) string) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 60
	properties := gopter.NewProperties(p)
	properties.Property("holds", prop.ForAll(holds, gen.SliceOfN(400, gen.UInt32()).WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
}
