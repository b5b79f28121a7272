package http1_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/back/http1"
)

// Guards against a request head that differs from the request: another target, a second
// length or host, or lines that a value adds.
func TestRequestHead(t *testing.T) {
	cases := map[string]struct {
		method, target string
		url            *url.URL
		header         http.Header
		body, want     string
	}{
		"target": {method: "GET", target: "//h/a#b?%2e\xff",
			want: "GET //h/a#b?%2e\xff HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"URL": {method: "GET", url: &url.URL{Path: "/a b", RawQuery: "q"},
			want: "GET /a%20b?q HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"body": {method: "DELETE", target: "/", body: "hello",
			want: "DELETE / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"},
		"empty body": {method: "POST", target: "/",
			want: "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"own fields": {method: "POST", target: "/", body: "x", header: http.Header{"Host": {"other"}, "Content-Length": {"9"},
			"Transfer-Encoding": {"chunked"}, "Trailer": {"X"}, "Connection": {"keep-alive"}, "User-Agent": {"u"}, "X": {"1", "2"}},
			want: "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\nUser-Agent: u\r\nX: 1\r\nX: 2\r\n\r\nx"},
		"line in a value": {method: "GET", target: "/", header: http.Header{"X": {"1\r\nY: 2"}, "Z: 1\r\nQ": {"3"}},
			want: "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: 1  Y: 2\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 1)
			to := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
				var head strings.Builder
				for !strings.HasSuffix(head.String(), "\r\n\r\n"+c.body) {
					b, err := r.ReadByte()
					if err != nil {
						break
					}
					head.WriteByte(b)
				}
				got <- head.String()
				_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			})
			reply, err := http1.New().Do(t.Context(), to, &http.Request{Method: c.method, Host: "h", Header: c.header, RequestURI: c.target, URL: c.url}, []byte(c.body))
			if err != nil {
				t.Fatal(err)
			}
			reply.Close()
			if head := <-got; head != c.want {
				t.Errorf("request %q, want %q", head, c.want)
			}
		})
	}
}

// Guards against a method, target or host that adds a header field or a request.
func TestRequestLineInjection(t *testing.T) {
	for _, bad := range []string{"", "/a HTTP/1.1\r\nX: y", "/a\r", "/a\n", "/a b", "/a\t", "/a\x00", "/a\x7f"} {
		for name, req := range map[string]*http.Request{
			"method": {Method: bad, Host: "h", RequestURI: "/"},
			"target": {Method: "GET", Host: "h", RequestURI: bad, URL: &url.URL{Opaque: bad + " "}},
			"host":   {Method: "GET", Host: bad, RequestURI: "/"},
		} {
			opened := 0
			_, err := http1.New(http1.WithOpened(func() { opened++ })).Do(t.Context(), serveOnce(t, func(net.Conn, *bufio.Reader) {}), req, nil)
			var failed *http1.Error
			if !errors.As(err, &failed) || failed.Sent || opened > 0 {
				t.Errorf("%s %q: error %v after %d connections, want one that says that nothing was sent", name, bad, err, opened)
			}
		}
	}
}
