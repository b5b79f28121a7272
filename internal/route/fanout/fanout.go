// Package fanout distributes changes of the platform's store among the daemons. A
// few of them, the readers, watch the store and broadcast updates to the others, so
// that the number of reads does not grow with the fleet.
package fanout

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

const (
	// changeRetention is how long a change is repeated in updates. A daemon
	// that misses all of them reads the store itself.
	changeRetention = 3 * time.Second
	// maxEvents bounds the events in one update, about 10 KB. If more has
	// changed, daemons read the store themselves.
	maxEvents = 100
	// sendIntervalPerPeer, times the number of other daemons, is the shortest
	// time between two updates: a reader causes at most a thousand messages a
	// second.
	sendIntervalPerPeer = time.Millisecond
	// maxDirect is the number of other daemons up to which a reader sends to
	// each one itself. In a larger fleet it sends through relays: sent
	// directly, updates with the changes of 69 servers to 294 daemons filled
	// the link of a small machine for a second.
	maxDirect = 32
)

// Event is a change of one backend server's entry in the store.
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
	// Version is the version of the server's software. Daemons that don't know the field
	// leave it out. Key 13 is taken in snapshots.
	Version string `cbor:"14,keyasint,omitempty"`
	// Deleted is set when the entry was removed, DuringOutage when that may be
	// an expiry due to a store outage.
	Deleted      bool `cbor:"10,keyasint,omitempty"`
	DuringOutage bool `cbor:"11,keyasint,omitempty"`
}

// PutEvent returns the event of an entry that was added or changed.
func PutEvent(s pool.Server) Event {
	return Event{Revision: s.Revision.Number, ID: s.ID, Service: s.Service, Addr: s.Addr, Domain: s.Domain,
		Slots: s.Slots, Stage: s.Stage, Draining: s.Draining, StartedAt: s.StartedAt.UnixMilli(), Sequence: s.Sequence, Version: s.Version}
}

// RevisionIn returns the event's revision, given the store's era.
func (e *Event) RevisionIn(era uint64) pool.Revision {
	return pool.Revision{Era: era, Number: e.Revision}
}

// Server returns the entry of an event that isn't a deletion, given the store's
// era.
func (e *Event) Server(era uint64) pool.Server {
	return pool.Server{ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain, Slots: e.Slots,
		Stage: e.Stage, Draining: e.Draining, StartedAt: time.UnixMilli(e.StartedAt), Revision: e.RevisionIn(era), Sequence: e.Sequence, Version: e.Version}
}

// Update is the message that a reader broadcasts after a read of the store.
type Update struct {
	// The update has all changes of entries after revision Base up to Revision,
	// both in Era.
	Base     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Version is that of the newest configuration, which the update does not
	// contain.
	Version uint64  `cbor:"3,keyasint"`
	Events  []Event `cbor:"4,keyasint,omitempty"`
	// Relay lists the daemons to which the receiver forwards the update.
	Relay []netip.AddrPort `cbor:"5,keyasint,omitempty"`
	// Era is the store's era, also that of the events' revisions.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// Patch is the encoded patch to Version from PatchBase, or from a version between
	// them. It is empty where the change is too large for an update.
	PatchBase uint64 `cbor:"7,keyasint,omitempty"`
	Patch     []byte `cbor:"8,keyasint,omitempty"`
	// Origin is the daemon that broadcast the update, which has Version.
	Origin netip.AddrPort `cbor:"9,keyasint,omitzero"`
	// Failing means that Origin is a reader that can't read the store, so that the update
	// doesn't show that its content is the newest.
	Failing bool `cbor:"10,keyasint,omitempty"`
}

// ChangeLog keeps the changes of recent reads, to be repeated in updates.
type ChangeLog struct {
	batches []batch
}

// batch is the changes of one read.
type batch struct {
	base   pool.Revision
	at     time.Time
	events []Event
}

// Add appends the changes of one read, which follow the revision base, and drops
// those older than changeRetention.
func (l *ChangeLog) Add(now time.Time, base pool.Revision, events []Event) {
	l.batches = slices.DeleteFunc(l.batches, func(b batch) bool { return now.Sub(b.at) > changeRetention })
	l.batches = append(l.batches, batch{base, now, events})
}

// Update returns an update up to revision at, with as many of the newest batches as
// fit in maxEvents and belong to the same era.
func (l *ChangeLog) Update(at pool.Revision, version uint64) Update {
	u := Update{Era: at.Era, Base: at.Number, Revision: at.Number, Version: version}
	first, size := len(l.batches), 0
	for first > 0 && size+len(l.batches[first-1].events) <= maxEvents && l.batches[first-1].base.Era == at.Era {
		first--
		size += len(l.batches[first].events)
		u.Base = l.batches[first].base.Number
	}
	for _, b := range l.batches[first:] {
		u.Events = append(u.Events, b.events...)
	}
	return u
}

// Reset drops all changes. It is called after a full read of the store.
func (l *ChangeLog) Reset() { l.batches = nil }

// Node sends and receives one daemon's updates.
type Node struct {
	self    netip.AddrPort
	socket  dgram.Transport
	members gossip.Members
	log     hclog.Logger
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	traffic Traffic

	mu sync.Mutex
	// unresponsive has the daemons that did not answer a fetch, and when.
	unresponsive map[netip.AddrPort]time.Time
	// sending is the number of documents that are being sent.
	sending int
	encoded encodedVersion
	// failing has the readers that could not read the store, and when they said so.
	failing map[netip.AddrPort]time.Time
}

// Option changes a setting of a node.
type Option func(*Node)

// WithDial replaces the function that opens connections to other daemons.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(n *Node) { n.dial = f }
}

// New returns the node of the daemon at self.
func New(self netip.AddrPort, socket dgram.Transport, members gossip.Members, log hclog.Logger, opts ...Option) *Node {
	n := &Node{self: self, socket: socket, members: members, log: log,
		dial: (&net.Dialer{Timeout: answerTimeout}).DialContext, unresponsive: map[netip.AddrPort]time.Time{}, failing: map[netip.AddrPort]time.Time{}}
	for _, o := range opts {
		o(n)
	}
	return n
}

// HandleUpdates sets the function that receives updates, with the address of their
// sender or relay. It must not block.
func (n *Node) HandleUpdates(f func(from netip.AddrPort, m Update)) {
	n.socket.Handle(dgram.Update, func(from netip.AddrPort, body []byte) {
		var m Update
		if !n.socket.Decode(body, &m) {
			return
		}
		if len(m.Relay) > 0 {
			forwarded := m
			forwarded.Relay = nil
			n.socket.Send(dgram.Update, forwarded, m.Relay...)
		}
		if m.Origin.IsValid() {
			n.setFailing(m.Origin, m.Failing)
		}
		f(from, m)
	})
}

// Broadcast sends an update to all other daemons. It returns how long to wait
// before the next one.
func (n *Node) Broadcast(m Update) time.Duration {
	m.Origin = n.self
	return sendIntervalPerPeer * time.Duration(n.send(dgram.Update, func(relay []netip.AddrPort) any {
		m.Relay = relay
		return m
	}))
}

// send sends a message to all other daemons and returns their number. In a large
// fleet it sends one message to a relay in each group, made with the list of
// daemons that the relay forwards it to.
func (n *Node) send(k dgram.Kind, message func(relay []netip.AddrPort) any) int {
	to := gossip.Others(n.members, n.self)
	if len(to) <= maxDirect {
		n.socket.Send(k, message(nil), to...)
		return len(to)
	}
	// Neighbours in the order of addresses are mostly in one failure domain. Relays
	// are picked at random, so that one that is down loses few messages.
	size := int(math.Ceil(math.Sqrt(float64(len(to)))))
	for group := range slices.Chunk(to, size) {
		relay := rand.IntN(len(group))
		n.socket.Send(k, message(slices.Delete(slices.Clone(group), relay, relay+1)), group[relay])
	}
	return len(to)
}
