package record

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// ErrGap tells that events are missing from a trace, which can't be replayed
// beyond that place.
var ErrGap = errors.New("events are missing from the trace; record it with a larger limit")

// Reader reads a trace.
type Reader struct {
	head Header
	in   *json.Decoder
	// acted holds the recorded actions since the last event.
	acted    []string
	outcomes map[string]Outcome
}

// NewReader reads the first line of a trace.
func NewReader(r io.Reader) (*Reader, error) {
	in := json.NewDecoder(r)
	var l line
	if err := in.Decode(&l); err != nil {
		return nil, eris.Wrap(err, "read the first line of the trace")
	}
	if l.Event != kindStart {
		return nil, eris.Errorf("the trace begins with %q; it must begin with a line of kind %q", l.Event, kindStart)
	}
	h := Header{
		Name: l.Name, Incarnation: l.Incarnation, Start: time.Unix(0, l.Time).UTC(),
		Seed: l.Seed, Actions: l.Acts,
	}
	return &Reader{head: h, in: in, outcomes: map[string]Outcome{}}, nil
}

// Header returns whose events the trace holds.
func (r *Reader) Header() Header { return r.head }

// Outcomes returns the stated outcomes by request, of the lines read so far.
func (r *Reader) Outcomes() map[string]Outcome { return r.outcomes }

// Next returns the next event and its time. It returns io.EOF at the end and
// ErrGap where events are missing.
func (r *Reader) Next() (time.Time, event.Event, error) {
	r.acted = nil
	for {
		var l line
		if err := r.in.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) {
				return time.Time{}, nil, io.EOF
			}
			return time.Time{}, nil, eris.Wrap(err, "read a line of the trace")
		}
		switch l.Event {
		case kindLost:
			return time.Time{}, nil, ErrGap
		case kindActed:
			if err := r.takeActions(l.Actions); err != nil {
				return time.Time{}, nil, err
			}
		case kindOutcome:
			r.outcomes[l.Request] = Outcome{Outcome: l.Outcome, Reason: l.Reason}
		default:
			e, err := decode(r.head.Start, l)
			return r.head.Start.Add(time.Duration(l.At)), e, err
		}
	}
}

func (r *Reader) takeActions(raw []json.RawMessage) error {
	for _, a := range raw {
		text, err := canonical(a)
		if err != nil {
			return err
		}
		r.acted = append(r.acted, text)
	}
	return nil
}

// Step is one event of a replay with the actions that followed.
type Step struct {
	At      time.Time
	Event   event.Event
	Actions []event.Action
	// Recorded holds the actions in the trace, in the form of ActionText.
	Recorded []string
}

// Replay feeds all events of a trace to m.
func Replay(r *Reader, m citronrock.Machine) ([]Step, error) {
	var steps []Step
	for {
		at, e, err := r.Next()
		if len(steps) > 0 {
			steps[len(steps)-1].Recorded = r.acted
		}
		if errors.Is(err, io.EOF) {
			return steps, nil
		}
		if err != nil {
			return steps, err
		}
		steps = append(steps, Step{At: at, Event: e, Actions: m.Step(at, e, nil)})
	}
}
