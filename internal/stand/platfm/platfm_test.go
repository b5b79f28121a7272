package platfm

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/platfm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func bubble(t *testing.T, f func(t *testing.T, p *Platform)) {
	synctest.Test(t, func(t *testing.T) {
		p := New(func(s *Settings) { s.Latency, s.Rate = 0, 100 })
		defer func() { _ = p.Close() }()
		f(t, p)
	})
}

func document(t *testing.T, p *Platform, after uint64, wait time.Duration) (*wire.DocumentReply, error) {
	t.Helper()
	r, err := service{p}.Document(t.Context(), connect.NewRequest(&wire.DocumentRequest{
		After: after, Wait: durationpb.New(wait),
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func revision(t *testing.T, p *Platform) uint64 {
	t.Helper()
	r, err := service{p}.Instances(t.Context(), connect.NewRequest(&wire.InstancesRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	return r.Msg.Revision
}

// Guards against long polls that miss a version, respond early or never end.
func TestWatch(t *testing.T) {
	bubble(t, func(t *testing.T, p *Platform) {
		start := time.Now()
		if r, err := document(t, p, 0, 3*time.Second); err != nil || r.Version != 0 || time.Since(start) != 3*time.Second {
			t.Fatalf("%v, %v after %s", r, err, time.Since(start))
		}
		time.AfterFunc(time.Second, func() { p.PublishDocument(4, []byte("x")) })
		start = time.Now()
		if r, err := document(t, p, 3, time.Minute); err != nil || r.Version != 4 || time.Since(start) != time.Second {
			t.Fatalf("%v, %v after %s", r, err, time.Since(start))
		}
	})
}

// Guards against an instance list that is visible before the lag has passed.
func TestLag(t *testing.T) {
	bubble(t, func(t *testing.T, p *Platform) {
		p.PublishInstances([]*wire.Instance{{Name: "d1", State: "live"}})
		if n := revision(t, p); n != 0 {
			t.Fatalf("revision %d before the lag", n)
		}
		time.Sleep(201 * time.Millisecond)
		if n := revision(t, p); n != 1 {
			t.Fatalf("revision %d after the lag", n)
		}
	})
}

// Guards against faults that don't affect readers, and against publications during
// the fault Stale that are lost.
func TestFaults(t *testing.T) {
	bubble(t, func(t *testing.T, p *Platform) {
		p.PublishDocument(1, nil)
		p.SetFault(Fault{Stale: true})
		p.PublishDocument(2, nil)
		if r, err := document(t, p, 0, 0); err != nil || r.Version != 1 {
			t.Fatalf("stale: %v, %v", r, err)
		}
		p.SetFault(Fault{})
		if r, err := document(t, p, 0, 0); err != nil || r.Version != 2 {
			t.Fatalf("after stale: %v, %v", r, err)
		}
		time.AfterFunc(time.Second, func() { p.SetFault(Fault{Down: true}) })
		if _, err := document(t, p, 2, time.Minute); connect.CodeOf(err) != connect.CodeUnavailable {
			t.Fatalf("down: %v", err)
		}
		if r := p.Reads(); r.Document != 3 || r.Refused != 1 || r.Pending != 0 {
			t.Fatalf("reads %+v", r)
		}
	})
}

// Guards against reads over the rate limit that are served.
func TestRate(t *testing.T) {
	bubble(t, func(t *testing.T, p *Platform) {
		for range 100 {
			if _, err := document(t, p, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := document(t, p, 0, 0); connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Fatalf("read 101: %v", err)
		}
	})
}

// Guards against a version other than that of the document or the query, and against
// documents without one or over the maximum size.
func TestPut(t *testing.T) {
	cases := map[string]struct {
		url, body string
		code      int
		version   uint64
	}{
		"from the document": {"/document", "version = 7\n", http.StatusOK, 7},
		"from the query":    {"/document?version=9", "not = [toml", http.StatusOK, 9},
		"none":              {"/document", "name = 1\n", http.StatusBadRequest, 0},
		"too large":         {"/document?version=9", strings.Repeat("#", maxBody+1), http.StatusRequestEntityTooLarge, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New()
			defer func() { _ = p.Close() }()
			w := httptest.NewRecorder()
			p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, c.url, strings.NewReader(c.body)))
			if w.Code != c.code || p.visible.document.Version != c.version {
				t.Fatalf("status %d, version %d", w.Code, p.visible.document.Version)
			}
		})
	}
}

// Guards against calls that work in the process but not over HTTP.
func TestOverHTTP(t *testing.T) {
	p := New(func(s *Settings) { s.Lag = 0 })
	defer func() { _ = p.Close() }()
	if err := p.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	c, idle := serve.Client()
	defer idle()
	base := "http://" + p.Addr().String()
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/instances",
		strings.NewReader(`{"instances":[{"name":"d1","kind":"daemon","state":"live"}]}`))
	resp, err := c.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	_ = resp.Body.Close()
	list, err := wire.NewPlatformClient(c, base).Instances(t.Context(), connect.NewRequest(&wire.InstancesRequest{}))
	if err != nil || len(list.Msg.Instances) != 1 || list.Msg.Instances[0].Name != "d1" {
		t.Fatalf("%v, %v", list, err)
	}
}
