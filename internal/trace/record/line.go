package record

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// line is one line of a trace. Which fields are set depends on the kind of event.
type line struct {
	// At is the time since the start of the trace in nanoseconds.
	At    int64  `json:"at"`
	Event string `json:"event"`

	Request  string   `json:"request,omitempty"`
	Tenant   string   `json:"tenant,omitempty"`
	Service  string   `json:"service,omitempty"`
	Priority uint32   `json:"priority,omitempty"`
	Tokens   uint32   `json:"tokens,omitempty"`
	Max      uint32   `json:"max,omitempty"`
	Pieces   []uint64 `json:"pieces,omitempty"`
	Print    uint64   `json:"print,omitempty"`
	From     uint32   `json:"from,omitempty"`
	// Deadline is a time since the start of the trace in nanoseconds.
	Deadline int64 `json:"deadline,omitempty"`

	Engine string `json:"engine,omitempty"`
	Fault  string `json:"fault,omitempty"`
	Free   uint32 `json:"free,omitempty"`
	Handle string `json:"handle,omitempty"`
	Cached uint32 `json:"cached,omitempty"`
	Stream uint32 `json:"stream,omitempty"`
	Next   uint32 `json:"next,omitempty"`
	Held   bool   `json:"held,omitempty"`

	// Document is the configuration document as TOML.
	Document string            `json:"document,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Alive    map[string]uint64 `json:"alive,omitempty"`
	Running  map[string]uint64 `json:"running,omitempty"`
	// Gap is in nanoseconds.
	Gap int64 `json:"gap,omitempty"`

	// Peer is the daemon that sent Body.
	Peer string `json:"peer,omitempty"`
	// Body is one protobuf message as JSON, Bodies are several of them.
	Body   json.RawMessage   `json:"body,omitempty"`
	Bodies []json.RawMessage `json:"bodies,omitempty"`

	// Name, Incarnation, Time, Seed and HasActions hold the Header, in the
	// first line.
	Name        string `json:"name,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Time        int64  `json:"time,omitempty"`
	Seed        uint64 `json:"seed,omitempty"`
	HasActions  bool   `json:"acts,omitempty"`
	// Count is the number of dropped events.
	Count uint64 `json:"count,omitempty"`

	// Actions are the actions that followed the event of the preceding line.
	Actions []json.RawMessage `json:"actions,omitempty"`
	// Outcome is "ok" or a kind of failure, Reason the reason of the failure.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Kinds of lines that are not events.
const (
	kindStart   = "start"
	kindDropped = "lost"
	// kindActions is a line with the actions of the preceding event.
	kindActions = "acted"
	// kindExpected is a line with the expected outcome of a request. It is not
	// recorded, but added to traces by hand.
	kindExpected = "outcome"
)

var faultNames = []string{"", "unsent", "refused", "broken", "stalled", "crashed", "failed"}

func faultName(f event.Fault) string {
	if f < 0 || int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

func parseFault(name string) (event.Fault, error) {
	for i, n := range faultNames {
		if n == name {
			return event.Fault(i), nil
		}
	}
	return 0, eris.Errorf("unknown fault %q; the trace was recorded by another version", name)
}

func encodeBody(m proto.Message) (json.RawMessage, error) {
	b, err := protojson.Marshal(m)
	return b, eris.Wrap(err, "cannot encode a message for the trace")
}

// decodeBody decodes a protobuf message from JSON into m and returns m.
func decodeBody[M proto.Message](raw json.RawMessage, m M) (M, error) {
	err := protojson.Unmarshal(raw, m)
	return m, eris.Wrap(err, "the body of the line is not a message of the type for its event")
}

func encodeInstances(all []*platfm.Instance) ([]json.RawMessage, error) {
	var out []json.RawMessage
	for _, i := range all {
		b, err := encodeBody(i)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func decodeInstances(raw []json.RawMessage) ([]*platfm.Instance, error) {
	var out []*platfm.Instance
	for _, r := range raw {
		i, err := decodeBody(r, &platfm.Instance{})
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

// offset returns t in nanoseconds since start, or 0 if t is the zero time.
func offset(start, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(t.Sub(start))
}
