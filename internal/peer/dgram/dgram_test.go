package dgram_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type note struct {
	Text string `cbor:"1,keyasint"`
}

func listen(t *testing.T) (*dgram.Socket, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(c.LocalAddr().String())
	_ = c.Close()
	s, err := dgram.Listen(addr, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, addr
}

// Guards against messages that change in transit, and against datagrams of other
// programs that stop the receiver.
func TestSend(t *testing.T) {
	a, _ := listen(t)
	b, to := listen(t)
	got := make(chan string, 1)
	b.Handle(dgram.LeaseRequest, func(_ netip.AddrPort, body []byte) {
		var n note
		if b.Decode(body, &n) {
			got <- n.Text
		}
	})
	stranger, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stranger.Close() }()
	for _, junk := range [][]byte{{}, {1}, {9, byte(dgram.LeaseRequest), 1, 2}, {1, byte(dgram.LeaseRequest), 0xff, 0xff}, {1, 200, 0}} {
		if _, err := stranger.Write(junk); err != nil {
			t.Fatal(err)
		}
	}
	a.Send(dgram.LeaseRequest, note{"hello"}, to)
	select {
	case text := <-got:
		if text != "hello" {
			t.Errorf("received %q", text)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("message not received")
	}
	if b.Discarded() == 0 {
		t.Error("discarded datagrams are not counted")
	}
}
