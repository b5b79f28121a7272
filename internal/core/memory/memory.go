// Package memory bounds the bytes of request and response bodies that a daemon holds
// in memory. A faulty backend server may send an endless body, and many clients may
// send large bodies at the same time.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// holder is what bodies reserve their memory of.
type holder interface {
	Reserve(n int64) bool
	Release(n int64)
}

const (
	// DefaultBytes is the budget in bytes of a daemon whose memory limit is not known.
	DefaultBytes = 64 << 20
	// firstBuffer is the size in bytes of the first buffer of a body. Most bodies fit
	// into it.
	firstBuffer = 4 << 10
)

var (
	// ErrTooLarge is returned for a body that exceeds its own limit.
	ErrTooLarge = errors.New("body exceeds its size limit")
	// ErrExhausted is returned when the bodies of other requests use up the budget.
	ErrExhausted = errors.New("memory budget for bodies is exhausted")
)

// Budget is the number of bytes available for all bodies. It is safe for concurrent
// use. A nil budget is unlimited.
type Budget struct {
	available atomic.Int64
	shares    shares
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := new(Budget)
	b.available.Store(bytes)
	return b
}

// Reserve takes n bytes from the budget and returns whether they were available.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.available.Add(n)
	}
}

// Available returns the number of bytes that are not reserved. The budget must not
// be nil.
func (b *Budget) Available() int64 { return b.available.Load() }

// Body is a body that was read completely. Its memory stays reserved until Release.
type Body struct {
	Bytes    []byte
	holder   holder
	reserved int64
}

// Release returns the memory of the body to the budget. The body must not be used
// afterwards. A nil body and repeated calls are allowed.
func (b *Body) Release() {
	if b != nil {
		b.holder.Release(b.reserved)
		b.reserved = 0
	}
}

// Read reads a body of up to limit bytes. The error is ErrTooLarge, ErrExhausted or
// that of r; after an error nothing stays reserved.
func (b *Budget) Read(r io.Reader, limit int64) (*Body, error) { return read(b, r, limit) }

func read(h holder, r io.Reader, limit int64) (*Body, error) {
	out := &Body{holder: h}
	for size := min(firstBuffer, limit+1); ; size = nextSize(size, limit) {
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

// nextSize returns the size of the buffer after one of size bytes. One that holds limit bytes
// has room for the byte that exceeds it, so that no body is copied once more for that.
func nextSize(size, limit int64) int64 {
	if size *= 2; size < limit {
		return size
	}
	return limit + 1
}

// grow moves the body to a buffer of size bytes. The budget must cover both buffers
// during the copy.
func (b *Body) grow(size int64) bool {
	if !b.holder.Reserve(size) {
		return false
	}
	buffer := make([]byte, len(b.Bytes), size)
	copy(buffer, b.Bytes)
	b.Bytes = buffer
	b.holder.Release(b.reserved)
	b.reserved = size
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
