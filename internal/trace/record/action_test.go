package record_test

import (
	"bytes"
	"fmt"
	"testing"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/trace/record"
	"citronrock.example/citronrock/internal/wire/peer"
)

// TestActions guards against recorded actions that differ from the original ones,
// and against a comparison that misses a difference.
func TestActions(t *testing.T) {
	for name, c := range map[string]struct {
		seed        uint64
		differences int
	}{
		"same core": {0, 0},
		// Another seed changes the jitter of retries, and so the actions of ticks.
		"other seed": {99, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			w := record.New(&buf, record.Header{Name: "d1", Incarnation: 7, Start: start, Seed: c.seed, Actions: true})
			p := &recorder{m: flow.New("d1", 7), w: w, now: start}
			p.step(start, event.Published{Document: document()})
			p.recordActions()
			p.feed(ms, event.Arrive{
				Request: "r", Tenant: "agentschap", Service: "taalpost", Tokens: 4100, Max: 20,
				Deadline: start.Add(20e9),
			})
			p.recordActions()
			for wake := p.m.Wake(); wake.Before(start.Add(2e9)); wake = p.m.Wake() {
				p.step(wake, event.Tick{})
				p.recordActions()
			}
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			r, err := record.NewReader(&buf)
			if err != nil {
				t.Fatal(err)
			}
			m := flow.New("d1", 7)
			if s := r.Header().Seed; s != 0 {
				m = flow.New("d1", 7, flow.WithSeed(s))
			}
			steps, err := record.Replay(r, m)
			if err != nil {
				t.Fatal(err)
			}
			got, err := record.CompareActions(steps)
			if err != nil || len(got) < c.differences || c.differences == 0 && len(got) != 0 {
				t.Fatalf("%d differences, want %d; %v %v", len(got), c.differences, got, err)
			}
		})
	}
}

func (p *recorder) recordActions() { p.w.AddActions(p.now, p.last) }

// ExampleActionText shows the format of actions in traces and in the output of
// "citronrock replay".
func ExampleActionText() {
	text, err := record.ActionText(event.SendDone{Done: &peer.Done{Request: "r", Cell: "gent", Outcome: "finish"}})
	fmt.Println(text, err)
	// Output: {"action":"senddone","done":{"cell":"gent","outcome":"finish","request":"r"}} <nil>
}

// ExampleCompareOutcomes shows that an expected outcome without a reason matches
// any reason.
func ExampleCompareOutcomes() {
	expected := map[string]record.Outcome{"a": {Outcome: "notrun"}, "b": {Outcome: "ok"}}
	answers := []record.Answer{{Request: "a", Outcome: record.Outcome{Outcome: "notrun", Reason: "overload"}}}
	for _, d := range record.CompareOutcomes(expected, answers) {
		fmt.Println(d)
	}
	// Output: request b: the trace has ok, the replay no answer
}
