package fanout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// statePath is where a daemon gives its state to others.
	statePath = "/state"
	// versionField is the query's field for the version that is wanted, and
	// versionPause the time between looks for it.
	versionField = "version"
	versionPause = 10 * time.Millisecond
	// fetchTimeout bounds the transfer of the state from one daemon.
	fetchTimeout = 500 * time.Millisecond
	// versionWait is how long a daemon that is asked for a version waits until it
	// has that itself: it may have passed on the notice before.
	versionWait = 300 * time.Millisecond
	// documentTimeout bounds the search for a version, while which changes wait.
	documentTimeout = 800 * time.Millisecond
	// fetchTries is the number of daemons that are asked.
	fetchTries = 3
	// headerLimit and stateLimit bound the header and the body of a state in bytes.
	headerLimit = 16 << 10
	stateLimit  = 8 << 20
)

// state is a daemon's knowledge of what is published.
type state struct {
	Revision uint64           `cbor:"1,keyasint"`
	Version  uint64           `cbor:"2,keyasint"`
	Routes   []config.Route   `cbor:"3,keyasint"`
	Services []config.Service `cbor:"4,keyasint"`
	Limits   config.Limits    `cbor:"5,keyasint"`
	Servers  []entry          `cbor:"6,keyasint"`
	// Era is the store's at the revision.
	Era uint64 `cbor:"7,keyasint,omitempty"`
}

// entry is a backend server's entry and the era in which it was read: entries
// that the store lacks since it came back may still be in use for a while.
type entry struct {
	Event
	Era uint64 `cbor:"13,keyasint,omitempty"`
}

// ErrNoPeer means that no other daemon gave its state.
var ErrNoPeer = errors.New("no other daemon gave its state")

// Serve lets other daemons fetch the state that get returns, nil for none, from
// a listener. It returns when the listener is closed.
func Serve(l net.Listener, get func() *citronrock.Snapshot) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := encode(await(r, get))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(body) // a failed write shows that the other daemon left
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, WriteTimeout: versionWait + fetchTimeout}
	_ = server.Serve(l) // it ends with the listener
}

// await returns the state once it has the version that a request asks for, or
// after versionWait.
func await(r *http.Request, get func() *citronrock.Snapshot) *citronrock.Snapshot {
	// No version, or one that can't be read, is met by any state.
	version, _ := strconv.ParseUint(r.URL.Query().Get(versionField), 10, 64)
	for end := time.Now().Add(versionWait); ; {
		s := get()
		if s != nil && s.Document.Version >= version || !time.Now().Before(end) {
			return s
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-time.After(versionPause):
		}
	}
}

func encode(s *citronrock.Snapshot) ([]byte, error) {
	if s == nil || s.Document == nil {
		return nil, eris.New("no configuration is known")
	}
	out := state{Revision: s.Revision.Number, Era: s.Revision.Era, Version: s.Document.Version, Routes: s.Document.Routes, Limits: s.Document.Limits}
	for _, service := range s.Document.Services {
		out.Services = append(out.Services, service)
	}
	for _, server := range s.Servers {
		out.Servers = append(out.Servers, entry{PutEvent(server), server.Revision.Era})
	}
	return cbor.Marshal(out)
}

func decode(body []byte) (*citronrock.Snapshot, error) {
	var in state
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, eris.Wrap(err, "state of a daemon can't be decoded")
	}
	out := &citronrock.Snapshot{Revision: pool.Revision{Era: in.Era, Number: in.Revision}, Document: config.New(in.Version, in.Routes, in.Services, in.Limits)}
	out.Servers = make([]pool.Server, 0, len(in.Servers))
	for _, e := range in.Servers {
		out.Servers = append(out.Servers, e.Server(e.Era))
	}
	return out, nil
}

// PeerCount returns the number of other daemons.
func (n *Node) PeerCount() int { return len(n.members.Alive()) - 1 }

// FetchState returns the newest state of some other daemons, chosen at random.
func (n *Node) FetchState(ctx context.Context) (*citronrock.Snapshot, error) {
	var best *citronrock.Snapshot
	asked := 0
	all := n.members.Alive()
	for _, i := range rand.Perm(len(all)) {
		m := all[i]
		if m.Addr == n.self || asked == fetchTries {
			continue
		}
		asked++
		s, err := fetch(ctx, m.Addr, 0)
		if err == nil && (best == nil || best.Revision.Before(s.Revision)) {
			best = s
		}
	}
	if best == nil {
		return nil, ErrNoPeer
	}
	return best, nil
}

// FetchDocument returns the configuration of a version or a newer one from the daemon
// that told of it, or else from another one.
func (n *Node) FetchDocument(ctx context.Context, from netip.AddrPort, version uint64) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	others := gossip.Others(n.members, n.self)
	asked := []netip.AddrPort{from}
	if len(others) > 0 {
		asked = append(asked, others[rand.IntN(len(others))])
	}
	var err error
	for _, addr := range asked {
		var s *citronrock.Snapshot
		if s, err = fetch(ctx, addr, version); err == nil && s.Document.Version >= version {
			return s.Document, nil
		}
	}
	return nil, errors.Join(ErrNoPeer, err)
}

// fetch takes the state of a daemon, which waits for a while until it has a
// version.
func fetch(ctx context.Context, from netip.AddrPort, version uint64) (*citronrock.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d", from, statePath, versionField, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request for a state can't be made")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: headerLimit}}
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
