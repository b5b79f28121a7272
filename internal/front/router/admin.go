package router

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/peer/beat"
	"citronrock.example/citronrock/internal/room/grant"
	"github.com/rotisserie/eris"
)

// headerTimeout bounds the header of a request for readiness or status.
const headerTimeout = 5 * time.Second

// Status is what operators see of a router.
type Status struct {
	Name     string                `json:"name"`
	Domain   string                `json:"domain"`
	Started  time.Time             `json:"started"`
	Ready    bool                  `json:"ready"`
	Version  uint64                `json:"version"`
	Revision uint64                `json:"revision"`
	Age      time.Duration         `json:"age"`
	Open     int                   `json:"open"`
	Peers    []Peer                `json:"peers"`
	Servers  []Server              `json:"servers"`
	Loads    map[string]grant.Load `json:"loads"`
	// In and Out are the bytes of datagrams from and to other daemons.
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// Peer is another daemon.
type Peer struct {
	Addr   netip.AddrPort `json:"addr"`
	Power  uint32         `json:"power"`
	Start  int64          `json:"start"`
	Mature bool           `json:"mature"`
}

// Server is a backend server.
type Server struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Addr     netip.AddrPort `json:"addr"`
	Domain   string         `json:"domain"`
	Stage    string         `json:"stage"`
	Leaving  bool           `json:"leaving"`
	Revision uint64         `json:"revision"`
}

// Status returns the state for operators.
func (r *Router) Status() Status {
	s := Status{Name: r.settings.Name, Domain: r.settings.Domain, Started: r.start, Ready: r.Ready(),
		Open: r.server.Open(), Loads: r.grants.Loads()}
	s.Age, s.Revision = r.follower.Age()
	if d := r.follower.Document(); d != nil {
		s.Version = d.Version
	}
	s.In, s.Out = r.socket.Bytes()
	for _, m := range r.beats.Alive() {
		s.Peers = append(s.Peers, peer(m))
	}
	for _, e := range r.table.All() {
		s.Servers = append(s.Servers, Server{ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain,
			Stage: e.Stage.String(), Leaving: e.Leaving, Revision: e.Revision})
	}
	return s
}

func peer(m beat.Seen) Peer {
	return Peer{Addr: m.Addr, Power: m.Power, Start: m.Start, Mature: m.Mature}
}

// listenReady serves readiness, and status and metrics where the settings name
// an address for them.
func (r *Router) listenReady() error {
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	var err error
	if r.ready, err = listen(r.settings.Ready, ready); err != nil {
		return err
	}
	if !r.settings.Admin.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Status()) // a failed write shows that the client left
	})
	mux.Handle("GET /metrics", r.meter.Handler())
	r.admin, err = listen(r.settings.Admin, mux)
	return err
}

func listen(addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen at %s; check that the port is free", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }() // it ends with Close
	return s, nil
}
