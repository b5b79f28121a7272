package fanout

import (
	"net/netip"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/route/pool"
)

// leaving tells that a process of a backend server takes no new work.
type leaving struct {
	pool.Process
	// Relay are the daemons that the receiver passes the message on to.
	Relay []netip.AddrPort `cbor:"3,keyasint,omitempty"`
}

// BroadcastDraining tells all other daemons that a process takes no new work. Those that
// miss it learn it from the process's own answers.
func (n *Node) BroadcastDraining(p pool.Process) {
	n.spread(dgram.Drain, func(relay []netip.AddrPort) any { return leaving{p, relay} })
}

// HandleDraining sets the function that takes processes of which other daemons told
// that they take no new work. It must not block.
func (n *Node) HandleDraining(f func(pool.Process)) {
	n.socket.Handle(dgram.Drain, func(_ netip.AddrPort, body []byte) {
		var m leaving
		if !n.socket.Decode(body, &m) {
			return
		}
		if len(m.Relay) > 0 {
			n.socket.Send(dgram.Drain, leaving{Process: m.Process}, m.Relay...)
		}
		f(m.Process)
	})
}
