package node_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/node"
	"citronrock.example/citronrock/internal/wire/peer"
)

// fakeMachine records the events it gets, and returns a fixed action for each kind.
type fakeMachine struct {
	name      string
	seen      *[]string
	reactions map[string]event.Action
	wake      time.Time
	owner     string
}

func kind(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "event.") }

func (m *fakeMachine) Step(_ time.Time, e event.Event, out []event.Action) []event.Action {
	*m.seen = append(*m.seen, m.name+" "+kind(e))
	if a := m.reactions[kind(e)]; a != nil {
		out = append(out, a)
	}
	return out
}

func (m *fakeMachine) Wake() time.Time { return m.wake }

func (m *fakeMachine) Owner(string) string { return m.owner }

// Guards against messages of a daemon to itself that go to the network, which
// doesn't deliver them, or wait for another step, and against lost messages to other
// daemons.
func TestRoute(t *testing.T) {
	edge := map[string]event.Action{
		"Arrive":  event.SendAsk{Ask: &peer.Ask{Cell: "c"}},
		"Granted": event.SendDone{Done: &peer.Done{Cell: "c"}},
	}
	for name, c := range map[string]struct {
		owner, to string
		seen      []string
		out       []string
	}{
		"own cell": {
			"d1", "d1",
			[]string{"owner Arrive", "edge Arrive", "owner Asked", "edge Asked", "owner Granted", "edge Granted", "owner Finished", "edge Finished"},
			nil,
		},
		"other's cell": {"d2", "d1", []string{"owner Arrive", "edge Arrive"}, []string{"SendAsk"}},
		"no owner":     {"", "d1", []string{"owner Arrive", "edge Arrive"}, []string{"SendAsk"}},
		"other's request": {
			"d1", "d3",
			[]string{"owner Arrive", "edge Arrive", "owner Asked", "edge Asked"},
			[]string{"SendGrant"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log []string
			owner := &fakeMachine{name: "owner", seen: &log, owner: c.owner, reactions: map[string]event.Action{
				"Asked": event.SendGrant{To: c.to, Grant: &peer.Grant{}},
			}}
			n := node.New("d1", &fakeMachine{name: "edge", seen: &log, reactions: edge}, owner)
			// Actions already in out are kept.
			out := n.Step(time.Unix(1, 0), event.Arrive{}, []event.Action{event.Hold{}})
			var got []string
			for _, a := range out[1:] {
				got = append(got, kind(a))
			}
			if kind(out[0]) != "Hold" || !slices.Equal(got, c.out) || !slices.Equal(log, c.seen) {
				t.Errorf("actions %v, want %v; events %v, want %v", got, c.out, log, c.seen)
			}
		})
	}
}

// Guards against a missed timer of one machine when the other has a later one or
// none.
func TestWake(t *testing.T) {
	var none time.Time
	a, b := time.Unix(1, 0), time.Unix(2, 0)
	for name, c := range map[string]struct{ edge, owner, want time.Time }{
		"none":  {none, none, none},
		"edge":  {a, none, a},
		"owner": {none, a, a},
		"first": {a, b, a},
		"last":  {b, a, a},
	} {
		t.Run(name, func(t *testing.T) {
			n := node.New("d1", &fakeMachine{wake: c.edge}, &fakeMachine{wake: c.owner})
			if got := n.Wake(); !got.Equal(c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
