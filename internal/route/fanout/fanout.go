// Package fanout spreads what a few daemons read from the store to all others,
// so that the number of reads does not grow with the fleet.
package fanout

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/pool"
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
	// direct is the number of other daemons up to which a reader tells each one
	// itself. In a larger fleet some pass a notice on: notices with the changes of
	// 69 servers to 294 daemons filled the link of a small machine for a second.
	direct = 32
)

// Event is a change of one backend server's entry.
type Event struct {
	Revision uint64         `cbor:"1,keyasint"`
	ID       string         `cbor:"2,keyasint"`
	Service  string         `cbor:"3,keyasint,omitempty"`
	Addr     netip.AddrPort `cbor:"4,keyasint"`
	Domain   string         `cbor:"5,keyasint,omitempty"`
	Slots    int            `cbor:"6,keyasint,omitempty"`
	Stage    pool.Stage     `cbor:"7,keyasint,omitempty"`
	Draining bool           `cbor:"8,keyasint,omitempty"`
	// StartedAt is the start of the server's process in Unix milliseconds.
	StartedAt int64  `cbor:"9,keyasint,omitempty"`
	Sequence  uint64 `cbor:"12,keyasint,omitempty"`
	// Deleted tells that the entry was removed, Lapsed that this may be due to an
	// outage of the store.
	Deleted      bool `cbor:"10,keyasint,omitempty"`
	DuringOutage bool `cbor:"11,keyasint,omitempty"`
}

// PutEvent returns the event of a changed entry.
func PutEvent(s pool.Server) Event {
	return Event{Revision: s.Revision.Number, ID: s.ID, Service: s.Service, Addr: s.Addr, Domain: s.Domain,
		Slots: s.Slots, Stage: s.Stage, Draining: s.Draining, StartedAt: s.StartedAt.UnixMilli(), Sequence: s.Sequence}
}

// RevisionIn returns the revision of an event of an era of the store.
func (e *Event) RevisionIn(era uint64) pool.Revision {
	return pool.Revision{Era: era, Number: e.Revision}
}

// Server returns the changed entry, which was read in an era of the store.
func (e *Event) Server(era uint64) pool.Server {
	return pool.Server{ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain, Slots: e.Slots,
		Stage: e.Stage, Draining: e.Draining, StartedAt: time.UnixMilli(e.StartedAt), Revision: e.RevisionIn(era), Sequence: e.Sequence}
}

// Update is what a reader tells after a read.
type Update struct {
	// Base and At are revisions of the store in Era. The notice has all changes of
	// entries after Base up to At.
	Base     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Version is the newest configuration's.
	Version uint64  `cbor:"3,keyasint"`
	Events  []Event `cbor:"4,keyasint,omitempty"`
	// Relay are the daemons that the receiver passes the notice on to.
	Relay []netip.AddrPort `cbor:"5,keyasint,omitempty"`
	// Era is the store's, also of the revisions of the events.
	Era uint64 `cbor:"6,keyasint,omitempty"`
}

// ChangeLog collects the changes of the last reads.
type ChangeLog struct {
	reads []read
}

type read struct {
	base   pool.Revision
	when   time.Time
	events []Event
}

// Add takes the changes of one read after the revision base.
func (l *ChangeLog) Add(now time.Time, base pool.Revision, events []Event) {
	l.reads = slices.DeleteFunc(l.reads, func(r read) bool { return now.Sub(r.when) > memory })
	l.reads = append(l.reads, read{base, now, events})
}

// Update returns the notice of the last reads, as many as fit. at is the
// revision of the last one.
func (l *ChangeLog) Update(at pool.Revision, version uint64) Update {
	n := Update{Era: at.Era, Base: at.Number, Revision: at.Number, Version: version}
	first, size := len(l.reads), 0
	for first > 0 && size+len(l.reads[first-1].events) <= largest && l.reads[first-1].base.Era == at.Era {
		first--
		size += len(l.reads[first].events)
		n.Base = l.reads[first].base.Number
	}
	for _, r := range l.reads[first:] {
		n.Events = append(n.Events, r.events...)
	}
	return n
}

// Reset forgets the changes, after a read of everything.
func (l *ChangeLog) Reset() { l.reads = nil }

// Node sends and receives the notices of one daemon.
type Node struct {
	self    netip.AddrPort
	socket  dgram.Transport
	members gossip.Members
}

// New returns the node of the daemon at self.
func New(self netip.AddrPort, socket dgram.Transport, members gossip.Members) *Node {
	return &Node{self: self, socket: socket, members: members}
}

// HandleUpdates sets the function that takes notices and the daemons that sent them. It
// must not block.
func (n *Node) HandleUpdates(f func(from netip.AddrPort, m Update)) {
	n.socket.Handle(dgram.Update, func(from netip.AddrPort, body []byte) {
		var m Update
		if !n.socket.Decode(body, &m) {
			return
		}
		if len(m.Relay) > 0 {
			on := m
			on.Relay = nil
			n.socket.Send(dgram.Update, on, m.Relay...)
		}
		f(from, m)
	})
}

// IsReader tells whether this daemon is one of those that read the store. Daemons
// with less than half the power of the strongest are not chosen, as their links
// are small, too. While no daemon is mature, as when all start together, readers
// are chosen of all.
func (n *Node) IsReader() bool {
	alive := n.members.Alive()
	readers := fewReaders
	if len(alive) > smallFleet {
		readers = manyReaders
	}
	least := leastPower(alive, readers)
	names, all := make([]string, 0, len(alive)), make([]string, 0, len(alive))
	for _, m := range alive {
		if m.Power < least {
			continue
		}
		all = append(all, m.Addr.String())
		if m.Mature {
			names = append(names, m.Addr.String())
		}
	}
	if len(names) == 0 {
		names = all
	}
	return len(alive) <= readers || slices.Contains(owner.Top(key, names, readers), n.self.String())
}

// leastPower is the power that readers have, unless fewer daemons than are needed
// have it.
func leastPower(alive []gossip.LiveMember, readers int) uint32 {
	strongest, strong := uint32(0), 0
	for _, m := range alive {
		strongest = max(strongest, m.Power)
	}
	for _, m := range alive {
		if 2*m.Power >= strongest {
			strong++
		}
	}
	if strong < readers {
		return 0
	}
	return (strongest + 1) / 2
}

// Broadcast sends a notice to all other daemons. It returns the time until the next
// one may be sent.
func (n *Node) Broadcast(m Update) time.Duration {
	return costEach * time.Duration(n.spread(dgram.Update, func(relay []netip.AddrPort) any {
		m.Relay = relay
		return m
	}))
}

// spread sends a message to all other daemons and returns their number. The message
// has the daemons that its receiver passes it on to.
func (n *Node) spread(k dgram.Kind, message func(relay []netip.AddrPort) any) int {
	to := gossip.Others(n.members, n.self)
	if len(to) <= direct {
		n.socket.Send(k, message(nil), to...)
		return len(to)
	}
	// Neighbours in the order of addresses are mostly in one failure domain. The
	// relay of each part changes, so that a daemon that is gone fails few messages.
	part := int(math.Ceil(math.Sqrt(float64(len(to)))))
	for group := range slices.Chunk(to, part) {
		relay := rand.IntN(len(group))
		n.socket.Send(k, message(slices.Delete(slices.Clone(group), relay, relay+1)), group[relay])
	}
	return len(to)
}
