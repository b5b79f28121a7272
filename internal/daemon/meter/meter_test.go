package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/daemon/meter"
)

func scrape(t *testing.T, m *meter.Meter) string {
	t.Helper()
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rec.Body.String()
}

// Guards against a series for each of 11,000 tenants, which would not fit into the
// memory for control, and against answers of tenants beyond the bound that are not
// counted.
func TestTenants(t *testing.T) {
	m, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	const tenants = 500
	for i := range tenants {
		name := fmt.Sprintf("tenant-%d", i)
		m.FirstToken("taalpost", name, time.Second)
		m.TokenGaps("taalpost", name, []time.Duration{time.Millisecond, time.Millisecond})
		m.Answer("taalpost", name, "ok", "", time.Second)
	}
	text := scrape(t, m)
	names := map[string]bool{}
	for _, match := range regexp.MustCompile(`tenant="([^"]*)"`).FindAllStringSubmatch(text, -1) {
		names[match[1]] = true
	}
	if len(names) != 41 || !names["other"] {
		t.Errorf("%d tenants have series, want 40 and other", len(names))
	}
	for _, want := range []string{
		`answers_total{outcome="ok",reason="",service="taalpost",tenant="other"} 460`,
		`tokens_total{service="taalpost",tenant="other"} 1380`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %q", want)
		}
	}
}

// Guards against metrics that are missing or whose names differ from the operations
// page.
func TestNames(t *testing.T) {
	m, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	m.FirstToken("s", "t", time.Second)
	m.TokenGaps("s", "t", []time.Duration{time.Second})
	m.Answer("s", "t", "notrun", "overload", time.Second)
	m.WastedTokens("s", 5)
	m.Pause()
	if err := m.Gauge("open", "open requests", func() int64 { return 7 }); err != nil {
		t.Fatal(err)
	}
	text := scrape(t, m)
	for _, want := range []string{
		"first_seconds_count", "gap_seconds_count", "took_seconds_count", `reason="overload"`,
		"tokens_total", `waste_total{service="s"} 5`, "pauses_total 1", "open 7",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %q", want)
		}
	}
}
