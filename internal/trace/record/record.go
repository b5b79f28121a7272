// Package record writes traces, which hold the events of the decision core as JSON
// lines, reads them, and replays them through a state machine.
package record

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/core/event"
)

// Header identifies the daemon whose events a trace holds.
type Header struct {
	Name        string
	Incarnation uint64
	// Start is the time to which all times in the trace are relative.
	Start time.Time
	// Seed is the seed of the decision core; 0 means the seed that flow.New derives
	// from the name and the incarnation.
	Seed uint64
	// Actions is set if the trace also holds the actions of each event.
	Actions bool
}

// Writer writes a trace in the background. Add never blocks, since the control loop
// must not wait for a file: events that arrive while the buffer is full are dropped
// and counted. It is safe for concurrent use.
type Writer struct {
	head  Header
	queue chan entry
	done  chan struct{}
	// mu serializes Add and Close, so that nothing is sent on a closed channel.
	mu      sync.Mutex
	closed  bool
	dropped atomic.Uint64
	err     error
}

// entry is an event or, if e is nil, the actions of the preceding event.
type entry struct {
	at      time.Time
	event   event.Event
	actions []event.Action
}

// Option sets an option of a Writer.
type Option func(*options)

type options struct{ bufferSize int }

// WithBufferSize sets the capacity of the buffer in events; the default is 4,096.
func WithBufferSize(events int) Option { return func(o *options) { o.bufferSize = events } }

// New returns a Writer that writes to w, in a goroutine that Close ends.
func New(w io.Writer, h Header, opts ...Option) *Writer {
	o := options{bufferSize: 4096}
	for _, f := range opts {
		f(&o)
	}
	t := &Writer{head: h, queue: make(chan entry, o.bufferSize), done: make(chan struct{})}
	go func() {
		defer close(t.done)
		t.err = t.write(bufio.NewWriter(w))
	}()
	return t
}

// Add records an event, which must not be modified afterwards. It does nothing after
// Close.
func (t *Writer) Add(at time.Time, e event.Event) { t.enqueue(entry{at: at, event: e}) }

// AddActions records the actions of the event that was added last. It does nothing
// unless the header says that the trace holds actions. The slice is copied; what the
// actions point to must not be modified afterwards.
func (t *Writer) AddActions(at time.Time, actions []event.Action) {
	if t.head.Actions && len(actions) > 0 {
		t.enqueue(entry{at: at, actions: slices.Clone(actions)})
	}
}

func (t *Writer) enqueue(n entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	select {
	case t.queue <- n:
	default:
		t.dropped.Add(1)
	}
}

// Dropped returns the number of entries that were dropped because the buffer was full.
func (t *Writer) Dropped() uint64 { return t.dropped.Load() }

// Close writes the buffered events, ends the goroutine and returns the first error
// of encoding or of the output.
func (t *Writer) Close() error {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		close(t.queue)
	}
	t.mu.Unlock()
	<-t.done
	return t.err
}

// write writes the header and then all entries until the queue is closed. After an
// error it discards entries, so that the queue does not fill up.
func (t *Writer) write(w *bufio.Writer) error {
	out := json.NewEncoder(w)
	err := out.Encode(line{
		Event: kindStart, Name: t.head.Name, Incarnation: t.head.Incarnation,
		Time: t.head.Start.UnixNano(), Seed: t.head.Seed, HasActions: t.head.Actions,
	})
	reported := uint64(0)
	for n := range t.queue {
		if err == nil {
			reported, err = t.writeEntry(out, n, reported)
		}
		if err == nil && len(t.queue) == 0 {
			err = w.Flush()
		}
	}
	if err == nil {
		_, err = t.writeDropped(out, t.head.Start, reported)
	}
	if err == nil {
		err = w.Flush()
	}
	return eris.Wrap(err, "cannot write the trace")
}

func (t *Writer) writeEntry(out *json.Encoder, n entry, reported uint64) (uint64, error) {
	reported, err := t.writeDropped(out, n.at, reported)
	if err != nil {
		return reported, err
	}
	if n.event == nil {
		l, err := encodeActions(t.head.Start, n.at, n.actions)
		if err != nil {
			return reported, err
		}
		return reported, out.Encode(l)
	}
	l, err := encode(t.head.Start, n.at, n.event)
	if err != nil {
		return reported, err
	}
	return reported, out.Encode(l)
}

// writeDropped writes a line with the number of entries dropped since the last such
// line, since a trace cannot be replayed beyond a gap.
func (t *Writer) writeDropped(out *json.Encoder, at time.Time, reported uint64) (uint64, error) {
	dropped := t.dropped.Load()
	if dropped == reported {
		return reported, nil
	}
	return dropped, out.Encode(line{At: offset(t.head.Start, at), Event: kindDropped, Count: dropped - reported})
}
