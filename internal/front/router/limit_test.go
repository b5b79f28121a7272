package router

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/site"
	"citronrock.example/citronrock/internal/daemon/meter"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// The load and the limit of TestFleetLimit.
const (
	daemons      = 7
	limitPerS    = 6
	clientPeriod = 60 * time.Millisecond
	serverTime   = 5 * time.Millisecond
	limitWindow  = 4 * time.Second
)

// limitedServers are the servers of a service, of which the first one names a limit.
type limitedServers struct {
	citronrock.Backends
	mu       sync.Mutex
	limited  bool
	arrivals []time.Time
}

// daemonServers are the servers as one daemon reaches them.
type daemonServers struct {
	*limitedServers
	onLimit func(pool.Server, pool.Limit)
}

func (*daemonServers) OnSignal(func(pool.Server, pool.Signal)) {}

func (s *daemonServers) OnLimit(f func(pool.Server, pool.Limit)) { s.onLimit = f }

func (s *daemonServers) Send(_ context.Context, to pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Response, error) {
	start := time.Now()
	s.mu.Lock()
	if to.ID == "limited" {
		s.arrivals = append(s.arrivals, start)
	}
	says := pool.Limit{State: pool.LimitNone, SentAt: start}
	if to.ID == "limited" && s.limited {
		says.State, says.Rate = pool.LimitNamed, limitPerS
	}
	s.mu.Unlock()
	time.Sleep(serverTime)
	s.onLimit(to, says)
	return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader("answer"), Close: func() {}}, nil
}

// fixedStore has one configuration and the entries of two servers.
type fixedStore struct{}

func (fixedStore) Load(context.Context, bool) (*citronrock.Snapshot, error) {
	route := config.Route{Name: "r", Host: "h", Prefix: "/", Kind: config.Idempotent, Timeout: time.Second, Target: time.Second, Attempts: 2,
		Splits: []config.Split{{Service: "s", Weight: 1}}}
	entry := pool.Server{Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Domain: "a", Sequence: 1, Revision: pool.Revision{Number: 1}}
	limited, other := entry, entry
	limited.ID, other.ID, other.Domain = "limited", "other", "b"
	return &citronrock.Snapshot{Document: config.New(1, []config.Route{route}, []config.Service{{Name: "s"}}, config.Limits{}),
		Servers: []pool.Server{limited, other}, Revision: pool.Revision{Number: 1}}, nil
}

func (fixedStore) Watch(ctx context.Context, after pool.Revision, wait time.Duration) (*citronrock.Changes, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return &citronrock.Changes{Revision: after}, nil
	}
}

// plainIngress takes requests as they are.
type plainIngress struct{}

func (plainIngress) Read(r *http.Request) (*proxy.Request, error) {
	return &proxy.Request{ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Header: http.Header{}}, nil
}

func (plainIngress) Refuse(w http.ResponseWriter, _ *proxy.Request, status int, _ time.Duration, _ string) {
	w.WriteHeader(status)
}

// startFleet starts daemons in this process, each at its own loopback address.
func startFleet(t *testing.T, servers *limitedServers) []*Router {
	t.Helper()
	addr := func(i int, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(i + 1)}), port)
	}
	l, err := net.Listen("tcp4", addr(0, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(l.Addr().String()).Port()
	l.Close()
	var out []*Router
	for i := range daemons {
		m, err := meter.New()
		if err != nil {
			t.Fatal(err)
		}
		r, err := Start(&site.Settings{Name: "d", Domain: "a", Front: addr(i, 0), Ready: addr(i, 0), Peer: addr(i, port), CPUShare: 40,
			Seeds: []netip.AddrPort{addr(0, port)}, Bounds: site.Bounds{TerminationGrace: time.Second, RetryRatio: 0.1, RetryBurst: 50}},
			Deps{Store: fixedStore{}, Backends: &daemonServers{limitedServers: servers}, Ingress: plainIngress{}, Log: lines.New(io.Discard, "d"), Meter: m})
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, r)
	}
	time.Sleep(2 * time.Second)
	return out
}

// Guards against a server that gets more than the limit that it has named, summed over
// all daemons, while each daemon learns the limit at another time, and against a server
// that gets far less than that.
func TestFleetLimit(t *testing.T) {
	servers := &limitedServers{}
	fleet := startFleet(t, servers)
	var clients, stops sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for i, r := range fleet {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				w, req := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/", nil)
				if r.handle(w, req); w.Code != http.StatusOK {
					t.Errorf("status %d, want an answer of the server without a limit", w.Code)
				}
				time.Sleep(time.Duration(random.Int64N(int64(2 * clientPeriod))))
			}
		})
	}
	time.Sleep(time.Second)
	servers.mu.Lock()
	servers.limited = true
	from := time.Now().Add(time.Second)
	servers.mu.Unlock()
	time.Sleep(8 * time.Second)
	cancel()
	clients.Wait()
	for _, r := range fleet {
		stops.Go(r.Stop)
	}
	stops.Wait()
	counted := servers.arrivals[:0]
	for _, at := range servers.arrivals {
		if at.After(from) {
			counted = append(counted, at)
		}
	}
	most := 0
	for i, at := range counted {
		first, _ := slices.BinarySearchFunc(counted, at.Add(-limitWindow), time.Time.Compare)
		most = max(most, i+1-first)
	}
	if allowed := int(1.5*limitPerS*limitWindow.Seconds()) + 5; most > allowed {
		t.Errorf("the server got %d requests in %v, allowed %d", most, limitWindow, allowed)
	}
	if used := float64(len(counted)) / (limitPerS * 7); used < 0.7 {
		t.Errorf("%.0f%% of the limit was used, want 70%% or more", 100*used)
	}
}
