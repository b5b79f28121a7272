package fanout_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// earlierSnapshot is the form in which daemons of the version before patches exchange
// snapshots.
type earlierSnapshot struct {
	Revision uint64           `cbor:"1,keyasint"`
	Version  uint64           `cbor:"2,keyasint"`
	Routes   []config.Route   `cbor:"3,keyasint"`
	Services []config.Service `cbor:"4,keyasint"`
	Limits   config.Limits    `cbor:"5,keyasint"`
	Servers  []fanout.Event   `cbor:"6,keyasint"`
	Era      uint64           `cbor:"7,keyasint,omitempty"`
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// Guards against daemons of two versions that can't read each other's snapshots while
// processes are replaced one after the other.
func TestSnapshotsOfEarlierVersion(t *testing.T) {
	routes := []config.Route{{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Splits: []config.Split{{Service: "s", Weight: 2}}}}
	services := []config.Service{{Name: "s", Engine: &config.Engine{Slots: 3}}}
	want := config.New(7, routes, services, config.Limits{Body: 5})
	server := pool.Server{ID: "x", Service: "s", Addr: daemon(1), StartedAt: time.UnixMilli(9), Revision: pool.Revision{Era: 2, Number: 11}}
	node := fanout.New(daemon(0), nil, members{}, hclog.NewNullLogger())
	t.Run("an earlier daemon asks", func(t *testing.T) {
		l, addr := listen(t)
		go node.Serve(l, func() *citronrock.Snapshot {
			return &citronrock.Snapshot{Document: want, Servers: []pool.Server{server}, Revision: pool.Revision{Era: 2, Number: 12}}
		}, func(uint64) *delta.Patch { return nil })
		resp, err := http.Get("http://" + addr.String() + "/state?version=7")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		var got earlierSnapshot
		if err != nil || cbor.Unmarshal(body, &got) != nil || got.Revision != 12 || got.Era != 2 || len(got.Servers) != 1 ||
			config.New(got.Version, got.Routes, got.Services, got.Limits).Digest() != want.Digest() {
			t.Errorf("snapshot %+v, error %v", got, err)
		}
	})
	t.Run("an earlier daemon answers", func(t *testing.T) {
		l, addr := listen(t)
		body, err := cbor.Marshal(earlierSnapshot{12, 7, routes, services, config.Limits{Body: 5}, []fanout.Event{fanout.PutEvent(server)}, 2})
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
		go func() { _ = s.Serve(l) }() // it ends with the listener
		d, err := node.FetchDocument(context.Background(), addr, config.New(6, nil, nil, config.Limits{}), 7)
		if err != nil || d.Version != 7 || d.Digest() != want.Digest() {
			t.Errorf("document %+v, error %v", d, err)
		}
	})
}
