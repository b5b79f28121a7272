package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve runs a handler behind withLimits and returns a client that uses HTTP/1.1 or
// HTTP/2, and the server's URL.
func serve(t *testing.T, http2 bool, limit time.Duration, h http.HandlerFunc) (*http.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	s := &http.Server{Handler: withLimits(h, limit), Protocols: &protocols}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = s.Close()
		<-done
	})
	return &http.Client{Transport: transport}, "http://" + l.Addr().String()
}

// Guards against answers that hold engine memory until their deadline because the
// client no longer reads.
func TestWriteLimit(t *testing.T) {
	for name, http2 := range map[string]bool{"http1": false, "http2": true} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			client, url := serve(t, http2, 100*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
				part := make([]byte, 64<<10)
				for {
					if _, err := w.Write(part); err != nil {
						ended <- err
						return
					}
				}
			})
			resp, err := client.Get(url)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			select {
			case err := <-ended:
				t.Logf("the write ended with: %v", err)
			case <-time.After(20 * time.Second):
				t.Fatal("the answer to a client that doesn't read continues")
			}
		})
	}
}

// Guards against answers that are cut off because the time between two tokens is
// longer than the write limit, and against a write deadline of an earlier answer
// that breaks the connection for the next one.
func TestSlowAnswer(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, http2 := range map[string]bool{"http1": false, "http2": true} {
		t.Run(name, func(t *testing.T) {
			client, url := serve(t, http2, limit, func(w http.ResponseWriter, _ *http.Request) {
				for range 3 {
					_, _ = io.WriteString(w, "token ")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(2 * limit)
				}
			})
			for range 2 {
				resp, err := client.Get(url)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || strings.Count(string(body), "token") != 3 {
					t.Fatalf("body %q, %v", body, err)
				}
			}
		})
	}
}
