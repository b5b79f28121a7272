package router

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/guard"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/allow"
	"citronrock.example/citronrock/internal/room/gate"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/rotisserie/eris"
)

// Limits of the ports for readiness, status and metrics.
const (
	headerTimeout = 5 * time.Second
	// readTimeout bounds reading a whole request: none of them has a body.
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	// maxHeaderBytes bounds the header. The default of net/http is 1 MB.
	maxHeaderBytes = 16 << 10
	// adminRequests is the number of responses with status or metrics that are prepared at
	// once: 1,500 at once took 98 MB.
	adminRequests = 4
)

// Status is the state of a router for operators.
type Status struct {
	Name     string                `json:"name"`
	Domain   string                `json:"domain"`
	Started  time.Time             `json:"started"`
	Ready    bool                  `json:"ready"`
	Version  uint64                `json:"version"`
	Revision pool.Revision         `json:"revision"`
	StoreAge time.Duration         `json:"age"`
	InFlight int                   `json:"open"`
	Peers    []Peer                `json:"peers"`
	Servers  []Server              `json:"servers"`
	Loads    map[string]lease.Load `json:"loads"`
	// Limits are the limits that servers name.
	Limits []gate.Limit `json:"limits"`
	// Quotas are the allowances of tenants in use, those used most first.
	Quotas []allow.Account `json:"quotas"`
	// Parts are the verdicts on parts of prompts that crashed servers, ended ones too.
	Parts []Part `json:"parts"`
	// Bytes counts the bytes of datagrams from and to other daemons, by kind.
	Bytes map[string]Bytes `json:"bytes"`
}

// Part is a verdict on a part of prompts.
type Part struct {
	ID      string `json:"part"`
	Service string `json:"service"`
	// Since is when requests with it were first refused, Ended when they were served
	// again, zero while they are refused. Seen is when the last one came.
	Since time.Time `json:"since"`
	Seen  time.Time `json:"seen"`
	Ended time.Time `json:"ended,omitzero"`
	// Crashes identify the processes of servers that had crashed under it.
	Crashes []string `json:"crashes"`
	Probes  int      `json:"probes"`
	// Sound is set if a run with it went on.
	Sound bool `json:"sound"`
}

// Bytes counts received and sent bytes.
type Bytes struct {
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// Peer is a live daemon as the gossip sees it.
type Peer struct {
	Addr        netip.AddrPort `json:"addr"`
	CPUShare    uint32         `json:"power"`
	Incarnation int64          `json:"start"`
	Mature      bool           `json:"mature"`
}

// Server is a backend server as the router sees it.
type Server struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Addr     netip.AddrPort `json:"addr"`
	Domain   string         `json:"domain"`
	Stage    string         `json:"stage"`
	Draining bool           `json:"leaving"`
	Revision pool.Revision  `json:"revision"`
}

// Status returns the state for operators.
func (r *Router) Status() Status {
	s := Status{Name: r.settings.Name, Domain: r.settings.Domain, Started: r.startedAt, Ready: r.Ready(),
		InFlight: r.server.InFlight(), Loads: r.leases.Loads(), Limits: r.backends.Limits(), Quotas: r.quotas.Accounts()}
	s.StoreAge, s.Revision = r.follower.Age()
	if d := r.follower.Document(); d != nil {
		s.Version = d.Version
	}
	for _, v := range r.guard.Parts() {
		s.Parts = append(s.Parts, Part{ID: v.Part.ID, Service: v.Part.Service, Since: v.Since, Seen: v.SeenAt, Ended: v.Ended,
			Crashes: v.Crashes, Probes: v.Probes, Sound: v.Sound})
	}
	s.Bytes = map[string]Bytes{}
	for k, name := range dgram.KindNames {
		in, out := r.socket.Bytes(k)
		s.Bytes[name] = Bytes{In: in, Out: out}
	}
	for _, m := range r.gossip.Alive() {
		s.Peers = append(s.Peers, peer(m))
	}
	for _, e := range r.table.All() {
		s.Servers = append(s.Servers, Server{ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain,
			Stage: e.Stage.String(), Draining: e.Draining, Revision: e.Revision})
	}
	return s
}

func peer(m gossip.LiveMember) Peer {
	return Peer{Addr: m.Addr, CPUShare: m.CPUShare, Incarnation: m.Incarnation, Mature: m.Mature}
}

// listenReady serves the readiness check, and status and metrics if the settings
// name an address for them.
func (r *Router) listenReady() error {
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	var err error
	if r.ready, err = listen(r.settings.Ready, ready, r.clients); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Status()) // a write error means that the client left
	})
	mux.Handle("GET /metrics", r.meter.Handler())
	for _, addr := range []netip.AddrPort{r.settings.Admin, r.settings.Metrics} {
		if !addr.IsValid() {
			continue
		}
		s, err := listen(addr, guard.Buffered(mux, adminRequests), r.clients)
		if err != nil {
			// Not fatal: clients can be served without it.
			r.log.Error("metrics and status are unavailable at an address", "addr", addr.String(), "error", err.Error())
			continue
		}
		r.admin = append(r.admin, s)
	}
	return nil
}

// registerGauges registers the gauges that are read when metrics are scraped.
func (r *Router) registerGauges() error {
	var failed []error
	for k, name := range dgram.KindNames {
		failed = append(failed, r.meter.Gauge("peer_bytes_"+name, "bytes of datagrams of this kind from and to other daemons", func() int64 {
			in, out := r.socket.Bytes(k)
			return int64(in + out)
		}))
	}
	for path, name := range gate.PathNames {
		failed = append(failed, r.meter.Gauge("limited_"+name, "sent on this path to servers that named a limit", func() int64 {
			return r.backends.Sent(gate.Path(path))
		}))
	}
	for result, name := range origin.ResultNames {
		failed = append(failed, r.meter.Gauge("origins_"+name, "searches for the origin of a stream with this result", func() int64 {
			return r.origins.Found(origin.Result(result))
		}))
	}
	for cause, name := range memory.CauseNames {
		failed = append(failed,
			r.meter.Gauge("clients_evicted_"+name, "connections of clients closed for this cause", func() int64 { return r.memory.Clients().Evicted[cause] }),
			r.meter.Gauge("clients_refused_"+name, "connections and requests of clients refused for this cause", func() int64 { return r.memory.Clients().Refused[cause] }))
	}
	return errors.Join(append(failed, r.registerBudgetGauges(), r.registerTenantGauges(),
		r.meter.Gauge("origins", "origins of streams that this daemon holds", r.origins.Held),
		r.meter.Gauge("origins_unconfirmed", "origins of streams that too few daemons have confirmed in time", r.origins.Unconfirmed),
		r.meter.Gauge("limited", "servers that name a limit on the requests of all daemons", r.backends.Limited),
		r.meter.Gauge("permits", "permits for requests to limited servers that this daemon got", r.backends.Granted),
		r.meter.Gauge("permits_denied", "requests to limited servers that got no permit", r.backends.Denied),
		r.meter.Gauge("permits_silent", "asks for permits that their owner did not answer", r.backends.Unanswered),
		r.meter.Gauge("memory_free", "bytes that are left for requests and responses", r.memory.Available),
		r.meter.Gauge("memory_given_up", "responses that were given up, as their server held the most memory", r.memory.GivenUp),
		r.meter.Gauge("clients", "open connections of clients at all ports", func() int64 { return r.memory.Clients().Conns }),
		r.meter.Gauge("client_bytes", "bytes held for clients", func() int64 { return r.memory.Clients().Bytes }),
		r.meter.Gauge("panics", "panics recovered since the start; the affected work was abandoned", panics.Count),
		r.meter.Gauge("broken_runs", "runs that crashes of their servers have broken off", r.guard.Broken),
		r.meter.Gauge("open", "requests in flight", func() int64 { return int64(r.server.InFlight()) }),
		r.meter.Gauge("peers", "live daemons, this one included", func() int64 { return int64(r.gossip.Count()) }),
		r.meter.Gauge("state_in", "bytes of snapshots received from other daemons", r.fanout.Traffic().In.Load),
		r.meter.Gauge("state_out", "bytes of snapshots sent to other daemons", r.fanout.Traffic().Out.Load),
		r.meter.Gauge("state_failed", "fetches of a snapshot from another daemon that failed", r.fanout.Traffic().Failed.Load),
		r.meter.Gauge("updates_dropped", "updates of other daemons that were not applied, as too many waited", r.follower.Dropped),
		r.meter.Gauge("version", "version of the configuration in force", func() int64 {
			if d := r.follower.Document(); d != nil {
				return int64(d.Version)
			}
			return 0
		}),
		r.meter.Gauge("store_age", "time since the store's state was last known, in milliseconds", func() int64 {
			age, _ := r.follower.Age()
			return age.Milliseconds()
		}))...)
}

func listen(addr netip.AddrPort, h http.Handler, g *guard.Guard) (*http.Server, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen at %s; check that the port is free", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = g.Serve(l, s) }() // it ends with Close
	return s, nil
}
