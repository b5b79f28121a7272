// Package node combines the state machines of one daemon, and delivers messages
// between its own edge and owner roles without the network.
package node

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// Owner is the state machine of the owner role, which accounts for the engines of
// cells.
type Owner interface {
	citronrock.Machine
	// Owner returns the name of the daemon that owns a cell, "" when none is known.
	Owner(cell string) string
}

// Node is the decision core of one daemon. It implements citronrock.Machine.
type Node struct {
	name    string
	edge    citronrock.Machine
	owner   Owner
	others  []citronrock.Machine
	events  []event.Event
	actions []event.Action
}

// New returns the core of the daemon with that name: its edge and owner machines,
// and others that exchange no messages with these.
func New(name string, edge citronrock.Machine, owner Owner, others ...citronrock.Machine) *Node {
	return &Node{name: name, edge: edge, owner: owner, others: others}
}

// Step applies an event to all machines. Messages from this daemon to itself are
// applied in the same step; all other actions are appended to out.
func (n *Node) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	n.events = append(n.events[:0], e)
	for i := 0; i < len(n.events); i++ {
		n.actions = n.owner.Step(now, n.events[i], n.actions[:0])
		n.actions = n.edge.Step(now, n.events[i], n.actions)
		for _, m := range n.others {
			n.actions = m.Step(now, n.events[i], n.actions)
		}
		out = n.route(out)
	}
	clear(n.events)
	return out
}

// Wake returns the earliest time at which a machine wants a Tick, zero for none.
func (n *Node) Wake() time.Time {
	wake := earlier(n.edge.Wake(), n.owner.Wake())
	for _, m := range n.others {
		wake = earlier(wake, m.Wake())
	}
	return wake
}

// earlier returns the earlier of two times, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (n *Node) route(out []event.Action) []event.Action {
	for _, a := range n.actions {
		switch a := a.(type) {
		case event.SendAsk:
			if n.owner.Owner(a.Ask.Cell) == n.name {
				n.events = append(n.events, event.Asked{From: n.name, Ask: a.Ask})
				continue
			}
		case event.SendDone:
			if n.owner.Owner(a.Done.Cell) == n.name {
				n.events = append(n.events, event.Finished{From: n.name, Done: a.Done})
				continue
			}
		case event.SendGrant:
			if a.To == n.name {
				n.events = append(n.events, event.Granted{Grant: a.Grant})
				continue
			}
		}
		out = append(out, a)
	}
	return out
}
