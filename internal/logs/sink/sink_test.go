package sink_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/sink"
)

// stuck is an output that nobody reads.
type stuck struct{ open chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.open
	return len(p), nil
}

// stuckFor is how long an output may be stuck without delaying a request.
const stuckFor = 10 * time.Second

// Guards against requests that wait for log lines: ten thousand failed requests
// are logged while nobody reads the output, and the lines that are lost are
// counted. A line that waited would wait for good, since the output opens only
// after the last one.
func TestStuckOutputDelaysNothing(t *testing.T) {
	out := stuck{make(chan struct{})}
	s := sink.New(out)
	log := lines.New(s, "test")
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for range 10000 {
			log.End(lines.Outcome{Request: "x", Result: "unknown", Status: 502})
		}
	}()
	select {
	case <-logged:
	case <-time.After(stuckFor):
		t.Errorf("lines wait for an output that is stuck for %v", stuckFor)
	}
	if s.Dropped() == 0 {
		t.Error("no line counts as lost")
	}
	close(out.open)
	<-logged
	s.Close()
	<-s.Done()
}

// guarded is a buffer that a test may read while it is written.
type guarded struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *guarded) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// Guards against a volume of lines that grows with the load, and against failed
// requests that leave no line.
func TestVolume(t *testing.T) {
	var out guarded
	s := sink.New(&out)
	left := 0
	log := lines.New(s, "test", lines.WithSuppressed(func() { left++ }))
	for range 1000 {
		log.End(lines.Outcome{Request: "good", Result: "ok", Status: 200})
	}
	for range 500 {
		log.End(lines.Outcome{Request: "bad", Result: "refused", Status: 503})
	}
	s.Close()
	<-s.Done()
	text := out.buf.String()
	if n := strings.Count(text, `"good"`); n == 0 || n > 100 || n+left != 1000 {
		t.Errorf("%d lines of 1000 good requests, %d left out", n, left)
	}
	if n := strings.Count(text, `"bad"`); n != 500 {
		t.Errorf("%d lines of 500 failed requests", n)
	}
}

// Measures the processor time of one line with and without the sink.
func BenchmarkEnd(b *testing.B) {
	for name, out := range map[string]io.Writer{"discard": io.Discard, "sink": sink.New(io.Discard)} {
		b.Run(name, func(b *testing.B) {
			log := lines.New(out, "bench")
			for b.Loop() {
				log.End(lines.Outcome{Request: "x", Result: "unknown", Status: 502})
			}
		})
	}
}
