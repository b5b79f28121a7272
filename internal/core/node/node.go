// Package node composes the state machines of one daemon and routes messages
// between its own edge and owner roles without a network.
package node

import (
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// Owner is the machine that accounts for cells.
type Owner interface {
	citronrock.Machine
	// Owner names the daemon that owns a cell, "" when none is known.
	Owner(cell string) string
}

// Node is the decision core of one daemon.
type Node struct {
	name  string
	edge  citronrock.Machine
	owner Owner
	more  []citronrock.Machine
	queue []event.Event
	buf   []event.Action
}

// New composes the edge and owner machines of the daemon with that name, and
// more machines that exchange no messages.
func New(name string, edge citronrock.Machine, owner Owner, more ...citronrock.Machine) *Node {
	return &Node{name: name, edge: edge, owner: owner, more: more}
}

// Step applies an event to both machines. Messages from this daemon to itself
// are applied in the same step; all other actions are appended to out.
func (n *Node) Step(now time.Time, e event.Event, out []event.Action) []event.Action {
	n.queue = append(n.queue[:0], e)
	for i := 0; i < len(n.queue); i++ {
		n.buf = n.owner.Step(now, n.queue[i], n.buf[:0])
		n.buf = n.edge.Step(now, n.queue[i], n.buf)
		for _, m := range n.more {
			n.buf = m.Step(now, n.queue[i], n.buf)
		}
		out = n.route(out)
	}
	clear(n.queue)
	return out
}

// Wake returns the earliest wish of the machines.
func (n *Node) Wake() time.Time {
	wake := earlier(n.edge.Wake(), n.owner.Wake())
	for _, m := range n.more {
		wake = earlier(wake, m.Wake())
	}
	return wake
}

// earlier returns the earlier of two times; zero is no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (n *Node) route(out []event.Action) []event.Action {
	for _, a := range n.buf {
		switch a := a.(type) {
		case event.SendAsk:
			if n.owner.Owner(a.Ask.Cell) == n.name {
				n.queue = append(n.queue, event.Asked{From: n.name, Ask: a.Ask})
				continue
			}
		case event.SendDone:
			if n.owner.Owner(a.Done.Cell) == n.name {
				n.queue = append(n.queue, event.Finished{From: n.name, Done: a.Done})
				continue
			}
		case event.SendGrant:
			if a.To == n.name {
				n.queue = append(n.queue, event.Granted{Grant: a.Grant})
				continue
			}
		}
		out = append(out, a)
	}
	return out
}
