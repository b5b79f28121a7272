// Package start assembles a daemon from its parts, and drains and stops it.
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
	// drainTimeout bounds the wait for requests in flight. It is the longest deadline
	// that a request can have.
	drainTimeout = 15 * time.Minute
	// releaseTimeout bounds the wait for engines to confirm cancels. Reservations
	// that remain are found as orphans by the owners of the engines.
	releaseTimeout = 5 * time.Second
	// pollInterval is the time between two checks of the requests in flight.
	pollInterval = 20 * time.Millisecond
	// closeTimeout bounds the graceful shutdown of the HTTP servers.
	closeTimeout = 2 * time.Second
)

// Daemon is a running daemon. It implements admin.Source and citronrock.Peers.
type Daemon struct {
	settings    local.Settings
	incarnation uint64
	started     time.Time
	log         hclog.Logger

	meter   *meter.Meter
	engines *engines
	flow    *flow.Machine
	cell    *cell.Machine
	loop    *loop.Loop
	exec    *exec.Exec
	watch   *watch.Watcher
	peers   *peers.Group
	calls   *call.Handler
	edge    *edge.Edge

	platform  *cfgsvc.Client
	servers   []*http.Server
	failed    chan error
	draining  atomic.Bool
	executing atomic.Int64

	// watchStale is set when the engines to watch may have changed. It is owned by
	// the control goroutine.
	watchStale bool
}

// New starts a daemon with settings s. It returns an error if it can't listen on an
// address of the settings or can't register a metric.
func New(s local.Settings, log hclog.Logger) (*Daemon, error) {
	now := time.Now()
	d := &Daemon{
		settings: s, started: now, incarnation: uint64(now.UnixNano()), log: log,
		failed: make(chan error, 2),
	}
	var err error
	if d.meter, err = meter.New(); err != nil {
		return nil, eris.Wrap(err, "metrics can't be set up")
	}
	d.initCore()
	if err := d.startPeers(); err != nil {
		d.loop.Close()
		return nil, err
	}
	if err := d.addGauges(); err != nil {
		d.close()
		return nil, eris.Wrap(err, "metrics can't be set up")
	}
	if err := d.serve(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// addGauges registers the metrics that are read when they are scraped.
func (d *Daemon) addGauges() error {
	all := []struct {
		name, text string
		read       func() int64
	}{
		{"open", "requests in flight", d.edge.Active},
		{"version", "version of the document in force", func() int64 { return int64(d.peers.Status().Version) }},
		{"revision", "revision of the instance list", func() int64 { return int64(d.peers.Status().Revision) }},
		{"members", "daemons that answer", func() int64 { return int64(len(d.peers.Status().Alive)) }},
		{"received", "control bytes received from peers", func() int64 { return int64(d.peers.Status().In) }},
		{"sent", "control bytes sent to peers", func() int64 { return int64(d.peers.Status().Out) }},
	}
	for _, g := range all {
		if err := d.meter.Gauge(g.name, g.text, g.read); err != nil {
			return err
		}
	}
	return nil
}

// initCore creates the decision core and the parts that execute its actions.
func (d *Daemon) initCore() {
	name := d.settings.Name
	d.engines = &engines{name: name, incarnation: d.incarnation, clients: map[string]*client{}}
	d.cell = cell.New(name, d.incarnation)
	limits := tenant.New()
	d.flow = flow.New(name, d.incarnation, flow.WithStrikes(d.cell.Strikes()), flow.WithTenants(limits), flow.WithSeed(d.incarnation))
	d.loop = loop.New(node.New(name, d.flow, d.cell, order.New(d.cell, d.incarnation)), d.act,
		loop.WithPaused(d.paused), loop.WithAfter(d.afterIteration))
	d.watch = watch.New(d.engines.find, d.loop.Post)
	d.calls = call.New(call.WithName(name, d.incarnation), call.WithControl(d.loop), call.WithPeers(d), call.WithTenants(limits),
		call.WithDialer(func(_ policy.Service, s policy.Server) citronrock.Plain { return plain.New(s.Address) }))
	d.exec = exec.New(name, d.loop, d.engines, d, d.cell.Owner, func(s *peer.Strike) { d.peers.SendStrike(s) })
	d.edge = edge.New(name, d.incarnation, d.loop.Post, d.exec, d.calls, d.meter, edge.WithLogger(d.log))
}

// startPeers connects to the platform and joins the other daemons.
func (d *Daemon) startPeers() error {
	d.platform = cfgsvc.New(d.settings.Platform)
	g, err := peers.New(d.loop, d.platform, peers.Settings{
		Name: d.settings.Name, Domain: d.settings.Domain, Peer: d.settings.Peer, Incarnation: d.incarnation,
	}, func(body []byte) (*policy.Document, error) { return policy.Parse("published", body) },
		peers.WithLogger(d.log),
		peers.OnDocument(d.publish),
		peers.OnListed(d.updateList),
		peers.OnMembers(d.updateMembers),
		peers.OnFrame(d.receive),
		peers.OnStrike(func(s *peer.Strike) { d.loop.Inject(event.Struck{Strike: s}) }),
		peers.OnExecute(d.execute),
	)
	if err != nil {
		return eris.Wrapf(err, "peer address %s can't be used; check the settings", d.settings.Peer)
	}
	d.peers = g
	return nil
}

func (d *Daemon) act(a event.Action) { d.exec.Act(a) }

// paused runs on the control goroutine after a process pause. The pause itself is
// logged by peers.Group.
func (d *Daemon) paused(gap time.Duration) {
	d.meter.Pause()
	d.peers.Paused(gap)
	d.calls.Paused(gap)
}

// afterIteration opens and closes report streams when the engines of the cells that
// this daemon owns may have changed.
func (d *Daemon) afterIteration() {
	if d.watchStale {
		d.watchStale = false
		d.watch.Set(d.cell.Watched())
	}
}

func (d *Daemon) publish(doc *policy.Document) {
	d.log.Info("document in force", "version", doc.Version)
	d.engines.publish(doc)
	d.edge.Publish(doc)
	d.calls.Publish(doc)
	d.loop.Inject(event.Published{Document: doc})
	d.watchStale = true
}

func (d *Daemon) updateList(l event.Listed) {
	d.calls.UpdateList(l)
	d.loop.Inject(l)
	d.watchStale = true
}

func (d *Daemon) updateMembers(alive, running map[string]uint64) {
	d.calls.UpdateMembers(alive)
	d.loop.Inject(event.Members{Alive: alive, Running: running})
	d.watchStale = true
}

func (d *Daemon) receive(from string, f *peer.Frame) {
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
	d.executing.Add(1)
	defer d.executing.Add(-1)
	return d.calls.Execute(ctx, from, r)
}

// serve listens on the client and the admin address.
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
	d.serveOn(d.edge.Server(), callers)
	d.serveOn(admin.Server(d, d.meter.Handler()), admins)
	d.log.Info("started", "caller", d.settings.Caller.String(), "admin", d.settings.Admin.String())
	return nil
}

func (d *Daemon) serveOn(s *http.Server, l net.Listener) {
	d.servers = append(d.servers, s)
	s.ErrorLog = d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- err
		}
	}()
}

// Wait blocks until ctx ends, and then returns nil, or until a listener fails.
func (d *Daemon) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return eris.Wrap(err, "a listener failed; start the daemon again")
	}
}

// Stop drains and stops the daemon. New requests are refused as not run; requests in
// flight may complete until their own deadlines.
func (d *Daemon) Stop() {
	d.draining.Store(true)
	d.edge.Drain()
	d.loop.Do(func(time.Time) { d.calls.Drain() })
	d.peers.Leave()
	d.log.Info("draining", "requests", d.edge.Active())
	limit := time.Now().Add(drainTimeout)
	for d.hasRequests() && time.Now().Before(limit) {
		time.Sleep(pollInterval)
	}
	limit = time.Now().Add(releaseTimeout)
	for d.pending() > 0 && time.Now().Before(limit) {
		time.Sleep(pollInterval)
	}
	d.close()
	d.log.Info("stopped")
}

// hasRequests reports whether requests of clients or of other daemons are in flight.
func (d *Daemon) hasRequests() bool {
	return d.edge.Active() > 0 || d.executing.Load() > 0
}

// pending returns the number of requests in the core plus the number of cancels
// that engines have not confirmed.
func (d *Daemon) pending() int {
	requests, releases := 0, 0
	d.loop.Do(func(time.Time) { requests, releases = d.flow.InFlight() })
	return requests + releases
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	d.watch.Close()
	if err := d.peers.Close(); err != nil {
		d.log.Warn("connections to peers did not close cleanly", "error", err.Error())
	}
	d.loop.Close()
	d.exec.Close()
	_ = d.platform.Close()
	_ = d.meter.Close()
}

// Ready implements admin.Source. A daemon without the instance list is not ready:
// it would consider itself the owner of all cells, or know no owner.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.peers.Ready() && d.peers.Status().Revision > 0
}

// Send implements citronrock.Peers, for parts that are created before the
// connections to peers.
func (d *Daemon) Send(to string, f *peer.Frame) { d.peers.Send(to, f) }

// Execute implements citronrock.Peers. Its errors are those of peers.Group.
func (d *Daemon) Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error) {
	return d.peers.Execute(ctx, to, r)
}

// Fetch implements citronrock.Peers. Its errors are those of peers.Group.
func (d *Daemon) Fetch(ctx context.Context, to string, above uint64) (*peer.FetchReply, error) {
	return d.peers.Fetch(ctx, to, above)
}

// memory returns the memory statistics of the process.
func memory() admin.MemoryInfo {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return admin.MemoryInfo{Heap: m.HeapAlloc, Sys: m.Sys}
}
