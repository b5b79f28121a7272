package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// changingStore publishes another configuration each few milliseconds: with other
// limits on clients, timeouts and weights.
type changingStore struct {
	kindsStore
	version atomic.Uint64
}

func (s *changingStore) Watch(ctx context.Context, after pool.Revision, _ time.Duration) (*citronrock.Changes, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	snapshot, err := s.Load(ctx, false)
	if err != nil {
		return nil, err
	}
	d := snapshot.Document
	n := s.version.Add(1)
	var services []config.Service
	for _, service := range d.Services {
		services = append(services, service)
	}
	routes := append([]config.Route(nil), d.Routes...)
	for i := range routes {
		routes[i].Timeout += time.Duration(n%7) * time.Second
	}
	limits := config.Limits{Header: 8192 + int(n), Body: 1024 + int(n), HeaderWait: 2 * time.Second, Idle: time.Minute}
	return &citronrock.Changes{Document: config.New(1+n, routes, services, limits), Revision: pool.Revision{Number: after.Number + 1}}, nil
}

// Guards against requests of any kind, on new and kept connections, that are lost while
// the limits and routes of the configuration and the seeds change.
func TestChangesLoseNothing(t *testing.T) {
	t.Parallel()
	store := &changingStore{}
	r := startOne(t, store, &slowServers{sent: map[string]time.Duration{}})
	time.Sleep(2500 * time.Millisecond) // the ledger's owner is settled
	front := r.settings.Front.String()
	end := time.Now().Add(3 * time.Second)
	var all sync.WaitGroup
	var answered atomic.Int64
	all.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			r.SetSeeds([]netip.AddrPort{netip.AddrPortFrom(r.settings.Peer.Addr(), uint16(1+i%2))})
			time.Sleep(10 * time.Millisecond)
		}
	})
	for i := range 24 {
		all.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				if conn == nil || i%2 == 0 {
					var err error
					if conn, err = net.Dial("tcp4", front); err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					in = bufio.NewReader(conn)
				}
				c := stopCase{route: []string{"once", "again", "stream", "model"}[i/2%4], limit: 10 * time.Second, takes: time.Duration(n%20) * 10 * time.Millisecond}
				text := c.text(fmt.Sprint(i, "-", n))
				_, _ = io.WriteString(conn, text[:len(text)/2]) // an error shows in the answer
				time.Sleep(3 * time.Millisecond)
				_, _ = io.WriteString(conn, text[len(text)/2:])
				if a := receive(in); a.status != http.StatusOK || !a.complete || a.last {
					t.Errorf("%+v got %+v", c, a)
					return
				}
				answered.Add(1)
			}
		})
	}
	all.Wait()
	if v := r.follower.Document().Version; v < 50 {
		t.Errorf("%d configurations in force, want 50 or more", v)
	}
	t.Logf("%d requests answered during %d configurations", answered.Load(), r.follower.Document().Version)
	r.Stop()
}
