package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"citronrock.example/citronrock/internal/wire/peer"
)

// maxMessage bounds a message in bytes: a document of 1 MB and an instance list.
const maxMessage = 6 << 20

// Metadata with the names of the sender and of the receiver of a call.
const (
	fromKey = "citronrock-from"
	toKey   = "citronrock-to"
)

// conn is the connection to one peer. A dropped connection is closed when its last
// call has ended, so that a new connection takes new calls while old ones end
// undisturbed.
type conn struct {
	name    string
	addr    netip.AddrPort
	cc      *grpc.ClientConn
	refs    int
	dropped bool
}

// acquire returns the connection to a peer, opened if there is none, and counts a
// reference to it. It fails when the peer's address is not known.
func (l *Link) acquire(name string) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.address(name)
	if l.closed || !ok {
		return nil, eris.Errorf("the address of peer %s is not known; it is not on the platform's list", name)
	}
	c := l.conns[name]
	if c == nil {
		cc, err := l.dial(at)
		if err != nil {
			return nil, err
		}
		c = &conn{name: name, addr: at, cc: cc}
		l.conns[name] = c
	}
	c.refs++
	return c, nil
}

func (l *Link) dial(at netip.AddrPort) (*grpc.ClientConn, error) {
	cc, err := grpc.NewClient("passthrough:///"+at.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(&l.count),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(3*l.idle),
		// A peer that restarts is reached again within a second.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		// 10 s is the least that grpc-go allows a client.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	)
	return cc, eris.Wrapf(err, "cannot connect to the peer at %s", at)
}

// release returns a reference to a connection. stalled drops the connection, so
// that new calls open another one.
func (l *Link) release(c *conn, stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.refs--
	if stalled {
		l.drop(c)
		return
	}
	c.closeIfUnused()
}

// dropConn drops the connection below a stalled stream, if this side opened it.
func (l *Link) dropConn(c *conn) {
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
}

// drop removes a connection, so that new calls open another one. The caller holds
// l.mu.
func (l *Link) drop(c *conn) {
	if l.conns[c.name] == c {
		delete(l.conns, c.name)
	}
	c.dropped = true
	c.closeIfUnused()
}

func (c *conn) closeIfUnused() {
	if c.dropped && c.refs == 0 {
		_ = c.cc.Close()
	}
}

// stalled reports whether after an error a connection may have stalled.
func stalled(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}

// Execute implements citronrock.Peers. If the bool is false, the request was not
// handed to a connection and can't have run.
func (l *Link) Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error) {
	c, err := l.acquire(to)
	if err != nil {
		return nil, false, err
	}
	sent := new(atomic.Bool)
	ctx = context.WithValue(l.outgoing(ctx, to), sentKey{}, sent)
	ctx, cancel := l.bound(ctx)
	defer cancel()
	reply, err := peer.NewPeerClient(c.cc).Execute(ctx, r)
	l.release(c, stalled(err))
	if err != nil {
		return nil, sent.Load(), eris.Wrapf(err, "peer %s did not answer an execution request", to)
	}
	return reply, true, nil
}

// Fetch implements citronrock.Peers.
func (l *Link) Fetch(ctx context.Context, to string, above uint64) (*peer.FetchReply, error) {
	return l.FetchWith(ctx, to, &peer.FetchRequest{Above: above})
}

// FetchWith sends a fetch request to a peer and returns its reply.
func (l *Link) FetchWith(ctx context.Context, to string, r *peer.FetchRequest) (*peer.FetchReply, error) {
	c, err := l.acquire(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := l.bound(l.outgoing(ctx, to))
	defer cancel()
	reply, err := peer.NewPeerClient(c.cc).Fetch(ctx, r)
	l.release(c, stalled(err))
	return reply, eris.Wrapf(err, "peer %s did not answer a fetch request", to)
}

// bound cancels ctx when the Link closes.
func (l *Link) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

func (l *Link) outgoing(ctx context.Context, to string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, fromKey, l.self, toKey, to)
}
