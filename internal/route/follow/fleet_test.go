package follow_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Speeds and times of the simulated network.
const (
	strongLink = 200e6 / 8 // bytes a second
	weakLink   = 10e6 / 8
	hopDelay   = 500 * time.Microsecond
	chunkBytes = 4 << 10
	// suspectTime is the time after which a silent daemon leaves the membership.
	suspectTime = 2 * time.Second
	// connectTime is the time after which the kernel gives up a connection attempt.
	connectTime = 5 * time.Second
	// storeDelay is the response time of the store.
	storeDelay = 4 * time.Millisecond
	// storeCallTime is the limit on a call to the store, besides its wait.
	storeCallTime = 900 * time.Millisecond
)

// link is one direction of a daemon's network link. Transfers queue.
type link struct {
	mu     sync.Mutex
	rate   float64
	freeAt time.Time
	bytes  atomic.Int64
}

// reserve returns when a transfer of n bytes that starts at a time has passed.
func (l *link) reserve(from time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(from) {
		l.freeAt = from
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.bytes.Add(int64(n))
	return l.freeAt
}

// fleet is a set of daemons with real followers on a simulated network and store.
type fleet struct {
	store *store
	// docBytes is the size of a configuration in the store.
	docBytes int
	// slow multiplies the response time of the store.
	slow atomic.Int64
	// loss is the share of datagrams that are lost, in hundredths.
	loss atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	hosts   []*host
	byAddr  map[string]*host
	alive   []gossip.LiveMember
	aliveAt time.Time
}

// host is one daemon of a fleet.
type host struct {
	*fleet
	addr     netip.AddrPort
	share    uint32
	up, down *link
	node     *fanout.Node
	follower *follow.Follower
	table    *pool.Table
	accept   chan net.Conn
	done     chan struct{}
	// cut daemons neither send nor receive, refused ones are turned away by the store.
	cut, refused atomic.Bool
	cutAt        atomic.Pointer[time.Time]
	// silent means that the store doesn't answer where it refuses.
	silent atomic.Bool
	reads  atomic.Int64

	handlers [256]atomic.Pointer[dgram.Handler]
	inForce  []versionAt
}

// versionAt is when a version came into force.
type versionAt struct {
	version uint64
	at      time.Time
}

// newFleet starts daemons of which the first strong ones have fast links.
func newFleet(n, strong, docBytes int, s *store) *fleet {
	f := &fleet{store: s, docBytes: docBytes, random: rand.New(rand.NewPCG(7, uint64(n))), byAddr: map[string]*host{}}
	f.slow.Store(1)
	for i := range n {
		h := &host{fleet: f, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 7000),
			accept: make(chan net.Conn), done: make(chan struct{}),
			share: 80, up: &link{rate: strongLink}, down: &link{rate: strongLink}}
		if i >= strong {
			h.share, h.up.rate, h.down.rate = 19, weakLink, weakLink
		}
		f.hosts = append(f.hosts, h)
		f.byAddr[h.addr.String()] = h
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

// start starts the daemon's process.
func (h *host) start() {
	h.table = pool.New()
	h.node = fanout.New(h.addr, h, h.fleet, hclog.NewNullLogger(), fanout.WithDial(h.dial))
	h.follower = follow.Start(h, h.table, h.node, hclog.NewNullLogger(), follow.WithOnDocument(func(d *config.Document) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.inForce = append(h.inForce, versionAt{d.Version, time.Now()})
	}))
	go h.node.Serve(listener{h}, h.follower.Snapshot, h.follower.PatchSince)
}

// disconnect cuts the daemon off from everything, connect ends that.
func (h *host) disconnect() {
	now := time.Now()
	h.cutAt.Store(&now)
	h.cut.Store(true)
}

func (h *host) connect() { h.cut.Store(false) }

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.connect()
		h.follower.Close()
		close(h.done)
	}
	time.Sleep(10 * time.Second) // connections end by their time limits
}

// Alive returns the daemons that have not been silent for suspectTime, at most 20 ms old.
func (f *fleet) Alive() []gossip.LiveMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.aliveAt) < 20*time.Millisecond {
		return f.alive
	}
	f.alive, f.aliveAt = nil, time.Now()
	for _, h := range f.hosts {
		if !h.cut.Load() || time.Since(*h.cutAt.Load()) < suspectTime {
			f.alive = append(f.alive, gossip.LiveMember{Member: gossip.Member{Addr: h.addr, CPUShare: h.share}, Mature: true})
		}
	}
	return f.alive
}

// Handle, Decode and Send are the datagrams of the daemon.
func (h *host) Handle(k dgram.Kind, f dgram.Handler) { h.handlers[k].Store(&f) }

func (h *host) Decode(body []byte, m any) bool { return cbor.Unmarshal(body, m) == nil }

func (h *host) Send(k dgram.Kind, m any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(m)
	if err != nil || len(body) > 16<<10 {
		panic("datagram can't be sent")
	}
	for _, addr := range to {
		other := h.byAddr[addr.String()]
		at := other.down.reserve(h.up.reserve(time.Now(), len(body)+30), len(body)+30)
		if h.cut.Load() || h.chance(h.loss.Load()) {
			continue
		}
		time.AfterFunc(time.Until(at)+hopDelay, func() {
			if f := other.handlers[k].Load(); f != nil && !other.cut.Load() {
				(*f)(h.addr, body)
			}
		})
	}
}

func (f *fleet) chance(hundredths int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Int64N(100) < hundredths
}

// dial opens a connection to another daemon. There is no answer if one of them is cut
// off.
func (h *host) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	other := h.byAddr[addr]
	time.Sleep(2 * hopDelay)
	if h.cut.Load() || other.cut.Load() {
		return nil, wait(ctx, connectTime, errors.New("connection timed out"))
	}
	near, far := net.Pipe()
	select {
	case other.accept <- &conn{far, other, h, make(chan struct{}), sync.Once{}}:
		return &conn{near, h, other, make(chan struct{}), sync.Once{}}, nil
	case <-other.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts the connections to a daemon.
type listener struct{ h *host }

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.h.accept:
		return c, nil
	case <-l.h.done:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error   { return nil }
func (l listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.h.addr) }

// conn is a connection whose writes take the time that the links need.
type conn struct {
	net.Conn
	from, to *host
	closed   chan struct{}
	once     sync.Once
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(b, chunkBytes) {
		until := c.to.down.reserve(c.from.up.reserve(time.Now(), len(part)), len(part))
		select {
		case <-c.closed:
			return written, net.ErrClosed
		case <-time.After(time.Until(until)):
		}
		for c.from.cut.Load() || c.to.cut.Load() {
			select {
			case <-c.closed:
				return written, net.ErrClosed
			case <-time.After(10 * time.Millisecond):
			}
		}
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

// call waits for the response of the store with a number of bytes, within
// storeCallTime.
func (h *host) call(ctx context.Context, bytes int) error {
	h.reads.Add(1)
	if h.cut.Load() {
		return wait(ctx, storeCallTime, errDown)
	}
	if h.refused.Load() && h.silent.Load() {
		return wait(ctx, storeCallTime, context.DeadlineExceeded)
	}
	if h.refused.Load() {
		return wait(ctx, storeDelay, errDown)
	}
	took := time.Duration(h.slow.Load())*storeDelay + time.Until(h.down.reserve(time.Now(), bytes))
	if took > storeCallTime {
		return wait(ctx, storeCallTime, context.DeadlineExceeded)
	}
	return wait(ctx, took, nil)
}

func wait(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return err
	}
}

// Load and Watch are the store as the daemon reaches it.
func (h *host) Load(ctx context.Context, stale bool) (*citronrock.Snapshot, error) {
	if err := h.call(ctx, h.docBytes); err != nil {
		return nil, err
	}
	return h.store.Load(ctx, stale)
}

func (h *host) Watch(ctx context.Context, after pool.Revision, d time.Duration) (*citronrock.Changes, error) {
	if h.refused.Load() || h.cut.Load() {
		return nil, h.call(ctx, 0)
	}
	c, err := h.store.Watch(ctx, after, d)
	bytes := 0
	if c != nil && c.Document != nil {
		bytes = h.docBytes
	}
	if callErr := h.call(ctx, bytes); callErr != nil {
		return nil, callErr
	}
	return c, err
}
