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

// stand answers with one document; with mute set it never answers.
type stand struct {
	body []byte
	mute atomic.Bool
	wait atomic.Int64
	sent atomic.Int64
}

func (s *stand) Document(ctx context.Context, r *connect.Request[platfm.DocumentRequest]) (*connect.Response[platfm.DocumentReply], error) {
	s.wait.Store(int64(r.Msg.Wait.AsDuration()))
	if s.mute.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&platfm.DocumentReply{Version: 4, Body: s.body}), nil
}

func (s *stand) Instances(context.Context, *connect.Request[platfm.InstancesRequest]) (*connect.Response[platfm.InstancesReply], error) {
	return connect.NewResponse(&platfm.InstancesReply{Revision: 6}), nil
}

// sent counts the bytes of answers.
type sent struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (s sent) Write(b []byte) (int, error) {
	s.n.Add(int64(len(b)))
	return s.ResponseWriter.Write(b)
}

func serve(t *testing.T, s *stand, opts ...Option) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(platfm.NewPlatformHandler(s))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(sent{ResponseWriter: w, n: &s.sent}, r)
	}))
	c := New(netip.MustParseAddrPort(server.Listener.Addr().String()), opts...)
	t.Cleanup(func() { _ = c.Close(); server.Close() })
	return c
}

func TestReads(t *testing.T) {
	s := &stand{body: []byte("version = 4")}
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

// Guards against a document over the bound that fills memory.
func TestOversizedDocument(t *testing.T) {
	for name, n := range map[string]int{"over": MaxDocument + 1, "huge": maxReply + 1} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, &stand{body: make([]byte, n)})
			if _, err := c.Document(t.Context(), 0, 0); err == nil {
				t.Error("an oversized document was accepted")
			}
		})
	}
}

// Guards against a watch that hangs on a silent platform, and against the use
// of the stalled connection afterwards.
func TestSilentPlatform(t *testing.T) {
	s := &stand{}
	c := serve(t, s, WithTimeout(500*time.Millisecond))
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	s.mute.Store(true)
	if _, err := c.Document(t.Context(), 0, 20*time.Millisecond); err == nil {
		t.Error("a silent platform gave an answer")
	}
	s.mute.Store(false)
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Errorf("after the silence: %v", err)
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
		t.Error("a platform that is down gave an answer")
	}
}

// Guards against a watcher that exceeds its 15 KB/s at 10,000 changes a day,
// since the platform sends whole documents.
func TestDocumentComesCompressed(t *testing.T) {
	s := &stand{body: bytes.Repeat([]byte("[[tenant]]\nname = \"a\"\n"), 20_000)}
	c := serve(t, s)
	if _, err := c.Document(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	if n := s.sent.Load(); n == 0 || n > int64(len(s.body)/10) {
		t.Errorf("%d bytes were sent for a document of %d", n, len(s.body))
	}
}
