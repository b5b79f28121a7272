// Package notice spreads what a few daemons read from the store to all others,
// so that the number of reads does not grow with the fleet.
package notice

import (
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/beat"
	"citronrock.example/citronrock/internal/peer/gram"
	"citronrock.example/citronrock/internal/route/fleet"
)

const (
	// key is what readers are chosen by.
	key = "store"
	// fewReaders daemons read in a fleet of up to smallFleet, manyReaders in a
	// larger one: all of them may be cut off from the store at once.
	fewReaders  = 2
	manyReaders = 3
	smallFleet  = 8
	// memory is how long a change is repeated. A daemon that misses all of these
	// notices reads the store itself.
	memory = 3 * time.Second
	// largest is the number of changes in one notice, about 10 KB. Daemons read
	// the store themselves when more has changed.
	largest = 100
	// costEach is the shortest time between two notices for each daemon in the
	// fleet, so that a reader sends at most a thousand a second.
	costEach = time.Millisecond
)

// Event is a change of one backend server's entry.
type Event struct {
	Revision uint64         `cbor:"1,keyasint"`
	ID       string         `cbor:"2,keyasint"`
	Service  string         `cbor:"3,keyasint,omitempty"`
	Addr     netip.AddrPort `cbor:"4,keyasint"`
	Domain   string         `cbor:"5,keyasint,omitempty"`
	Slots    int            `cbor:"6,keyasint,omitempty"`
	Stage    fleet.Stage    `cbor:"7,keyasint,omitempty"`
	Leaving  bool           `cbor:"8,keyasint,omitempty"`
	// Born is the start of the server's process in Unix milliseconds.
	Born int64  `cbor:"9,keyasint,omitempty"`
	Beat uint64 `cbor:"12,keyasint,omitempty"`
	// Gone tells that the entry was removed, Lapsed that this may be due to an
	// outage of the store.
	Gone   bool `cbor:"10,keyasint,omitempty"`
	Lapsed bool `cbor:"11,keyasint,omitempty"`
}

// Put returns the event of a changed entry.
func Put(s fleet.Server) Event {
	return Event{Revision: s.Revision, ID: s.ID, Service: s.Service, Addr: s.Addr, Domain: s.Domain,
		Slots: s.Slots, Stage: s.Stage, Leaving: s.Leaving, Born: s.Born.UnixMilli(), Beat: s.Beat}
}

// Server returns the changed entry.
func (e *Event) Server() fleet.Server {
	return fleet.Server{ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain, Slots: e.Slots,
		Stage: e.Stage, Leaving: e.Leaving, Born: time.UnixMilli(e.Born), Revision: e.Revision, Beat: e.Beat}
}

// Notice is what a reader tells after a read.
type Notice struct {
	// Base and At are revisions of the store. The notice has all changes of
	// entries after Base up to At.
	Base uint64 `cbor:"1,keyasint"`
	At   uint64 `cbor:"2,keyasint"`
	// Version is the newest configuration's.
	Version uint64  `cbor:"3,keyasint"`
	Events  []Event `cbor:"4,keyasint,omitempty"`
}

// Log collects the changes of the last reads.
type Log struct {
	reads []read
}

type read struct {
	base   uint64
	when   time.Time
	events []Event
}

// Add takes the changes of one read after the revision base.
func (l *Log) Add(now time.Time, base uint64, events []Event) {
	l.reads = slices.DeleteFunc(l.reads, func(r read) bool { return now.Sub(r.when) > memory })
	l.reads = append(l.reads, read{base, now, events})
}

// Notice returns the notice of the last reads, as many as fit. at is the
// revision of the last one.
func (l *Log) Notice(at, version uint64) Notice {
	n := Notice{Base: at, At: at, Version: version}
	first, size := len(l.reads), 0
	for first > 0 && size+len(l.reads[first-1].events) <= largest {
		first--
		size += len(l.reads[first].events)
		n.Base = l.reads[first].base
	}
	for _, r := range l.reads[first:] {
		n.Events = append(n.Events, r.events...)
	}
	return n
}

// Reset forgets the changes, after a read of everything.
func (l *Log) Reset() { l.reads = nil }

// Node sends and receives the notices of one daemon.
type Node struct {
	self    netip.AddrPort
	socket  gram.Port
	members beat.Members
}

// New returns the node of the daemon at self.
func New(self netip.AddrPort, socket gram.Port, members beat.Members) *Node {
	return &Node{self: self, socket: socket, members: members}
}

// Handle sets the function that takes notices. It must not block.
func (n *Node) Handle(f func(Notice)) {
	n.socket.Handle(gram.Notice, func(_ netip.AddrPort, body []byte) {
		var m Notice
		if n.socket.Decode(body, &m) {
			f(m)
		}
	})
}

// Reader tells whether this daemon is one of those that read the store. While no
// daemon is mature, as when all start together, they are chosen of all.
func (n *Node) Reader() bool {
	alive := n.members.Alive()
	names, all := make([]string, 0, len(alive)), make([]string, 0, len(alive))
	for _, m := range alive {
		all = append(all, m.Addr.String())
		if m.Mature {
			names = append(names, m.Addr.String())
		}
	}
	if len(names) == 0 {
		names = all
	}
	readers := fewReaders
	if len(alive) > smallFleet {
		readers = manyReaders
	}
	return len(all) <= readers || slices.Contains(owner.Top(key, names, readers), n.self.String())
}

// Tell sends a notice to all other daemons. It returns the time until the next
// one may be sent.
func (n *Node) Tell(m Notice) time.Duration {
	to := beat.Others(n.members, n.self)
	n.socket.Send(gram.Notice, m, to...)
	return costEach * time.Duration(len(to))
}
