package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against requests in unusual forms that a stop drops or cuts off.
func TestStopAnswersEachForm(t *testing.T) {
	const (
		late = 900 * time.Millisecond // after the end of the notice
		slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	)
	cases := map[string]struct {
		// parts are sent one after the other, with pauses between them.
		parts []string
		pause time.Duration
		// answers is the number of answers, the last one of which closes the connection.
		answers   int
		halfClose bool
	}{
		"one in flight":                       {[]string{slow}, 0, 1, false},
		"an older protocol":                   {[]string{"GET /slow HTTP/1.0\r\n\r\n"}, 0, 1, false},
		"an older protocol, late":             {[]string{"GET /slow HTTP/1.0\r\n", "\r\n"}, late, 1, false},
		"the first on its connection, late":   {[]string{"", slow}, late, 1, false},
		"a slow head":                         {[]string{slow[:20], slow[20:]}, late, 1, false},
		"a head byte by byte":                 {strings.Split(slow, ""), 25 * time.Millisecond, 1, false},
		"a slow head on a kept connection":    {[]string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", slow[:20], "", "", "", slow[20:]}, 200 * time.Millisecond, 2, false},
		"a slow body":                         {[]string{"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd"}, late, 1, false},
		"a slow chunked body":                 {[]string{"POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "0\r\n\r\n"}, late, 1, false},
		"a body that waits for a go-ahead":    {[]string{"POST /slow HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "abcd"}, late, 1, false},
		"two at once, the second is not read": {[]string{slow + slow}, 0, 1, false},
		"no more bytes from the client":       {[]string{slow}, 0, 1, true},
	}
	var mu sync.Mutex
	passed := map[string]int{}
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Errorf("body: %v", err)
		}
		mu.Lock()
		passed[r.RemoteAddr]++
		mu.Unlock()
		if r.URL.Path == "/slow" {
			time.Sleep(500 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "ok")
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	var clients sync.WaitGroup
	for name, c := range cases {
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		clients.Go(func() {
			in := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			for i, part := range c.parts {
				if i > 0 {
					time.Sleep(c.pause)
				}
				if _, err := io.WriteString(conn, part); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
			if c.halfClose {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			got, last := 0, false
			for {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusContinue {
					continue
				}
				if last = resp.Close; resp.StatusCode != http.StatusOK || string(body) != "ok" || err != nil {
					t.Errorf("%s: status %d, body %q, %v", name, resp.StatusCode, body, err)
				}
				got++
			}
			mu.Lock()
			defer mu.Unlock()
			if n := passed[conn.LocalAddr().String()]; got != c.answers || n != got || !last {
				t.Errorf("%s: %d answers to %d requests that were passed on, want %d; the last one closes: %v", name, got, n, c.answers, last)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.Stop(ctx, 300*time.Millisecond)
	clients.Wait()
}
