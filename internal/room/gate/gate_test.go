package gate

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/room/permit"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var limitedServer = pool.Server{ID: "x", Service: "s", Sequence: 1, StartedAt: time.UnixMilli(1)}

// backends counts what reaches the servers.
type backends struct {
	citronrock.Backends
	onLimit func(pool.Server, pool.Limit)
	calls   int
}

func (b *backends) OnLimit(f func(pool.Server, pool.Limit)) { b.onLimit = f }

func (b *backends) Send(context.Context, pool.Server, *proxy.Request, proxy.Options) (*proxy.Response, error) {
	b.calls++
	return nil, nil
}

func (b *backends) Prefill(_ context.Context, s pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Cache, error) {
	b.calls++
	return &proxy.Cache{Source: s.Addr}, nil
}

func (b *backends) Usage(context.Context, pool.Server) (ledger.Usage, error) {
	b.calls++
	return ledger.Usage{}, nil
}

func (b *backends) CheckIdentity(context.Context, pool.Server, string) (bool, error) {
	b.calls++
	return true, nil
}

func (b *backends) Order(context.Context, pool.Server, lease.Order) error {
	b.calls++
	return nil
}

func (b *backends) Free(context.Context, *proxy.Cache) error {
	b.calls++
	return nil
}

// alone is the view and the network of a daemon with the given members, which lose all
// messages.
type alone struct {
	members []gossip.LiveMember
	sent    int
}

func (a *alone) Alive() []gossip.LiveMember              { return a.members }
func (*alone) Lost() int                                 { return 0 }
func (a *alone) Send(dgram.Kind, any, ...netip.AddrPort) { a.sent++ }
func (*alone) Handle(dgram.Kind, dgram.Handler)          {}
func (*alone) Decode([]byte, any) bool                   { return false }
func (*alone) BroadcastLimits([]permit.Notice)           {}
func (*alone) HandleLimits(func([]permit.Notice))        {}
func named(rate float64) pool.Limit {
	return pool.Limit{State: pool.LimitNamed, Rate: rate, SentAt: time.Now()}
}
func address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000)
}
func member(i byte) gossip.LiveMember {
	return gossip.LiveMember{Member: gossip.Member{Addr: address(i), CPUShare: 40}, Mature: true}
}

// network is what a gate uses of the other daemons.
type network interface {
	dgram.Transport
	Members
	Broadcaster
}

// newGate returns the gate of the daemon at address 1.
func newGate(b *backends, a network, log hclog.Logger) *Gate {
	table := pool.New()
	table.Put(limitedServer)
	return New(address(1), a, a, a, table, b, log)
}

// Guards against a path to the servers that doesn't count against a limit.
func TestAllPathsNeedPermits(t *testing.T) {
	calls := map[string]func(*Gate) error{
		"request": func(g *Gate) error {
			_, err := g.Send(context.Background(), limitedServer, nil, proxy.Options{})
			return err
		},
		"prefill": func(g *Gate) error {
			c, err := g.Prefill(context.Background(), limitedServer, nil, proxy.Options{})
			if err == nil && c.Engine != limitedServer {
				t.Errorf("cache of engine %+v, want %+v", c.Engine, limitedServer)
			}
			return err
		},
		"report": func(g *Gate) error {
			_, err := g.Usage(context.Background(), limitedServer)
			return err
		},
		"check": func(g *Gate) error {
			_, err := g.CheckIdentity(context.Background(), limitedServer, "/")
			return err
		},
		"order": func(g *Gate) error { return g.Order(context.Background(), limitedServer, lease.Order{}) },
		"free":  func(g *Gate) error { return g.Free(context.Background(), &proxy.Cache{Engine: limitedServer}) },
	}
	if len(calls) != len(PathNames) {
		t.Errorf("%d paths are tested of %d", len(calls), len(PathNames))
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &backends{}
				g := newGate(b, &alone{members: []gossip.LiveMember{member(1)}}, hclog.NewNullLogger())
				defer g.Close()
				for range 20 {
					if err := call(g); err != nil {
						t.Fatalf("without a limit: %v", err)
					}
				}
				b.onLimit(limitedServer, named(4))
				b.calls = 0
				denied := 0
				for range 200 {
					var sendErr *proxy.SendError
					if err := call(g); errors.As(err, &sendErr) && sendErr.Limited {
						denied++
					} else if err != nil {
						t.Fatal(err)
					}
					time.Sleep(10 * time.Millisecond)
				}
				if b.calls < 7 || b.calls > 9 || b.calls+denied != 200 {
					t.Errorf("%d calls passed and %d were denied in 2 s with a limit of 4 a second", b.calls, denied)
				}
				b.onLimit(limitedServer, pool.Limit{State: pool.LimitNone, SentAt: time.Now()})
				if err := call(g); err != nil {
					t.Errorf("after the limit: %v", err)
				}
			})
		})
	}
}

// Guards against requests that wait long, or pass, while the owner of a limit is silent
// or no daemon owns it.
func TestSilentOwner(t *testing.T) {
	cases := map[string]struct {
		members []gossip.LiveMember
		sent    int
		took    time.Duration
	}{
		"silent owner": {[]gossip.LiveMember{member(2)}, 2, 80 * time.Millisecond},
		"no owner":     {nil, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, net := &backends{}, &alone{members: c.members}
				g := newGate(b, net, hclog.NewNullLogger())
				defer g.Close()
				b.onLimit(limitedServer, named(1000))
				start := time.Now()
				var all sync.WaitGroup
				for range 10 {
					all.Go(func() {
						if _, err := g.Send(t.Context(), limitedServer, nil, proxy.Options{}); err == nil {
							t.Error("request passes without a permit")
						}
					})
				}
				all.Wait()
				if took := time.Since(start); took > c.took || net.sent != c.sent {
					t.Errorf("denied after %v and %d messages, want %v and %d", took, net.sent, c.took, c.sent)
				}
				if _, err := g.Send(t.Context(), limitedServer, nil, proxy.Options{}); err == nil || time.Since(start) > c.took {
					t.Errorf("error %v after %v, want one at once", err, time.Since(start))
				}
				if b.calls > 0 {
					t.Errorf("%d requests reached the server", b.calls)
				}
			})
		})
	}
}

// Guards against permits that a process uses after it was paused.
func TestOldPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, net := &backends{}, &alone{members: []gossip.LiveMember{member(2)}}
		g := newGate(b, net, hclog.NewNullLogger())
		defer g.Close()
		b.onLimit(limitedServer, named(1000))
		done := make(chan error)
		go func() {
			_, err := g.Send(t.Context(), limitedServer, nil, proxy.Options{})
			done <- err
		}()
		time.Sleep(30 * time.Millisecond)
		g.mu.Lock()
		sv := g.servers[limitedServer.Process()]
		late := sv.ask
		sv.ask = nil // as if the timer of the reply had not run
		g.mu.Unlock()
		time.Sleep(permitTTL)
		late.waiters[0] <- true
		if err := <-done; err == nil {
			t.Error("old permit is used")
		}
	})
}

// Guards against invalid limits that change anything, that are not logged, or that are
// logged for each response.
func TestInvalidLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := &backends{}
		g := newGate(b, &alone{members: []gossip.LiveMember{member(1)}}, hclog.New(&hclog.LoggerOptions{Output: &out}))
		defer g.Close()
		for range 50 {
			b.onLimit(limitedServer, pool.Limit{State: pool.LimitInvalid, Text: "lots", SentAt: time.Now()})
			if _, err := g.Send(t.Context(), limitedServer, nil, proxy.Options{}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(invalidInterval)
		b.onLimit(limitedServer, pool.Limit{State: pool.LimitInvalid, SentAt: time.Now()})
		if n := strings.Count(out.String(), "ignoring a limit"); n != 2 || !strings.Contains(out.String(), "lots") || b.calls != 50 {
			t.Errorf("%d requests passed, %d lines: %s; want 50 and 2", b.calls, n, out.String())
		}
		// An invalid value doesn't end a limit either.
		b.onLimit(limitedServer, named(4))
		b.onLimit(limitedServer, pool.Limit{State: pool.LimitInvalid, Text: "lots", SentAt: time.Now()})
		if g.Limited() != 1 {
			t.Error("the limit is lost")
		}
	})
}

// Checks the bound on a server's load for random sizes of fleets, limits, demands and
// faults.
func TestFleetProperties(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(28)
	p.MinSuccessfulTests = 40
	ps := gopter.NewProperties(p)
	events := []func(*fleet){nil, restartAll(150 * time.Millisecond), startLate, divideBy(func(i int) int { return i % 3 }), killOwner,
		func(f *fleet) { divideBy(func(i int) int { return max(0, 1-i%3) })(f); killOwner(f) },
		func(f *fleet) { time.Sleep(4 * time.Second); f.setLimit(f.limit / 4); killOwner(f) }}
	ps.Property("a server gets what the contract allows at most", prop.ForAll(func(seed uint64, n int, limit, pressure, loss float64, event int) bool {
		ok := true
		t.Run("", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				newFleet(seed, n).play(t, 14*time.Second, min(limit*pressure, 500), limit, loss, events[event])
				ok = !t.Failed()
			})
		})
		return ok
	}, gen.UInt64(), gen.IntRange(7, 120), gen.Float64Range(0.1, 60), gen.Float64Range(0.5, 20), gen.Float64Range(0, 0.1), gen.IntRange(0, len(events)-1)))
	ps.TestingRun(t)
}

// codec is a network whose messages are encoded and decoded as on a socket.
type codec struct {
	alone
	bytes int
}

func (c *codec) Send(_ dgram.Kind, message any, _ ...netip.AddrPort) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	c.bytes += len(body)
}

func (*codec) Decode(body []byte, message any) bool { return cbor.Unmarshal(body, message) == nil }

// Measures what an ask costs the owner of a limit in a fleet of 350, and the bytes of its
// messages without headers.
func BenchmarkAsk(b *testing.B) {
	net := &codec{}
	for i := range 350 {
		m := member(byte(i))
		m.Addr = netip.AddrPortFrom(m.Addr.Addr(), uint16(7000+i))
		net.members = append(net.members, m)
	}
	table, servers := pool.New(), &backends{}
	table.Put(limitedServer)
	g := New(permit.Owner(limitedServer.ID, net.members), net, net, net, table, servers, hclog.NewNullLogger())
	defer g.Close()
	servers.onLimit(limitedServer, named(84))
	body, err := cbor.Marshal(request{ID: 1 << 20, Notice: permit.Notice{ID: limitedServer.ID, StartedAt: 1, Rate: 84,
		Sent: 30 * time.Millisecond, Arrived: 15 * time.Millisecond}, N: 1, Held: 3})
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		g.onRequest(address(2), body)
	}
	b.ReportMetric(float64(len(body)), "B/ask")
	b.ReportMetric(float64(net.bytes)/float64(b.N), "B/reply")
}
