package http1

import (
	"bytes"
	"io"

	"citronrock.example/citronrock/internal/core/memory"
)

// headerReader reads responses and fails once their headers have more than maxHeaderLines
// lines in all. It counts whole reads, so that what is buffered with the end of an interim
// response is not counted.
type headerReader struct {
	in   io.Reader
	hold *memory.Hold
	// charged is set once the hold has the memory of a large header.
	charged bool
	// ended is set at the empty line that ends a header, until the next one is expected.
	ended bool
	// lines and size are those of the headers up to now, size in bytes.
	lines, size int
	// length is the length of the current line without its end.
	length int
}

// Read implements io.Reader.
func (h *headerReader) Read(p []byte) (int, error) {
	n, err := h.in.Read(p)
	if h.ended {
		return n, err
	}
	rest := p[:n]
	for !h.ended {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		h.length += len(bytes.TrimRight(line, "\r"))
		if !found {
			rest = nil
			break
		}
		h.ended = h.length == 0
		if h.lines++; h.lines > maxHeaderLines {
			return 0, errManyLines
		}
		h.length, rest = 0, after
	}
	h.size += n - len(rest)
	if !h.charged && (h.lines > smallHeaderLines || h.size > smallHeaderBytes) {
		if err := h.hold.Resize(largeHeaderMemory); err != nil {
			return 0, err
		}
		h.charged = true
	}
	return n, err
}
