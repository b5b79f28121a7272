package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"citronrock.example/citronrock/internal/front/memory"
)

// eventLimit bounds one event in bytes.
const eventLimit = 1 << 20

// smallEvent is the size in bytes up to which events need no share of the memory
// for bodies.
const smallEvent = 64 << 10

var errPart = errors.New("stream ends within an event")

// sent is one whole event of a stream.
type sent struct {
	// bytes are the event with its empty line, valid until the next one is read.
	bytes []byte
	// id is empty when the event has none.
	id string
	// empty events have neither an ID nor data. They show that a connection lives
	// and not that an answer goes on.
	empty bool
}

// reader splits a stream into whole events.
type reader struct {
	in     *bufio.Reader
	event  []byte
	memory *memory.Budget
	// taken is the memory of a large event.
	taken int64
}

// newReader returns a reader that takes the memory of large events from a budget.
// close must be called.
func newReader(in io.Reader, b *memory.Budget) *reader {
	return &reader{in: bufio.NewReader(in), memory: b}
}

// close gives back the memory of a large event.
func (r *reader) close() { r.memory.Release(r.taken) }

// hold keeps a part of an event.
func (r *reader) hold(part []byte) error {
	r.event = append(r.event, part...)
	if len(r.event) > eventLimit {
		return memory.ErrTooLarge
	}
	if len(r.event) > smallEvent && r.taken == 0 {
		if !r.memory.Reserve(eventLimit) {
			return memory.ErrExhausted
		}
		r.taken = eventLimit
	}
	return nil
}

// next returns the next whole event. The error is io.EOF after the last one.
func (r *reader) next() (sent, error) {
	r.event = r.event[:0]
	e := sent{empty: true}
	start := true // of a line
	for {
		line, err := r.in.ReadSlice('\n')
		if err := r.hold(line); err != nil {
			return sent{}, err
		}
		if start && (bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data"))) {
			e.empty = false
		}
		whole := start
		start = !errors.Is(err, bufio.ErrBufferFull)
		switch {
		case !start:
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return sent{}, errPart
		case err != nil:
			return sent{}, err
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
