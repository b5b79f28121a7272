package link

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/wire/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var local = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, name string, calls Handlers, opts ...Option) *Link {
	t.Helper()
	l, err := New(name, 7, local, append([]Option{WithHandlers(calls)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func connectPeers(a, b *Link) {
	addrs := map[string]netip.AddrPort{a.self: a.Addr(), b.self: b.Addr()}
	a.SetPeers(addrs)
	b.SetPeers(addrs)
}

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came within 10 s")
		panic("unreachable")
	}
}

// Guards against frames that are lost, mixed up between senders or attributed to
// the wrong incarnation when both sides send on one stream.
func TestFramesBothWays(t *testing.T) {
	gotA, gotB := make(chan *peer.Frame, 10), make(chan *peer.Frame, 10)
	into := func(c chan *peer.Frame, want string) func(string, uint64, *peer.Frame) {
		return func(from string, inc uint64, f *peer.Frame) {
			if from != want || inc != 7 {
				t.Errorf("frame from %s/%d, want %s/7", from, inc, want)
			}
			c <- f
		}
	}
	a := start(t, "a", Handlers{Frame: into(gotA, "b")})
	b := start(t, "b", Handlers{Frame: into(gotB, "a")})
	connectPeers(a, b)
	a.Send("b", &peer.Frame{Asks: []*peer.Ask{{Request: "r1"}}})
	if f := wait(t, gotB); f.Asks[0].Request != "r1" {
		t.Fatalf("got %v", f)
	}
	b.Send("a", &peer.Frame{Grants: []*peer.Grant{{Request: "r1"}}})
	if f := wait(t, gotA); f.Grants[0].Request != "r1" {
		t.Fatalf("got %v", f)
	}
	if len(b.conns) != 0 {
		t.Error("the answer opened a second stream")
	}
	if in, out := a.Bytes(); in == 0 || out == 0 {
		t.Errorf("counted %d bytes in, %d out", in, out)
	}
}

// Guards against streams that stay open while no frames are exchanged.
func TestIdleStreamCloses(t *testing.T) {
	got := make(chan *peer.Frame, 10)
	a := start(t, "a", Handlers{}, WithIdleTimeout(50*time.Millisecond))
	b := start(t, "b", Handlers{Frame: func(_ string, _ uint64, f *peer.Frame) { got <- f }}, WithIdleTimeout(50*time.Millisecond))
	connectPeers(a, b)
	for range 2 {
		a.Send("b", &peer.Frame{Version: 3})
		wait(t, got)
		closed := func() bool { return a.session("b").unused() && b.session("a").unused() }
		for end := time.Now().Add(10 * time.Second); !closed(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the stream is open after 10 s")
			}
		}
	}
}

// Guards against the outcome "not run" for an execution that reached the peer, and
// against "may have run" for one that did not.
func TestExecuteReach(t *testing.T) {
	entered := make(chan struct{}, 1)
	slow := func(ctx context.Context, _ string, _ *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := func(_ context.Context, from string, r *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
		return &peer.ExecuteReply{Status: 200, Body: []byte(from + r.Request)}, nil
	}
	a := start(t, "a", Handlers{})
	b := start(t, "b", Handlers{Execute: answer})
	c := start(t, "c", Handlers{Execute: slow})
	// Accepts connections and never answers, as a stalled peer does.
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	a.SetPeers(map[string]netip.AddrPort{
		"b": b.Addr(), "c": c.Addr(),
		"mute": mute.Addr().(*net.TCPAddr).AddrPort(),
		"gone": gone.Addr().(*net.TCPAddr).AddrPort(),
	})
	cases := map[string]struct {
		to        string
		cancel    <-chan struct{}
		reach, ok bool
	}{
		"answered":  {to: "b", reach: true, ok: true},
		"cancelled": {to: "c", cancel: entered, reach: true},
		"unlisted":  {to: "x"},
		"mute":      {to: "mute"},
		"gone":      {to: "gone"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if tc.cancel != nil {
				go func() { <-tc.cancel; cancel() }()
			}
			r, reach, err := a.Execute(ctx, tc.to, &peer.ExecuteRequest{Request: "r1"})
			if reach != tc.reach || (err == nil) != tc.ok {
				t.Fatalf("reach %v, err %v", reach, err)
			}
			if tc.ok && string(r.Body) != "ar1" {
				t.Errorf("body %q", r.Body)
			}
		})
	}
}

// Guards against a call that is executed by a new instance at the address of the
// instance that it was sent to.
func TestWrongInstance(t *testing.T) {
	var ran atomic.Bool
	a := start(t, "a", Handlers{})
	b := start(t, "b", Handlers{Execute: func(context.Context, string, *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
		ran.Store(true)
		return new(peer.ExecuteReply), nil
	}})
	a.SetPeers(map[string]netip.AddrPort{"c": b.Addr()})
	_, _, err := a.Execute(t.Context(), "c", new(peer.ExecuteRequest))
	if err == nil || ran.Load() {
		t.Fatalf("err %v, ran %v", err, ran.Load())
	}
}

// Guards against oversized datagrams, and against a fresh daemon that can't answer
// a ping of a peer missing from its list.
func TestPackets(t *testing.T) {
	gotA, gotB := make(chan *peer.Packet, 10), make(chan *peer.Packet, 10)
	a := start(t, "a", Handlers{Packet: func(p *peer.Packet) { gotA <- p }})
	b := start(t, "b", Handlers{Packet: func(p *peer.Packet) { gotB <- p }})
	a.SetPeers(map[string]netip.AddrPort{"b": b.Addr()})
	if err := b.SendPacket("a", &peer.Packet{From: "b"}); err == nil {
		t.Fatal("b sent to a without a known address")
	}
	if err := a.SendPacket("b", &peer.Packet{Kind: "ping", From: "a"}); err != nil {
		t.Fatal(err)
	}
	wait(t, gotB)
	if err := b.SendPacket("a", &peer.Packet{Kind: "ack", From: "b"}); err != nil {
		t.Fatal(err)
	}
	if p := wait(t, gotA); p.Kind != "ack" {
		t.Errorf("got %v", p)
	}
	if err := a.SendPacket("b", &peer.Packet{From: "a", Target: string(make([]byte, MaxPacket))}); err == nil {
		t.Error("an oversized packet was sent")
	}
}

// Guards against a Send that blocks the control goroutine when a peer is
// unreachable.
func TestSendNeverBlocks(t *testing.T) {
	a := start(t, "a", Handlers{}, WithQueue(4))
	a.SetPeers(map[string]netip.AddrPort{"b": netip.MustParseAddrPort("127.0.0.1:1")})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			a.Send("b", &peer.Frame{Version: 1})
		}
	}()
	wait(t, done)
}

// Guards against streams that stay open, or frames that are lost, when both sides
// open a stream at the same time.
func TestBothOpenAtOnce(t *testing.T) {
	const rounds = 20
	gotA, gotB := make(chan *peer.Frame, rounds), make(chan *peer.Frame, rounds)
	idle := WithIdleTimeout(50 * time.Millisecond)
	a := start(t, "a", Handlers{Frame: func(_ string, _ uint64, f *peer.Frame) { gotA <- f }}, idle)
	b := start(t, "b", Handlers{Frame: func(_ string, _ uint64, f *peer.Frame) { gotB <- f }}, idle)
	connectPeers(a, b)
	closed := func(l *Link, to string) bool {
		l.mu.Lock()
		c := l.conns[to]
		open := c != nil && c.refs > 0
		l.mu.Unlock()
		return !open && l.session(to).unused()
	}
	for range rounds {
		go a.Send("b", &peer.Frame{Version: 1})
		b.Send("a", &peer.Frame{Version: 2})
		wait(t, gotA)
		wait(t, gotB)
		for end := time.Now().Add(10 * time.Second); !closed(a, "b") || !closed(b, "a"); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a stream is open after 10 s")
			}
		}
	}
}
