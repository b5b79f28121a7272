package crash_test

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// network delivers messages between guards without delay.
type network struct {
	handlers map[netip.AddrPort]dgram.Handler
	// mu guards deaf, a daemon that gets no messages, if it is set.
	mu   sync.Mutex
	deaf netip.AddrPort
}

// port is the socket of one daemon.
type port struct {
	net  *network
	addr netip.AddrPort
}

func (p port) Handle(_ dgram.Kind, h dgram.Handler) { p.net.handlers[p.addr] = h }

func (p port) Decode(body []byte, message any) bool { return cbor.Unmarshal(body, message) == nil }

func (p port) Send(_ dgram.Kind, message any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	p.net.mu.Lock()
	deaf := p.net.deaf
	p.net.mu.Unlock()
	for _, addr := range to {
		if addr != deaf {
			p.net.handlers[addr](p.addr, body)
		}
	}
}

func (p port) Alive() []gossip.LiveMember {
	var out []gossip.LiveMember
	for addr := range p.net.handlers {
		out = append(out, gossip.LiveMember{Member: gossip.Member{Addr: addr}})
	}
	return out
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func guards(n int) []*crash.Guard {
	out, _ := guardsOn(n)
	return out
}

func guardsOn(n int) ([]*crash.Guard, *network) {
	net := &network{handlers: map[netip.AddrPort]dgram.Handler{}}
	var out []*crash.Guard
	for i := range n {
		p := port{net, addrOf(i)}
		out = append(out, crash.New(p.addr, p, p, hclog.NewNullLogger()))
	}
	return out, net
}

func call(body string) *proxy.Request {
	return &proxy.Request{Method: "POST", Host: "h", Target: "/x", Body: []byte(body)}
}

func server(id string) pool.Server { return pool.Server{ID: id, StartedAt: time.UnixMilli(5)} }

// crashServer makes a server crash during a run of a request that just started.
func crashServer(g *crash.Guard, c *proxy.Request, id string) {
	began := time.Now()
	time.Sleep(10 * time.Millisecond)
	g.RecordBroken(c, server(id), began, crash.Progress{})
	time.Sleep(time.Millisecond)
	g.RecordServerDown(server(id))
}

// Guards against a request that crashes one server after the other, whichever
// daemon receives it, and against blocking harmless requests.
func TestSuspect(t *testing.T) {
	bad := call("bad")
	cases := map[string]struct {
		play func(g []*crash.Guard)
		want bool
	}{
		"one death":                 {func(g []*crash.Guard) { crashServer(g[0], bad, "a") }, false},
		"two deaths at two daemons": {func(g []*crash.Guard) { crashServer(g[0], bad, "a"); crashServer(g[1], bad, "b") }, true},
		"two deaths of one server's processes": {func(g []*crash.Guard) {
			crashServer(g[0], bad, "a")
			later := server("a")
			later.StartedAt = time.UnixMilli(9)
			began := time.Now()
			time.Sleep(time.Millisecond)
			g[0].RecordBroken(bad, later, began, crash.Progress{})
			g[0].RecordServerDown(later)
		}, true},
		"connection broke after the death was found": {func(g []*crash.Guard) {
			crashServer(g[0], bad, "a")
			began := time.Now()
			time.Sleep(time.Millisecond)
			g[0].RecordServerDown(server("b"))
			time.Sleep(time.Millisecond)
			g[0].RecordBroken(bad, server("b"), began, crash.Progress{})
		}, true},
		"deaths of another request": {func(g []*crash.Guard) { crashServer(g[0], call("x"), "a"); crashServer(g[0], call("x"), "b") }, false},
		"broken connections of live servers": {func(g []*crash.Guard) {
			g[0].RecordBroken(bad, server("a"), time.Now(), crash.Progress{})
			time.Sleep(time.Second)
			g[0].RecordBroken(bad, server("b"), time.Now(), crash.Progress{})
		}, false},
		"servers that die side by side": {func(g []*crash.Guard) {
			began := time.Now()
			time.Sleep(time.Millisecond)
			for _, id := range []string{"a", "b", "c"} {
				g[0].RecordBroken(bad, server(id), began, crash.Progress{})
				g[0].RecordServerDown(server(id))
			}
		}, false},
		"a run survived": {func(g []*crash.Guard) {
			crashServer(g[0], bad, "a")
			time.Sleep(time.Millisecond)
			g[2].RecordSuccess(bad, "")
			time.Sleep(time.Millisecond)
			crashServer(g[1], bad, "b")
		}, false},
		"a minute ago": {func(g []*crash.Guard) {
			crashServer(g[0], bad, "a")
			crashServer(g[1], bad, "b")
			time.Sleep(crash.StrikeTTL)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := guards(3)
				defer func() {
					for _, g := range all {
						g.Close()
					}
				}()
				c.play(all)
				for i, g := range all {
					if got := g.IsBlocked(bad); got != c.want {
						t.Errorf("daemon %d: blocked %v, want %v", i, got, c.want)
					}
				}
				if all[0].IsBlocked(call("good")) {
					t.Error("another request is blocked")
				}
			})
		})
	}
}

// Guards against a daemon that lets a request through which has crashed two servers, as it
// missed the one datagram about each crash, was started later or was paused meanwhile.
func TestStrikesReachDaemonsThatMissedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := call("bad")
		all, net := guardsOn(5)
		defer func() {
			for _, g := range all {
				g.Close()
			}
		}()
		net.mu.Lock()
		net.deaf = addrOf(4)
		net.mu.Unlock()
		crashServer(all[0], bad, "a")
		crashServer(all[1], bad, "b")
		if all[4].IsBlocked(bad) {
			t.Fatal("the daemon has not missed the crashes")
		}
		net.mu.Lock()
		net.deaf = netip.AddrPort{}
		net.mu.Unlock()
		time.Sleep(3 * time.Second) // the contact window
		synctest.Wait()
		if !all[4].IsBlocked(bad) {
			t.Error("not blocked 3 s after the daemon is reached again")
		}
		// What is pushed again and again must not count as new crashes, nor keep later ones
		// from counting.
		crashServer(all[2], call("other"), "c")
		time.Sleep(5 * time.Second)
		if all[4].IsBlocked(call("other")) {
			t.Error("one crash is counted twice")
		}
		crashServer(all[3], call("other"), "d")
		synctest.Wait()
		if !all[3].IsBlocked(call("other")) {
			t.Error("the second crash is not counted")
		}
	})
}
