package fanout

import (
	"net/netip"
	"slices"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/permit"
)

// maxNotices bounds the limits in one datagram, about 6 KB.
const maxNotices = 100

// limitMessage announces limits that servers have named or ended.
type limitMessage struct {
	Notices []permit.Notice `cbor:"1,keyasint"`
	// Relay lists the daemons to which the receiver forwards the message.
	Relay []netip.AddrPort `cbor:"2,keyasint,omitempty"`
}

// BroadcastLimits announces limits of servers to all other daemons.
func (n *Node) BroadcastLimits(notices []permit.Notice) {
	for part := range slices.Chunk(notices, maxNotices) {
		n.send(dgram.Limit, func(relay []netip.AddrPort) any { return limitMessage{part, relay} })
	}
}

// HandleLimits sets the function that receives the limits that other daemons announce.
// It must not block.
func (n *Node) HandleLimits(f func([]permit.Notice)) {
	n.socket.Handle(dgram.Limit, func(_ netip.AddrPort, body []byte) {
		var m limitMessage
		if !n.socket.Decode(body, &m) {
			return
		}
		if len(m.Relay) > 0 {
			n.socket.Send(dgram.Limit, limitMessage{Notices: m.Notices}, m.Relay...)
		}
		f(m.Notices)
	})
}
