// Package dgram exchanges datagrams between daemons. A datagram is a version byte,
// a kind byte and a CBOR message. Datagrams may be lost, duplicated or reordered;
// protocols are designed so that a later message repairs the loss.
package dgram

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"citronrock.example/citronrock/internal/logs/panics"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// Kind selects the handler of a message.
type Kind byte

// Kinds of messages.
const (
	Gossip Kind = iota + 1
	LeaseRequest
	LeaseReply
	LeaseCancel
	Report
	Update
	Strike
	Drain
	Limit
	PermitRequest
	PermitReply
	OriginRecord
	OriginConfirm
	OriginQuery
	OriginReply
	QuotaRequest
	QuotaReply
	QuotaLevels
)

// KindNames holds the name of each kind in metrics.
var KindNames = map[Kind]string{Gossip: "beat", LeaseRequest: "ask", LeaseReply: "answer", LeaseCancel: "drop", Report: "report", Update: "notice", Strike: "strike", Drain: "leave",
	Limit: "limit", PermitRequest: "want", PermitReply: "permit",
	OriginRecord: "keep", OriginConfirm: "kept", OriginQuery: "seek", OriginReply: "found",
	QuotaRequest: "charge", QuotaReply: "charged", QuotaLevels: "levels"}

const (
	// version increases with each incompatible change of a message.
	version = 1
	// maxDatagram is the size of the largest datagram in bytes; larger messages are
	// not sent.
	maxDatagram = 16 << 10
)

// Handler processes the body of a message. It must not block.
type Handler func(from netip.AddrPort, body []byte)

// Transport sends messages to other daemons and dispatches received ones by kind.
type Transport interface {
	Send(k Kind, message any, to ...netip.AddrPort)
	Handle(k Kind, h Handler)
	Decode(body []byte, message any) bool
}

// Socket is a Transport over UDP.
type Socket struct {
	conn     *net.UDPConn
	handlers [256]atomic.Pointer[Handler]
	log      hclog.Logger
	done     chan struct{}
	// in and out count bytes by kind.
	in, out   [256]atomic.Uint64
	discarded atomic.Uint64
}

// Listen opens a UDP socket at addr and starts receiving. It fails when the
// address can't be bound.
func Listen(addr netip.AddrPort, log hclog.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen for datagrams on %s; check that the port is free", addr)
	}
	s := &Socket{conn: conn, log: log, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.receive()
	}()
	return s, nil
}

// Handle sets the handler of a kind, in place of an earlier one.
func (s *Socket) Handle(k Kind, h Handler) { s.handlers[k].Store(&h) }

// Send sends a message to some daemons. Failures are only logged, since protocols
// send again what matters.
func (s *Socket) Send(k Kind, message any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(message)
	if err != nil || len(body)+2 > maxDatagram {
		s.log.Error("datagram not sent: message can't be encoded", "kind", int(k), "bytes", len(body), "error", err)
		return
	}
	packet := append(make([]byte, 0, len(body)+2), version, byte(k))
	packet = append(packet, body...)
	for _, addr := range to {
		if _, err := s.conn.WriteToUDPAddrPort(packet, addr); err != nil {
			s.log.Debug("datagram not sent", "to", addr.String(), "error", err.Error())
			continue
		}
		s.out[k].Add(uint64(len(packet)))
	}
}

func (s *Socket) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Debug("datagram not received", "error", err.Error())
			continue
		}
		if n < 2 || buffer[0] != version {
			s.discarded.Add(1)
			continue
		}
		s.in[buffer[1]].Add(uint64(n))
		h := s.handlers[buffer[1]].Load()
		if h == nil {
			s.discarded.Add(1)
			continue
		}
		s.handle(*h, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buffer[2:n]...))
	}
}

// handle passes on one datagram. A panic of the handler ends with that datagram.
func (s *Socket) handle(h Handler, from netip.AddrPort, body []byte) {
	defer panics.Recover(s.log, "datagram")
	h(from, body)
}

// Decode decodes the body of a message and reports whether that worked. Failures
// are logged and counted by Discarded.
func (s *Socket) Decode(body []byte, message any) bool {
	if err := cbor.Unmarshal(body, message); err != nil {
		s.discarded.Add(1)
		s.log.Warn("datagram ignored: can't be decoded", "error", err.Error())
		return false
	}
	return true
}

// Bytes returns the bytes of a kind received and sent since the start.
func (s *Socket) Bytes(k Kind) (in, out uint64) { return s.in[k].Load(), s.out[k].Load() }

// Discarded returns the number of received datagrams with another version, without
// a handler or with a body that could not be decoded.
func (s *Socket) Discarded() uint64 { return s.discarded.Load() }

// Close closes the socket and waits for the receiving goroutine.
func (s *Socket) Close() {
	_ = s.conn.Close() // nothing is buffered, so that no data is lost
	<-s.done
}
