package http1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/back/http1"
	"citronrock.example/citronrock/internal/core/memory"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveOnce starts a server that runs a script on its first connection.
func serveOnce(t *testing.T, script func(net.Conn, *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		script(conn, bufio.NewReader(conn))
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func do(ctx context.Context, to netip.AddrPort, body string) (string, error) {
	req := &http.Request{Method: http.MethodPost, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, URL: &url.URL{Scheme: "http", Host: to.String(), Opaque: "/a/%2e%2e/b"}}
	reply, err := http1.New().Do(ctx, to, req, []byte(body))
	if err != nil {
		return "", err
	}
	defer reply.Close()
	text, err := io.ReadAll(reply.Body)
	return string(text), err
}

func readAll(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

// Guards against a request that counts as not sent although the server may have
// received it, and against truncated responses that count as complete.
func TestDo(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	cases := map[string]struct {
		script func(net.Conn, *bufio.Reader)
		body   string
		want   string
		fails  bool
	}{
		"answered": {script: func(c net.Conn, r *bufio.Reader) {
			if req, body := readAll(r); req.RequestURI == "/a/%2e%2e/b" && body == "hello" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}, body: "hello", want: "ok"},
		"no length": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		}, want: "all of it"},
		"informational first": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, want: "ok"},
		"answered before a long body is read": {script: func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			time.Sleep(50 * time.Millisecond)
		}, body: strings.Repeat("x", 4<<20), want: "no"},
		"closed without an answer": {script: func(_ net.Conn, r *bufio.Reader) { readAll(r) }, fails: true},
		"reset without an answer": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			reset(c)
		}, fails: true},
		"body cut": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok")
		}, fails: true},
		"chunks cut": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}, fails: true},
		"no HTTP": {script: func(c net.Conn, r *bufio.Reader) {
			readAll(r)
			_, _ = io.WriteString(c, "nonsense\r\n\r\n")
		}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := do(t.Context(), serveOnce(t, c.script), c.body)
			if (err != nil) != c.fails || !c.fails && got != c.want {
				t.Errorf("response %q, error %v; want %q, error %v", got, err, c.want, c.fails)
			}
			var failed *http1.Error
			if errors.As(err, &failed) && !failed.Sent {
				t.Errorf("error %v says that the request was not sent", err)
			}
		})
	}
}

// Guards against a refused connection that counts as a request that may have run.
func TestDoRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	_, err = do(t.Context(), addr, "x")
	var failed *http1.Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v, want one that says that nothing was sent", err)
	}
}

// Guards against a server that continues to work for a client that has
// disconnected.
func TestDoEndsWithContext(t *testing.T) {
	closed := make(chan struct{})
	to := serveOnce(t, func(_ net.Conn, r *bufio.Reader) {
		readAll(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := do(ctx, to, "x"); err == nil {
		t.Error("got a response from a server that sent none")
	}
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("connection is open half a second after its request ended")
	}
}

// Guards against servers that take a daemon's memory by headers of many short fields, which
// they then don't end: each field holds far more memory than it has bytes.
func TestHeaderMemory(t *testing.T) {
	const calls, perCall = 50, 4 * 64 << 10
	cases := map[string]func(i int) string{
		"fields, all different": func(i int) string { return "X" + strconv.Itoa(i) + ":\r\n" },
		"one field, many times": func(int) string { return "X: y\r\n" },
		"interim responses":     func(int) string { return "\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n" },
	}
	for name, line := range cases {
		t.Run(name, func(t *testing.T) {
			header := "HTTP/1.1 103 Early Hints\r\n"
			for i := 0; len(header) < 62<<10; i++ {
				header += line(i)
			}
			release := make(chan struct{})
			var written, ended sync.WaitGroup
			before := liveHeap()
			for range calls {
				written.Add(1)
				to := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
					readAll(r)
					_, _ = io.WriteString(conn, header)
					written.Done()
					<-release
				})
				ended.Go(func() {
					if _, err := do(t.Context(), to, ""); err == nil {
						t.Error("want an error")
					}
				})
			}
			written.Wait()
			time.Sleep(100 * time.Millisecond) // the clients read what is written
			if held := liveHeap() - before; held > calls*perCall {
				t.Errorf("%d calls hold %d KB each, want %d at most", calls, held/calls>>10, perCall>>10)
			}
			close(release)
			ended.Wait()
		})
	}
}

// Guards against large headers at many connections, and replies that the daemon reads
// itself, that are not part of the memory that servers share.
func TestResponsesAreCharged(t *testing.T) {
	const budget = 1 << 20
	cases := map[string]struct {
		header string
		want   int64 // while the response is open
	}{
		"small":      {strings.Repeat("X: y\r\n", 20), 0},
		"many lines": {strings.Repeat("X: y\r\n", 100), 256 << 10},
		"many bytes": {"X: " + strings.Repeat("y", 8<<10) + "\r\n", 256 << 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := memory.New(budget)
			to := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
				readAll(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.header+"Content-Length: 5000\r\n\r\n"+strings.Repeat("z", 5000))
			})
			req, _ := http.NewRequest(http.MethodGet, "http://x/", nil)
			resp, err := http1.New(http1.WithMemory(b)).Do(t.Context(), to, req, nil)
			if err != nil {
				t.Fatal(err)
			}
			if held := budget - b.Available(); held != c.want {
				t.Errorf("header holds %d bytes, want %d", held, c.want)
			}
			body, err := resp.ReadBody(6000)
			if held := budget - b.Available(); err != nil || len(body.Bytes) != 5000 || held != c.want+6001 {
				t.Errorf("body %v, error %v, %d bytes held", body, err, held)
			}
			body.Release()
			resp.Close()
			if b.Available() != budget {
				t.Errorf("%d bytes available after the end, want all", b.Available())
			}
		})
	}
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against responses that fail because their header and much of a body of short lines
// come together.
func TestBodyOfShortLines(t *testing.T) {
	body := strings.Repeat("\n", 100_000)
	to := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
		readAll(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n"+body)
	})
	if text, err := do(t.Context(), to, ""); err != nil || text != body {
		t.Errorf("%d bytes, error %v; want %d", len(text), err, len(body))
	}
}

// Guards against a server that sends endless bytes in place of a response, which the
// client would read forever.
func TestEndlessBytes(t *testing.T) {
	cases := map[string]struct {
		start, again string
		// body means that the header is valid and complete, so that it is the caller
		// who bounds how much it reads.
		body bool
	}{
		"one line":             {"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxx", false},
		"header fields":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		"no answer at all":     {"", "\x00\x01\x02\n", false},
		"interim answers":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"chunk extensions":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxx", true},
		"extension each chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", true},
		"trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := 0
			done := make(chan struct{})
			to := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(done)
				readAll(r)
				_, _ = io.WriteString(conn, c.start)
				part := strings.Repeat(c.again, 100)
				for {
					n, err := io.WriteString(conn, part)
					if sent += n; err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			begun := time.Now()
			if text, err := do(ctx, to, ""); err == nil || time.Since(begun) > 5*time.Second {
				t.Errorf("%d bytes, error %v after %s", len(text), err, time.Since(begun))
			}
			<-done
		})
	}
}
