package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func post(s *Server, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

// Guards against repeated runs that aren't counted, and against the answer of another
// call.
func TestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		defer func() { _ = s.Close() }()
		for _, body := range []string{"1", "2", "1"} {
			w := post(s, "/order", body)
			if w.Code != http.StatusOK || !bytes.Equal(w.Body.Bytes(), Answer("/order", []byte(body))) {
				t.Fatalf("status %d, body %s", w.Code, w.Body)
			}
		}
		runs := s.Runs().Paths["/order"]
		if len(runs) != 2 || runs[Sum("/order", []byte("1"))] != 2 || runs[Sum("/order", []byte("2"))] != 1 {
			t.Fatalf("runs %v", runs)
		}
	})
}

// Guards against refused calls that run, and against refusals without the header that
// says so.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(func(s *Settings) { s.MaxConcurrent = 1 })
		defer func() { _ = s.Close() }()
		first := make(chan int, 1)
		go func() { first <- post(s, "/a", "1").Code }()
		synctest.Wait()
		w := post(s, "/a", "2")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Citronrock-Run") != "no" {
			t.Fatalf("status %d, headers %v", w.Code, w.Header())
		}
		if code := <-first; code != http.StatusOK {
			t.Fatalf("first call %d", code)
		}
		if r := s.Runs(); len(r.Paths["/a"]) != 1 || r.Refused != 1 || r.Busy != 0 {
			t.Fatalf("runs %+v", r)
		}
	})
}

// Guards against answers in the order of the calls under the fault Reorder.
func TestCross(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(func(s *Settings) { s.Growth = 0 })
		defer func() { _ = s.Close() }()
		s.SetFault(Fault{Reorder: true})
		order := make(chan string, 2)
		for _, body := range []string{"1", "2"} {
			go func() {
				if w := post(s, "/a", body); !bytes.Equal(w.Body.Bytes(), Answer("/a", []byte(body))) {
					t.Errorf("call %s got %s", body, w.Body)
				}
				order <- body
			}()
			time.Sleep(50 * time.Millisecond)
		}
		if got := <-order + <-order; got != "21" {
			t.Fatalf("answers in the order %s", got)
		}
	})
}

// Guards against a CrashNext that still answers or doesn't count the run.
func TestDie(t *testing.T) {
	var crashes atomic.Int32
	s := New(func(s *Settings) {
		s.Latency = 0
		s.Crash = func() { crashes.Add(1) }
	})
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	defer http.DefaultClient.CloseIdleConnections()
	base := "http://" + s.Addr().String()
	resp, err := http.Post(base+"/fault", "", strings.NewReader(`{"die":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp, err = http.Post(base+"/order", "", strings.NewReader("1")); err == nil {
		_ = resp.Body.Close()
		t.Fatalf("answered with status %d", resp.StatusCode)
	}
	if n := s.Runs().Paths["/order"][Sum("/order", []byte("1"))]; n != 1 || crashes.Load() != 1 {
		t.Fatalf("%d runs, %d crashes", n, crashes.Load())
	}
}

// Guards against open connections that the fault Silent doesn't mute, and against
// muting the connection that set it.
func TestSilent(t *testing.T) {
	s := New(func(s *Settings) { s.Latency = 0 })
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	call := func(c *http.Client, path, body string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr().String()+path, strings.NewReader(body))
		resp, err := c.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	old, other := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	defer old.CloseIdleConnections()
	defer other.CloseIdleConnections()
	if err := errors.Join(call(old, "/a", "1", time.Minute), call(other, "/fault", `{"silent":true}`, time.Minute)); err != nil {
		t.Fatal(err)
	}
	if err := call(old, "/a", "2", 100*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call on the muted connection: %v", err)
	}
	if err := call(other, "/a", "3", time.Minute); err != nil {
		t.Fatalf("call on the exempt connection: %v", err)
	}
}
