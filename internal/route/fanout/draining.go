package fanout

import (
	"net/netip"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/route/pool"
)

// drainingMessage announces that a process of a backend server takes no new
// requests.
type drainingMessage struct {
	pool.Process
	// Relay lists the daemons to which the receiver forwards the message.
	Relay []netip.AddrPort `cbor:"3,keyasint,omitempty"`
}

// BroadcastDraining announces to all other daemons that a process takes no new
// requests. Daemons that miss the message learn it from the process's responses.
func (n *Node) BroadcastDraining(p pool.Process) {
	n.send(dgram.Drain, func(relay []netip.AddrPort) any { return drainingMessage{p, relay} })
}

// HandleDraining sets the function that receives the processes that other daemons
// announced as draining. It must not block.
func (n *Node) HandleDraining(f func(pool.Process)) {
	n.socket.Handle(dgram.Drain, func(_ netip.AddrPort, body []byte) {
		var m drainingMessage
		if !n.socket.Decode(body, &m) {
			return
		}
		if len(m.Relay) > 0 {
			n.socket.Send(dgram.Drain, drainingMessage{Process: m.Process}, m.Relay...)
		}
		f(m.Process)
	})
}
