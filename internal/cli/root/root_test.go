package root_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/root"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// fakeTransport maps URLs to response bodies. A request for another URL fails.
type fakeTransport map[string]string

func (r fakeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, ok := r[req.URL.String()]
	if !ok {
		return nil, errors.New("unexpected request for " + req.URL.String())
	}
	rec := &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Header: http.Header{}}
	rec.Body = readCloser{strings.NewReader(body)}
	return rec, nil
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

const statusBody = `{"name":"d1","domain":"gent","ready":true,"version":7,"revision":3,
"started":"2026-12-04T10:00:00Z",
"members":[{"name":"d2","state":"alive","incarnation":5}],
"engines":[{"name":"tp-1","cell":"a","role":"decode","state":"live","pieces":40,"free":12,"busy":9}],
"requests":[{"id":"d1-1-1","tenant":"agent\u001bschap","service":"taalpost","age":1500000000}]}`

// Guards against output for a terminal in a pipe or the reverse, control characters
// that reach the terminal, exit code 0 after a failure, and errors without a remedy.
func TestCommands(t *testing.T) {
	cases := map[string]struct {
		args     []string
		terminal bool
		code     int
		out, err string
	}{
		"help":            {args: nil, out: "commands:"},
		"verb help":       {args: []string{"status", "--help"}, out: "examples:"},
		"mistyped":        {args: []string{"statsu"}, code: 2, err: `did you mean "status"?`},
		"mistyped second": {args: []string{"config", "chekc"}, code: 2, err: `did you mean "config check"?`},
		"unknown":         {args: []string{"frobnicate"}, code: 2, err: "the commands are:"},
		"unknown flag":    {args: []string{"status", "--jsn"}, code: 2, err: "did you mean --json?"},
		"flag value":      {args: []string{"status", "--daemon"}, code: 2, err: "needs a value"},
		"no file":         {args: []string{"config", "check"}, code: 2, err: "0 arguments given"},
		"no address":      {args: []string{"status"}, code: 1, err: "CITRONROCK_DAEMON"},
		"no daemon":       {args: []string{"status", "--daemon", "127.0.0.1:9"}, code: 1, err: "check the addresses"},
		"piped":           {args: []string{"status", "--daemon", "127.0.0.1:7201"}, out: "d1\tgent\tyes\t7\t3\t1\t1\t0MiB\t1h0m0s\n"},
		"terminal":        {args: []string{"engines", "--daemon", "127.0.0.1:7201"}, terminal: true, out: "NAME  CELL  ROLE    STATE  OWNER  PIECES  FREE  BUSY  QUEUE\ntp-1  a     decode  live   d1     40      12    9     0s\n"},
		"json":            {args: []string{"instances", "--daemon", "127.0.0.1:7201", "--json"}, out: `"name": "d2"`},
		"control bytes":   {args: []string{"requests", "--daemon", "127.0.0.1:7201"}, out: "d1-1-1\td1\tagent?schap\ttaalpost\t1.5s\n"},
		"check":           {args: []string{"config", "check", "../../conf/policy/testdata/agentschap.toml"}, out: "version 1 is valid"},
		"check fails":     {args: []string{"config", "check", "--above", "1", "../../conf/policy/testdata/agentschap.toml"}, code: 1, err: "write version = 2"},
		"diff":            {args: []string{"config", "diff", "../../conf/policy/testdata/agentschap.toml", "../../conf/policy/testdata/agentschap.toml"}, out: ""},
		"version":         {args: []string{"version"}, out: "citronrock "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			f := &deps.Factory{
				Out: &out, Err: &errs, Terminal: c.terminal,
				Getenv: func(string) string { return "" },
				Now:    func() time.Time { return time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC) },
				HTTP:   &http.Client{Transport: fakeTransport{"http://127.0.0.1:7201/status": statusBody}},
				Platform: func(netip.AddrPort) platfm.PlatformClient {
					t.Error("unexpected use of the platform")
					return nil
				},
			}
			if code := root.Main(context.Background(), f, c.args); code != c.code {
				t.Errorf("exit code %d, want %d; %s", code, c.code, errs.String())
			}
			if !strings.Contains(out.String(), c.out) {
				t.Errorf("output %q does not contain %q", out.String(), c.out)
			}
			if !strings.Contains(errs.String(), c.err) {
				t.Errorf("error output %q does not contain %q", errs.String(), c.err)
			}
		})
	}
}
