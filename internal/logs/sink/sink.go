// Package sink writes log lines in the background, so that a blocked standard
// output delays no request.
package sink

import (
	"bytes"
	"io"
	"sync/atomic"
)

const (
	// queueLines is the queue's capacity in lines, about half a megabyte.
	queueLines = 2048
	// batchBytes is the size in bytes at which a write takes no further lines.
	batchBytes = 16 << 10
)

// Sink is an io.Writer that queues lines and never blocks. Lines that arrive while
// the queue is full are dropped and counted. It is safe for concurrent use.
type Sink struct {
	queue   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out, in a goroutine that Close ends.
func New(out io.Writer) *Sink {
	s := &Sink{queue: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(out)
	}()
	return s
}

// Write queues a copy of a line, or drops the line if the queue is full. It always
// returns the length of the line and no error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped at a full queue, plus the number of
// failed writes to the output.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() + s.failed.Load() }

func (s *Sink) run(out io.Writer) {
	var batch bytes.Buffer
	for {
		select {
		case line := <-s.queue:
			batch.Write(line)
		case <-s.stop:
			for len(s.queue) > 0 {
				s.drain(&batch)
				s.flush(out, &batch)
			}
			return
		}
		s.drain(&batch)
		s.flush(out, &batch)
	}
}

// drain appends queued lines to batch up to the batch size.
func (s *Sink) drain(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line := <-s.queue:
			batch.Write(line)
		default:
			return
		}
	}
}

func (s *Sink) flush(out io.Writer, batch *bytes.Buffer) {
	if _, err := out.Write(batch.Bytes()); err != nil {
		s.failed.Add(1)
	}
	batch.Reset()
}

// Close makes the sink write the queued lines and end. It returns at once, so that a blocked output does not delay it; Done reports the end. It must
// be called only once.
func (s *Sink) Close() {
	close(s.stop)
}

// Done returns a channel that is closed after the last write.
func (s *Sink) Done() <-chan struct{} { return s.done }
