package record

import (
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/core/event"
)

// encode returns the line for an event. Times are relative to start.
func encode(start, at time.Time, e event.Event) (line, error) {
	l := line{At: offset(start, at)}
	switch e := e.(type) {
	case event.Arrive:
		encodeArrive(&l, start, e)
	case event.Gone:
		l.Event, l.Request = "gone", e.Request
	case event.Held:
		l.Event, l.Request, l.Engine, l.Free = "held", e.Request, e.Engine, e.Free
		l.Fault = faultName(e.Fault)
	case event.Prefilled:
		l.Event, l.Request, l.Engine, l.Handle = "prefilled", e.Request, e.Engine, e.Handle
		l.Tokens, l.Cached, l.Fault = e.Tokens, e.Cached, faultName(e.Fault)
	case event.Moved:
		l.Event, l.Request, l.Engine, l.Fault = "moved", e.Request, e.Engine, faultName(e.Fault)
	case event.Progress:
		l.Event, l.Request, l.Stream, l.Next = "progress", e.Request, e.Stream, e.Next
	case event.Ended:
		l.Event, l.Request, l.Engine, l.Fault = "ended", e.Request, e.Engine, faultName(e.Fault)
		l.Stream, l.Next = e.Stream, e.Next
	case event.Cancelled:
		l.Event, l.Request, l.Engine, l.Fault = "cancelled", e.Request, e.Engine, faultName(e.Fault)
		l.Held = e.Held
	case event.Tick:
		l.Event = "tick"
	default:
		return encodeState(l, e)
	}
	return l, nil
}

func encodeArrive(l *line, start time.Time, e event.Arrive) {
	l.Event, l.Request, l.Tenant, l.Service = "arrive", e.Request, e.Tenant, e.Service
	l.Priority, l.Tokens, l.Max = e.Priority, e.Tokens, e.Max
	l.Pieces, l.Print, l.From = e.Pieces, e.Print, e.From
	l.Deadline = offset(start, e.Deadline)
}

// encodeState encodes events about the daemon rather than one request.
func encodeState(l line, e event.Event) (line, error) {
	switch e := e.(type) {
	case event.Published:
		text, err := toml.Marshal(e.Document)
		l.Event, l.Document = "published", string(text)
		return l, eris.Wrap(err, "cannot encode the document for the trace")
	case event.Listed:
		all, err := encodeInstances(e.Instances)
		l.Event, l.Revision, l.Bodies = "listed", e.Revision, all
		return l, err
	case event.Members:
		l.Event, l.Alive, l.Running = "members", e.Alive, e.Running
	case event.Paused:
		l.Event, l.Gap = "paused", int64(e.Gap)
	case event.Unreachable:
		l.Event, l.Engine = "unreachable", e.Engine
	default:
		return encodeMessage(l, e)
	}
	return l, nil
}

// encodeMessage encodes events that carry one protobuf message.
func encodeMessage(l line, e event.Event) (line, error) {
	var m proto.Message
	switch e := e.(type) {
	case event.Granted:
		l.Event, m = "granted", e.Grant
	case event.Asked:
		l.Event, l.Peer, m = "asked", e.From, e.Ask
	case event.Finished:
		l.Event, l.Peer, m = "finished", e.From, e.Done
	case event.Reported:
		l.Event, l.Engine, m = "reported", e.Engine, e.Report
	case event.Cached:
		l.Event, l.Engine, m = "cached", e.Engine, e.Event
	case event.Struck:
		l.Event, m = "struck", e.Strike
	default:
		return l, eris.Errorf("event %T has no encoding in traces; add one to package record", e)
	}
	b, err := encodeBody(m)
	l.Body = b
	return l, err
}
