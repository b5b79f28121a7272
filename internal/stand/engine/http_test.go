package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) *Engine {
	t.Helper()
	e := New(func(s *Settings) { s.TokenGap, s.PrefillRate = time.Millisecond, 1000000 })
	t.Cleanup(func() { _ = e.Close() })
	if err := e.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	return e
}

func dial(t *testing.T, e *Engine) wire.EngineClient {
	t.Helper()
	c, idle := serve.Client()
	t.Cleanup(idle)
	return wire.NewEngineClient(c, "http://"+e.Addr().String())
}

// Guards against calls that work in the process but not over HTTP.
func TestOverHTTP(t *testing.T) {
	from, to := listen(t), listen(t)
	ctx, p, d := t.Context(), dial(t, from), dial(t, to)
	prompt := makePrompt(5000, "net")
	if err := transfer(ctx, "a", prompt, p, d, from); err != nil {
		t.Fatal(err)
	}
	s, err := d.Decode(ctx, connect.NewRequest(&wire.DecodeRequest{Request: "a", Max: 30}))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for s.Receive() {
		b.WriteString(s.Msg().Text)
	}
	_ = s.Close()
	if want, _ := Answer(prompt, 30); s.Err() != nil || b.String() != want {
		t.Fatalf("%q, %v, want %q", b.String(), s.Err(), want)
	}
	resp, err := http.Get("http://" + to.Addr().String() + "/held")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	http.DefaultClient.CloseIdleConnections()
	var h Stats
	if err := json.NewDecoder(resp.Body).Decode(&h); err != nil || h.Used != 5000 || h.Requests != 0 {
		t.Fatalf("stats %+v, %v", h, err)
	}
}

// transfer prefills a request on p, the client of engine source, and imports its KV
// cache into d.
func transfer(ctx context.Context, id, prompt string, p, d wire.EngineClient, source *Engine) error {
	r, err := d.Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Request: id, Pieces: 4, Term: durationpb.New(time.Minute),
	}))
	if err != nil || !r.Msg.Granted {
		return fmt.Errorf("reserve %v, %w", r, err)
	}
	f, err := p.Prefill(ctx, connect.NewRequest(&wire.PrefillRequest{Request: id, Prompt: prompt}))
	if err != nil {
		return err
	}
	_, err = d.Import(ctx, connect.NewRequest(&wire.ImportRequest{
		Request: id, Handle: f.Msg.Handle, Source: source.Addr().String(),
	}))
	return err
}

func silence(t *testing.T, e *Engine) {
	t.Helper()
	resp, err := http.Post("http://"+e.Addr().String()+"/fault", "application/json", strings.NewReader(`{"silent":true}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("fault: %v %v", resp, err)
	}
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
}

// Guards against a KV transfer that reuses the connection of an earlier one, which has
// been muted, and blocks.
func TestMoveAfterSilence(t *testing.T) {
	from, to := listen(t), listen(t)
	d := dial(t, to)
	if err := transfer(t.Context(), "a", "first", dial(t, from), d, from); err != nil {
		t.Fatal(err)
	}
	silence(t, from)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := transfer(ctx, "b", "second", dial(t, from), d, from); err != nil {
		t.Fatal(err)
	}
}

// Guards against the fault Silent muting new connections, and against open ones that
// it doesn't mute.
func TestSilent(t *testing.T) {
	e := listen(t)
	old := dial(t, e)
	cancel := connect.NewRequest(&wire.CancelRequest{Request: "none"})
	if _, err := old.Cancel(t.Context(), cancel); err != nil {
		t.Fatal(err)
	}
	silence(t, e)
	ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if _, err := old.Cancel(ctx, cancel); connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		t.Fatalf("a muted connection responded: %v", err)
	}
	if _, err := dial(t, e).Cancel(t.Context(), cancel); err != nil {
		t.Fatalf("call on a new connection: %v", err)
	}
}

// Guards against an unknown fault name that is ignored.
func TestUnknownFault(t *testing.T) {
	e := listen(t)
	resp, err := http.Post("http://"+e.Addr().String()+"/fault", "application/json", strings.NewReader(`{"frozen":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("status %d", resp.StatusCode)
	}
}
