// Package memory bounds the bytes of requests and answers that a daemon holds at
// a time. A backend server in trouble may send bytes without end, and many
// clients may send large bodies at once.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// DefaultBytes is the budget in bytes of a daemon whose memory is not known.
	DefaultBytes = 64 << 20
	// first is the size in bytes of the first buffer of a body. Most bodies fit.
	first = 4 << 10
)

var (
	// ErrTooLarge means that a body is larger than its own limit.
	ErrTooLarge = errors.New("body is larger than its limit")
	// ErrExhausted means that the bodies of other requests take all memory.
	ErrExhausted = errors.New("no memory for more bodies")
)

// Budget is the memory for all bodies. A nil budget has no bound.
type Budget struct {
	left atomic.Int64
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	b := new(Budget)
	b.left.Store(bytes)
	return b
}

// Reserve reserves n bytes and reports whether they were left.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.left.Add(n)
	}
}

// Available returns the bytes that are not reserved.
func (b *Budget) Available() int64 { return b.left.Load() }

// Body is a body that was read as a whole.
type Body struct {
	Bytes  []byte
	budget *Budget
	taken  int64
}

// Release returns the memory of the body, which must not be used afterwards. A nil
// body has none.
func (b *Body) Release() {
	if b != nil {
		b.budget.Release(b.taken)
		b.taken = 0
	}
}

// Read reads a body of up to limit bytes. The error is ErrLarge, ErrFull or that
// of r; then nothing stays reserved.
func (b *Budget) Read(r io.Reader, limit int64) (*Body, error) {
	out := &Body{budget: b}
	for size := min(first, limit+1); ; size = min(2*size, limit+1) {
		if !out.grow(size) {
			out.Release()
			return nil, ErrExhausted
		}
		err := out.fill(r)
		if int64(len(out.Bytes)) > limit {
			err = ErrTooLarge
		}
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			out.Release()
			return nil, err
		}
	}
}

// grow moves the body to a buffer of size bytes. Both are there meanwhile.
func (b *Body) grow(size int64) bool {
	if !b.budget.Reserve(size) {
		return false
	}
	buffer := make([]byte, len(b.Bytes), size)
	copy(buffer, b.Bytes)
	b.Bytes = buffer
	b.budget.Release(b.taken)
	b.taken = size
	return true
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
