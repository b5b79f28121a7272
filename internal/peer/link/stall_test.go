package link

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// tcpRelay forwards connections to a Link. When epoch is increased, the connections
// of before stall: they stay open and forward nothing, while new ones work.
type tcpRelay struct {
	l     net.Listener
	to    string
	epoch atomic.Int64
}

func newRelay(t *testing.T, to netip.AddrPort) *tcpRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpRelay{l: l, to: to.String()}
	go r.serve()
	t.Cleanup(func() { l.Close() })
	return r
}

func (r *tcpRelay) serve() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		epoch := r.epoch.Load()
		go r.pass(in, out, epoch)
		go r.pass(out, in, epoch)
	}
}

func (r *tcpRelay) pass(dst, src net.Conn, epoch int64) {
	defer src.Close()
	defer dst.Close()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if r.epoch.Load() != epoch {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against frames that are sent forever on a stalled connection while a new
// one would work.
func TestStalledLinkIsReplaced(t *testing.T) {
	got := make(chan *peer.Frame, 1000)
	a := start(t, "a", Handlers{}, WithStallTimeout(200*time.Millisecond))
	b := start(t, "b", Handlers{Frame: func(_ string, _ uint64, f *peer.Frame) { got <- f }})
	r := newRelay(t, b.Addr())
	a.SetPeers(map[string]netip.AddrPort{"b": r.l.Addr().(*net.TCPAddr).AddrPort()})
	a.Send("b", &peer.Frame{Version: 1})
	wait(t, got)
	r.epoch.Add(1)
	resend := time.NewTicker(20 * time.Millisecond)
	defer resend.Stop()
	deadline := time.After(8 * time.Second) // below the 10 s of grpc's own keepalive
	for {
		select {
		case f := <-got:
			if f.Version == 2 {
				return
			}
		case <-resend.C:
			a.Send("b", &peer.Frame{Version: 2})
		case <-deadline:
			t.Fatal("no frame came through after the stall")
		}
	}
}

// Guards against executions and fetches that keep using a stalled connection, and
// against the outcome "not run" for an execution that was sent on it.
func TestCallsLeaveStalledConnection(t *testing.T) {
	a := start(t, "a", Handlers{})
	b := start(t, "b", Handlers{
		Execute: func(context.Context, string, *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
			return &peer.ExecuteReply{Status: 200}, nil
		},
		Fetch: func(context.Context, string, *peer.FetchRequest) (*peer.FetchReply, error) {
			return &peer.FetchReply{Version: 4}, nil
		},
	})
	r := newRelay(t, b.Addr())
	a.SetPeers(map[string]netip.AddrPort{"b": r.l.Addr().(*net.TCPAddr).AddrPort()})
	execute := func(d time.Duration) (bool, error) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		_, reach, err := a.Execute(ctx, "b", &peer.ExecuteRequest{Request: "r"})
		return reach, err
	}
	if _, err := execute(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	r.epoch.Add(1)
	if reach, err := execute(time.Second); err == nil || !reach {
		t.Errorf("into the stall: reach %v, err %v", reach, err)
	}
	if _, err := execute(5 * time.Second); err != nil {
		t.Errorf("after the stall: %v", err)
	}
	if f, err := a.Fetch(t.Context(), "b", 3); err != nil || f.Version != 4 {
		t.Errorf("fetch: %v, %v", f, err)
	}
}
