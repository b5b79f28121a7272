package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"citronrock.example/citronrock/internal/core/memory"
)

// eventLimit is the maximum size of one event in bytes.
const eventLimit = 1 << 20

// smallEvent is the size in bytes up to which an event is not charged to the memory
// budget. Most events are much smaller, while a server may send one at each of its
// connections.
const smallEvent = 4 << 10

var (
	errTruncated = errors.New("stream ended within an event")
	errForeign   = errors.New("another response follows within the stream")
)

// responseStart begins the head of a response. A faulty server may write one on the
// connection of a stream that has neither a length nor chunks.
var responseStart = []byte("HTTP/1.")

// sseEvent is one complete server-sent event.
type sseEvent struct {
	// bytes is the event with its empty line. It is valid until the next event is read.
	bytes []byte
	// id is empty when the event has none.
	id string
	// empty events have neither an ID nor data. They show that the connection is alive,
	// not that the response progresses.
	empty bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	in    *bufio.Reader
	event []byte
	hold  *memory.Hold
	// reserved is the size in bytes of the hold for a large event.
	reserved int64
}

// newEventReader returns a reader that charges large events to an empty hold. close must be
// called.
func newEventReader(in io.Reader, h *memory.Hold) *eventReader {
	return &eventReader{in: bufio.NewReader(in), hold: h}
}

// close releases the memory of a large event.
func (r *eventReader) close() { r.hold.Release() }

// buffer appends a part of an event.
func (r *eventReader) buffer(part []byte) error {
	size := len(r.event) + len(part)
	if size > eventLimit {
		return memory.ErrTooLarge
	}
	if size > smallEvent && int64(size) > r.reserved {
		larger := min(max(2*r.reserved, 2*smallEvent), eventLimit)
		if err := r.hold.Resize(larger); err != nil {
			return err
		}
		r.reserved = larger
		r.event = slices.Grow(r.event, int(larger)-len(r.event))
	}
	r.event = append(r.event, part...)
	return nil
}

// next returns the next complete event. The error is io.EOF after the last one.
func (r *eventReader) next() (sseEvent, error) {
	r.event = r.event[:0]
	e := sseEvent{empty: true}
	start := true // of a line
	for {
		line, err := r.in.ReadSlice('\n')
		if err := r.buffer(line); err != nil {
			return sseEvent{}, err
		}
		if start && (bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data"))) {
			e.empty = false
		}
		if start && bytes.HasPrefix(line, responseStart) {
			return sseEvent{}, errForeign
		}
		whole := start
		start = !errors.Is(err, bufio.ErrBufferFull)
		switch {
		case !start:
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return sseEvent{}, errTruncated
		case err != nil:
			return sseEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok && whole {
			e.id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && whole {
			e.bytes = r.event
			return e, nil
		}
	}
}
