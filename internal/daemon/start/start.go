// Package start assembles a daemon and stops it gracefully.
package start

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/back/cfgsvc"
	"citronrock.example/citronrock/internal/back/plain"
	"citronrock.example/citronrock/internal/conf/local"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/cell"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/core/node"
	"citronrock.example/citronrock/internal/core/order"
	"citronrock.example/citronrock/internal/core/tenant"
	"citronrock.example/citronrock/internal/daemon/admin"
	"citronrock.example/citronrock/internal/daemon/call"
	"citronrock.example/citronrock/internal/daemon/edge"
	"citronrock.example/citronrock/internal/daemon/exec"
	"citronrock.example/citronrock/internal/daemon/loop"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/daemon/watch"
	"citronrock.example/citronrock/internal/peer/peers"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Times of a graceful stop.
const (
	// stopLimit is the longest deadline that a request can have.
	stopLimit = 15 * time.Minute
	// releaseLimit is the time for engines to confirm cancels. What remains is
	// found as an orphan by the owners of the engines.
	releaseLimit = 5 * time.Second
	// stopPoll is the time between two looks at the requests in flight.
	stopPoll = 20 * time.Millisecond
	// closeLimit is the time for idle connections to close.
	closeLimit = 2 * time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings local.Settings
	number   uint64
	started  time.Time
	log      hclog.Logger

	meter   *meter.Meter
	engines *engines
	flow    *flow.Machine
	cell    *cell.Machine
	loop    *loop.Loop
	exec    *exec.Exec
	watch   *watch.Watcher
	group   *peers.Group
	calls   *call.Handler
	edge    *edge.Edge

	platform *cfgsvc.Client
	servers  []*http.Server
	failed   chan error
	drain    atomic.Bool
	executes atomic.Int64

	// Owned by the control goroutine.
	moved bool
}

// New starts a daemon. It returns an error when an address can't be listened on.
func New(s local.Settings, log hclog.Logger) (*Daemon, error) {
	now := time.Now()
	d := &Daemon{
		settings: s, started: now, number: uint64(now.UnixNano()), log: log,
		failed: make(chan error, 2),
	}
	var err error
	if d.meter, err = meter.New(); err != nil {
		return nil, eris.Wrap(err, "metrics can't be set up")
	}
	d.core()
	if err := d.join(); err != nil {
		d.loop.Close()
		return nil, err
	}
	if err := d.gauges(); err != nil {
		d.close()
		return nil, eris.Wrap(err, "metrics can't be set up")
	}
	if err := d.serve(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// gauges adds the figures that are read when metrics are scraped.
func (d *Daemon) gauges() error {
	all := []struct {
		name, text string
		read       func() int64
	}{
		{"open", "requests in flight", d.edge.Active},
		{"version", "version of the document in force", func() int64 { return int64(d.group.Status().Version) }},
		{"revision", "revision of the instance list", func() int64 { return int64(d.group.Status().Revision) }},
		{"members", "daemons that answer", func() int64 { return int64(len(d.group.Status().Alive)) }},
		{"received", "control bytes received from peers", func() int64 { return int64(d.group.Status().In) }},
		{"sent", "control bytes sent to peers", func() int64 { return int64(d.group.Status().Out) }},
	}
	for _, g := range all {
		if err := d.meter.Gauge(g.name, g.text, g.read); err != nil {
			return err
		}
	}
	return nil
}

// core makes the decision core and what carries out its actions.
func (d *Daemon) core() {
	name := d.settings.Name
	d.engines = &engines{name: name, number: d.number, clients: map[string]*client{}}
	d.cell = cell.New(name, d.number)
	limits := tenant.New()
	d.flow = flow.New(name, d.number, flow.WithStrikes(d.cell.Strikes()), flow.WithTenants(limits), flow.WithSeed(d.number))
	d.loop = loop.New(node.New(name, d.flow, d.cell, order.New(d.cell, d.number)), d.act,
		loop.WithPaused(d.paused), loop.WithAfter(d.after))
	d.watch = watch.New(d.engines.find, d.loop.Post)
	d.calls = call.New(call.WithName(name, d.number), call.WithControl(d.loop), call.WithPeers(d), call.WithTenants(limits),
		call.WithDialer(func(_ policy.Service, s policy.Server) citronrock.Plain { return plain.New(s.Address) }))
	d.exec = exec.New(name, d.loop, d.engines, d, d.cell.Owner, func(s *peer.Strike) { d.group.SendStrike(s) })
	d.edge = edge.New(name, d.number, d.loop.Post, d.exec, d.calls, d.meter, edge.WithLogger(d.log))
}

// join starts the links to peers and the platform.
func (d *Daemon) join() error {
	d.platform = cfgsvc.New(d.settings.Platform)
	g, err := peers.New(d.loop, d.platform, peers.Settings{
		Name: d.settings.Name, Domain: d.settings.Domain, Peer: d.settings.Peer, Incarnation: d.number,
	}, func(body []byte) (*policy.Document, error) { return policy.Parse("published", body) },
		peers.WithLogger(d.log),
		peers.OnDocument(d.publish),
		peers.OnListed(d.listed),
		peers.OnMembers(d.members),
		peers.OnFrame(d.frame),
		peers.OnStrike(func(s *peer.Strike) { d.loop.Inject(event.Struck{Strike: s}) }),
		peers.OnExecute(d.execute),
	)
	if err != nil {
		return eris.Wrapf(err, "peer address %s can't be used; check the settings", d.settings.Peer)
	}
	d.group = g
	return nil
}

func (d *Daemon) act(a event.Action) { d.exec.Act(a) }

// paused runs on the control goroutine after a pause, which group logs.
func (d *Daemon) paused(gap time.Duration) {
	d.meter.Pause()
	d.group.Paused(gap)
	d.calls.Paused(gap)
}

// after keeps the report streams in step with the cells that this daemon owns.
func (d *Daemon) after() {
	if d.moved {
		d.moved = false
		d.watch.Set(d.cell.Watched())
	}
}

func (d *Daemon) publish(doc *policy.Document) {
	d.log.Info("document in force", "version", doc.Version)
	d.engines.publish(doc)
	d.edge.Publish(doc)
	d.calls.Publish(doc)
	d.loop.Inject(event.Published{Document: doc})
	d.moved = true
}

func (d *Daemon) listed(l event.Listed) {
	d.calls.UpdateList(l)
	d.loop.Inject(l)
	d.moved = true
}

func (d *Daemon) members(alive, running map[string]uint64) {
	d.calls.UpdateMembers(alive)
	d.loop.Inject(event.Members{Alive: alive, Running: running})
	d.moved = true
}

func (d *Daemon) frame(from string, f *peer.Frame) {
	if f.Revision > 0 {
		d.calls.ObserveRevision(f.Revision)
	}
	for _, a := range f.Asks {
		d.loop.Inject(event.Asked{From: from, Ask: a})
	}
	for _, g := range f.Grants {
		d.loop.Inject(event.Granted{Grant: g})
	}
	for _, done := range f.Dones {
		d.loop.Inject(event.Finished{From: from, Done: done})
	}
	for _, s := range f.Strikes {
		d.loop.Inject(event.Struck{Strike: s})
	}
}

func (d *Daemon) execute(ctx context.Context, from string, r *peer.ExecuteRequest) *peer.ExecuteReply {
	d.executes.Add(1)
	defer d.executes.Add(-1)
	return d.calls.Execute(ctx, from, r)
}

// serve listens on the callers' and the admin address.
func (d *Daemon) serve() error {
	callers, err := net.Listen("tcp", d.settings.Caller.String())
	if err != nil {
		return eris.Wrapf(err, "caller address %s can't be used; check the settings", d.settings.Caller)
	}
	admins, err := net.Listen("tcp", d.settings.Admin.String())
	if err != nil {
		callers.Close()
		return eris.Wrapf(err, "admin address %s can't be used; check the settings", d.settings.Admin)
	}
	d.start(d.edge.Server(), callers)
	d.start(admin.Server(d, d.meter.Handler()), admins)
	d.log.Info("started", "caller", d.settings.Caller.String(), "admin", d.settings.Admin.String())
	return nil
}

func (d *Daemon) start(s *http.Server, l net.Listener) {
	d.servers = append(d.servers, s)
	s.ErrorLog = d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- err
		}
	}()
}

// Wait returns when ctx ends or a listener fails.
func (d *Daemon) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return eris.Wrap(err, "a listener failed; start the daemon again")
	}
}

// Stop drains the daemon and ends it. New requests are refused as not run;
// requests in flight end by themselves, at the latest by their own deadlines.
func (d *Daemon) Stop() {
	d.drain.Store(true)
	d.edge.Drain()
	d.loop.Do(func(time.Time) { d.calls.Drain() })
	d.group.Leave()
	d.log.Info("draining", "requests", d.edge.Active())
	limit := time.Now().Add(stopLimit)
	for d.busy() && time.Now().Before(limit) {
		time.Sleep(stopPoll)
	}
	limit = time.Now().Add(releaseLimit)
	for d.pending() > 0 && time.Now().Before(limit) {
		time.Sleep(stopPoll)
	}
	d.close()
	d.log.Info("stopped")
}

// busy tells whether requests are in flight.
func (d *Daemon) busy() bool {
	return d.edge.Active() > 0 || d.executes.Load() > 0
}

// pending returns the number of requests that the core holds and of cancels that
// engines have not confirmed.
func (d *Daemon) pending() int {
	requests, releases := 0, 0
	d.loop.Do(func(time.Time) { requests, releases = d.flow.InFlight() })
	return requests + releases
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	d.watch.Close()
	if err := d.group.Close(); err != nil {
		d.log.Warn("links did not close cleanly", "error", err.Error())
	}
	d.loop.Close()
	d.exec.Close()
	_ = d.platform.Close()
	_ = d.meter.Close()
}

// Ready implements admin.Source. Without the instance list a daemon takes itself
// for the owner of all cells, or knows no owner.
func (d *Daemon) Ready() bool {
	return !d.drain.Load() && d.group.Ready() && d.group.Status().Revision > 0
}

// Send implements citronrock.Peers for the parts that are made before the links.
func (d *Daemon) Send(to string, f *peer.Frame) { d.group.Send(to, f) }

// Execute implements citronrock.Peers.
func (d *Daemon) Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error) {
	return d.group.Execute(ctx, to, r)
}

// Fetch implements citronrock.Peers.
func (d *Daemon) Fetch(ctx context.Context, to string, above uint64) (*peer.FetchReply, error) {
	return d.group.Fetch(ctx, to, above)
}

// memory returns the memory of the process.
func memory() admin.MemoryInfo {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return admin.MemoryInfo{Heap: m.HeapAlloc, Sys: m.Sys}
}
