package webui_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/webui"
	"citronrock.example/citronrock/internal/conf/policy"
)

// serve runs a console over the sample document and returns its address.
func serve(t *testing.T) string {
	t.Helper()
	f := &deps.Factory{Out: io.Discard, Err: io.Discard, Getenv: func(string) string { return "" }}
	o, err := webui.New(f, []string{"--file", "../../conf/policy/testdata/agentschap.toml", "--listen", "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	addr := make(chan netip.AddrPort, 1)
	o.Ready = func(a netip.AddrPort) { addr <- a }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- webui.Run(ctx, o) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	select {
	case a := <-addr:
		return "http://" + a.String()
	case <-time.After(10 * time.Second):
		t.Fatal("the console did not start")
		return ""
	}
}

func fetch(t *testing.T, method, target string, form url.Values, change func(*http.Request)) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, target, strings.NewReader(form.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	if form != nil {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func tenant(name string) url.Values {
	return url.Values{"name": {name}, "rate": {"5"}, "burst": {"10"}, "open": {"20"}}
}

// Guards against a download that differs from the draft or that daemons reject.
func TestConsoleEdits(t *testing.T) {
	base := serve(t)
	if code, body := fetch(t, http.MethodPost, base+"/edit/tenant?name=", tenant("market"), nil); code != http.StatusOK {
		t.Fatalf("saving a tenant: status %d: %s", code, body)
	}
	code, body := fetch(t, http.MethodGet, base+"/document.toml", nil, nil)
	if code != http.StatusOK {
		t.Fatalf("download: status %d: %s", code, body)
	}
	d, err := policy.ParseNext("download", []byte(body), 1)
	if err != nil {
		t.Fatal(err)
	}
	if d.Version != 2 || d.FindTenant("market") == nil {
		t.Errorf("download has version %d, want 2 with the tenant market: %s", d.Version, body)
	}
	if _, page := fetch(t, http.MethodGet, base+"/", nil, nil); !strings.Contains(page, "tenant market rate") {
		t.Error("the overview does not show the change")
	}
	fetch(t, http.MethodPost, base+"/delete/tenant?name=agentschap", url.Values{}, nil)
	fetch(t, http.MethodPost, base+"/delete/tenant?name=market", url.Values{}, nil)
	if code, body := fetch(t, http.MethodGet, base+"/document.toml", nil, nil); code != http.StatusUnprocessableEntity || !strings.Contains(body, "there is no tenant") {
		t.Errorf("download of an invalid draft: status %d, want 422 and the problem: %s", code, body)
	}
}

// Guards against script injection, forms submitted by other sites (CSRF), DNS rebinding,
// and invalid or oversized forms that are taken into the draft.
func TestConsoleRefuses(t *testing.T) {
	base := serve(t)
	cases := map[string]struct {
		method, path string
		form         url.Values
		change       func(*http.Request)
		code         int
		want         string
	}{
		"script in a name": {http.MethodPost, "/edit/tenant?name=", tenant("<script>alert(1)</script>"), nil, http.StatusOK, "&lt;script&gt;"},
		"other origin": {http.MethodPost, "/edit/tenant?name=", tenant("evil"), func(r *http.Request) {
			r.Header.Set("Origin", "http://evil.example")
		}, http.StatusForbidden, ""},
		"other host":     {http.MethodGet, "/", nil, func(r *http.Request) { r.Host = "evil.example" }, http.StatusForbidden, "open the console at the address that it printed"},
		"bad number":     {http.MethodPost, "/edit/tenant?name=", url.Values{"name": {"a"}, "rate": {"fast"}}, nil, http.StatusUnprocessableEntity, "rate can&#39;t be parsed; expected requests per second"},
		"taken name":     {http.MethodPost, "/edit/tenant?name=", tenant("agentschap"), nil, http.StatusUnprocessableEntity, "is already in use"},
		"unknown kind":   {http.MethodGet, "/edit/disk", nil, nil, http.StatusNotFound, ""},
		"oversized form": {http.MethodPost, "/edit/tenant?name=", tenant(strings.Repeat("x", 70000)), nil, http.StatusBadRequest, "can't be read or is too large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, body := fetch(t, c.method, base+c.path, c.form, c.change)
			if code != c.code || !strings.Contains(body, c.want) {
				t.Errorf("status %d, want %d with %q: %.400s", code, c.code, c.want, body)
			}
			if strings.Contains(body, "<script") {
				t.Error("the page contains a script")
			}
		})
	}
}

// Guards against serving the console, which has no authentication, on an address that
// other machines can reach.
func TestConsoleLoopbackOnly(t *testing.T) {
	var errs bytes.Buffer
	f := &deps.Factory{Out: io.Discard, Err: &errs, Getenv: func(string) string { return "" }}
	_, err := webui.New(f, []string{"--file", "x.toml", "--listen", "0.0.0.0:7300"})
	if err == nil || !strings.Contains(err.Error(), "--remote") {
		t.Errorf("error %v, want one that mentions --remote", err)
	}
}
