package http1

import (
	"bytes"
	"errors"
	"io"

	"citronrock.example/citronrock/internal/core/memory"
)

// maxHeaderLines bounds the header of a response, with those of the interim ones before it.
// A field takes much more memory than a short line has bytes.
const maxHeaderLines = 256

// ErrManyLines is the error for a header of more than 256 lines.
var ErrManyLines = errors.New("header has too many lines")

// HeaderLines counts the lines of a response's header and of the interim ones before it.
type HeaderLines struct {
	// ended is set at the empty line that ends the header.
	ended bool
	lines int
	// length is the length of the current line without its end.
	length int
	// first is the start of the current header's first line.
	first []byte
}

// interim begins the first line of an interim response. Its version may differ in the
// last digit.
var interim = []byte("HTTP/1.1 1")

// Count counts what was received and returns what follows the header. The error is
// ErrManyLines.
func (h *HeaderLines) Count(received []byte) (rest []byte, err error) {
	for rest = received; !h.ended; {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		if missing := len(interim) - len(h.first); missing > 0 {
			h.first = append(h.first, line[:min(missing, len(line))]...)
		}
		h.length += len(bytes.TrimRight(line, "\r"))
		if !found {
			return nil, nil
		}
		if h.lines++; h.lines > maxHeaderLines {
			return nil, ErrManyLines
		}
		if h.length == 0 {
			h.ended = len(h.first) < len(interim) || h.first[len(interim)-1] != '1'
			h.first = h.first[:0]
		}
		h.length, rest = 0, after
	}
	return rest, nil
}

// headerReader reads a response, and fails once its header is too long or finds no memory.
type headerReader struct {
	in    io.Reader
	lines HeaderLines
	hold  *memory.Hold
	// size is that of the header up to now in bytes. charged is set once the hold has the
	// memory of a large one.
	size    int
	charged bool
}

// Read implements io.Reader.
func (h *headerReader) Read(p []byte) (int, error) {
	n, err := h.in.Read(p)
	if h.lines.ended {
		return n, err
	}
	rest, tooLong := h.lines.Count(p[:n])
	if tooLong != nil {
		return 0, tooLong
	}
	h.size += n - len(rest)
	if !h.charged && (h.lines.lines > smallHeaderLines || h.size > smallHeaderBytes) {
		if err := h.hold.Resize(largeHeaderMemory); err != nil {
			return 0, err
		}
		h.charged = true
	}
	return n, err
}
