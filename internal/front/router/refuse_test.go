package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// limitsStore has a route to a service that is not configured, one to a service without
// servers, and narrow limits, or no configuration at all.
type limitsStore struct {
	kindsStore
	empty bool
}

func (s limitsStore) Load(context.Context, bool) (*citronrock.Snapshot, error) {
	if s.empty {
		return &citronrock.Snapshot{Revision: pool.Revision{Number: 1}}, nil
	}
	var routes []config.Route
	for name, kind := range map[string]config.Kind{"gone": config.Idempotent, "once": config.NonIdempotent, "stream": config.Stream, "model": config.Stream} {
		service := map[string]string{"gone": "gone", "model": "model"}[name]
		if service == "" {
			service = "plain"
		}
		routes = append(routes, config.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Target: time.Second,
			Attempts: 1, Model: name == "model", Splits: []config.Split{{Service: service, Weight: 1}}})
	}
	services := []config.Service{{Name: "plain"}, {Name: "model", Engine: &config.Engine{Slots: 1, Tokens: 1000, Stride: 1, Handle: time.Second}}}
	return &citronrock.Snapshot{Document: config.New(1, routes, services, config.Limits{Header: 4096, Body: 10, HeaderWait: 500 * time.Millisecond, Idle: time.Minute}),
		Revision: pool.Revision{Number: 1}}, nil
}

// Guards against requests that the router can't serve and that get no answer, or one
// that says nothing about whether they ran.
func TestRefusalsAreAnswers(t *testing.T) {
	t.Parallel()
	r := startOne(t, limitsStore{}, &slowServers{sent: map[string]time.Duration{}})
	defer r.Stop()
	none := startOne(t, limitsStore{empty: true}, &slowServers{sent: map[string]time.Duration{}})
	defer none.Stop()
	time.Sleep(2500 * time.Millisecond) // the ledger's owner is settled
	const id = "Host: h\r\nId: c\r\nLimit: 1500\r\n"
	cases := map[string]struct {
		to     *Router
		text   string
		status int
		last   bool
	}{
		"no configuration":      {none, "GET /once/ HTTP/1.1\r\n" + id + "\r\n", 503, false},
		"no route":              {r, "GET /none/ HTTP/1.1\r\n" + id + "\r\n", 404, false},
		"no service":            {r, "GET /gone/ HTTP/1.1\r\n" + id + "\r\n", 503, false},
		"no server":             {r, "GET /once/ HTTP/1.1\r\n" + id + "\r\n", 503, false},
		"no server, stream":     {r, "GET /stream/ HTTP/1.1\r\n" + id + "\r\n", 503, false},
		"no engine":             {r, "GET /model/ HTTP/1.1\r\n" + id + "\r\n", 503, false},
		"not as agreed":         {r, "GET /once/ HTTP/1.1\r\nHost: h\r\n\r\n", 400, false},
		"body over the limit":   {r, "POST /once/ HTTP/1.1\r\n" + id + "Content-Length: 11\r\n\r\nhello hello", 413, true},
		"body late":             {r, "POST /once/ HTTP/1.1\r\n" + id + "Content-Length: 5\r\n\r\nhe", 408, true},
		"body malformed":        {r, "POST /once/ HTTP/1.1\r\n" + id + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
		"header over the limit": {r, "GET /once/ HTTP/1.1\r\n" + id + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", c.to.settings.Front.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, c.text) // an error shows in the answer
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			a := receive(bufio.NewReader(conn))
			if a.status != c.status || !a.complete || a.last != c.last || a.status == http.StatusServiceUnavailable && a.after <= 0 {
				t.Errorf("got %+v, want %d", a, c.status)
			}
		})
	}
}
