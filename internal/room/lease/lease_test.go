package lease

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

const service = "s"

// testNetwork connects managers in memory. lose decides which messages are lost.
type testNetwork struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*port
	lose  func(from, to netip.AddrPort, k dgram.Kind) bool
	alive []gossip.LiveMember
	known int
}

// port is the socket of one manager.
type port struct {
	net      *testNetwork
	addr     netip.AddrPort
	handlers map[dgram.Kind]dgram.Handler
}

func (p *port) Send(k dgram.Kind, message any, all ...netip.AddrPort) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	for _, to := range all {
		p.net.mu.Lock()
		other, lost := p.net.ports[to], p.net.lose(p.addr, to, k)
		p.net.mu.Unlock()
		if other != nil && !lost {
			other.handlers[k](p.addr, body)
		}
	}
}

func (p *port) Handle(k dgram.Kind, h dgram.Handler) { p.handlers[k] = h }

func (p *port) Decode(body []byte, message any) bool { return cbor.Unmarshal(body, message) == nil }

// Alive returns the live daemons, the same for all managers.
func (n *testNetwork) Alive() []gossip.LiveMember {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.alive)
}

// Known returns the number of daemons that were alive recently.
func (n *testNetwork) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known
}

// idleEngines are engines that hold nothing and refuse orders.
type idleEngines struct{}

func (idleEngines) Usage(context.Context, pool.Server) (ledger.Usage, error) {
	return ledger.Usage{}, nil
}

func (idleEngines) Order(context.Context, pool.Server, Order) error { return errors.New("refused") }

// start returns n managers, the owner of the service first, with one engine of each
// stage that has one slot.
func start(t *testing.T, n int) ([]*Manager, *testNetwork) {
	t.Helper()
	net := &testNetwork{ports: map[netip.AddrPort]*port{}, known: n,
		lose: func(netip.AddrPort, netip.AddrPort, dgram.Kind) bool { return false }}
	var names []string
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		names = append(names, addr.String())
		net.alive = append(net.alive, gossip.LiveMember{Member: gossip.Member{Addr: addr, Incarnation: 1, CPUShare: 40}, Mature: true})
	}
	var managers []*Manager
	for _, name := range owner.Top(service, names, n) {
		addr := netip.MustParseAddrPort(name)
		table := pool.New()
		table.Put(pool.Server{ID: "p1", Service: service, Stage: pool.Prefill, Sequence: 1})
		table.Put(pool.Server{ID: "d1", Service: service, Stage: pool.Decode, Sequence: 1})
		p := &port{net: net, addr: addr, handlers: map[dgram.Kind]dgram.Handler{}}
		manager := Start(gossip.Member{Addr: addr, Incarnation: 1}, "a", p, net, table, idleEngines{}, hclog.NewNullLogger())
		manager.SetServices(map[string]Capacity{service: {Slots: 1, Tokens: 100_000, SwitchTime: 6 * time.Second}})
		net.mu.Lock()
		net.ports[addr] = p
		net.mu.Unlock()
		managers = append(managers, manager)
	}
	time.Sleep(time.Second)
	return managers, net
}

func stop(managers []*Manager) {
	for _, n := range managers {
		n.Close()
	}
}

func acquire(m *Manager) (*Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return m.Acquire(ctx, ledger.Request{Service: service, Prompt: 1000, Expected: 1000,
		Slack: 300 * time.Millisecond, MaxWait: 500 * time.Millisecond, RetryMaxWait: 500 * time.Millisecond})
}

// Guards against capacity that is granted twice when the owner dies: the next daemon
// in order knows the runs.
func TestNextOwnerKnowsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		managers, net := start(t, 4)
		defer stop(managers)
		lease, err := acquire(managers[2])
		if err != nil || lease.Owner != managers[0].self {
			t.Fatalf("lease %+v, error %v; want one from the owner", lease, err)
		}
		time.Sleep(time.Second)
		dead := managers[0].self
		net.mu.Lock()
		net.lose = func(from, to netip.AddrPort, _ dgram.Kind) bool { return from == dead || to == dead }
		net.mu.Unlock()
		var refused *RefusedError
		if _, err := acquire(managers[3]); !errors.As(err, &refused) || refused.Owner != managers[1].self {
			t.Errorf("error %v, want a refusal by the next owner while the only slot is in use", err)
		}
		lease.Close("")
		time.Sleep(500 * time.Millisecond)
		if lease, err = acquire(managers[3]); err != nil || lease.Owner != managers[1].self {
			t.Errorf("lease %+v, error %v after the slot is free; want one from the next owner", lease, err)
		}
	})
}

// Guards against a lease request that waits forever, or is granted twice, when
// messages are lost.
func TestLostMessages(t *testing.T) {
	for name, kind := range map[string]dgram.Kind{"ask": dgram.LeaseRequest, "answer": dgram.LeaseReply, "report": dgram.Report} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				managers, net := start(t, 3)
				defer stop(managers)
				lost := 0
				net.mu.Lock()
				net.lose = func(_, _ netip.AddrPort, k dgram.Kind) bool {
					if k == kind && lost == 0 {
						lost++
						return true
					}
					return false
				}
				net.mu.Unlock()
				start := time.Now()
				lease, err := acquire(managers[2])
				if err != nil || time.Since(start) > 200*time.Millisecond {
					t.Fatalf("lease %+v, error %v after %v; want one within 200 ms", lease, err, time.Since(start))
				}
				time.Sleep(time.Second)
				if load := managers[0].Loads()[service]; load.Runs != 1 {
					t.Errorf("%d runs at the owner for one lease", load.Runs)
				}
				lease.Close("")
				time.Sleep(2 * time.Second)
				if load := managers[0].Loads()[service]; load.Runs != 0 {
					t.Errorf("%d runs at the owner after the lease was closed", load.Runs)
				}
			})
		})
	}
}

// Guards against a slot that stays taken after the client left while its lease
// request was in transit.
func TestAbandonedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		managers, net := start(t, 3)
		defer stop(managers)
		net.mu.Lock()
		net.lose = func(_, _ netip.AddrPort, k dgram.Kind) bool { return k == dgram.LeaseReply }
		net.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		if _, err := managers[2].Acquire(ctx, ledger.Request{Service: service, Prompt: 1000, Expected: 1000, Slack: time.Second}); err == nil {
			t.Fatal("lease without a reply")
		}
		net.mu.Lock()
		net.lose = func(netip.AddrPort, netip.AddrPort, dgram.Kind) bool { return false }
		net.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if _, err := acquire(managers[1]); err != nil {
			t.Errorf("error %v, want the slot of the abandoned request", err)
		}
	})
}

// Guards against orders by two daemons: a daemon must give none while it isn't the
// owner, has just become it, has just started, sees only a minority, or was paused
// for a while.
func TestMayOrder(t *testing.T) {
	cases := map[string]struct {
		node, known int
		after       time.Duration
		paused      bool
		want        bool
	}{
		"owner":                {0, 4, 10 * time.Second, false, true},
		"not the owner":        {1, 4, 10 * time.Second, false, false},
		"owner, just started":  {0, 4, 4 * time.Second, false, false},
		"owner of a minority":  {0, 8, 10 * time.Second, false, false},
		"owner, after a pause": {0, 4, 10 * time.Second, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				managers, net := start(t, 4)
				defer stop(managers)
				net.mu.Lock()
				net.known = c.known
				net.mu.Unlock()
				time.Sleep(c.after)
				m := managers[c.node]
				var got bool
				m.enqueueAndWait(func(now time.Time) {
					if c.paused {
						now = now.Add(maxPause + time.Second)
					}
					got = m.mayOrder(now, service)
				})
				if got != c.want {
					t.Errorf("may order: %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against lost control messages while thousands of servers start: each change
// caused a full refresh of the engine list.
func TestManyServersStart(t *testing.T) {
	managers, _ := start(t, 1)
	defer stop(managers)
	m := managers[0]
	var lost atomic.Int64
	m.log = hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: io.Discard, Exclude: func(hclog.Level, string, ...any) bool {
		lost.Add(1)
		return true
	}})
	table := pool.New(pool.WithChanged(m.Refresh))
	m.enqueueAndWait(func(time.Time) { m.table = table })
	for i := range 3000 {
		table.Put(pool.Server{ID: fmt.Sprint("d", i), Service: service, Stage: pool.Decode, Sequence: 1})
	}
	for end := time.Now().Add(5 * time.Second); m.stale.Load() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if lost.Load() > 0 || m.stale.Load() {
		t.Errorf("%d messages lost, changes left: %v", lost.Load(), m.stale.Load())
	}
}

// Guards against a faulty message that ends the owner's daemon or its control
// goroutine.
func TestPanicEndsOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		managers, _ := start(t, 2)
		defer stop(managers)
		managers[0].enqueueAndWait(func(time.Time) { panic("message") })
		if lease, err := acquire(managers[1]); err != nil || lease.Owner != managers[0].self {
			t.Errorf("lease %+v, error %v after a panic; want one from the owner", lease, err)
		}
	})
}

// Guards against a lease on an engine of another version than the edge daemon asks for,
// because the owner doesn't get or know versions.
func TestLeaseAtVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		managers, _ := start(t, 3)
		defer stop(managers)
		for _, m := range managers {
			for i, version := range []string{"v1", "v2", "v3"} {
				m.table.Put(pool.Server{ID: fmt.Sprint("d", i+1), Service: service, Stage: pool.Decode, Version: version, Sequence: 2})
			}
			m.Refresh()
		}
		time.Sleep(time.Second)
		for _, c := range []struct{ version, decode string }{{"v2", "d2"}, {"v3", "d3"}, {"v1", "d1"}, {"v4", ""}} {
			start := time.Now()
			lease, err := managers[2].Acquire(t.Context(), ledger.Request{Service: service, Prompt: 1000, Expected: 1000, Version: c.version, Resumed: true,
				Slack: 300 * time.Millisecond, MaxWait: 500 * time.Millisecond, RetryMaxWait: 500 * time.Millisecond})
			var refused *RefusedError
			switch {
			case c.decode == "" && (!errors.As(err, &refused) || refused.Reason != ledger.ReasonNoEngine || time.Since(start) > 100*time.Millisecond):
				t.Errorf("lease %+v, error %v for version %s; want a refusal at once", lease, err, c.version)
			case c.decode != "" && (err != nil || lease.Decode != c.decode):
				t.Errorf("lease %+v, error %v for version %s; want one on %s", lease, err, c.version, c.decode)
			}
		}
	})
}
