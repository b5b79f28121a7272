// Package peers connects a daemon to its peers: it runs the membership, the
// dissemination of the document and the instance list, and the links.
package peers

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/peer/cache"
	"citronrock.example/citronrock/internal/peer/link"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/peer/view"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Settings are the daemon's own settings that its peers need.
type Settings struct {
	// Name is the instance name on the platform's instance list.
	Name string
	// Domain is the failure domain.
	Domain string
	// Peer is the address for frames and datagrams.
	Peer netip.AddrPort
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation uint64
}

// Status is a summary for the admin pages.
type Status struct {
	Version  uint64            `json:"version"`
	Revision uint64            `json:"revision"`
	Alive    map[string]uint64 `json:"alive"`
	// Watching reports whether this daemon is a watcher at the platform.
	Watching bool `json:"watching"`
	// Listed reports whether the newest list names this daemon as live.
	Listed bool `json:"listed"`
	// Replaced is the incarnation of a later process under the same name.
	Replaced uint64 `json:"replaced,omitempty"`
	// In and Out are the bytes of control traffic since the start.
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
	// Problem says why a newer document was rejected.
	Problem string `json:"problem,omitempty"`
}

// Group connects a daemon to its peers. It implements citronrock.Peers.
type Group struct {
	settings  Settings
	control   citronrock.Control
	platform  citronrock.Platform
	validate  func([]byte) (*policy.Document, error)
	callbacks callbacks
	log       hclog.Logger
	link      *link.Link
	// linkReady is closed when link is set. Handlers of the link wait for it.
	linkReady chan struct{}

	cache       *cache.Cache
	ctx         context.Context
	cancel      context.CancelFunc
	work        sync.WaitGroup
	status      atomic.Pointer[Status]
	mu          sync.Mutex
	closed      bool
	packetQueue chan member.Send
	wakeTimes   chan time.Time

	// Owned by the control goroutine.
	view     *view.Machine
	outputs  []view.Output
	nextWake time.Time
}

// callbacks are the functions set by options; all but execute run on the control
// goroutine.
type callbacks struct {
	document func(*policy.Document)
	listed   func(event.Listed)
	members  func(alive, running map[string]uint64)
	frame    func(string, *peer.Frame)
	strike   func(*peer.Strike)
	execute  func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply
}

// Option changes a setting of a Group.
type Option func(*Group)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(log hclog.Logger) Option { return func(g *Group) { g.log = log } }

// OnDocument sets the function for each new valid document. Like all callbacks
// except that of OnExecute it runs on the control goroutine.
func OnDocument(f func(*policy.Document)) Option { return func(g *Group) { g.callbacks.document = f } }

// OnListed sets the function for each new instance list.
func OnListed(f func(event.Listed)) Option { return func(g *Group) { g.callbacks.listed = f } }

// OnMembers sets the function for changes of the live daemons, this one included,
// and of those that may have requests in flight, by name with their incarnations.
func OnMembers(f func(alive, running map[string]uint64)) Option {
	return func(g *Group) { g.callbacks.members = f }
}

// OnFrame sets the function for received frames.
func OnFrame(f func(from string, frame *peer.Frame)) Option {
	return func(g *Group) { g.callbacks.frame = f }
}

// OnStrike sets the function for strikes that are received by gossip.
func OnStrike(f func(*peer.Strike)) Option { return func(g *Group) { g.callbacks.strike = f } }

// OnExecute sets the function that executes requests for peers. It runs on
// goroutines of its own.
func OnExecute(f func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply) Option {
	return func(g *Group) { g.callbacks.execute = f }
}

// New listens for peers and starts to read the document and the instance list.
// validate parses and checks a document; it runs on goroutines of the Group. The
// error is that of the listener. Close ends all goroutines.
func New(c citronrock.Control, p citronrock.Platform, set Settings, validate func([]byte) (*policy.Document, error), opts ...Option) (*Group, error) {
	g := &Group{settings: set, control: c, platform: p, validate: validate, log: hclog.NewNullLogger(), callbacks: noCallbacks()}
	for _, o := range opts {
		o(g)
	}
	g.linkReady = make(chan struct{})
	g.cache = cache.New()
	g.status.Store(new(Status))
	g.packetQueue = make(chan member.Send, 256)
	g.wakeTimes = make(chan time.Time, 1)
	g.view = view.New(set.Name, set.Domain, set.Incarnation, set.Incarnation^xxhash.Sum64String(set.Name))
	g.ctx, g.cancel = context.WithCancel(context.Background())
	l, err := link.New(set.Name, set.Incarnation, set.Peer, link.WithLogger(g.log), link.WithHandlers(link.Handlers{
		Frame:   g.receiveFrame,
		Execute: g.answerExecute,
		Fetch:   g.answerFetch,
		Packet:  g.receivePacket,
	}))
	if err != nil {
		g.cancel()
		return nil, err
	}
	g.link = l
	close(g.linkReady)
	g.spawn(g.timer)
	g.spawn(g.sender)
	return g, nil
}

func noCallbacks() callbacks {
	return callbacks{
		document: func(*policy.Document) {},
		listed:   func(event.Listed) {},
		members:  func(_, _ map[string]uint64) {},
		frame:    func(string, *peer.Frame) {},
		strike:   func(*peer.Strike) {},
		execute: func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply {
			return &peer.ExecuteReply{Kind: uint32(citronrock.NotRun), Reason: string(citronrock.ReasonDrain)}
		},
	}
}

// Close sends the queued packets, such as those of Leave, and ends all links and
// goroutines. It must not be called on the control goroutine.
func (g *Group) Close() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.work.Wait()
	return g.link.Close()
}

// spawn runs f on a new goroutine unless the Group is closed.
func (g *Group) spawn(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.work.Go(f)
	}
}

// Send implements citronrock.Peers.
func (g *Group) Send(to string, f *peer.Frame) { g.link.Send(to, f) }

// Execute implements citronrock.Peers.
func (g *Group) Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error) {
	return g.link.Execute(ctx, to, r)
}

// Fetch implements citronrock.Peers.
func (g *Group) Fetch(ctx context.Context, to string, above uint64) (*peer.FetchReply, error) {
	return g.link.Fetch(ctx, to, above)
}

// SendStrike gossips a strike. It must be called on the control goroutine.
func (g *Group) SendStrike(s *peer.Strike) {
	now := time.Now()
	g.step(func(out []view.Output) []view.Output {
		g.view.Strike(now, s)
		return out
	})
}

// Leave gossips that this daemon is leaving, so that its cells move. It must not
// be called on the control goroutine.
func (g *Group) Leave() {
	g.do(func(now time.Time, out []view.Output) []view.Output { return g.view.Leave(now, out) })
}

// Paused reports that the process did not run for gap. It must be called on the
// control goroutine. OnMembers is called once peers have answered.
func (g *Group) Paused(gap time.Duration) {
	now := time.Now()
	g.log.Warn("process was paused, checking membership with peers", "gap", gap)
	g.step(func(out []view.Output) []view.Output { return g.view.Paused(now, out) })
}

// Ready reports whether a valid document is in force.
func (g *Group) Ready() bool { return g.status.Load().Version > 0 }

// Status returns a summary. Any goroutine may call it.
func (g *Group) Status() Status {
	s := *g.status.Load()
	s.In, s.Out = g.link.Bytes()
	return s
}

var _ citronrock.Peers = (*Group)(nil)
