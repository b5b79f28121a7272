// Package group gives a daemon its peers: who lives, the document, the instance
// list, and links to the other daemons.
package group

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/peer/link"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Settings are the daemon's own settings, as far as peers concern them.
type Settings struct {
	// Name is the instance name on the platform's list.
	Name string
	// Domain is the failure domain.
	Domain string
	// Peer is the address for frames and probes.
	Peer netip.AddrPort
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation uint64
}

// Status is a summary for the admin pages.
type Status struct {
	Version  uint64            `json:"version"`
	Revision uint64            `json:"revision"`
	Alive    map[string]uint64 `json:"alive"`
	// In and Out are control bytes since the start.
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
	// Problem says why a newer document was rejected.
	Problem string `json:"problem,omitempty"`
}

// Group is a daemon's view of its peers. It implements citronrock.Peers.
type Group struct {
	set      Settings
	control  citronrock.Control
	platform citronrock.Platform
	validate func([]byte) (*policy.Document, error)
	on       calls
	log      hclog.Logger
	link     *link.Link

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	status atomic.Pointer[Status]

	// Owned by the control goroutine.
	document *policy.Document
	body     []byte
	listed   event.Listed
}

// calls are the callbacks; all but execute run on the control goroutine.
type calls struct {
	document func(*policy.Document)
	listed   func(event.Listed)
	members  func(map[string]uint64)
	frame    func(string, *peer.Frame)
	strike   func(*peer.Strike)
	execute  func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply
}

// Option changes a setting of a Group.
type Option func(*Group)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(log hclog.Logger) Option { return func(g *Group) { g.log = log } }

// OnDocument sets the function for each new valid document. Like all callbacks
// but that of OnExecute it runs on the control goroutine.
func OnDocument(f func(*policy.Document)) Option { return func(g *Group) { g.on.document = f } }

// OnListed sets the function for each new instance list.
func OnListed(f func(event.Listed)) Option { return func(g *Group) { g.on.listed = f } }

// OnMembers sets the function for changes of the daemons that answer, this one
// included, by name with their incarnations.
func OnMembers(f func(alive map[string]uint64)) Option { return func(g *Group) { g.on.members = f } }

// OnFrame sets the function for received frames.
func OnFrame(f func(from string, frame *peer.Frame)) Option { return func(g *Group) { g.on.frame = f } }

// OnStrike sets the function for records about suspect requests that come with
// probes.
func OnStrike(f func(*peer.Strike)) Option { return func(g *Group) { g.on.strike = f } }

// OnExecute sets the function that runs calls for peers. It runs on goroutines
// of its own.
func OnExecute(f func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply) Option {
	return func(g *Group) { g.on.execute = f }
}

// New listens for peers and starts to read the document and the list. validate
// parses and checks a document; it runs on goroutines of the Group. Close ends
// them.
func New(c citronrock.Control, p citronrock.Platform, set Settings, validate func([]byte) (*policy.Document, error), opts ...Option) (*Group, error) {
	g := &Group{set: set, control: c, platform: p, validate: validate, log: hclog.NewNullLogger(), on: none()}
	for _, o := range opts {
		o(g)
	}
	g.status.Store(new(Status))
	g.ctx, g.cancel = context.WithCancel(context.Background())
	l, err := link.New(set.Name, set.Incarnation, set.Peer, link.WithLogger(g.log), link.WithCalls(link.Calls{
		Frame:   g.frame,
		Execute: g.execute,
	}))
	if err != nil {
		return nil, err
	}
	g.link = l
	g.work.Go(g.watchDocument)
	g.work.Go(g.watchList)
	return g, nil
}

func none() calls {
	return calls{
		document: func(*policy.Document) {},
		listed:   func(event.Listed) {},
		members:  func(map[string]uint64) {},
		frame:    func(string, *peer.Frame) {},
		strike:   func(*peer.Strike) {},
		execute: func(context.Context, string, *peer.ExecuteRequest) *peer.ExecuteReply {
			return &peer.ExecuteReply{Kind: uint32(citronrock.NotRun), Reason: string(citronrock.ReasonDrain)}
		},
	}
}

// Close ends all links and goroutines. It must not be called on the control
// goroutine.
func (g *Group) Close() error {
	g.cancel()
	err := g.link.Close()
	g.work.Wait()
	return err
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

// Strike spreads a record about a suspect request. It runs on the control
// goroutine.
func (g *Group) Strike(*peer.Strike) {}

// Leave tells the peers that this daemon stops, so that its cells move. It
// must not be called on the control goroutine.
func (g *Group) Leave() {}

// Paused tells that the process did not run for gap. It runs on the control
// goroutine.
func (g *Group) Paused(time.Duration) {}

// Ready tells whether there is a valid document.
func (g *Group) Ready() bool { return g.status.Load().Version > 0 }

// Status returns a summary. Any goroutine may call it.
func (g *Group) Status() Status {
	s := *g.status.Load()
	s.In, s.Out = g.link.Bytes()
	return s
}

func (g *Group) frame(from string, _ uint64, f *peer.Frame) {
	g.control.Do(func(time.Time) { g.on.frame(from, f) })
}

func (g *Group) execute(ctx context.Context, from string, r *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
	return g.on.execute(ctx, from, r), nil
}

func (g *Group) watchDocument() {
	after := uint64(0)
	for g.ctx.Err() == nil {
		r, err := g.platform.Document(g.ctx, after, 5*time.Second)
		if err != nil {
			g.pause(err)
			continue
		}
		if r.Version <= after {
			continue
		}
		after = r.Version
		d, err := g.check(r.Version, r.Body)
		if err != nil {
			g.log.Error("document is rejected", "version", r.Version, "error", err)
			continue
		}
		g.control.Do(func(time.Time) { g.take(d, r.Body) })
	}
}

// check validates a body and its version.
func (g *Group) check(version uint64, body []byte) (*policy.Document, error) {
	d, err := g.validate(body)
	if err != nil {
		return nil, err
	}
	if d.Version != version {
		return nil, eris.Errorf("the document has version %d but is published as %d; publish it again", d.Version, version)
	}
	return d, nil
}

func (g *Group) take(d *policy.Document, body []byte) {
	if g.document != nil && d.Version <= g.document.Version {
		return
	}
	g.document, g.body = d, body
	g.update(func(s *Status) { s.Version = d.Version })
	g.on.document(d)
}

func (g *Group) watchList() {
	after := uint64(0)
	for g.ctx.Err() == nil {
		r, err := g.platform.Instances(g.ctx, after, 5*time.Second)
		if err != nil {
			g.pause(err)
			continue
		}
		if r.Revision <= after {
			continue
		}
		after = r.Revision
		g.control.Do(func(time.Time) { g.list(event.Listed{Revision: r.Revision, Instances: r.Instances}) })
	}
}

// list takes a list and counts listed live daemons as alive.
func (g *Group) list(l event.Listed) {
	g.listed = l
	alive := map[string]uint64{}
	addrs := map[string]netip.AddrPort{}
	for _, i := range l.Instances {
		if i.Kind != "daemon" {
			continue
		}
		if at, err := netip.ParseAddrPort(i.Peer); err == nil {
			addrs[i.Name] = at
		}
		if i.State == "live" {
			alive[i.Name] = 1
		}
	}
	if _, ok := alive[g.set.Name]; ok {
		alive[g.set.Name] = g.set.Incarnation
	}
	g.link.SetPeers(addrs)
	g.update(func(s *Status) { s.Revision, s.Alive = l.Revision, alive })
	g.on.listed(l)
	g.on.members(alive)
}

func (g *Group) update(f func(*Status)) {
	s := *g.status.Load()
	f(&s)
	g.status.Store(&s)
}

func (g *Group) pause(err error) {
	g.log.Warn("platform does not answer", "error", err)
	select {
	case <-g.ctx.Done():
	case <-time.After(time.Second):
	}
}

var _ citronrock.Peers = (*Group)(nil)
