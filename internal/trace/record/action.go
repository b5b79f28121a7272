package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// Outcome is how a request ended: "ok" or a kind of failure, with its reason.
type Outcome struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// ActionKind returns the name of an action in traces, such as "hold".
func ActionKind(a event.Action) string { return kind(a) }

// EventKind returns the name of an event in traces, such as "arrive".
func EventKind(e event.Event) string { return kind(e) }

func kind(v any) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", v), "event."))
}

// ActionText returns an action as a JSON object with sorted keys, so that equal
// actions have equal texts. Durations are in nanoseconds.
func ActionText(a event.Action) (string, error) {
	raw, err := json.Marshal(a)
	if err != nil {
		return "", eris.Wrap(err, "cannot encode an action for the trace")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return "", eris.Wrap(err, "cannot encode an action for the trace")
	}
	out := map[string]json.RawMessage{"action": fmt.Appendf(nil, "%q", ActionKind(a))}
	for name, value := range fields {
		out[strings.ToLower(name)] = value
	}
	raw, err = json.Marshal(out)
	if err != nil {
		return "", eris.Wrap(err, "cannot encode an action for the trace")
	}
	return canonical(raw)
}

// canonical returns a JSON value with sorted keys. The digits of numbers are kept,
// since 64-bit integers do not fit a float64.
func canonical(raw json.RawMessage) (string, error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.UseNumber()
	var v any
	if err := in.Decode(&v); err != nil {
		return "", eris.Wrap(err, "an action of the trace is not valid JSON")
	}
	out, err := json.Marshal(v)
	return string(out), eris.Wrap(err, "an action of the trace is not valid JSON")
}

func encodeActions(start, at time.Time, actions []event.Action) (line, error) {
	l := line{At: offset(start, at), Event: kindActions}
	for _, a := range actions {
		text, err := ActionText(a)
		if err != nil {
			return l, err
		}
		l.Actions = append(l.Actions, json.RawMessage(text))
	}
	return l, nil
}

// Difference is a mismatch between a trace and its replay.
type Difference struct {
	// Step is the number of the event, from 1, or 0 for an outcome.
	Step    int    `json:"step,omitempty"`
	Request string `json:"request,omitempty"`
	Want    string `json:"want"`
	Got     string `json:"got"`
}

// String describes the difference in one line.
func (d Difference) String() string {
	where := "request " + d.Request
	if d.Step > 0 {
		where = fmt.Sprintf("event %d", d.Step)
	}
	return fmt.Sprintf("%s: the trace has %s, the replay %s", where, d.Want, d.Got)
}

// CompareActions returns the steps whose actions differ from the recorded ones.
func CompareActions(steps []Step) ([]Difference, error) {
	var out []Difference
	for i, s := range steps {
		got := make([]string, 0, len(s.Actions))
		for _, a := range s.Actions {
			text, err := ActionText(a)
			if err != nil {
				return nil, err
			}
			got = append(got, text)
		}
		if !slices.Equal(got, s.Recorded) {
			out = append(out, Difference{Step: i + 1, Want: joinActions(s.Recorded), Got: joinActions(got)})
		}
	}
	return out, nil
}

func joinActions(texts []string) string {
	if len(texts) == 0 {
		return "no action"
	}
	return strings.Join(texts, " ")
}

// Answer is the answer to a request in a replay.
type Answer struct {
	Request string `json:"request"`
	Outcome
	// RetryAfter is the Retry-After delay, in nanoseconds in JSON.
	RetryAfter time.Duration `json:"after,omitempty"`
	// At is the time since the start of the trace, in nanoseconds in JSON.
	At time.Duration `json:"at"`
}

// Answers returns the answers of a replay in order. Start is the start of the trace.
func Answers(start time.Time, steps []Step) []Answer {
	out := []Answer{}
	for _, s := range steps {
		for _, a := range s.Actions {
			if a, ok := a.(event.Answer); ok {
				out = append(out, Answer{Request: a.Request, Outcome: outcome(a), RetryAfter: a.After, At: s.At.Sub(start)})
			}
		}
	}
	return out
}

func outcome(a event.Answer) Outcome {
	if a.Kind == 0 {
		return Outcome{Outcome: "ok"}
	}
	return Outcome{Outcome: citronrock.Kind(a.Kind).String(), Reason: a.Reason}
}

func (o Outcome) String() string {
	if o.Reason == "" {
		return o.Outcome
	}
	return o.Outcome + " (" + o.Reason + ")"
}

// CompareOutcomes returns the expected outcomes that the answers do not match, and
// the requests that were answered more than once, sorted by request. An expected
// outcome without a reason matches any reason.
func CompareOutcomes(expected map[string]Outcome, answers []Answer) []Difference {
	var out []Difference
	seen := map[string]bool{}
	for _, a := range answers {
		want, ok := expected[a.Request]
		got := a.Outcome
		switch {
		case seen[a.Request]:
			out = append(out, Difference{Request: a.Request, Want: "one answer", Got: "another: " + got.String()})
		case ok && (want.Outcome != got.Outcome || want.Reason != "" && want.Reason != got.Reason):
			out = append(out, Difference{Request: a.Request, Want: want.String(), Got: got.String()})
		}
		seen[a.Request] = true
	}
	for request, want := range expected {
		if !seen[request] {
			out = append(out, Difference{Request: request, Want: want.String(), Got: "no answer"})
		}
	}
	slices.SortStableFunc(out, func(a, b Difference) int { return strings.Compare(a.Request, b.Request) })
	return out
}
