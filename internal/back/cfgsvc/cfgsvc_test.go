package cfgsvc

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/wire/platfm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform serves one document. With silent set, it never replies.
type fakePlatform struct {
	body   []byte
	silent atomic.Bool
	wait   atomic.Int64
	sent   atomic.Int64
}

func (s *fakePlatform) Document(ctx context.Context, r *connect.Request[platfm.DocumentRequest]) (*connect.Response[platfm.DocumentReply], error) {
	s.wait.Store(int64(r.Msg.Wait.AsDuration()))
	if s.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&platfm.DocumentReply{Version: 4, Body: s.body}), nil
}

func (s *fakePlatform) Instances(context.Context, *connect.Request[platfm.InstancesRequest]) (*connect.Response[platfm.InstancesReply], error) {
	return connect.NewResponse(&platfm.InstancesReply{Revision: 6}), nil
}

// countingWriter counts the bytes of replies.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (s countingWriter) Write(b []byte) (int, error) {
	s.n.Add(int64(len(b)))
	return s.ResponseWriter.Write(b)
}

func serve(t *testing.T, s *fakePlatform, opts ...Option) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(platfm.NewPlatformHandler(s))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(countingWriter{ResponseWriter: w, n: &s.sent}, r)
	}))
	c := New(netip.MustParseAddrPort(server.Listener.Addr().String()), opts...)
	t.Cleanup(func() { _ = c.Close(); server.Close() })
	return c
}

// Guards against a call that doesn't pass on its wait, or that loses the version or
// the content of a reply.
func TestReads(t *testing.T) {
	s := &fakePlatform{body: []byte("version = 4")}
	c := serve(t, s)
	d, err := c.Document(t.Context(), 3, 5*time.Second)
	if err != nil || d.Version != 4 || string(d.Body) != "version = 4" {
		t.Errorf("document %v, %v", d, err)
	}
	if w := time.Duration(s.wait.Load()); w != 5*time.Second {
		t.Errorf("the platform was asked to wait %v", w)
	}
	i, err := c.Instances(t.Context(), 3, 0)
	if err != nil || i.Revision != 6 {
		t.Errorf("list %v, %v", i, err)
	}
}

// Guards against a document over MaxDocument that fills the memory.
func TestOversizedDocument(t *testing.T) {
	for name, n := range map[string]int{"over": MaxDocument + 1, "huge": maxReplyBytes + 1} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, &fakePlatform{body: make([]byte, n)})
			if _, err := c.Document(t.Context(), 0, 0); err == nil {
				t.Error("an oversized document was accepted")
			}
		})
	}
}

// Guards against a call that hangs on a platform that doesn't reply, and against
// the use of the stalled connection afterwards.
func TestSilentPlatform(t *testing.T) {
	s := &fakePlatform{}
	c := serve(t, s, WithTimeout(500*time.Millisecond))
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	s.silent.Store(true)
	if _, err := c.Document(t.Context(), 0, 20*time.Millisecond); err == nil {
		t.Error("got a reply from a platform that sent none")
	}
	s.silent.Store(false)
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Errorf("after the platform replies again: %v", err)
	}
}

// Guards against a long wait for a platform that is down.
func TestPlatformDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	c := New(netip.MustParseAddrPort(l.Addr().String()))
	defer func() { _ = c.Close() }()
	if _, err := c.Document(t.Context(), 0, time.Minute); err == nil {
		t.Error("got a reply from a platform that is down")
	}
}

// Guards against uncompressed documents. The platform sends whole documents, and at
// 10,000 changes a day a watcher may receive at most 15 KB/s.
func TestDocumentComesCompressed(t *testing.T) {
	s := &fakePlatform{body: bytes.Repeat([]byte("[[tenant]]\nname = \"a\"\n"), 20_000)}
	c := serve(t, s)
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	if n := s.sent.Load(); n == 0 || n > int64(len(s.body)/10) {
		t.Errorf("%d bytes were sent for a document of %d", n, len(s.body))
	}
}
