// Package router assembles a router process: it follows the store, finds the
// other daemons, serves clients and stops without cutting off requests.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/site"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/front/memory"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/quota"
	"citronrock.example/citronrock/internal/front/serve"
	"citronrock.example/citronrock/internal/front/stream"
	"citronrock.example/citronrock/internal/front/unary"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/route/probe"
	"github.com/rotisserie/eris"
)

const (
	// startWait is the time after which a client is asked to come back while no
	// configuration is known.
	startWait = 300 * time.Millisecond
	// lostWait is the same while the store does not answer. Outages last seconds,
	// and clients keep to at most a third of the time that they have left.
	lostWait = 2 * time.Second
	// defaultWait is the time limit of a client that names none on a route that
	// names none.
	defaultWait = 30 * time.Second
	// defaultBody bounds a body in bytes while no limit is published.
	defaultBody = 16 << 20
	// noticeTime is how long a stopping daemon takes new connections: the balancer
	// needs two failed questions, a second apart, to move them elsewhere.
	noticeTime = 2500 * time.Millisecond
	// omittedEvery is the time between lines about missing lines.
	omittedEvery = 10 * time.Second
	// bodyShare is the share of the process's memory for bodies. The collector lets
	// garbage grow to as much again.
	bodyShare = 0.25
	// fullWait is the time after which a client is asked to come back that was
	// refused for lack of memory.
	fullWait = time.Second
	// endSpare is the part of the grace period that is kept for the end itself.
	endSpare = 400 * time.Millisecond
)

// Router is one router process.
type Router struct {
	settings *site.Settings
	ingress  citronrock.Ingress
	backends citronrock.Backends
	log      *lines.Log
	meter    *meter.Meter
	start    time.Time

	socket   *dgram.Socket
	beats    *gossip.Node
	table    *pool.Table
	prober   *probe.Prober
	guard    *crash.Guard
	notices  *fanout.Node
	grants   *lease.Manager
	follower *follow.Follower
	server   *serve.Server
	ready    *http.Server
	states   net.Listener
	admin    []*http.Server
	unary    *unary.Handler
	stream   *stream.Handler
	memory   *memory.Budget
	stopping atomic.Bool
	// end is when a stopping router ends.
	end atomic.Pointer[time.Time]
	// started is closed once all parts are there. The listeners open before, so
	// that requests may come earlier.
	started chan struct{}
}

// Deps are what a router needs from the platform's adapter.
type Deps struct {
	Store    citronrock.Store
	Backends citronrock.Backends
	Ingress  citronrock.Ingress
	Log      *lines.Log
	Meter    *meter.Meter
	// DroppedLines returns the log lines that limits left out and that the output did
	// not take. It may be nil.
	DroppedLines func() (left, lost int64)
}

// Start begins to serve.
func Start(s *site.Settings, p Deps) (*Router, error) {
	r := &Router{settings: s, ingress: p.Ingress, backends: p.Backends, log: p.Log, meter: p.Meter, start: time.Now(),
		started: make(chan struct{})}
	p.Log.Info("start", "domain", s.Domain, "front", s.Front.String(), "peer", s.Peer.String(),
		"seeds", len(s.Seeds), "store", s.Store.String(), "pid", os.Getpid())
	var err error
	if r.socket, err = dgram.Listen(s.Peer, p.Log); err != nil {
		return nil, err
	}
	self := gossip.Member{Addr: s.Peer, Power: s.Power, Start: r.start.UnixNano()}
	r.beats = gossip.Start(r.socket, self, s.Seeds, p.Log)
	r.table = pool.New(
		pool.WithChanged(func() { r.grants.Refresh() }),
		pool.WithSuspect(func(s pool.Server) { r.prober.Check(s) }),
		pool.WithDraining(r.tellLeaving))
	r.notices = fanout.New(s.Peer, r.socket, r.beats)
	r.notices.HandleDraining(r.heardLeaving)
	p.Backends.OnSignal(r.heardServer)
	r.guard = crash.New(s.Peer, r.socket, r.beats, p.Log)
	r.prober = probe.New(r.table, r.same, p.Log, probe.WithDown(r.guard.RecordServerDown))
	r.grants = lease.Start(self, s.Domain, r.socket, r.beats, r.table, p.Backends, p.Log)
	budget := quota.New(s.Bounds.Retry, s.Bounds.Slack, func() int { return len(r.beats.Alive()) })
	r.memory = memory.New(memory.DefaultBytes)
	if s.Memory > 0 {
		r.memory = memory.New(int64(bodyShare * float64(s.Memory)))
	}
	r.unary = unary.New(r.table, p.Backends, p.Ingress, budget, p.Log, unary.WithDomain(s.Domain), unary.WithGuard(r.guard), unary.WithMemory(r.memory))
	r.stream = stream.New(r.table, p.Backends, p.Ingress, r.grants, budget, p.Log, stream.WithDomain(s.Domain), stream.WithGuard(r.guard), stream.WithMemory(r.memory), stream.WithVerify(r.prober.VerifyIdentity), stream.WithShutdownDeadline(r.endsAt),
		stream.WithWaste(func(service string, tokens int) { p.Meter.Waste(service, int64(tokens)) }))
	if r.server, err = serve.Listen(s.Front, http.HandlerFunc(r.handle), p.Log); err != nil {
		r.closePeers()
		return nil, err
	}
	r.follower = follow.Start(p.Store, r.table, r.notices, p.Log, follow.WithApply(r.apply))
	if err := r.listen(); err != nil {
		r.follower.Close()
		r.closePeers()
		return nil, err
	}
	close(r.started)
	if p.DroppedLines != nil {
		go r.tellOmitted(p.DroppedLines)
	}
	return r, nil
}

// tellOmitted logs how many lines are missing in the log, until the router
// stops.
func (r *Router) tellOmitted(omitted func() (left, lost int64)) {
	var wasLeft, wasLost int64
	for range time.Tick(omittedEvery) {
		if r.stopping.Load() {
			return
		}
		left, lost := omitted()
		if left != wasLeft || lost != wasLost {
			r.log.Warn("lines omitted", "left", left-wasLeft, "lost", lost-wasLost)
		}
		wasLeft, wasLost = left, lost
	}
}

// listen serves readiness, status and the state that other daemons fetch.
func (r *Router) listen() error {
	var err error
	if r.states, err = net.Listen("tcp4", r.settings.Peer.String()); err != nil {
		return eris.Wrapf(err, "can't listen for other daemons at %s; check that the port is free", r.settings.Peer)
	}
	go fanout.Serve(r.states, r.follower.State)
	if err := r.gauges(); err != nil {
		return err
	}
	return r.listenReady()
}

// same tells whether a backend server is still the one of its entry.
func (r *Router) same(ctx context.Context, s pool.Server) (bool, error) {
	path := ""
	if d := r.follower.Document(); d != nil {
		path = d.Services[s.Service].Health
	}
	return r.backends.CheckIdentity(ctx, s, path)
}

// apply takes a configuration before it is in force.
func (r *Router) apply(d *config.Document) {
	r.server.SetLimits(d.Limits)
	rooms := map[string]lease.Capacity{}
	for name, s := range d.Services {
		if s.Engine != nil {
			rooms[name] = lease.Capacity{Slots: s.Engine.Slots, Tokens: s.Engine.Tokens, SwitchTime: s.Engine.Switch}
		}
	}
	r.grants.SetServices(rooms)
}

// Ready tells whether the balancer may send clients here.
func (r *Router) Ready() bool { return !r.stopping.Load() && r.follower.Document() != nil }

func (r *Router) refuse(w http.ResponseWriter, c *proxy.Request, o *lines.Outcome, text string) {
	r.ingress.Refuse(w, c, o.Status, o.After, text)
}

// handle serves one request of a client.
func (r *Router) handle(w http.ResponseWriter, req *http.Request) {
	<-r.started
	received := time.Now()
	c, err := r.ingress.Read(req)
	if c == nil {
		c = &proxy.Request{}
	}
	c.Received = received
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler { //nolint:errorlint // net/http compares it, too
			panics.Note(r.log, "request "+c.ID, v)
		}
		panic(http.ErrAbortHandler) // closes the connection without a complete answer
	}()
	o := lines.Outcome{Request: c.ID}
	if err != nil {
		o.Status, o.Result, o.Reason = http.StatusBadRequest, "refused", string(citronrock.ReasonInvalid)
		r.refuse(w, c, &o, err.Error())
	} else {
		o = r.route(w, req, c)
	}
	if o.Result == "gone" && r.server.Aborted() {
		o.Result, o.Reason = "broken", "stop"
	}
	o.Took = time.Since(received)
	o.Age, _ = r.follower.Age()
	r.log.End(o)
	r.meter.Answer(o.Service, o.Route, o.Result, o.Reason, o.Took)
	if o.First > 0 {
		r.meter.First(o.Service, o.Route, o.First)
	}
	if o.Result == "broken" || o.Result == "gone" {
		panic(http.ErrAbortHandler)
	}
}

// route finds the service of a call and passes it on.
func (r *Router) route(w http.ResponseWriter, req *http.Request, c *proxy.Request) lines.Outcome {
	o := lines.Outcome{Request: c.ID}
	d := r.follower.Document()
	if d == nil {
		o.Status, o.Result, o.Reason, o.After = http.StatusServiceUnavailable, "refused", string(citronrock.ReasonConfig), startWait
		if r.follower.LacksConfig() {
			o.After = lostWait
		}
		r.refuse(w, c, &o, "no configuration is known yet; try again soon")
		return o
	}
	o.Version = d.Version
	route := d.Match(c.Host, c.Path)
	if route == nil {
		o.Status, o.Result, o.Reason = http.StatusNotFound, "refused", "route"
		r.refuse(w, c, &o, "no route of this host matches the path")
		return o
	}
	o.Route = route.Name
	body, status := r.readBody(w, req, d.Limits)
	defer body.Release()
	if status != 0 {
		o.Status, o.Result, o.Reason = status, "refused", "body"
		if status == http.StatusServiceUnavailable {
			o.Reason, o.After = "memory", fullWait
		}
		r.refuse(w, c, &o, http.StatusText(status))
		return o
	}
	if body != nil {
		c.Body = body.Bytes
	}
	o.Service = route.Pick(c.ID)
	service, ok := d.Services[o.Service]
	if !ok {
		o.Status, o.Result, o.Reason, o.After = http.StatusServiceUnavailable, "refused", "service", time.Second
		r.refuse(w, c, &o, "the service of this route is not configured")
		return o
	}
	if r.guard.IsBlocked(c) {
		o.Status, o.Result, o.Reason, o.After = http.StatusServiceUnavailable, "refused", string(citronrock.ReasonSuspect), crash.StrikeTTL
		r.refuse(w, c, &o, "earlier runs of this request crashed servers")
		return o
	}
	return r.dispatch(w, req, c, route, service, o)
}

func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, c *proxy.Request, route *config.Route, service config.Service, o lines.Outcome) lines.Outcome {
	wait := c.Timeout
	if route.Timeout > 0 && (wait == 0 || route.Timeout < wait) {
		wait = route.Timeout
	}
	if wait == 0 {
		wait = defaultWait
	}
	deadline := c.Received.Add(wait)
	ctx, cancel := context.WithDeadline(req.Context(), deadline)
	defer cancel()
	var out lines.Outcome
	if route.Kind == config.Stream {
		out = r.stream.Serve(ctx, w, c, route, service, deadline)
	} else {
		out = r.unary.Serve(ctx, w, c, route, service.Name, deadline)
	}
	out.Request, out.Route, out.Service, out.Version, out.Left = o.Request, o.Route, o.Service, o.Version, time.Until(deadline)
	return out
}

// readBody reads the body of a request, nil for none, within the published
// limits. It returns the status of a failure, 0 for none.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request, l config.Limits) (*memory.Body, int) {
	if req.ContentLength == 0 {
		return nil, 0
	}
	control := http.NewResponseController(w)
	wait := defaultWait
	if l.HeaderWait > 0 {
		wait = l.HeaderWait
	}
	_ = control.SetReadDeadline(time.Now().Add(wait)) // connections of net/http have one
	limit := int64(defaultBody)
	if l.Body > 0 {
		limit = int64(l.Body)
	}
	body, err := r.memory.Read(req.Body, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, 0
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, memory.ErrExhausted):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}

// endsAt returns when this router ends, zero while it is not stopping.
func (r *Router) endsAt() time.Time {
	if end := r.end.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// SetSeeds takes changed seeds after a reload of the settings.
func (r *Router) SetSeeds(seeds []netip.AddrPort) { r.beats.SetSeeds(seeds) }

// Stop serves the requests in flight, and those that still come, and ends
// within the grace period.
func (r *Router) Stop() {
	end := time.Now().Add(max(r.settings.Bounds.Grace-endSpare, time.Second))
	r.end.Store(&end)
	r.stopping.Store(true)
	r.log.Info("stop", "open", r.server.InFlight())
	r.beats.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	r.server.Stop(ctx, noticeTime)
	r.follower.Close()
	r.closePeers()
	r.states.Close()
	r.ready.Close()
	for _, s := range r.admin {
		s.Close()
	}
	r.log.Info("stopped", "open", r.server.InFlight(), "took", lines.Ms(time.Since(r.start)))
}

func (r *Router) closePeers() {
	r.prober.Close()
	r.grants.Close()
	r.beats.Close()
	r.socket.Close()
}
