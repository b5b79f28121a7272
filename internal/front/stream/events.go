package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventLimit bounds one event in bytes.
const eventLimit = 1 << 20

var (
	errPart  = errors.New("stream ends within an event")
	errLarge = errors.New("event is larger than the router can hold")
)

// reader splits a stream into whole events.
type reader struct {
	in    *bufio.Reader
	event []byte
}

func newReader(in io.Reader) *reader { return &reader{in: bufio.NewReader(in)} }

// next returns the bytes of the next whole event, with its empty line, and its
// ID, empty when it has none. The error is io.EOF after the last event. The
// bytes are valid until the next call.
func (r *reader) next() (event []byte, id string, err error) {
	r.event = r.event[:0]
	for {
		line, err := r.in.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > eventLimit {
			return nil, "", errLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return nil, "", errPart
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 {
			return r.event, id, nil
		}
	}
}
