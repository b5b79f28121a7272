package notice

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/fleet"
	"citronrock.example/citronrock/internal/route/plan"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// statePath is where a daemon gives its state to others.
	statePath = "/state"
	// fetchTimeout bounds the transfer of the state from one daemon.
	fetchTimeout = 500 * time.Millisecond
	// fetchTries is the number of daemons that are asked.
	fetchTries = 3
	// stateLimit bounds a state in bytes.
	stateLimit = 8 << 20
)

// state is a daemon's knowledge of what is published.
type state struct {
	Revision uint64         `cbor:"1,keyasint"`
	Version  uint64         `cbor:"2,keyasint"`
	Routes   []plan.Route   `cbor:"3,keyasint"`
	Services []plan.Service `cbor:"4,keyasint"`
	Limits   plan.Limits    `cbor:"5,keyasint"`
	Servers  []Event        `cbor:"6,keyasint"`
}

// ErrNoPeer means that no other daemon gave its state.
var ErrNoPeer = errors.New("no other daemon gave its state")

// Serve lets other daemons fetch the state that get returns, nil for none, from
// a listener. It returns when the listener is closed.
func Serve(l net.Listener, get func() *citronrock.State) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		body, err := encode(get())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(body) // a failed write shows that the other daemon left
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, WriteTimeout: fetchTimeout}
	_ = server.Serve(l) // it ends with the listener
}

func encode(s *citronrock.State) ([]byte, error) {
	if s == nil || s.Document == nil {
		return nil, eris.New("no configuration is known")
	}
	out := state{Revision: s.Revision, Version: s.Document.Version, Routes: s.Document.Routes, Limits: s.Document.Limits}
	for _, service := range s.Document.Services {
		out.Services = append(out.Services, service)
	}
	for _, server := range s.Servers {
		out.Servers = append(out.Servers, Put(server))
	}
	return cbor.Marshal(out)
}

func decode(body []byte) (*citronrock.State, error) {
	var in state
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, eris.Wrap(err, "state of a daemon can't be decoded")
	}
	out := &citronrock.State{Revision: in.Revision, Document: plan.New(in.Version, in.Routes, in.Services, in.Limits)}
	out.Servers = make([]fleet.Server, 0, len(in.Servers))
	for _, e := range in.Servers {
		out.Servers = append(out.Servers, e.Server())
	}
	return out, nil
}

// Others returns the number of other daemons.
func (n *Node) Others() int { return len(n.members.Alive()) - 1 }

// Fetch returns the newest state of some other daemons, chosen at random.
func (n *Node) Fetch(ctx context.Context) (*citronrock.State, error) {
	var best *citronrock.State
	asked := 0
	all := n.members.Alive()
	for _, i := range rand.Perm(len(all)) {
		m := all[i]
		if m.Addr == n.self || asked == fetchTries {
			continue
		}
		asked++
		s, err := fetch(ctx, m.Addr)
		if err == nil && (best == nil || s.Revision > best.Revision) {
			best = s
		}
	}
	if best == nil {
		return nil, ErrNoPeer
	}
	return best, nil
}

func fetch(ctx context.Context, from netip.AddrPort) (*citronrock.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+statePath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request for a state can't be made")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "daemon gives no state")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("daemon gives no state: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, stateLimit))
	if err != nil {
		return nil, eris.Wrap(err, "state of a daemon breaks off")
	}
	return decode(body)
}
