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
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// statePath is where a daemon serves its snapshot to others.
	statePath = "/state"
	// versionParam is the query parameter for the wanted version of the
	// configuration, versionPollInterval the time between checks for it.
	versionParam        = "version"
	versionPollInterval = 10 * time.Millisecond
	// fetchTimeout bounds the transfer of the snapshot from one daemon.
	fetchTimeout = 500 * time.Millisecond
	// maxVersionWait is how long a daemon holds a request for a version that it
	// doesn't have yet: it may have relayed an update before it fetched that
	// version itself.
	maxVersionWait = 300 * time.Millisecond
	// documentTimeout bounds the search for a version. Other updates wait
	// meanwhile.
	documentTimeout = 800 * time.Millisecond
	// maxFetches is the number of daemons from which the snapshot is fetched.
	maxFetches = 3
	// maxHeaderBytes and maxSnapshotBytes bound the header and body of a
	// response.
	maxHeaderBytes   = 16 << 10
	maxSnapshotBytes = 8 << 20
)

// encodedSnapshot is the encoded form of citronrock.Snapshot.
type encodedSnapshot struct {
	Revision uint64           `cbor:"1,keyasint"`
	Version  uint64           `cbor:"2,keyasint"`
	Routes   []config.Route   `cbor:"3,keyasint"`
	Services []config.Service `cbor:"4,keyasint"`
	Limits   config.Limits    `cbor:"5,keyasint"`
	Servers  []entry          `cbor:"6,keyasint"`
	// Era is the store's era at Revision.
	Era uint64 `cbor:"7,keyasint,omitempty"`
}

// entry is a backend server's entry with the era in which it was read: entries from
// before a restore of the store may still be in use for a while.
type entry struct {
	Event
	Era uint64 `cbor:"13,keyasint,omitempty"`
}

// ErrNoPeer is returned when no other daemon provided its snapshot.
var ErrNoPeer = errors.New("no other daemon provided its snapshot")

// Traffic counts the bytes of snapshots received from and sent to other daemons, and the
// fetches that failed.
type Traffic struct{ In, Out, Failed atomic.Int64 }

// Traffic returns the counters of this daemon.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Serve serves to other daemons, on a listener, the snapshot that get returns (nil
// for none). It returns when the listener is closed.
func (n *Node) Serve(l net.Listener, get func() *citronrock.Snapshot) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := encode(waitForVersion(r, get))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		sent, _ := w.Write(body) // an error means that the other daemon closed the connection
		n.traffic.Out.Add(int64(sent))
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, WriteTimeout: maxVersionWait + fetchTimeout}
	_ = server.Serve(l) // returns when the listener is closed
}

// waitForVersion returns the snapshot as soon as it has the version in the
// request's query, or else the current one after maxVersionWait. It returns nil if
// the request is cancelled.
func waitForVersion(r *http.Request, get func() *citronrock.Snapshot) *citronrock.Snapshot {
	// A missing or malformed version is 0, which any state satisfies.
	version, _ := strconv.ParseUint(r.URL.Query().Get(versionParam), 10, 64)
	for end := time.Now().Add(maxVersionWait); ; {
		s := get()
		if s != nil && s.Document.Version >= version || !time.Now().Before(end) {
			return s
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-time.After(versionPollInterval):
		}
	}
}

func encode(s *citronrock.Snapshot) ([]byte, error) {
	if s == nil || s.Document == nil {
		return nil, eris.New("no configuration is known")
	}
	out := encodedSnapshot{Revision: s.Revision.Number, Era: s.Revision.Era, Version: s.Document.Version, Routes: s.Document.Routes, Limits: s.Document.Limits}
	for _, service := range s.Document.Services {
		out.Services = append(out.Services, service)
	}
	for _, server := range s.Servers {
		out.Servers = append(out.Servers, entry{PutEvent(server), server.Revision.Era})
	}
	return cbor.Marshal(out)
}

func decode(body []byte) (*citronrock.Snapshot, error) {
	var in encodedSnapshot
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, eris.Wrap(err, "cannot decode the snapshot of another daemon")
	}
	out := &citronrock.Snapshot{Revision: pool.Revision{Era: in.Era, Number: in.Revision}, Document: config.New(in.Version, in.Routes, in.Services, in.Limits)}
	out.Servers = make([]pool.Server, 0, len(in.Servers))
	for _, e := range in.Servers {
		out.Servers = append(out.Servers, e.Server(e.Era))
	}
	return out, nil
}

// PeerCount returns the number of other live daemons.
func (n *Node) PeerCount() int { return len(n.members.Alive()) - 1 }

// FetchSnapshot returns the newest of the snapshots of up to maxFetches other daemons,
// picked at random. The error is ErrNoPeer.
func (n *Node) FetchSnapshot(ctx context.Context) (*citronrock.Snapshot, error) {
	var best *citronrock.Snapshot
	asked := 0
	all := n.members.Alive()
	for _, i := range rand.Perm(len(all)) {
		m := all[i]
		if m.Addr == n.self || asked == maxFetches {
			continue
		}
		asked++
		s, err := n.fetch(ctx, m.Addr, 0)
		if err == nil && (best == nil || best.Revision.Before(s.Revision)) {
			best = s
		}
	}
	if best == nil {
		return nil, ErrNoPeer
	}
	return best, nil
}

// FetchDocument returns the configuration in a version or a newer one, from the
// daemon that announced it or else from another one picked at random. The error
// wraps ErrNoPeer.
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
		if s, err = n.fetch(ctx, addr, version); err == nil && s.Document.Version >= version {
			return s.Document, nil
		}
	}
	return nil, errors.Join(ErrNoPeer, err)
}

// fetch gets the snapshot of a daemon, which holds the request until it has the
// version, for at most maxVersionWait. It logs how long that took.
func (n *Node) fetch(ctx context.Context, from netip.AddrPort, version uint64) (*citronrock.Snapshot, error) {
	start := time.Now()
	s, received, err := n.get(ctx, from, version)
	n.traffic.In.Add(int64(received))
	fields := []any{"from", from.String(), "want", version, "bytes", received, "took", lines.Ms(time.Since(start))}
	if err != nil {
		n.traffic.Failed.Add(1)
		n.log.Info("snapshot of another daemon not fetched", append(fields, "error", err.Error())...)
		return nil, err
	}
	n.log.Info("snapshot of another daemon fetched", append(fields, "version", s.Document.Version, "revision", s.Revision.String())...)
	return s, nil
}

// get gets the snapshot of a daemon and returns the number of bytes received.
func (n *Node) get(ctx context.Context, from netip.AddrPort, version uint64) (*citronrock.Snapshot, int, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d", from, statePath, versionParam, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "cannot create request for the snapshot of another daemon")
	}
	client := http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, eris.Wrap(err, "cannot fetch snapshot from another daemon")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, eris.Errorf("cannot fetch snapshot from another daemon: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil {
		return nil, len(body), eris.Wrap(err, "snapshot of another daemon was truncated")
	}
	snapshot, err := decode(body)
	return snapshot, len(body), err
}
