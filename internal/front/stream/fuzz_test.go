package stream

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// Guards against streams whose events are changed, lost or joined, and against
// endless data that is kept in memory.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "data: x\r\n\r\n", ": \n\n: \n\n", "id:", "\n\n\n", "data: torn"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := newEventReader(bytes.NewReader(in), nil)
		defer r.close()
		var out []byte
		for {
			e, err := r.next()
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(in, out) {
					t.Errorf("stream %q read as %q", in, out)
				}
				break
			}
			if !bytes.HasPrefix(in[len(out):], e.bytes) || len(e.bytes) == 0 || len(e.bytes) > eventLimit {
				t.Fatalf("event %q of %q after %q", e.bytes, in, out)
			}
			out = append(out, e.bytes...)
		}
	})
}
