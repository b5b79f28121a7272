package link

import (
	"context"
	"strings"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Header sizes in bytes that are added to the payloads, since the limit on
// control traffic counts bytes on the wire.
const (
	// IPv4 and UDP.
	datagramHeader = 20 + 8
	// IPv4, TCP with timestamps, one HTTP/2 frame.
	messageHeader = 20 + 32 + 9
	// A bare TCP acknowledgement in the other direction.
	ackHeader = 20 + 32
)

// counter counts bytes of control traffic and marks executions whose request was
// handed to the transport.
type counter struct{ in, out atomic.Uint64 }

type callKey struct{}

// call is the state of one RPC in the contexts of the stats handler.
type call struct {
	control bool
	sent    *atomic.Bool
}

type sentKey struct{}

// TagRPC implements stats.Handler.
func (c *counter) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	sent, _ := ctx.Value(sentKey{}).(*atomic.Bool)
	control := !strings.HasSuffix(i.FullMethodName, "/Execute")
	return context.WithValue(ctx, callKey{}, &call{control: control, sent: sent})
}

// HandleRPC implements stats.Handler.
func (c *counter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	k, _ := ctx.Value(callKey{}).(*call)
	if k == nil {
		return
	}
	switch s := s.(type) {
	case *stats.OutPayload:
		if k.sent != nil {
			k.sent.Store(true)
		}
		if k.control {
			c.out.Add(uint64(s.WireLength + messageHeader))
			c.in.Add(ackHeader)
		}
	case *stats.InPayload:
		if k.control {
			c.in.Add(uint64(s.WireLength + messageHeader))
			c.out.Add(ackHeader)
		}
	}
}

// TagConn implements stats.Handler.
func (c *counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *counter) HandleConn(context.Context, stats.ConnStats) {}
