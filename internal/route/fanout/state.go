package fanout

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"github.com/rotisserie/eris"
)

const (
	// statePath is where a daemon serves its snapshot to others.
	statePath = "/state"
	// versionPollInterval is the time between checks for a version that is waited for.
	versionPollInterval = 10 * time.Millisecond
	// answerTimeout bounds the time until another daemon begins to answer, which it does
	// before it has a version that is waited for.
	answerTimeout = 250 * time.Millisecond
	// stallTimeout bounds the time for each progressBytes of a body. A body that makes
	// progress is not cut off by the size of the document: what has been received would
	// have to be sent again.
	stallTimeout  = 500 * time.Millisecond
	progressBytes = 2 << 10
	// fetchTimeout bounds a whole transfer. maxSendTime is the same for the sender.
	fetchTimeout = 8 * time.Second
	maxSendTime  = fetchTimeout + maxVersionWait
	// maxVersionWait is how long a daemon holds a request for a version that it
	// doesn't have yet: it may be fetching that version itself.
	maxVersionWait = 300 * time.Millisecond
	// readTimeout bounds the time that a connection stays without a request, or with the
	// body of one, which no daemon sends.
	readTimeout = 2 * time.Second
	// maxHeads is the number of daemons that are asked which snapshot is the newest.
	maxHeads = 3
	// maxHeaderBytes and maxSnapshotBytes bound the header and body of a response. The first one
	// bounds the header of a request, too.
	maxHeaderBytes   = 16 << 10
	maxSnapshotBytes = 8 << 20
)

// Parameters of a request for the state.
const (
	// paramVersion is the version of the configuration that is waited for.
	paramVersion = "version"
	// paramHave is the version that the asking daemon has in force, 0 for none. Without
	// it the response is in the form of earlier daemons.
	paramHave = "have"
	// paramPart is the part that is wanted, all if it is missing.
	paramPart = "part"
)

// Parts of the state.
const (
	partAll      = ""
	partDocument = "document"
	// partHead is the version and the revision alone.
	partHead = "head"
)

// ErrNoPeer is returned when no other daemon provided its snapshot.
var ErrNoPeer = errors.New("no other daemon provided its snapshot")

// errBusy means that a daemon sends the document to as many others as it may.
var errBusy = errors.New("the other daemon has nothing newer, or sends it to enough others")

// Traffic counts the bytes of snapshots received from and sent to other daemons, and the
// fetches that failed.
type Traffic struct{ In, Out, Failed atomic.Int64 }

// Traffic returns the counters of this daemon.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Serve serves the state to other daemons on a listener, as Server does. It returns when
// the listener is closed.
func (n *Node) Serve(l net.Listener, get func() *citronrock.Snapshot, since func(version uint64) *delta.Patch) {
	_ = n.Server(get, since).Serve(l)
}

// Server returns the server for other daemons, of the snapshot that get returns (nil for
// none). since returns the patch from a version to that of the snapshot, nil for none.
func (n *Node) Server(get func() *citronrock.Snapshot, since func(version uint64) *delta.Patch) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := n.respond(w, r, get, since)
		if err != nil {
			n.log.Info("snapshot not sent to another daemon", "to", r.RemoteAddr, "error", err.Error())
			if !r.URL.Query().Has(paramHave) {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
			return
		}
		sent, _ := w.Write(body) // an error means that the other daemon closed the connection
		n.traffic.Out.Add(int64(sent))
		if r.URL.Query().Get(paramPart) != partHead {
			n.endSend()
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: answerTimeout, ReadTimeout: readTimeout, WriteTimeout: maxSendTime,
		IdleTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// respond returns the body of the response to a request for the state. Without an error
// the caller has to end the send, unless only the head was wanted.
func (n *Node) respond(w http.ResponseWriter, r *http.Request, get func() *citronrock.Snapshot, since func(uint64) *delta.Patch) ([]byte, error) {
	q := r.URL.Query()
	// Missing or malformed versions are 0, which any state satisfies.
	version, _ := strconv.ParseUint(q.Get(paramVersion), 10, 64)
	have, _ := strconv.ParseUint(q.Get(paramHave), 10, 64)
	part := q.Get(paramPart)
	if q.Has(paramHave) {
		// The header tells the other daemon that this one is alive.
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // an error shows in the write of the body
	}
	s := waitForVersion(r.Context(), version, get)
	if s == nil || s.Document == nil {
		return nil, eris.New("no configuration is known")
	}
	if part == partHead {
		return encodeHead(s)
	}
	if !n.beginSend() {
		return nil, errBusy
	}
	body, err := n.encode(s, have, part, q.Has(paramHave), since)
	if err != nil {
		n.endSend()
	}
	return body, err
}

// beginSend takes one of the places for transfers and reports whether there was one:
// others get their document from daemons that send less.
func (n *Node) beginSend() bool {
	limit := maxSends(n.members.Alive())
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sending >= limit {
		return false
	}
	n.sending++
	return true
}

func (n *Node) endSend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sending--
}

// waitForVersion returns the snapshot as soon as it has a version, or else the current
// one after maxVersionWait. It returns nil if ctx is cancelled.
func waitForVersion(ctx context.Context, version uint64, get func() *citronrock.Snapshot) *citronrock.Snapshot {
	for end := time.Now().Add(maxVersionWait); ; {
		s := get()
		if s != nil && s.Document.Version >= version || !time.Now().Before(end) {
			return s
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(versionPollInterval):
		}
	}
}

// PeerCount returns the number of other live daemons.
func (n *Node) PeerCount() int { return len(n.members.Alive()) - 1 }

// FetchSnapshot returns the newest of the snapshots of up to maxHeads other daemons: of
// from, if that is valid, and others picked at random. have is the configuration in force,
// nil for none, so that it is not transferred again. The error wraps ErrNoPeer.
func (n *Node) FetchSnapshot(ctx context.Context, from netip.AddrPort, have *config.Document) (*citronrock.Snapshot, error) {
	others := gossip.Others(n.members, n.self)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if i := slices.Index(others, from); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	others = others[:min(len(others), maxHeads)]
	heads := make([]*citronrock.Snapshot, len(others))
	var asked sync.WaitGroup
	for i, addr := range others {
		asked.Go(func() {
			if s, _, err := n.get(ctx, addr, have, 0, partHead); err == nil {
				heads[i] = s
			}
		})
	}
	asked.Wait()
	err := ErrNoPeer
	for range heads {
		best := -1
		for i, h := range heads {
			if h != nil && (best < 0 || heads[best].Revision.Before(h.Revision)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		heads[best] = nil
		s, fetchErr := n.fetch(ctx, others[best], have, 0, partAll)
		if fetchErr == nil {
			return s, nil
		}
		err = errors.Join(ErrNoPeer, fetchErr)
	}
	return nil, err
}

// FetchDocument returns a newer configuration than have, which may be nil: in a version
// or a later one, if a daemon has it. from announced that version. The error wraps
// ErrNoPeer.
func (n *Node) FetchDocument(ctx context.Context, from netip.AddrPort, have *config.Document, version uint64) (*config.Document, error) {
	err := ErrNoPeer
	for _, addr := range n.sources(from) {
		s, fetchErr := n.fetch(ctx, addr, have, version, partDocument)
		if fetchErr == nil && (have == nil || s.Document.Version > have.Version) {
			return s.Document, nil
		}
		if fetchErr != nil {
			err = errors.Join(ErrNoPeer, fetchErr)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// fetch gets the snapshot of a daemon, which holds the request until it has the
// version, for at most maxVersionWait. It logs how long that took.
func (n *Node) fetch(ctx context.Context, from netip.AddrPort, have *config.Document, version uint64, part string) (*citronrock.Snapshot, error) {
	start := time.Now()
	s, received, err := n.get(ctx, from, have, version, part)
	n.traffic.In.Add(int64(received))
	if ctx.Err() == nil {
		n.mark(from, err)
	}
	fields := []any{"from", from.String(), "want", version, "bytes", received, "took", lines.Ms(time.Since(start))}
	if err != nil {
		n.traffic.Failed.Add(1)
		n.log.Info("snapshot of another daemon not fetched", append(fields, "error", err.Error())...)
		return nil, err
	}
	n.log.Info("snapshot of another daemon fetched", append(fields, "version", s.Document.Version, "revision", s.Revision.String())...)
	return s, nil
}

// get gets a part of the snapshot of a daemon and returns the number of bytes received.
func (n *Node) get(ctx context.Context, from netip.AddrPort, have *config.Document, version uint64, part string) (*citronrock.Snapshot, int, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stall := time.AfterFunc(answerTimeout, cancel)
	defer stall.Stop()
	q := url.Values{paramVersion: {strconv.FormatUint(version, 10)}, paramHave: {"0"}, paramPart: {part}}
	if have != nil {
		q.Set(paramHave, strconv.FormatUint(have.Version, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+statePath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "cannot create request for the snapshot of another daemon")
	}
	client := http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, eris.Wrap(err, "another daemon did not answer a request for its snapshot")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, eris.Errorf("cannot fetch snapshot from another daemon: status %d", resp.StatusCode)
	}
	stall.Reset(maxVersionWait + stallTimeout)
	var body bytes.Buffer
	for {
		read, err := io.CopyN(&body, resp.Body, progressBytes)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, body.Len(), eris.Wrapf(err, "snapshot of another daemon was truncated after %d bytes", body.Len())
		}
		if body.Len() > maxSnapshotBytes {
			return nil, body.Len(), eris.New("snapshot of another daemon is too large")
		}
		if read > 0 {
			stall.Reset(stallTimeout)
		}
	}
	if body.Len() == 0 {
		return nil, 0, errBusy
	}
	snapshot, err := decode(body.Bytes(), have)
	return snapshot, body.Len(), err
}
