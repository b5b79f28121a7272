package memory_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"citronrock.example/citronrock/internal/core/memory"
)

// endless is an endless body.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against endless bodies, or many large ones at once, that use more memory
// than the daemon has, and against reservations that are not released.
func TestRead(t *testing.T) {
	errBroken := errors.New("broken")
	cases := map[string]struct {
		body   io.Reader
		limit  int64
		budget int64
		want   int
		err    error
	}{
		"empty":                     {strings.NewReader(""), 10, 100, 0, nil},
		"as long as its limit":      {strings.NewReader("0123456789"), 10, 100, 10, nil},
		"over its limit":            {strings.NewReader("0123456789a"), 10, 100, 0, memory.ErrTooLarge},
		"byte by byte":              {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), 1 << 20, 1 << 20, 9000, nil},
		"without end":               {endless{}, 1 << 20, 8 << 20, 0, memory.ErrTooLarge},
		"without end, little left":  {endless{}, 1 << 30, 1 << 20, 0, memory.ErrExhausted},
		"breaks":                    {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errBroken)), 10, 100, 0, errBroken},
		"ends before its length":    {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, 100, 0, io.ErrUnexpectedEOF},
		"larger than all of memory": {strings.NewReader("0123456789"), 10, 5, 0, memory.ErrExhausted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := memory.New(c.budget)
			body, err := b.Request().Read(c.body, c.limit)
			if !errors.Is(err, c.err) || err == nil && len(body.Bytes) != c.want {
				t.Fatalf("body %v, error %v; want %d bytes, error %v", body, err, c.want, c.err)
			}
			body.Release()
			body.Release()
			if b.Available() != c.budget {
				t.Errorf("%d of %d bytes available, want all", b.Available(), c.budget)
			}
		})
	}
}
