package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"image/png"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/bench/direct"
	bench "citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/root"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// router starts a router for the services of the workload agentschap, with fast stand-in
// engines and servers, and returns its address.
func router(t *testing.T) string {
	t.Helper()
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	doc := &policy.Document{}
	for _, role := range []string{policy.RolePrefill, policy.RoleDecode} {
		e := engine.New(func(s *engine.Settings) {
			s.Role, s.TokenGap, s.PrefillRate, s.Pieces, s.Slots, s.LinkRate = role, time.Millisecond, 10000000, 1000, 1000, 1<<40
		})
		t.Cleanup(func() { _ = e.Close() })
		if err := e.Listen(any0); err != nil {
			t.Fatal(err)
		}
		doc.Engines = append(doc.Engines, policy.Engine{Service: "taalpost", Role: role, Address: e.Addr()})
	}
	s := plain.New(func(s *plain.Settings) { s.Latency, s.MaxConcurrent = time.Millisecond, 1000 })
	t.Cleanup(func() { _ = s.Close() })
	if err := s.Listen(any0); err != nil {
		t.Fatal(err)
	}
	doc.Servers = append(doc.Servers, policy.Server{Service: "bestelbalie", Address: s.Addr()})
	r, err := direct.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r.Addr().String()
}

func run(t *testing.T, terminal bool, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	f := &deps.Factory{Out: &o, Err: &e, Terminal: terminal, Getenv: func(string) string { return "" }, Now: time.Now}
	code = root.Main(context.Background(), f, append([]string{"load"}, args...))
	return code, o.String(), e.String()
}

// Guards against load on machines that the operator did not allow with --remote, runs
// without limits, and errors that are reported only after the load was sent.
func TestArguments(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		err  string
	}{
		"no address":     {nil, 1, "CITRONROCK_CALLER"},
		"not loopback":   {[]string{"--caller", "127.0.0.1:1,192.0.2.1:7001"}, 2, "give --remote"},
		"mapped address": {[]string{"--caller", "[::ffff:192.0.2.1]:7001"}, 2, "give --remote"},
		"unspecified":    {[]string{"--caller", "0.0.0.0:7001"}, 2, "give --remote"},
		"workload":       {[]string{"--caller", "127.0.0.1:1", "--workload", "x"}, 2, "agentschap and xenho"},
		"rate":           {[]string{"--caller", "127.0.0.1:1", "--rate", "NaN"}, 2, "rate"},
		"time":           {[]string{"--caller", "127.0.0.1:1", "--time", "2h"}, 2, "up to 1h"},
		"count":          {[]string{"--caller", "127.0.0.1:1", "--count", "0"}, 2, "count"},
		"open":           {[]string{"--caller", "127.0.0.1:1", "--open", "0"}, 2, "open"},
		"no trace":       {[]string{"none.jsonl", "--caller", "127.0.0.1:1"}, 1, "no such file or directory; check its path and permissions"},
		"no daemon":      {[]string{"--caller", "127.0.0.1:9", "--count", "2", "--rate", "1000", "--repeats", "0"}, 1, "check the addresses"},
		"no such dir":    {[]string{"--caller", "127.0.0.1:9", "--count", "1", "--rate", "1000", "--repeats", "0", "--out", "none/r.json"}, 1, "writable directory"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, _, errs := run(t, false, c.args...)
			if code != c.code || !strings.Contains(errs, c.err) {
				t.Errorf("exit code %d, want %d; error output %q lacks %q", code, c.code, errs, c.err)
			}
		})
	}
}

// Guards against a table, JSON report or histogram that does not count the requests that
// were sent, and against a plot that is not a PNG.
func TestReport(t *testing.T) {
	addr, dir := router(t), t.TempDir()
	report, plot := filepath.Join(dir, "r.json"), filepath.Join(dir, "p.png")
	code, out, errs := run(t, true, "--caller", addr, "--rate", "400", "--time", "1m", "--count", "60", "--out", report, "--plot", plot)
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	if !strings.HasPrefix(out, "CLASS ") || strings.Count(out, "\n") != 5 {
		t.Errorf("table %q, want a heading and 4 rows", out)
	}
	b, err := os.ReadFile(report)
	if err != nil {
		t.Fatal(err)
	}
	var r bench.Result
	if err := json.Unmarshal(b, &r); err != nil {
		t.Fatal(err)
	}
	if n, answered := r.Count(bench.Answered); n != 60 || answered != 60 {
		t.Errorf("%d of %d answered, want 60: %v", answered, n, r.Failures)
	}
	for name, f := range r.Classes {
		sum := 0.0
		for _, b := range f.FirstBins {
			sum += b[1]
		}
		if int(sum) != f.Outcomes[bench.Answered] {
			t.Errorf("histogram of %s has %g answers, want %d", name, sum, f.Outcomes[bench.Answered])
		}
	}
	img, err := os.Open(plot)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = img.Close() }()
	if _, err := png.Decode(img); err != nil {
		t.Errorf("plot: %v", err)
	}
}

// Guards against a trace whose arrivals are sent with other services, lengths or
// shared prefixes than recorded.
func TestTrace(t *testing.T) {
	code, out, errs := run(t, false, "../../trace/record/testdata/decode.jsonl", "--caller", router(t), "--json")
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	var r bench.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatal(err)
	}
	f := r.Classes["agentschap/taalpost"]
	if f == nil || f.Outcomes[bench.Answered] != 1 || f.Tokens == 0 || f.Tokens > 20 {
		t.Errorf("statistics %+v, want 1 answer with 1 to 20 tokens", f)
	}
}
