package ledger_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against a refusal that doesn't tell which engines of the version the owner had.
func TestRefusalCountsEngines(t *testing.T) {
	l := ledger.New("s")
	list := engines(4, 1, 20000)
	for i := range list {
		list[i].Version = "v1"
	}
	list = append(list, ledger.Engine{ID: "d5", Stage: pool.Decode, Slots: 1, Tokens: 20000, Version: "v2"})
	l.SetEngines(t0, list)
	l.ApplyReport(t0, edge1, ledger.Report{Service: "s", Incarnation: 1, Sequence: 1, Unhealthy: []string{"d1", "d2"}})
	l.SetUsage(t0, "d3", ledger.Usage{Busy: true, Stage: pool.Decode})
	req := request(1)
	req.Version, req.Prompt = "v1", 30000
	got := replyTo(t, l.Submit(t0, edge1, req), 1)
	if want := (ledger.Census{Usable: 1, Unhealthy: 2, Switching: 1, Prefill: 1}); got.Status != ledger.Refused || got.Version != "v1" || got.Census != want {
		t.Errorf("reply %+v, want a refusal with the engines %+v", got, want)
	}
	if again := replyTo(t, l.Submit(t0.Add(time.Millisecond), edge1, req), 1); again.Version != "" {
		t.Errorf("repeated reply %+v, want none for the log", again)
	}
}
