package memory

import (
	"errors"
	"io"
)

// firstBuffer is the size in bytes of the first buffer of a body. Most bodies fit into it.
const firstBuffer = 4 << 10

// Body is a body that was read completely. Its memory stays reserved until Release.
type Body struct {
	Bytes []byte
	hold  *Hold
}

// Release returns the memory of the body to the budget. The body must not be used
// afterwards. A nil body and repeated calls are allowed.
func (b *Body) Release() {
	if b != nil {
		b.hold.Release()
	}
}

// Read reads a body of up to limit bytes into a hold that is empty. The error is
// ErrTooLarge, ErrExhausted, ErrGivenUp, ErrEvicted or that of r; after an error nothing stays reserved.
func (h *Hold) Read(r io.Reader, limit int64) (*Body, error) {
	body := &Body{hold: h}
	err := body.readAll(r, limit)
	if lost := h.Keep(); lost != nil {
		err = lost // why the reading was ended
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) readAll(r io.Reader, limit int64) error {
	for size := min(firstBuffer, limit+1); ; size = nextSize(size, limit) {
		if err := b.grow(size); err != nil {
			return err
		}
		err := b.fill(r)
		switch {
		case int64(len(b.Bytes)) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// nextSize returns the size of the buffer after one of size bytes. One that holds limit bytes
// has room for the byte that exceeds it, so that no body is copied once more for that.
func nextSize(size, limit int64) int64 {
	if size *= 2; size < limit {
		return size
	}
	return limit + 1
}

// grow moves the body to a buffer of size bytes. The hold must cover both buffers during
// the copy.
func (b *Body) grow(size int64) error {
	if err := b.hold.Resize(int64(cap(b.Bytes)) + size); err != nil {
		return err
	}
	buffer := make([]byte, len(b.Bytes), size)
	copy(buffer, b.Bytes)
	b.Bytes = buffer
	return b.hold.Resize(size)
}

// fill reads until the buffer is full or r ends.
func (b *Body) fill(r io.Reader) error {
	for len(b.Bytes) < cap(b.Bytes) {
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
