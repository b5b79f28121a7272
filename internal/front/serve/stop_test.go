package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/config"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"
)

// newIdleServer returns a server that does not accept connections yet.
func newIdleServer(t *testing.T) *Server {
	t.Helper()
	l, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, log: hclog.NewNullLogger(), conns: map[*conn]struct{}{}, done: make(chan struct{}),
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	return s
}

// sendRequest opens a connection and sends a request on it.
func sendRequest(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

func expectFinalResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return
	}
	resp.Body.Close()
	if !resp.Close {
		t.Error("the answer does not announce that the connection is closed")
	}
}

func stop(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.Stop(ctx, 0)
}

// Guards against a stop that resets connections in the accept queue, with their
// requests.
func TestStopTakesWaitingConnections(t *testing.T) {
	s := newIdleServer(t)
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	var conns []net.Conn
	for range 20 {
		conns = append(conns, sendRequest(t, s))
	}
	s.stopping.Store(true) // answers before the stop need not close their connections
	go func() {
		defer close(s.done)
		s.accept()
	}()
	stop(t, s)
	for _, c := range conns {
		expectFinalResponse(t, c)
	}
}

// Guards against a stop that resets what its accept loop has left in the queue, which is all
// that answers it where the kernel takes no socket filter.
func TestStopDrainsAcceptQueue(t *testing.T) {
	s := newIdleServer(t)
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	close(s.done) // it accepts no connections itself
	var conns []net.Conn
	for range 20 {
		conns = append(conns, sendRequest(t, s))
	}
	stop(t, s)
	for _, c := range conns {
		expectFinalResponse(t, c)
	}
}

// Guards against a stop that resets a connection which the client has opened, as the
// handshake isn't complete here.
func TestStopCompletesHandshakes(t *testing.T) {
	s := newIdleServer(t)
	s.handshake = 2 * time.Second
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	const flags, ack = 13, 0x10
	filter := []unix.SockFilter{ // drops segments with nothing but an acknowledgement
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: ack, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 18},
	}
	if err := control(s.listener, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	}); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var client sync.WaitGroup
	client.Go(func() {
		time.Sleep(s.handshake / 10)                                     // the stop has begun
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // an error shows in the answer
		expectFinalResponse(t, conn)
	})
	stop(t, s)
	client.Wait()
}

// Guards against a request without an answer that is sent on a kept connection just as the
// server closes it, in a stop and when it has been idle for too long.
func TestRequestCrossesTheClose(t *testing.T) {
	cases := map[string]func(*Server, *conn){
		"a stop": func(s *Server, _ *conn) { s.closeWaiting() },
		"idle": func(_ *Server, c *conn) {
			c.mu.Lock()
			c.since = time.Now().Add(-time.Minute)
			c.mu.Unlock()
			_ = c.SetReadDeadline(time.Now()) // an error shows in the answer
		},
	}
	for name, closes := range cases {
		t.Run(name, func(t *testing.T) {
			s := newIdleServer(t)
			s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
			go func() {
				defer close(s.done)
				s.accept()
			}()
			defer stop(t, s)
			client := sendRequest(t, s)
			first, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			first.Body.Close()
			kept := func() (c *conn) {
				for ; c == nil; time.Sleep(time.Millisecond) {
					s.mu.Lock()
					for open := range s.conns {
						open.mu.Lock()
						if open.phase == idle {
							c = open
						}
						open.mu.Unlock()
					}
					s.mu.Unlock()
				}
				return c
			}()
			closes(s, kept)
			for refused := false; !refused; time.Sleep(time.Millisecond) {
				refused = kept.isRefused()
			}
			if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
				t.Fatalf("the request that crosses the close: %+v, %v", resp, err)
			}
			resp.Body.Close()
		})
	}
}

// Guards against a stop that closes a kept connection whose next request has arrived and
// is not read yet.
func TestStopKeepsUnreadRequests(t *testing.T) {
	s := newIdleServer(t)
	defer stop(t, s)
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	defer close(s.done)
	client, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	tcp, err := s.listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	c := s.track(tcp)
	t.Cleanup(func() { _ = c.Close() }) // the stop closes it
	c.setIdle()
	if _, err := io.WriteString(client, "G"); err != nil {
		t.Fatal(err)
	}
	for arrived := false; !arrived; {
		if arrived, err = unread(tcp); err != nil {
			t.Fatal(err)
		}
	}
	if s.closeWaiting() != 1 || !c.serve() {
		t.Error("the connection is closed")
	}
}

// Guards against a change of the limits that closes a connection with a request on
// it.
func TestSetLimitsKeepsAcceptedConnections(t *testing.T) {
	s := newIdleServer(t)
	old := &connQueue{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	s.queue = old // no server accepts connections from it
	go func() {
		defer close(s.done)
		s.accept()
	}()
	conn := sendRequest(t, s)
	time.Sleep(20 * time.Millisecond)
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	s.stopping.Store(true)
	expectFinalResponse(t, conn)
	stop(t, s)
}

// Guards against an answer during a stop that lets the client send its next request
// on a connection that is about to close.
func TestAnswerDuringStopEndsConnection(t *testing.T) {
	s := newIdleServer(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "ok")
	})
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Second})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	conn := sendRequest(t, s)
	<-begun
	var group sync.WaitGroup
	group.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		s.Stop(ctx, 200*time.Millisecond)
	})
	time.Sleep(50 * time.Millisecond)
	close(finish)
	expectFinalResponse(t, conn)
	group.Wait()
}

// Guards against a request that arrives just as idle connections are closed and is
// served without an answer, and against one on a connection opened in time that is read
// later and dropped.
func TestStopAnswersWhatItServes(t *testing.T) {
	const notice, conns = 200 * time.Millisecond, 400
	s := newIdleServer(t)
	var served sync.Map
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Store(r.URL.Path, true)
		_, _ = io.WriteString(w, "ok")
	})
	s.SetLimits(config.Limits{HeaderWait: time.Second, Idle: time.Minute})
	go func() {
		defer close(s.done)
		s.accept()
	}()
	begin := time.Now().Add(500 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range conns {
		kept := i%2 == 0
		var conn net.Conn
		var err error
		if kept {
			conn = sendRequest(t, s)
		} else if conn, err = net.Dial("tcp4", s.listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		clients.Go(func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if kept {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("before the stop: %v", err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Errorf("before the stop: %v", err)
				}
				resp.Body.Close()
			}
			at := notice + handshakeTime + time.Duration(i-conns/2)*20*time.Microsecond
			time.Sleep(time.Until(begin.Add(at)))
			path := "/" + strconv.Itoa(i)
			_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n") // an error shows in the answer
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				resp.Body.Close()
				return
			}
			if _, ok := served.Load(path); ok || !kept {
				t.Errorf("request on a connection, kept %v, served %v: %v", kept, ok, err)
			}
		})
	}
	time.Sleep(time.Until(begin))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.Stop(ctx, notice)
	clients.Wait()
}
