package link

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
)

// MaxPacket is the size in bytes of the largest datagram. It fits the MTU of every
// common link, since the loss of one IP fragment loses the datagram.
const MaxPacket = 1200

// SendPacket sends a datagram. The error is that of an oversized packet, an
// unknown address or the socket; datagrams may be lost without an error.
func (l *Link) SendPacket(to string, p *peer.Packet) error {
	raw, err := proto.Marshal(p)
	if err != nil {
		return eris.Wrapf(err, "cannot encode a packet for %s", to)
	}
	if len(raw) > MaxPacket {
		return eris.Errorf("a packet for %s has %d bytes, more than %d; send fewer records in it", to, len(raw), MaxPacket)
	}
	l.mu.Lock()
	at, ok := l.address(to)
	l.mu.Unlock()
	if !ok {
		return eris.Errorf("the address of %s is not known; wait for the platform's list", to)
	}
	if _, err := l.udp.WriteToUDPAddrPort(raw, at); err != nil {
		return eris.Wrapf(err, "cannot send a packet to %s at %s", to, at)
	}
	l.count.out.Add(uint64(len(raw) + datagramHeader))
	return nil
}

func (l *Link) receive() {
	buf := make([]byte, MaxPacket+1)
	for {
		n, at, err := l.udp.ReadFromUDPAddrPort(buf)
		if l.ctx.Err() != nil {
			return
		}
		if err != nil || n > MaxPacket {
			// A packet to an unreachable peer makes a later read fail.
			continue
		}
		l.count.in.Add(uint64(n + datagramHeader))
		p := new(peer.Packet)
		if proto.Unmarshal(buf[:n], p) != nil || p.From == "" {
			continue
		}
		l.learn(p.From, netip.AddrPortFrom(at.Addr().Unmap(), at.Port()))
		if l.handlers.Packet != nil {
			l.handlers.Packet(p)
		}
	}
}
