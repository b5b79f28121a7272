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

// line is one line of a trace. The fields in use depend on the kind of event.
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

	// Document is the document as TOML.
	Document string            `json:"document,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Alive    map[string]uint64 `json:"alive,omitempty"`
	Running  map[string]uint64 `json:"running,omitempty"`
	// Gap is in nanoseconds.
	Gap int64 `json:"gap,omitempty"`

	// Peer is the daemon that sent Body.
	Peer string `json:"peer,omitempty"`
	// Body is a message of the wire protocols, Bodies several of them.
	Body   json.RawMessage   `json:"body,omitempty"`
	Bodies []json.RawMessage `json:"bodies,omitempty"`

	// Name, Incarnation and Time identify the daemon in the first line.
	Name        string `json:"name,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Time        int64  `json:"time,omitempty"`
	Seed        uint64 `json:"seed,omitempty"`
	Acts        bool   `json:"acts,omitempty"`
	// Count is the number of events that were not written.
	Count uint64 `json:"count,omitempty"`

	// Actions follow the event of the line before.
	Actions []json.RawMessage `json:"actions,omitempty"`
	// Outcome is "ok" or a kind of failure, Reason its reason.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Kinds of lines that are not events.
const (
	kindStart = "start"
	kindLost  = "lost"
	// kindActed holds the actions of the event before.
	kindActed = "acted"
	// kindOutcome states how a request must end; people add it to traces.
	kindOutcome = "outcome"
)

var faults = []string{"", "unsent", "refused", "broken", "stalled", "crashed", "failed"}

func faultName(f event.Fault) string {
	if f < 0 || int(f) >= len(faults) {
		return "unknown"
	}
	return faults[f]
}

func faultOf(name string) (event.Fault, error) {
	for i, n := range faults {
		if n == name {
			return event.Fault(i), nil
		}
	}
	return 0, eris.Errorf("fault %q is unknown; the trace is of another version", name)
}

func body(m proto.Message) (json.RawMessage, error) {
	b, err := protojson.Marshal(m)
	return b, eris.Wrap(err, "encode a message for the trace")
}

// parse reads a message into m.
func parse[M proto.Message](raw json.RawMessage, m M) (M, error) {
	err := protojson.Unmarshal(raw, m)
	return m, eris.Wrap(err, "the body of the line is not a message of its event")
}

func bodies(all []*platfm.Instance) ([]json.RawMessage, error) {
	var out []json.RawMessage
	for _, i := range all {
		b, err := body(i)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func parseAll(raw []json.RawMessage) ([]*platfm.Instance, error) {
	var out []*platfm.Instance
	for _, r := range raw {
		i, err := parse(r, &platfm.Instance{})
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

// offset returns t as nanoseconds since start, and zero for no time.
func offset(start, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(t.Sub(start))
}
