package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/config"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against an idle connection that is closed before a timeout ends that its client
// may go by, or kept longer, over orders of changes.
func TestIdleEndsAfterTheLongestTimeout(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("longest in force", prop.ForAll(func(timeouts, gaps []int, ago int) bool {
		var times idleTimes
		now := time.Unix(1000, 0)
		begins := make([]time.Time, len(timeouts))
		for i, timeout := range timeouts {
			now = now.Add(time.Duration(gaps[i]) * time.Second)
			begins[i] = now
			times.set(now, time.Duration(timeout)*time.Second)
		}
		since := now.Add(-time.Duration(ago) * time.Second)
		longest := 0
		for i, timeout := range timeouts {
			if i == len(timeouts)-1 || begins[i+1].After(since.Add(-staleTime)) {
				longest = max(longest, timeout)
			}
		}
		want := since.Add(time.Duration(longest)*time.Second + idleMargin)
		got := times.end(since)
		return got.Equal(want) || want.Before(now) && got.Before(now) // closed by now
	}, gen.SliceOfN(12, gen.IntRange(1, 40)), gen.SliceOfN(12, gen.IntRange(0, 12)), gen.IntRange(0, 60)))
	properties.TestingRun(t)
}

// Guards against a request that is cut by the close of an idle connection, though its
// client may go by a longer idle timeout.
func TestIdleTimeoutChanges(t *testing.T) {
	const short, long = 100 * time.Millisecond, 20 * time.Second
	cases := map[string]struct {
		before, after []time.Duration
		parts         []string // sent with pauses, the second one after the short timeout and idleMargin
	}{
		"a longer one":              {[]time.Duration{short}, []time.Duration{long}, []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"a shorter one":             {[]time.Duration{long}, []time.Duration{short}, []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"a longer one and back":     {[]time.Duration{short}, []time.Duration{long, short}, []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"several before":            {[]time.Duration{short, long, short}, nil, []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"no change, a slow request": {[]time.Duration{short}, nil, []string{"GE", "T / HTTP/1.1\r\nHost: h\r\n\r\n"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newIdleServer(t)
			set := func(timeouts []time.Duration) {
				for _, d := range timeouts {
					s.SetLimits(config.Limits{HeaderWait: time.Minute, Idle: d})
				}
			}
			set(c.before)
			go func() {
				defer close(s.done)
				s.accept()
			}()
			defer stop(t, s)
			conn := sendRequest(t, s)
			expectResponse(t, conn)
			set(c.after)
			for _, part := range c.parts {
				time.Sleep((short + idleMargin) * 2 / 3)
				if _, err := io.WriteString(conn, part); err != nil {
					t.Error(err)
				}
			}
			expectResponse(t, conn)
		})
	}
}

// Guards against an idle connection that is closed at the end of its time although a
// request has arrived, and against one that stays open without.
func TestIdleCloseSeesUnreadRequests(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "a byte": "G"} {
		s := newIdleServer(t)
		s.SetLimits(config.Limits{HeaderWait: time.Minute, Idle: time.Second})
		client, err := net.Dial("tcp4", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		tcp, err := s.listener.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		c := s.track(tcp)
		c.setIdle()
		c.since = time.Now().Add(-time.Hour)
		_, _ = io.WriteString(client, sent) // an error shows below
		for arrived := sent == ""; !arrived; {
			if arrived, err = unread(tcp); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := c.Read(make([]byte, 9)); (err == nil) != (sent != "") || c.closed != (sent == "") {
			t.Errorf("%s: %v, closed %v", name, err, c.closed)
		}
		_, _ = client.Close(), c.Close() // nothing is left to send
		close(s.done)
		stop(t, s)
	}
}

func expectResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		t.Errorf("body: %v, close %v", err, resp.Close)
	}
	_ = resp.Body.Close()
}
