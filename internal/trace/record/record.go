// Package record writes the events of the decision core as JSON lines, reads
// them, and replays them through a machine.
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
	// Start is the time that all offsets of the trace count from.
	Start time.Time
	// Seed is the seed of the decision core, zero for the one that flow.New
	// derives from name and incarnation.
	Seed uint64
	// Actions tells that the trace also holds the actions of each event.
	Actions bool
}

// Writer writes a trace. Add never blocks: events that find the buffer full are
// counted and not written, since the control loop must not wait for a file.
type Writer struct {
	head  Header
	queue chan entry
	done  chan struct{}
	// lock orders Add and Close, so that nothing is sent on a closed queue.
	lock   sync.Mutex
	closed bool
	lost   atomic.Uint64
	err    error
}

// entry is an event, or the actions that followed the event before.
type entry struct {
	at      time.Time
	e       event.Event
	actions []event.Action
}

// Option changes a new Writer.
type Option func(*options)

type options struct{ limit int }

// WithBufferSize sets how many events wait in the buffer at most; 4,096 unless given.
func WithBufferSize(events int) Option { return func(o *options) { o.limit = events } }

// New returns a writer to w. Close ends its goroutine.
func New(w io.Writer, h Header, opts ...Option) *Writer {
	o := options{limit: 4096}
	for _, f := range opts {
		f(&o)
	}
	t := &Writer{head: h, queue: make(chan entry, o.limit), done: make(chan struct{})}
	go func() {
		defer close(t.done)
		t.err = t.write(bufio.NewWriter(w))
	}()
	return t
}

// Add records an event. The event must not be changed afterwards.
func (t *Writer) Add(at time.Time, e event.Event) { t.put(entry{at: at, e: e}) }

// AddActions records the actions of the event that was added last. It does nothing
// unless the head says that the trace holds actions. The actions are copied;
// what they point to must not be changed afterwards.
func (t *Writer) AddActions(at time.Time, actions []event.Action) {
	if t.head.Actions && len(actions) > 0 {
		t.put(entry{at: at, actions: slices.Clone(actions)})
	}
}

func (t *Writer) put(n entry) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.closed {
		return
	}
	select {
	case t.queue <- n:
	default:
		t.lost.Add(1)
	}
}

// Dropped returns the number of events that found the buffer full.
func (t *Writer) Dropped() uint64 { return t.lost.Load() }

// Close writes what is buffered and returns the first error of the output.
func (t *Writer) Close() error {
	t.lock.Lock()
	if !t.closed {
		t.closed = true
		close(t.queue)
	}
	t.lock.Unlock()
	<-t.done
	return t.err
}

// write carries out all writing. After an error it drains the queue, so that
// events that follow count as lost and not as waiting.
func (t *Writer) write(w *bufio.Writer) error {
	out := json.NewEncoder(w)
	err := out.Encode(line{
		Event: kindStart, Name: t.head.Name, Incarnation: t.head.Incarnation,
		Time: t.head.Start.UnixNano(), Seed: t.head.Seed, Acts: t.head.Actions,
	})
	told := uint64(0)
	for n := range t.queue {
		if err == nil {
			told, err = t.one(out, n, told)
		}
		if err == nil && len(t.queue) == 0 {
			err = w.Flush()
		}
	}
	if err == nil {
		_, err = t.tellLost(out, t.head.Start, told)
	}
	if err == nil {
		err = w.Flush()
	}
	return eris.Wrap(err, "write the trace")
}

func (t *Writer) one(out *json.Encoder, n entry, told uint64) (uint64, error) {
	told, err := t.tellLost(out, n.at, told)
	if err != nil {
		return told, err
	}
	if n.e == nil {
		l, err := encodeActions(t.head.Start, n.at, n.actions)
		if err != nil {
			return told, err
		}
		return told, out.Encode(l)
	}
	l, err := encode(t.head.Start, n.at, n.e)
	if err != nil {
		return told, err
	}
	return told, out.Encode(l)
}

// tellLost writes how many events are missing, since a trace with a gap doesn't
// replay.
func (t *Writer) tellLost(out *json.Encoder, at time.Time, told uint64) (uint64, error) {
	lost := t.lost.Load()
	if lost == told {
		return told, nil
	}
	return lost, out.Encode(line{At: offset(t.head.Start, at), Event: kindLost, Count: lost - told})
}
