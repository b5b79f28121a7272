// Package router assembles a router process: it follows the store, joins the other
// daemons, serves clients and shuts down without aborting requests.
package router

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/site"
	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/guard"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/serve"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/front/unary"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/allow"
	"citronrock.example/citronrock/internal/room/bucket"
	"citronrock.example/citronrock/internal/room/gate"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/route/builds"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/route/probe"
	"citronrock.example/citronrock/internal/route/sweep"
	"github.com/rotisserie/eris"
)

const (
	// configRetryAfter is the Retry-After delay for clients while no configuration is
	// known.
	configRetryAfter = 300 * time.Millisecond
	// storeLostRetryAfter is the same while the store does not answer. Outages last
	// seconds, and clients wait for at most a third of their remaining time.
	storeLostRetryAfter = 2 * time.Second
	// defaultTimeout is the timeout of a request when neither the client nor the route
	// sets one, and of reading its body when the limits set none.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit is the size limit of a request body in bytes while no limit is
	// published.
	defaultBodyLimit = 16 << 20
	// shutdownNotice is how long a stopping daemon accepts new connections. The load
	// balancer moves them elsewhere after two failed health checks, a second apart.
	shutdownNotice = 2500 * time.Millisecond
	// droppedLinesInterval is the time between log lines about dropped log lines.
	droppedLinesInterval = 10 * time.Second
	// memoryRetryAfter is the Retry-After delay of a client that was refused for lack
	// of memory.
	memoryRetryAfter = time.Second
	// shutdownReserve is the part of the grace period that is kept for the shutdown
	// after the last request.
	shutdownReserve = 400 * time.Millisecond
	// handOverTime is the part of it for the origins of streams.
	handOverTime = 150 * time.Millisecond
)

var _ citronrock.Origins = (*origin.Group)(nil)

// Router is one router process.
type Router struct {
	settings  *site.Settings
	ingress   citronrock.Ingress
	backends  *gate.Gate
	log       *lines.Log
	meter     *meter.Meter
	startedAt time.Time

	socket  *dgram.Socket
	gossip  *gossip.Node
	table   *pool.Table
	prober  *probe.Prober
	guard   *crash.Guard
	origins *origin.Group
	sweep   *sweep.Sweep
	// builds is nil until the store is read: other daemons may ask before.
	builds        atomic.Pointer[builds.Finder]
	fanout        *fanout.Node
	leases        *lease.Manager
	quotas        *allow.Manager
	follower      *follow.Follower
	server        *serve.Server
	ready         *http.Server
	stateListener net.Listener
	admin         []*http.Server
	unary         *unary.Handler
	stream        *stream.Handler
	memory        *memory.Budget
	clients       *guard.Guard
	budget        *budget.Budget
	seeds         atomic.Pointer[[]netip.AddrPort]
	stopping      atomic.Bool
	grace         *grace.Period
	// started is closed once all parts are initialized. The listeners open earlier, so
	// that requests may arrive before.
	started chan struct{}
	// stopped is closed at the end of Stop.
	stopped chan struct{}
}

// Deps are the dependencies of a router, among them the platform's adapter.
type Deps struct {
	Store    citronrock.Store
	Backends citronrock.Backends
	Ingress  citronrock.Ingress
	Log      *lines.Log
	Meter    *meter.Meter
	// Memory is the budget for requests and responses, to which Backends charge what they
	// read themselves; NewMemory by default.
	Memory *memory.Budget
	// DroppedLines returns the numbers of log lines that were dropped by rate limits
	// (left) and by a slow output (lost). It may be nil.
	DroppedLines func() (left, lost int64)
}

// Start starts a router with the given settings. The error tells which address can't
// be used. Stop stops it.
func Start(s *site.Settings, p Deps) (*Router, error) {
	r := &Router{settings: s, ingress: p.Ingress, log: p.Log, meter: p.Meter, startedAt: time.Now(),
		grace: grace.New(), started: make(chan struct{}), stopped: make(chan struct{})}
	p.Log.Info("start", "domain", s.Domain, "front", s.Front.String(), "peer", s.Peer.String(),
		"seeds", len(s.Seeds), "store", s.Store.String(), "pid", os.Getpid())
	r.seeds.Store(&s.Seeds)
	var err error
	if r.socket, err = dgram.Listen(s.Peer, p.Log); err != nil {
		return nil, err
	}
	self := gossip.Member{Addr: s.Peer, CPUShare: s.CPUShare, Incarnation: r.startedAt.UnixNano()}
	r.gossip = gossip.Start(r.socket, self, s.Seeds, p.Log)
	r.table = pool.New(
		pool.WithChanged(func() { r.leases.Refresh() }),
		pool.WithSuspect(func(s pool.Server) { r.prober.Check(s) }),
		pool.WithDraining(r.broadcastDraining))
	r.fanout = fanout.New(s.Peer, r.socket, r.gossip, p.Log)
	r.fanout.HandleDraining(r.onDraining)
	r.backends = gate.New(s.Peer, r.socket, r.gossip, r.fanout, r.table, p.Backends, p.Log)
	r.backends.OnSignal(r.onSignal)
	r.guard = crash.New(s.Peer, r.socket, r.gossip, p.Log)
	r.origins = origin.New(s.Peer, r.socket, r.gossip, p.Log, origin.WithHistory(r.versions))
	r.prober = probe.New(r.table, r.sameServer, p.Log, probe.WithDown(r.guard.RecordServerDown))
	r.leases = lease.Start(self, s.Domain, r.socket, r.gossip, r.table, r.backends, p.Log)
	r.budget = budget.New(time.Now(), s.Peer, budget.Contract{Ratio: s.Bounds.RetryRatio, Burst: s.Bounds.RetryBurst, Window: s.Bounds.RetryWindow}, r.fleet)
	if r.memory = p.Memory; r.memory == nil {
		r.memory = NewMemory(s)
	}
	r.memory.LimitConns(maxConns(openFiles()))
	r.clients = guard.New(r.memory, p.Log)
	r.unary = unary.New(r.table, r.backends, p.Ingress, r.budget, p.Log, unary.WithDomain(s.Domain), unary.WithGuard(r.guard), unary.WithMemory(r.memory), unary.WithStop(r.grace))
	r.stream = stream.New(r.table, r.backends, p.Ingress, r.leases, r.budget, p.Log, stream.WithDomain(s.Domain), stream.WithGuard(r.guard), stream.WithMemory(r.memory), stream.WithVerify(r.prober.VerifyIdentity), stream.WithStop(r.grace), stream.WithOrigins(r.origins),
		stream.WithWaste(func(service string, tokens int) { p.Meter.WastedTokens(service, int64(tokens)) }))
	if r.server, err = serve.Listen(s.Front, http.HandlerFunc(r.handle), p.Log, serve.WithGuard(r.clients)); err != nil {
		r.closePeers()
		return nil, err
	}
	r.follower = follow.Start(p.Store, r.table, r.fanout, p.Log, follow.WithOnDocument(r.apply))
	r.builds.Store(builds.Start(p.Store, r.table, r.follower, p.Log, builds.WithHeartbeat(s.Heartbeat), builds.WithPeers(r.fanout.PeerCount)))
	r.quotas = allow.New(s.Peer, r.socket, r.gossip, r.tenant, p.Log, allow.WithSeeds(func() []netip.AddrPort { return *r.seeds.Load() }),
		allow.WithContract(bucket.Contract{Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack}))
	r.sweep = sweep.Start(s.Peer, r.gossip, r.table, r.backends, r.origins, p.Log)
	if err := r.listen(); err != nil {
		r.sweep.Close()
		r.quotas.Close()
		r.builds.Load().Close()
		r.follower.Close()
		r.closePeers()
		return nil, err
	}
	close(r.started)
	go r.updateBudget()
	if p.DroppedLines != nil {
		go r.logDroppedLines(p.DroppedLines)
	}
	return r, nil
}

// logDroppedLines regularly logs how many log lines were dropped, until the router
// stops.
func (r *Router) logDroppedLines(dropped func() (left, lost int64)) {
	var wasLeft, wasLost int64
	for range time.Tick(droppedLinesInterval) {
		if r.stopping.Load() {
			return
		}
		left, lost := dropped()
		if left != wasLeft || lost != wasLost {
			r.log.Warn("log lines dropped", "left", left-wasLeft, "lost", lost-wasLost)
		}
		wasLeft, wasLost = left, lost
	}
}

// listen serves readiness, status and the state that other daemons fetch.
func (r *Router) listen() error {
	var err error
	if r.stateListener, err = net.Listen("tcp4", r.settings.Peer.String()); err != nil {
		return eris.Wrapf(err, "can't listen for other daemons at %s; check that the port is free", r.settings.Peer)
	}
	state := r.fanout.Server(r.follower.Snapshot, r.follower.PatchSince)
	go func() { _ = r.clients.Serve(r.stateListener, state) }() // it ends when the listener is closed
	if err := r.registerGauges(); err != nil {
		return err
	}
	return r.listenReady()
}

// apply applies a configuration before it comes into force.
func (r *Router) apply(d *config.Document) {
	r.server.SetLimits(d.Limits)
	capacities := map[string]lease.Capacity{}
	for name, s := range d.Services {
		if s.Engine != nil {
			capacities[name] = lease.Capacity{Slots: s.Engine.Slots, Tokens: s.Engine.Tokens, SwitchTime: s.Engine.Switch}
		}
	}
	r.leases.SetServices(capacities)
}

// Ready returns whether the load balancer may send clients here.
func (r *Router) Ready() bool { return !r.stopping.Load() && r.follower.Document() != nil }

func (r *Router) refuse(w http.ResponseWriter, req *proxy.Request, o *lines.Outcome, text string) {
	r.ingress.Refuse(w, req, o.Status, o.RetryAfter, text)
}

// handle serves one client request.
func (r *Router) handle(w http.ResponseWriter, httpReq *http.Request) {
	<-r.started
	received := time.Now()
	o := r.answer(w, httpReq, received)
	if o.Result == "gone" && r.server.Aborted() {
		o.Result, o.Reason = "broken", "stop"
	}
	o.Took = time.Since(received)
	if end := r.grace.Exit(); !end.IsZero() {
		o.Stopping, o.GraceLeft = true, time.Until(end)
	}
	o.Age, _ = r.follower.Age()
	r.log.End(o)
	r.meter.Answer(o.Service, o.Route, o.Result, o.Reason, o.Took)
	if o.TimeToFirst > 0 {
		r.meter.FirstToken(o.Service, o.Route, o.TimeToFirst)
	}
	if o.Result == "broken" || o.Result == "gone" {
		panic(http.ErrAbortHandler) // closes the connection without a complete answer
	}
}

// answer reads a request and answers it, also if that panics: then it may have run. A
// begun answer is broken off.
func (r *Router) answer(w http.ResponseWriter, httpReq *http.Request, received time.Time) (o lines.Outcome) {
	req := &proxy.Request{}
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		panics.Record(r.log, "request "+req.ID, v)
		o = lines.Outcome{Request: req.ID, Result: "broken", Reason: "panic"}
		if s, ok := w.(interface{ HeaderWritten() bool }); ok && !s.HeaderWritten() {
			o.Status, o.Result = http.StatusBadGateway, "unknown"
			clear(w.Header())
			w.Header().Set("Connection", "close")
			r.refuse(w, req, &o, "an unexpected error ended the request, which may have run")
		}
	}()
	read, err := r.ingress.Read(httpReq)
	if read != nil {
		req = read
	}
	req.Received = received
	if err != nil {
		o = lines.Outcome{Request: req.ID, Status: http.StatusBadRequest, Result: "refused", Reason: string(citronrock.ReasonInvalid)}
		r.refuse(w, req, &o, err.Error())
		return o
	}
	return r.route(w, httpReq, req)
}

// route finds the service of a request and dispatches it.
func (r *Router) route(w http.ResponseWriter, httpReq *http.Request, req *proxy.Request) lines.Outcome {
	o := lines.Outcome{Request: req.ID}
	d := r.follower.Document()
	if d == nil {
		o.Status, o.Result, o.Reason, o.RetryAfter = http.StatusServiceUnavailable, "refused", string(citronrock.ReasonConfig), configRetryAfter
		if r.follower.LacksConfig() {
			o.RetryAfter = storeLostRetryAfter
		}
		r.refuse(w, req, &o, "no configuration is known yet; try again soon")
		return o
	}
	o.Version = d.Version
	route := d.Match(req.Host, req.Path)
	if route == nil {
		o.Status, o.Result, o.Reason = http.StatusNotFound, "refused", "route"
		r.refuse(w, req, &o, "no route of this host matches the path")
		return o
	}
	o.Route = route.Name
	if !authenticate(d, route, req) {
		o.Status, o.Result, o.Reason = http.StatusUnauthorized, "refused", "key"
		r.refuse(w, req, &o, "the request needs the API key of a tenant")
		return o
	}
	o.Tenant = req.TenantName()
	ticket, refused := r.charge(httpReq.Context(), req, &o)
	if refused {
		r.refuse(w, req, &o, http.StatusText(o.Status))
		return o
	}
	o = r.serveRoute(w, httpReq, req, route, d, o)
	if o.Result == "refused" { // it has not run
		ticket.GiveBack()
	}
	return o
}

// Stop shuts the router down within the grace period. It serves the requests in
// flight and those that still arrive.
func (r *Router) Stop() {
	end := time.Now().Add(max(r.settings.Bounds.TerminationGrace-shutdownReserve, time.Second))
	r.grace.Begin(shutdownNotice, end)
	r.stopping.Store(true)
	r.log.Info("stop", "open", r.server.InFlight())
	r.gossip.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	r.server.Stop(ctx, shutdownNotice)
	r.handOver()
	r.sweep.Close()
	r.quotas.Close()
	r.builds.Load().Close()
	r.follower.Close()
	r.closePeers()
	r.stateListener.Close()
	r.ready.Close()
	for _, s := range r.admin {
		s.Close()
	}
	close(r.stopped)
	r.log.Info("stopped", "open", r.server.InFlight(), "took", lines.Ms(time.Since(r.startedAt)))
}

func (r *Router) closePeers() {
	r.prober.Close()
	r.guard.Close()
	r.origins.Close()
	r.leases.Close()
	r.backends.Close()
	r.gossip.Close()
	r.socket.Close()
}
