// Package sink writes log lines in the background, so that a standard output
// that nobody reads delays no request.
package sink

import (
	"bytes"
	"io"
	"sync/atomic"
)

const (
	// depth is the number of lines that wait, about half a megabyte.
	depth = 2048
	// batch is the size in bytes up to which lines are joined in one write.
	batch = 16 << 10
)

// Sink is an io.Writer that never blocks. Lines that find the queue full are
// dropped and counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, depth), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(out)
	}()
	return s
}

// Write queues a line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() + s.failed.Load() }

func (s *Sink) run(out io.Writer) {
	var joined bytes.Buffer
	for {
		select {
		case line := <-s.lines:
			joined.Write(line)
		case <-s.stop:
			s.drain(&joined)
			s.flush(out, &joined)
			return
		}
		s.drain(&joined)
		s.flush(out, &joined)
	}
}

// drain joins the lines that wait.
func (s *Sink) drain(joined *bytes.Buffer) {
	for joined.Len() < batch {
		select {
		case line := <-s.lines:
			joined.Write(line)
		default:
			return
		}
	}
}

func (s *Sink) flush(out io.Writer, joined *bytes.Buffer) {
	if _, err := out.Write(joined.Bytes()); err != nil {
		s.failed.Add(1)
	}
	joined.Reset()
}

// Close writes what waits and ends the sink. It does not wait for a blocked
// output.
func (s *Sink) Close() {
	close(s.stop)
}

// Done is closed when everything is written.
func (s *Sink) Done() <-chan struct{} { return s.done }
