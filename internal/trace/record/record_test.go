package record_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/trace/record"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

var update = flag.Bool("update", false, "record the traces in testdata anew")

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func document() *policy.Document {
	d := &policy.Document{
		Version: 3,
		Tenants: []policy.Tenant{{Name: "agentschap", Rate: 50, Burst: 10, MaxInFlight: 100}},
		Services: []policy.Service{{
			Name: "taalpost", Kind: policy.KindModel, Model: "m", Priority: 5, Idempotent: true,
			LatencyTarget: policy.Duration(450 * time.Millisecond), GapTarget: policy.Duration(32 * time.Millisecond),
		}},
	}
	for _, name := range []string{"p1", "p2", "d1", "d2"} {
		role := policy.RoleDecode
		if name[0] == 'p' {
			role = policy.RolePrefill
		}
		d.Engines = append(d.Engines, policy.Engine{Name: name, Service: "taalpost", Cell: "gent", Role: role})
	}
	return d
}

// allEvents returns one event of each kind, with every field set.
func allEvents() []event.Event {
	return []event.Event{
		event.Arrive{
			Request: "r", Tenant: "agentschap", Service: "taalpost", Priority: 2, Tokens: 4000, Max: 9,
			Pieces: []uint64{1<<63 + 1, 2}, Print: 1<<63 + 3, From: 4, Deadline: start.Add(time.Second),
		},
		event.Gone{Request: "r"},
		event.Granted{Grant: &peer.Grant{Request: "r", Granted: true, Prefill: "p1", Decode: "d1", Fence: 1 << 63}},
		event.Held{Request: "r", Engine: "d1", Fault: event.FaultRefused, Free: 7},
		event.Prefilled{Request: "r", Engine: "p1", Handle: "h", Tokens: 4000, Cached: 2000, Fault: event.FaultUnsent},
		event.Moved{Request: "r", Engine: "d1", Fault: event.FaultBroken},
		event.Progress{Request: "r", Stream: 2, Next: 5},
		event.Ended{Request: "r", Engine: "d1", Stream: 2, Next: 9, Fault: event.FaultCrashed},
		event.Cancelled{Request: "r", Engine: "d1", Held: true, Fault: event.FaultStalled},
		event.Tick{},
		event.Published{Document: document()},
		event.Listed{Revision: 3, Instances: []*platfm.Instance{{Name: "p1", Kind: "engine", State: "leaving"}}},
		event.Members{Alive: map[string]uint64{"d1": 1 << 63}, Running: map[string]uint64{"d2": 0}},
		event.Paused{Gap: time.Second},
		event.Asked{From: "d2", Ask: &peer.Ask{Request: "r", Cell: "gent", Pieces: []uint64{1 << 63}}},
		event.Finished{From: "d2", Done: &peer.Done{Request: "r", Outcome: "finish"}},
		event.Reported{Engine: "p1", Report: &engine.Report{Engine: "p1", Pieces: 40}},
		event.Unreachable{Engine: "p1"},
		event.Cached{Engine: "p1", Event: &engine.CacheEvent{Sequence: 2, Stored: []uint64{1 << 63}}},
		event.Struck{Strike: &peer.Strike{Print: 1 << 63, Count: 1}},
	}
}

// TestRoundTrip guards against events that change when encoded and decoded.
func TestRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	w := record.New(&buf, record.Header{Name: "d1", Incarnation: 1 << 63, Start: start})
	for i, e := range allEvents() {
		w.Add(start.Add(time.Duration(i)), e)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := record.NewReader(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if h := r.Header(); h.Name != "d1" || h.Incarnation != 1<<63 || !h.Start.Equal(start) {
		t.Fatalf("unexpected header %+v", h)
	}
	for i, want := range allEvents() {
		at, got, err := r.Next()
		if err != nil || !at.Equal(start.Add(time.Duration(i))) {
			t.Fatalf("%T at %v: %v", want, at, err)
		}
		if p, ok := got.(event.Published); ok {
			if !reflect.DeepEqual(p, want) {
				t.Errorf("got %+v, want %+v", p, want)
			}
			continue
		}
		// Protobuf messages are compared by text, since decoding sets internal fields.
		if fmt.Sprint(got) != fmt.Sprint(want) || reflect.TypeOf(got) != reflect.TypeOf(want) {
			t.Errorf("got %T %v, want %v", got, got, want)
		}
	}
	if _, _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("error at the end of the trace: %v, want io.EOF", err)
	}
}

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// TestBounded guards against a control loop that is blocked by a slow output, and
// against a trace that does not show that events are missing.
func TestBounded(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := record.New(out, record.Header{Start: start}, record.WithBufferSize(4))
	for range 1000 {
		w.Add(start, event.Tick{})
	}
	if w.Dropped() == 0 {
		t.Fatal("no event was dropped")
	}
	close(out.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	w.Add(start, event.Tick{})
	r, err := record.NewReader(&out.Buffer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = record.Replay(r, flow.New("d1", 1)); !errors.Is(err, record.ErrGap) {
		t.Fatalf("replay of a trace with a gap: %v", err)
	}
}

// TestBroken guards against invalid traces that are read without an error.
func TestBroken(t *testing.T) {
	head := `{"at":0,"event":"start","name":"d1"}` + "\n"
	for name, text := range map[string]string{
		"empty":         "",
		"no start":      `{"at":0,"event":"tick"}`,
		"unknown event": head + `{"at":0,"event":"sung"}`,
		"unknown fault": head + `{"at":0,"event":"held","fault":"sad"}`,
		"wrong body":    head + `{"at":0,"event":"granted","body":{"x":1}}`,
		"cut off":       head + `{"at":0,"ev`,
	} {
		t.Run(name, func(t *testing.T) {
			r, err := record.NewReader(strings.NewReader(text))
			if err == nil {
				_, err = record.Replay(r, flow.New("d1", 1))
			}
			if err == nil {
				t.Fatal("no error")
			}
		})
	}
}

// TestTraces guards against changed decisions: it replays the recorded traces and
// compares the actions of each in their order.
func TestTraces(t *testing.T) {
	for name, want := range map[string]string{
		"owner": "ask ask ask ask hold prefill:p1 move:p1 decode answer:0 done:finish",
		"decode": "ask hold prefill:p1 move:p1 cancel:d1 done:lost ask hold move:p1 decode " +
			"answer:0 done:finish",
		"crossed": "ask hold prefill:p1 cancel:p1 done:lost ask hold cancel:p1 prefill:p2 move:p2 decode decode " +
			"answer:0 done:finish cancel:d1",
		// The third Cancel on d1 follows the late failure of the transfer.
		"gone": "ask hold prefill:p1 move:p1 answer:3 done:cancel cancel:p1 cancel:d1 cancel:d1 cancel:d1",
	} {
		t.Run(name, func(t *testing.T) {
			if *update {
				recordTrace(t, name)
			}
			text, err := os.ReadFile(tracePath(name))
			if err != nil {
				t.Fatal(err)
			}
			r, err := record.NewReader(bytes.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			steps, err := record.Replay(r, flow.New(r.Header().Name, r.Header().Incarnation))
			if err != nil {
				t.Fatal(err)
			}
			if got := summary(steps); got != want {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}

func tracePath(name string) string { return filepath.Join("testdata", name+".jsonl") }

// summary returns the actions of all steps in one line.
func summary(steps []record.Step) string {
	var words []string
	for _, s := range steps {
		for _, a := range s.Actions {
			words = append(words, actionWord(a))
		}
	}
	return strings.Join(words, " ")
}

func actionWord(a event.Action) string {
	switch a := a.(type) {
	case event.SendAsk:
		return "ask"
	case event.SendDone:
		return "done:" + a.Done.GetOutcome()
	case event.Prefill:
		return "prefill:" + a.Engine
	case event.Move:
		return "move:" + a.From
	case event.Cancel:
		return "cancel:" + a.Engine
	case event.Answer:
		return fmt.Sprint("answer:", a.Kind)
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "event."))
}
