package origin_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/origin"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Guards against a cost of a stream that grows with the fleet: of its record, and of a
// search that finds it or does not.
func TestCostIsFlat(t *testing.T) {
	type cost struct{ datagrams, bytes float64 }
	costs := map[string][]cost{}
	for _, n := range []int{7, 72, 295} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(n, 0, 8)
			defer f.close()
			const streams = 200
			measure := func(name string, of float64, what func()) {
				f.mu.Lock()
				clear(f.sent)
				clear(f.bytes)
				f.mu.Unlock()
				what()
				time.Sleep(200 * time.Millisecond)
				f.mu.Lock()
				defer f.mu.Unlock()
				var c cost
				for k := range f.sent {
					c.datagrams += float64(f.sent[k]) / of
					c.bytes += float64(f.bytes[k]) / of
				}
				costs[name] = append(costs[name], c)
				t.Logf("%d daemons, %s: %.1f datagrams, %.0f bytes with headers", n, name, c.datagrams, c.bytes)
			}
			var s []*stream
			measure("a stream", streams, func() { s = f.begin(streams) })
			measure("a search that finds its record", streams, func() { f.find(s) })
			records := int64(0)
			for _, d := range f.daemons[:n/7] {
				records += d.group.Held()
			}
			measure("a record at a daemon that dies and is back", float64(records), func() {
				f.kill(f.daemons[:n/7]...)
				time.Sleep(3 * time.Second)
				for _, d := range f.daemons[:n/7] {
					d.start()
				}
				time.Sleep(3 * time.Second)
			})
			measure("a search without a record", streams, func() {
				for i := range s {
					s[i] = &stream{attempt: fmt.Sprintf("%016d", i)}
				}
				f.find(s)
			})
		})
	}
	for name, c := range costs {
		// In a small fleet the daemon that is asked often holds the record itself.
		if c[2].bytes > 1.1*c[1].bytes || c[2].datagrams > 1.1*c[1].datagrams || c[0].bytes > 1.1*c[1].bytes {
			t.Errorf("%s: %v at 7, 72 and 295 daemons", name, c)
		}
	}
}

// alone is the socket and the view of a daemon without others.
type alone struct{ handlers map[dgram.Kind]dgram.Handler }

func newAlone() (alone, *origin.Group) {
	a := alone{map[dgram.Kind]dgram.Handler{}}
	return a, origin.New(netip.AddrPort{}, a, a, hclog.NewNullLogger())
}

func (a alone) Handle(k dgram.Kind, h dgram.Handler) { a.handlers[k] = h }

func (a alone) Decode(body []byte, m any) bool { return cbor.Unmarshal(body, m) == nil }

func (a alone) Send(dgram.Kind, any, ...netip.AddrPort) {}

func (a alone) Alive() []gossip.LiveMember { return nil }

func (a alone) receive(k dgram.Kind, body []byte) { a.handlers[k](netip.AddrPort{}, body) }

// heap returns the bytes in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against clients that name a million attempts, and so make the memory of daemons
// grow, of those they ask and of those that these ask.
func TestMillionNamedAttempts(t *testing.T) {
	a, g := newAlone()
	defer g.Close()
	before := heap()
	for i := range 1_000_000 {
		attempt := fmt.Sprintf("%016x", i)
		if _, ok := g.Find(t.Context(), "llm", attempt); ok {
			t.Fatal("an attempt that nobody served is found")
		}
		if i%20 == 0 {
			body, err := cbor.Marshal(map[int]any{1: i, 2: []byte(attempt), 3: []byte("llm")})
			if err != nil {
				t.Fatal(err)
			}
			a.receive(dgram.OriginQuery, body)
			a.receive(dgram.OriginReply, body)
			a.receive(dgram.OriginConfirm, body)
		}
	}
	grown := heap() - before
	if t.Logf("%d bytes more in use", grown); grown > 1<<20 || g.Held() > 0 || g.InFlight() > 0 {
		t.Errorf("%d bytes more in use, %d records, %d calls", grown, g.Held(), g.InFlight())
	}
}

// Guards against memory that grows beyond the capacity, however many streams are under way.
func TestMemoryOfStreams(t *testing.T) {
	_, g := newAlone()
	defer g.Close()
	before := heap()
	until := time.Now().Add(time.Minute)
	for i := range 3 * origin.DefaultCapacity {
		g.Record(t.Context(), origin.Origin{Attempt: fmt.Sprintf("%016x", i), Service: "llm", Version: "v1", Until: until})
		if i+1 == 10_000 || i+1 == origin.DefaultCapacity || i+1 == 3*origin.DefaultCapacity {
			grown := heap() - before
			t.Logf("%d streams: %d records, %d bytes, %d each", i+1, g.Held(), grown, grown/g.Held())
			if grown > 16<<20 {
				t.Errorf("%d bytes for %d streams", grown, i+1)
			}
		}
	}
}

// Guards against datagrams of later versions, of other programs and in pieces that stop a
// daemon or make it hold what it can't.
func TestGarbledDatagrams(t *testing.T) {
	a, g := newAlone()
	defer g.Close()
	whole := map[int]any{1: 7, 2: []byte("a"), 3: []byte("llm"), 4: []byte("v1"), 5: 1000, 6: [][]byte{[]byte("x")}, 7: true, 20: "later"}
	bodies := [][]byte{nil, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n")}
	for _, m := range []any{map[int]any{1: "x"}, map[int]any{2: 5}, []int{1, 2}, map[int]any{1: 1, 2: []byte("b"), 5: -1}, map[int]any{1: 1, 2: make([]byte, 9000), 4: []byte("v"), 5: 9}} {
		body, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		bodies = append(bodies, body)
	}
	body, err := cbor.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	var changed [][]byte
	for i := range body {
		bodies = append(bodies, body[:i])
		c := slices.Clone(body)
		c[i] ^= 0x55
		changed = append(changed, c)
	}
	receive := func(bodies [][]byte) {
		for _, b := range bodies {
			for _, k := range []dgram.Kind{dgram.OriginConfirm, dgram.OriginQuery, dgram.OriginReply, dgram.OriginRecord} {
				a.receive(k, b)
			}
		}
	}
	receive(bodies)
	if g.Held() > 0 {
		t.Errorf("%d records held", g.Held())
	}
	a.receive(dgram.OriginRecord, body)
	if version, ok := g.Find(t.Context(), "llm", "a"); !ok || version != "v1" {
		t.Errorf("version %q, found %v, of a record with a field of a later version", version, ok)
	}
	receive(changed)
	if g.Held() > int64(len(changed)) || g.InFlight() > 0 {
		t.Errorf("%d records, %d calls", g.Held(), g.InFlight())
	}
}

// FuzzDatagrams guards against datagrams that stop a daemon, or make it hold more than one
// record each.
func FuzzDatagrams(f *testing.F) {
	for _, m := range []map[int]any{{1: 7, 2: []byte("a"), 3: []byte("llm"), 4: []byte("v1"), 5: 1000}, {1: 7, 2: true}, {1: 7, 6: [][]byte{[]byte("x")}, 7: true}} {
		body, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		a, g := newAlone()
		defer g.Close()
		for _, k := range []dgram.Kind{dgram.OriginConfirm, dgram.OriginQuery, dgram.OriginReply, dgram.OriginRecord, dgram.OriginQuery} {
			a.receive(k, body)
		}
		if g.Held() > 1 || g.InFlight() > 0 {
			t.Errorf("%d records, %d calls", g.Held(), g.InFlight())
		}
	})
}

// Guards against a first event that is held up longer than datagrams take between
// processes, and against kinds of messages that sockets don't pass on.
func TestOverSockets(t *testing.T) {
	var view members
	var groups []*origin.Group
	for range 5 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(c.LocalAddr().String())
		_ = c.Close() // its port is used below
		s, err := dgram.Listen(addr, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		view = append(view, gossip.LiveMember{Member: gossip.Member{Addr: addr}, Mature: true})
		groups = append(groups, origin.New(addr, s, &view, hclog.NewNullLogger()))
		defer groups[len(groups)-1].Close()
	}
	var took []time.Duration
	for i := range 200 {
		attempt, started := fmt.Sprintf("%016x", i), time.Now()
		groups[i%5].Record(t.Context(), origin.Origin{Attempt: attempt, Service: "llm", Version: "v1", Until: started.Add(time.Minute)})
		took = append(took, time.Since(started))
		if version, ok := groups[(i+1)%5].Find(t.Context(), "llm", attempt); !ok || version != "v1" {
			t.Errorf("version %q, found %v", version, ok)
		}
	}
	slices.Sort(took)
	if t.Logf("first events held up for %v in the median, %v in 99 of 100", took[100], took[197]); took[100] > 25*time.Millisecond {
		t.Errorf("first events held up for %v in the median", took[100])
	}
}

type members []gossip.LiveMember

func (m *members) Alive() []gossip.LiveMember { return *m }

// BenchmarkRecord measures the processor time of a record at 295 daemons, without the
// system calls.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{7, 72, 295} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var view members
			for i := range n {
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 7000)
				view = append(view, gossip.LiveMember{Member: gossip.Member{Addr: addr}, Mature: true})
			}
			g := origin.New(view[0].Addr, newEcho(), &view, hclog.NewNullLogger())
			defer g.Close()
			until := time.Now().Add(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.Record(context.Background(), origin.Origin{Attempt: fmt.Sprintf("%016x", i), Service: "llm", Version: "v1", Until: until})
			}
		})
	}
}

// echo is a socket that confirms each record at once.
type echo struct{ alone }

func newEcho() echo { return echo{alone{map[dgram.Kind]dgram.Handler{}}} }

func (e echo) Send(k dgram.Kind, m any, to ...netip.AddrPort) {
	var sent struct {
		Number uint64 `cbor:"1,keyasint"`
	}
	body, err := cbor.Marshal(m)
	if err != nil || cbor.Unmarshal(body, &sent) != nil {
		panic("a message can't be encoded")
	}
	if body, err = cbor.Marshal(map[int]any{1: sent.Number}); err != nil || k != dgram.OriginRecord {
		panic("unexpected message")
	}
	for _, addr := range to {
		e.handlers[dgram.OriginConfirm](addr, body)
	}
}
