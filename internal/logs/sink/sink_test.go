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

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct{ open chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	return len(p), nil
}

// timeout is the time allowed for logging while the output is blocked.
const timeout = 10 * time.Second

// Guards against requests blocked by their log lines, and against dropped lines that
// are not counted: 10,000 failed requests are logged while the output is blocked.
// A write that blocks would never return, since the output is unblocked only after
// the last line.
func TestStuckOutputDelaysNothing(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
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
	case <-time.After(timeout):
		t.Errorf("logging was blocked for %v by a blocked output", timeout)
	}
	if s.Dropped() == 0 {
		t.Error("no dropped line was counted")
	}
	close(out.open)
	<-logged
	s.Close()
	<-s.Done()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *lockedBuffer) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// Guards against a log volume that grows with the rate of successful requests, and
// against failed requests without a log line.
func TestVolume(t *testing.T) {
	var out lockedBuffer
	s := sink.New(&out)
	suppressed := 0
	log := lines.New(s, "test", lines.WithSuppressed(func() { suppressed++ }))
	for range 1000 {
		log.End(lines.Outcome{Request: "good", Result: "ok", Status: 200})
	}
	for range 500 {
		log.End(lines.Outcome{Request: "bad", Result: "refused", Status: 503})
	}
	s.Close()
	<-s.Done()
	text := out.buf.String()
	if n := strings.Count(text, `"good"`); n == 0 || n > 100 || n+suppressed != 1000 {
		t.Errorf("%d lines of 1000 successful requests, %d suppressed", n, suppressed)
	}
	if n := strings.Count(text, `"bad"`); n != 500 {
		t.Errorf("%d lines of 500 failed requests", n)
	}
}

// BenchmarkEnd measures the time to log an End line, with and without the sink.
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
