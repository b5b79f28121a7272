package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
)

// panickingServers panic when a request is sent, or while its answer is read.
type panickingServers struct{ *slowServers }

func (s panickingServers) Send(ctx context.Context, to pool.Server, r *proxy.Request, o proxy.Options) (*proxy.Response, error) {
	if r.Header.Get("Takes") == "0" {
		panic("send")
	}
	resp, err := s.slowServers.Send(ctx, to, r, o)
	if err == nil {
		resp.Body = io.MultiReader(resp.Body, panickingBody{})
	}
	return resp, err
}

type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("read") }

// Guards against a request that gets no answer when its handler panics, although
// nothing of an answer was sent.
func TestPanicIsAnswered(t *testing.T) {
	t.Parallel()
	r := startOne(t, kindsStore{}, panickingServers{&slowServers{sent: map[string]time.Duration{}}})
	defer r.Stop()
	time.Sleep(2500 * time.Millisecond) // the ledger's owner is settled
	for name, c := range map[string]stopCase{
		"plain, at sending":   {route: "once"},
		"plain, in the body":  {route: "again", takes: time.Millisecond},
		"stream, at sending":  {route: "stream"},
		"model, at sending":   {route: "model"},
		"stream, second half": {route: "stream", takes: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", r.settings.Front.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			c.limit = 5 * time.Second
			_, _ = io.WriteString(conn, c.text(name)) // an error shows in the answer
			a := receive(bufio.NewReader(conn))
			if name == "stream, second half" {
				if a.status != http.StatusOK || a.complete {
					t.Errorf("got %+v, want a stream that is broken off", a)
				}
				return
			}
			if a.status != http.StatusBadGateway || !a.complete || !a.last {
				t.Errorf("got %+v, want 502", a)
			}
		})
	}
}
