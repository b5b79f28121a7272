package router

import (
	"fmt"
	"testing"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/config"
)

// Guards against a stream that is taken up at another service of its route than the one
// that began it.
func TestTakenUpStreamKeepsItsService(t *testing.T) {
	route := &config.Route{Splits: []config.Split{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}}
	picked := map[string]int{}
	for i := range 100 {
		first := proxy.Request{ID: fmt.Sprint("first", i)}
		next := proxy.Request{ID: fmt.Sprint("next", i), Resumes: first.ID, LastEventID: "3"}
		if a, b := pick(route, &first), pick(route, &next); a != b {
			t.Fatalf("attempt %s goes to %s, the one that takes it up to %s", first.ID, a, b)
		}
		picked[pick(route, &first)]++
	}
	if len(picked) < 2 {
		t.Errorf("picked %v, want both services", picked)
	}
}
