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

// ErrGap is returned where events are missing from a trace. The trace cannot be
// replayed beyond that point.
var ErrGap = errors.New("events are missing from the trace; record it with a larger limit")

// Reader reads a trace.
type Reader struct {
	head Header
	in   *json.Decoder
	// recorded holds the recorded actions that followed the last event.
	recorded []string
	outcomes map[string]Outcome
}

// NewReader returns a Reader after reading the header. It returns an error if the
// first line is not a header.
func NewReader(r io.Reader) (*Reader, error) {
	in := json.NewDecoder(r)
	var l line
	if err := in.Decode(&l); err != nil {
		return nil, eris.Wrap(err, "cannot read the first line of the trace")
	}
	if l.Event != kindStart {
		return nil, eris.Errorf("the trace begins with %q; it must begin with a line of kind %q", l.Event, kindStart)
	}
	h := Header{
		Name: l.Name, Incarnation: l.Incarnation, Start: time.Unix(0, l.Time).UTC(),
		Seed: l.Seed, Actions: l.HasActions,
	}
	return &Reader{head: h, in: in, outcomes: map[string]Outcome{}}, nil
}

// Header returns whose events the trace holds.
func (r *Reader) Header() Header { return r.head }

// Outcomes returns the expected outcomes by request, from the lines read so far.
func (r *Reader) Outcomes() map[string]Outcome { return r.outcomes }

// Next returns the next event and its time. It returns io.EOF at the end, ErrGap where
// events are missing, and other errors for lines that cannot be decoded.
func (r *Reader) Next() (time.Time, event.Event, error) {
	r.recorded = nil
	for {
		var l line
		if err := r.in.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) {
				return time.Time{}, nil, io.EOF
			}
			return time.Time{}, nil, eris.Wrap(err, "cannot read a line of the trace")
		}
		switch l.Event {
		case kindDropped:
			return time.Time{}, nil, ErrGap
		case kindActions:
			if err := r.addRecorded(l.Actions); err != nil {
				return time.Time{}, nil, err
			}
		case kindExpected:
			r.outcomes[l.Request] = Outcome{Outcome: l.Outcome, Reason: l.Reason}
		default:
			e, err := decode(r.head.Start, l)
			return r.head.Start.Add(time.Duration(l.At)), e, err
		}
	}
}

func (r *Reader) addRecorded(raw []json.RawMessage) error {
	for _, a := range raw {
		text, err := canonical(a)
		if err != nil {
			return err
		}
		r.recorded = append(r.recorded, text)
	}
	return nil
}

// Step is one event of a replay with the actions that the machine returned.
type Step struct {
	At      time.Time
	Event   event.Event
	Actions []event.Action
	// Recorded holds the actions in the trace, formatted as by ActionText.
	Recorded []string
}

// Replay passes all events of a trace to m and returns the steps. After an error it
// returns the steps before it too.
func Replay(r *Reader, m citronrock.Machine) ([]Step, error) {
	var steps []Step
	for {
		at, e, err := r.Next()
		if len(steps) > 0 {
			steps[len(steps)-1].Recorded = r.recorded
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
