package panics_test

import (
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/logs/panics"
	"github.com/hashicorp/go-hclog"
)

// Guards against a panic that ends the process, or that is neither counted nor
// logged with its stack.
func TestCatch(t *testing.T) {
	var out strings.Builder
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	before := panics.Count()
	func() {
		defer panics.Recover(log, "datagram")
		var list []int
		_ = list[len(list)]
	}()
	if got := panics.Count() - before; got != 1 {
		t.Errorf("%d panics counted, want 1", got)
	}
	for _, part := range []string{"datagram", "index out of range", "TestCatch"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("log line does not contain %q: %s", part, out.String())
		}
	}
}

// Guards against counting a panic where none occurred.
func TestCatchWithoutPanic(t *testing.T) {
	before := panics.Count()
	func() { defer panics.Recover(hclog.NewNullLogger(), "datagram") }()
	if panics.Count() != before {
		t.Error("a panic was counted")
	}
}
