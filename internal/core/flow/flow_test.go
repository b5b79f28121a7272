package flow_test

import (
	"reflect"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/wire/peer"
)

var _ citronrock.Machine = (*flow.Machine)(nil)

// start is the time of the first event in all tests.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// document returns two services with two cells each; only drafts is idempotent.
func document() *policy.Document {
	d := &policy.Document{
		Version: 1,
		Tenants: []policy.Tenant{{Name: "agentschap"}},
		Services: []policy.Service{
			modelService("drafts", true), modelService("orders", false),
		},
	}
	for _, s := range []string{"drafts", "orders"} {
		for _, c := range []string{"a", "b"} {
			for _, e := range []string{"p1", "p2", "d1", "d2", "d3"} {
				role := policy.RoleDecode
				if e[0] == 'p' {
					role = policy.RolePrefill
				}
				d.Engines = append(d.Engines, policy.Engine{
					Name: s + c + e, Service: s, Cell: s + c, Role: role,
				})
			}
		}
	}
	return d
}

func modelService(name string, idempotent bool) policy.Service {
	return policy.Service{
		Name: name, Kind: policy.KindModel,
		LatencyTarget: policy.Duration(450 * time.Millisecond), GapTarget: policy.Duration(32 * time.Millisecond),
		Priority: 5, Idempotent: idempotent, Deferrable: idempotent, MaxQueue: 64,
	}
}

// script feeds single events to a machine.
type script struct {
	t   *testing.T
	m   *flow.Machine
	now time.Time
	out []event.Action
}

func newScript(t *testing.T, opts ...flow.Option) *script {
	t.Helper()
	s := &script{t: t, m: flow.New("d1", 1, opts...), now: start}
	s.step(event.Published{Document: document()})
	return s
}

func (s *script) step(e event.Event) { s.out = s.m.Step(s.now, e, nil) }

// wait advances the time by d, with a Tick whenever one is due, and keeps all
// actions of that time.
func (s *script) wait(d time.Duration) {
	var all []event.Action
	end := s.now.Add(d)
	for {
		wake := s.m.Wake()
		if wake.IsZero() || wake.After(end) {
			break
		}
		if wake.After(s.now) {
			s.now = wake
		}
		all = append(all, s.m.Step(s.now, event.Tick{}, nil)...)
	}
	s.now = end
	s.out = all
}

// one returns the only action of type A among the last actions.
func one[A event.Action](s *script) A {
	s.t.Helper()
	all := find[A](s.out)
	if len(all) != 1 {
		var a A
		s.t.Fatalf("want one %T, got %s", a, actionNames(s.out))
	}
	return all[0]
}

func find[A event.Action](out []event.Action) []A {
	var all []A
	for _, a := range out {
		if a, ok := a.(A); ok {
			all = append(all, a)
		}
	}
	return all
}

func actionNames(out []event.Action) string {
	s := ""
	for _, a := range out {
		s += reflect.TypeOf(a).Name() + " "
	}
	return s
}

func (s *script) arrive(id, service string) *peer.Ask {
	s.t.Helper()
	s.step(event.Arrive{
		Request: id, Tenant: "agentschap", Service: service,
		Tokens: 500, Max: 10, Print: 7, Deadline: s.now.Add(30 * time.Second),
	})
	return one[event.SendAsk](s).Ask
}

// grant replies to a lease request with a lease on the prefill engine p and the
// decode engine d of its cell.
func (s *script) grant(a *peer.Ask, p, d string) {
	s.step(event.Granted{Grant: &peer.Grant{
		Request: a.GetRequest(), Granted: true, Prefill: a.GetCell() + p, Decode: a.GetCell() + d,
		Pieces: 1, Start: 10, First: 60, Fence: 9,
	}})
}

// prefill drives a new request to the running prefill.
func (s *script) prefill(id, service string) event.Prefill {
	s.t.Helper()
	s.grant(s.arrive(id, service), "p1", "d1")
	s.step(event.Held{Request: id, Engine: one[event.Hold](s).Engine})
	s.wait(10 * time.Millisecond)
	return one[event.Prefill](s)
}

// moving drives a new request to the running KV transfer.
func (s *script) moving(id, service string) event.Move {
	s.t.Helper()
	p := s.prefill(id, service)
	s.step(event.Prefilled{Request: id, Engine: p.Engine, Handle: "h", Tokens: 500})
	return one[event.Move](s)
}

// decode drives a new request to the running stream.
func (s *script) decode(id, service string) event.Decode {
	s.t.Helper()
	v := s.moving(id, service)
	s.step(event.Moved{Request: id, Engine: v.To})
	return one[event.Decode](s)
}

// TestCompletes guards against missing or extra steps of a request without faults,
// and against state that is left after it.
func TestCompletes(t *testing.T) {
	s := newScript(t)
	d := s.decode("r", "drafts")
	if d.From != 0 || d.Max != 10 || d.Stream != 1 || d.Fence != 9 {
		t.Fatalf("decode %+v", d)
	}
	s.step(event.Progress{Request: "r", Stream: 1, Next: 4})
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Next: 10})
	if a := one[event.Answer](s); a.Kind != 0 {
		t.Fatalf("answer %+v", a)
	}
	if done := one[event.SendDone](s).Done; done.GetOutcome() != "finish" || done.GetOutput() != 10 {
		t.Fatalf("done %v", done)
	}
	if len(s.out) != 2 {
		t.Fatalf("unexpected actions %s", actionNames(s.out))
	}
	if w := s.m.Wake(); !w.IsZero() {
		t.Fatalf("a Tick is still due at %v", w)
	}
}
