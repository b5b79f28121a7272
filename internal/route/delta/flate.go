package delta

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// ErrTooLarge means that a body expands to more than the caller allows.
var ErrTooLarge = errors.New("compressed body is too large")

// A writer has about a megabyte of buffers, so that writers are kept.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// Compress returns the compressed form of a body.
func Compress(body []byte) []byte {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(body) // never fails on a buffer
	_ = w.Close()        // never fails on a buffer
	return out.Bytes()
}

// Expand returns the body of a compressed form, of at most limit bytes.
func Expand(body []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err == nil && len(out) > limit {
		err = ErrTooLarge
	}
	return out, err
}
