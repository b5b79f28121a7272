package dgram_test

import (
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
)

// Guards against a message on which a handler panics and that ends the process.
func TestPanicEndsOneDatagram(t *testing.T) {
	from, _ := listen(t)
	to, addr := listen(t)
	got := make(chan int, 8)
	to.Handle(dgram.Gossip, func(_ netip.AddrPort, body []byte) {
		var list []int
		if to.Decode(body, &list) {
			got <- list[2]
		}
	})
	for _, list := range [][]int{{1}, {}, {1, 2, 3}} {
		from.Send(dgram.Gossip, list, addr)
	}
	select {
	case v := <-got:
		if v != 3 {
			t.Errorf("got %d, want 3", v)
		}
	case <-time.After(5 * time.Second):
		t.Error("no message is handled after one that panicked")
	}
}
