// Package link connects daemons: control frames, executions and fetches over
// grpc-go, and single datagrams for membership.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/wire/peer"
)

var _ citronrock.Peers = (*Link)(nil)

// Handlers are called for what a Link receives. Each may be nil. They run on
// goroutines of the Link and may block; Close waits for them.
type Handlers struct {
	// Frame handles a frame. The frames of one peer come one at a time.
	Frame func(from string, incarnation uint64, f *peer.Frame)
	// Execute answers an execution.
	Execute func(ctx context.Context, from string, r *peer.ExecuteRequest) (*peer.ExecuteReply, error)
	// Fetch answers a fetch.
	Fetch func(ctx context.Context, from string, r *peer.FetchRequest) (*peer.FetchReply, error)
	// Packet handles a datagram, one at a time.
	Packet func(p *peer.Packet)
}

// Link connects one daemon to all others. It implements citronrock.Peers.
type Link struct {
	self         string
	incarnation  uint64
	handlers     Handlers
	log          hclog.Logger
	idle         time.Duration
	stallTimeout time.Duration
	queueSize    int

	ctx    context.Context
	cancel context.CancelFunc
	tcp    net.Listener
	udp    *net.UDPConn
	server *grpc.Server
	count  counter
	// version and revision are advertised in frames.
	version, revision atomic.Uint64
	work              sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	listed   map[string]netip.AddrPort
	learned  map[string]netip.AddrPort
	sessions map[string]*session
	conns    map[string]*conn
}

// Option changes a setting of a Link.
type Option func(*Link)

// WithHandlers sets the handlers; by default what is received is dropped, and
// calls are refused.
func WithHandlers(c Handlers) Option { return func(l *Link) { l.handlers = c } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(log hclog.Logger) Option { return func(l *Link) { l.log = log } }

// WithIdleTimeout sets the time after which an unused stream is closed, 10 s by
// default.
func WithIdleTimeout(d time.Duration) Option { return func(l *Link) { l.idle = d } }

// WithStallTimeout sets the time after which a stream whose frames got no frame or
// acknowledgement in return counts as stalled and is replaced, 2 s by default.
func WithStallTimeout(d time.Duration) Option { return func(l *Link) { l.stallTimeout = d } }

// WithQueue sets the number of frames queued for one peer; further ones are
// dropped. 256 by default.
func WithQueue(n int) Option { return func(l *Link) { l.queueSize = n } }

// New listens on addr, TCP and UDP, for the instance self that started at
// incarnation. Port zero selects a free port. The error is that of the listeners.
func New(self string, incarnation uint64, addr netip.AddrPort, opts ...Option) (*Link, error) {
	l := &Link{
		self:         self,
		incarnation:  incarnation,
		log:          hclog.NewNullLogger(),
		idle:         10 * time.Second,
		stallTimeout: 2 * time.Second,
		queueSize:    256,
		listed:       map[string]netip.AddrPort{},
		learned:      map[string]netip.AddrPort{},
		sessions:     map[string]*session{},
		conns:        map[string]*conn{},
	}
	for _, o := range opts {
		o(l)
	}
	if err := l.listen(addr); err != nil {
		return nil, err
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = grpc.NewServer(
		grpc.StatsHandler(&l.count),
		grpc.MaxRecvMsgSize(maxMessage),
		// Clients ping at most every 10 s; the server permits twice as many.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
		grpc.WaitForHandlers(true),
	)
	peer.RegisterPeerServer(l.server, service{l: l})
	l.work.Go(func() { _ = l.server.Serve(l.tcp) })
	l.work.Go(l.receive)
	return l, nil
}

// Addr returns the address that the Link listens on.
func (l *Link) Addr() netip.AddrPort { return l.tcp.Addr().(*net.TCPAddr).AddrPort() }

// Bytes returns the bytes of control traffic received and sent so far: datagrams,
// frames and fetches with the headers of the layers below, but no executions.
func (l *Link) Bytes() (in, out uint64) { return l.count.in.Load(), l.count.out.Load() }

// Close ends all streams and connections and waits for all goroutines. The error
// is always nil.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = map[string]*conn{}
	l.mu.Unlock()
	l.cancel()
	_ = l.udp.Close()
	for _, c := range conns {
		_ = c.cc.Close()
	}
	l.server.Stop()
	l.work.Wait()
	return nil
}

// listen opens the TCP listener and the UDP socket on the same port. For port zero
// several ports are tried, since a free TCP port may be in use for UDP.
func (l *Link) listen(addr netip.AddrPort) error {
	tries := 1
	if addr.Port() == 0 {
		tries = 10
	}
	var last error
	for range tries {
		t, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return eris.Wrapf(err, "cannot listen for peers on %s; choose a free address for the setting peer", addr)
		}
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			l.tcp, l.udp = t, u
			return nil
		}
		_ = t.Close()
		last = err
	}
	return eris.Wrapf(last, "cannot receive probes on %s; choose a free address for the setting peer", addr)
}

// SetVersions sets the document version and list revision that frames advertise.
func (l *Link) SetVersions(version, revision uint64) {
	l.version.Store(version)
	l.revision.Store(revision)
}

// SetPeers replaces the addresses by name with those of the instance list.
// Connections to peers that left the list or moved are closed when their calls
// have ended.
func (l *Link) SetPeers(listed map[string]netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = listed
	for name, c := range l.conns {
		if at, ok := l.address(name); !ok || at != c.addr {
			l.drop(c)
		}
	}
	for name, p := range l.sessions {
		if _, ok := l.address(name); !ok && p.unused() {
			delete(l.sessions, name)
		}
	}
	for name := range l.learned {
		if _, ok := listed[name]; ok {
			delete(l.learned, name)
		}
	}
}

// maxLearned bounds the addresses of senders that are not on the list.
const maxLearned = 64

// learn keeps the address of a sender that is not on the list. The list may lag
// behind a new daemon, and a daemon that starts while the platform is down has no
// list until a peer's ping shows it an address to fetch from.
func (l *Link) learn(name string, at netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.listed[name]; ok || name == "" || name == l.self {
		return
	}
	if _, ok := l.learned[name]; !ok && len(l.learned) >= maxLearned {
		for other := range l.learned {
			delete(l.learned, other)
			break
		}
	}
	l.learned[name] = at
}

// address returns the address of name. The caller holds l.mu.
func (l *Link) address(name string) (netip.AddrPort, bool) {
	if at, ok := l.listed[name]; ok {
		return at, true
	}
	at, ok := l.learned[name]
	return at, ok
}
