package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// Guards against a target that net/http cleans, redirects or answers by itself, so that the
// handler gets another one than was sent or none.
func TestTargetReachesHandler(t *testing.T) {
	got := make(chan string, 1)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got <- r.Method + " " + r.RequestURI
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background(), 0)
	for _, line := range []string{"GET //", "POST //h/a", "GET /a/./../b", "GET /a%2F%2e%2e/b", "GET /;x", "GET /a//b?", "GET /a??b",
		"GET /a#b", "GET /\xff", "OPTIONS *", "GET *", "GET http://h", "GET http://h//a", "GET http://h/a/../b", "CONNECT h:80", "CONNECT /"} {
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, line+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		select {
		case target := <-got:
			if target != line {
				t.Errorf("handler got %q, want %q", target, line)
			}
		default:
			t.Errorf("%q: status %d without the handler", line, resp.StatusCode)
		}
	}
}
