package serve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/config"
)

// connectTime is the time for a handshake. Clients whose handshake is ignored send it again
// after a second only.
const connectTime = 300 * time.Millisecond

// churn opens a connection for each request until the server opens no more. It counts the
// answers, and the requests that ended without one.
func churn(addr netip.AddrPort, pause, think time.Duration, answers, cut *atomic.Int64) error {
	for {
		conn, err := net.DialTimeout("tcp4", addr.String(), connectTime)
		if late, ok := errors.AsType[net.Error](err); ok && late.Timeout() || errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if errors.Is(err, syscall.ECONNRESET) { // reset between the handshake and the request
			cut.Add(1)
			continue
		}
		if err != nil {
			return err
		}
		time.Sleep(think)
		_, _ = io.WriteString(conn, plainGet) // an error shows in the answer
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		conn.Close()
		if err != nil {
			cut.Add(1)
		} else {
			answers.Add(1)
		}
		time.Sleep(pause)
	}
}

// Guards against a stop that cuts requests on new connections: clients that go on opening
// them get an answer on each one, or none is opened.
func TestStopCutsNoNewConnection(t *testing.T) {
	const stops, callers, notice, grace = 5, 16, 50 * time.Millisecond, 400 * time.Millisecond
	cases := map[string]struct {
		processors   int
		pause, think time.Duration
	}{
		"one processor":                {1, 0, 0},
		"one processor, pauses":        {1, 2 * time.Millisecond, 0},
		"several processors":           {4, 0, 0},
		"several processors, pauses":   {4, 2 * time.Millisecond, 0},
		"several processors, late":     {4, 0, time.Millisecond},
		"the last connections come in": {4, 300 * time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(c.processors))
			var answers, cut atomic.Int64
			for range stops {
				s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
				var clients sync.WaitGroup
				for range callers {
					clients.Go(func() {
						if err := churn(addr, c.pause, c.think, &answers, &cut); err != nil {
							t.Error(err)
						}
					})
				}
				time.Sleep(20 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				var changes sync.WaitGroup
				changes.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						s.SetLimits(config.Limits{Header: 4096 + i, HeaderWait: time.Second, Idle: time.Minute})
						time.Sleep(time.Millisecond)
					}
				})
				s.Stop(ctx, notice)
				cancel()
				changes.Wait()
				clients.Wait()
			}
			t.Logf("%d requests were answered, %d cut in %d stops", answers.Load(), cut.Load(), stops)
			if cut.Load() > 0 {
				t.Errorf("%d requests on established connections ended without an answer", cut.Load())
			}
		})
	}
}

// Guards against a stop that cuts connections whose first request comes slowly: each gets
// an answer by the exit, and handshakes that are begun later are refused.
func TestStopAnswersSlowFirstRequests(t *testing.T) {
	const notice, grace = 50 * time.Millisecond, 500 * time.Millisecond
	cases := map[string]struct {
		head, rest string
		pause      time.Duration
		status     int
	}{
		"nothing":                 {"", "", 0, http.StatusServiceUnavailable},
		"a part of the head":      {plainGet[:9], "", 0, http.StatusServiceUnavailable},
		"more parts than are due": {plainGet[:9], plainGet[9:], 3 * grace / 2, http.StatusServiceUnavailable},
		"the rest in time":        {plainGet[:9], plainGet[9:], grace / 2, http.StatusOK},
		"all in time":             {"", plainGet, grace / 2, http.StatusOK},
	}
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	var clients sync.WaitGroup
	for name, c := range cases {
		conn := dial(t, addr)
		clients.Go(func() {
			conn.send(c.head)
			time.Sleep(c.pause)
			_, _ = io.WriteString(conn.conn, c.rest) // an error shows in the answer
			if got, err := conn.get(); err != nil || got.status != c.status || !got.last {
				t.Errorf("%s: %+v, %v, want %d and a close", name, got, err, c.status)
			}
		})
	}
	clients.Go(func() {
		time.Sleep(grace / 2) // connections stay open until then
		late := dial(t, addr)
		late.send(plainGet)
		if got, err := late.get(); err != nil || !got.last {
			t.Errorf("a connection after the notice: %+v, %v", got, err)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	s.Stop(ctx, notice)
	if _, err := net.Dial("tcp4", addr.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a handshake after the stop: %v, want it refused", err)
	}
	clients.Wait()
}

// Guards against a stop that lasts for all of the grace period although no client is left.
func TestStopEndsWithoutClients(t *testing.T) {
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	kept := dial(t, addr)
	kept.send(plainGet)
	if _, err := kept.get(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	begin := time.Now()
	s.Stop(ctx, 10*time.Millisecond)
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("the stop took %v, want it to end soon after the notice", took)
	}
}
