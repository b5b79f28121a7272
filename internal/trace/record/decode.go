package record

import (
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
)

// decode returns the event of a line. Times in the line are relative to start.
func decode(start time.Time, l line) (event.Event, error) {
	fault, err := parseFault(l.Fault)
	if err != nil {
		return nil, err
	}
	switch l.Event {
	case "arrive":
		return decodeArrive(start, l), nil
	case "gone":
		return event.Gone{Request: l.Request}, nil
	case "held":
		return event.Held{Request: l.Request, Engine: l.Engine, Fault: fault, Free: l.Free}, nil
	case "prefilled":
		return event.Prefilled{
			Request: l.Request, Engine: l.Engine, Handle: l.Handle,
			Tokens: l.Tokens, Cached: l.Cached, Fault: fault,
		}, nil
	case "moved":
		return event.Moved{Request: l.Request, Engine: l.Engine, Fault: fault}, nil
	case "progress":
		return event.Progress{Request: l.Request, Stream: l.Stream, Next: l.Next}, nil
	case "ended":
		return event.Ended{
			Request: l.Request, Engine: l.Engine, Stream: l.Stream, Next: l.Next, Fault: fault,
		}, nil
	case "cancelled":
		return event.Cancelled{Request: l.Request, Engine: l.Engine, Held: l.Held, Fault: fault}, nil
	case "tick":
		return event.Tick{}, nil
	}
	return decodeState(l)
}

func decodeArrive(start time.Time, l line) event.Arrive {
	e := event.Arrive{
		Request: l.Request, Tenant: l.Tenant, Service: l.Service, Priority: l.Priority,
		Tokens: l.Tokens, Max: l.Max, Pieces: l.Pieces, Print: l.Print, From: l.From,
	}
	if l.Deadline != 0 {
		e.Deadline = start.Add(time.Duration(l.Deadline))
	}
	return e
}

func decodeState(l line) (event.Event, error) {
	switch l.Event {
	case "published":
		d := &policy.Document{}
		err := toml.Unmarshal([]byte(l.Document), d)
		return event.Published{Document: d}, eris.Wrap(err, "the document of the line is not valid TOML")
	case "listed":
		all, err := decodeInstances(l.Bodies)
		return event.Listed{Revision: l.Revision, Instances: all}, err
	case "members":
		return event.Members{Alive: l.Alive, Running: l.Running}, nil
	case "paused":
		return event.Paused{Gap: time.Duration(l.Gap)}, nil
	case "unreachable":
		return event.Unreachable{Engine: l.Engine}, nil
	}
	return decodeMessage(l)
}

func decodeMessage(l line) (event.Event, error) {
	switch l.Event {
	case "granted":
		m, err := decodeBody(l.Body, &peer.Grant{})
		return event.Granted{Grant: m}, err
	case "asked":
		m, err := decodeBody(l.Body, &peer.Ask{})
		return event.Asked{From: l.Peer, Ask: m}, err
	case "finished":
		m, err := decodeBody(l.Body, &peer.Done{})
		return event.Finished{From: l.Peer, Done: m}, err
	case "reported":
		m, err := decodeBody(l.Body, &engine.Report{})
		return event.Reported{Engine: l.Engine, Report: m}, err
	case "cached":
		m, err := decodeBody(l.Body, &engine.CacheEvent{})
		return event.Cached{Engine: l.Engine, Event: m}, err
	case "struck":
		m, err := decodeBody(l.Body, &peer.Strike{})
		return event.Struck{Strike: m}, err
	}
	return nil, eris.Errorf("unknown event %q; the trace was recorded by another version", l.Event)
}
