// Package loop runs the control goroutine, the only one that touches the state
// of the decision core.
package loop

import (
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
)

// Limits of the loop.
const (
	// queueSize bounds events that wait. Traffic goroutines block when it is
	// full, which slows the intake of requests.
	queueSize = 4096
	// beat is the longest time between two turns of a running loop. It leaves room
	// below PauseLimit; at 50 ms an idle daemon took 0.6% of a core, of which the
	// turns were half.
	beat = 200 * time.Millisecond
	// PauseLimit is the time between two turns above which the process counts
	// as paused. It is below the term of every reservation and grant.
	PauseLimit = 500 * time.Millisecond
)

// Loop feeds a state machine and hands its actions on.
type Loop struct {
	machine citronrock.Machine
	act     func(event.Action)
	clock   citronrock.Clock
	paused  func(time.Duration)
	after   func()
	pending []event.Event
	in      chan item
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	started time.Time
	// turn is the time of the last turn as time since started.
	turn  atomic.Int64
	epoch atomic.Uint64
}

type item struct {
	event event.Event
	call  func(time.Time)
	ran   chan struct{}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Option changes a Loop under construction.
type Option func(*Loop)

// WithClock replaces the system clock.
func WithClock(c citronrock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithPaused adds a function that is called on the control goroutine after a
// pause, with its length.
func WithPaused(f func(time.Duration)) Option { return func(l *Loop) { l.paused = f } }

// WithAfter adds a function that is called on the control goroutine after each
// turn.
func WithAfter(f func()) Option { return func(l *Loop) { l.after = f } }

// New starts a loop for machine. It calls act on the control goroutine for each
// action; act must not block.
func New(machine citronrock.Machine, act func(event.Action), opts ...Option) *Loop {
	l := &Loop{
		machine: machine,
		act:     act,
		clock:   systemClock{},
		paused:  func(time.Duration) {},
		after:   func() {},
		in:      make(chan item, queueSize),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	l.started = l.clock.Now()
	go func() {
		defer close(l.done)
		l.run()
	}()
	return l
}

// Post queues an event. It is dropped when the loop has ended.
func (l *Loop) Post(e event.Event) {
	select {
	case l.in <- item{event: e}:
	case <-l.stop:
	}
}

// Inject queues an event on the control goroutine itself, where Post could wait
// for its own reader. The event is applied in the same turn.
func (l *Loop) Inject(e event.Event) { l.pending = append(l.pending, e) }

// Do runs f on the control goroutine and waits for it.
func (l *Loop) Do(f func(now time.Time)) bool {
	ran := make(chan struct{})
	select {
	case l.in <- item{call: f, ran: ran}:
	case <-l.stop:
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Epoch grows with each pause. An action of an older epoch is void.
func (l *Loop) Epoch() uint64 { return l.epoch.Load() }

// Valid tells whether an order decided in epoch may still be sent: the process
// has not been paused since, as far as the time of the last turn shows.
func (l *Loop) Valid(epoch uint64) bool {
	since := l.clock.Now().Sub(l.started) - time.Duration(l.turn.Load())
	return epoch == l.epoch.Load() && since <= PauseLimit
}

// Close ends the loop and waits for the control goroutine.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Loop) run() {
	timer := time.NewTimer(beat)
	defer timer.Stop()
	var actions []event.Action
	for {
		var it item
		select {
		case <-l.stop:
			return
		case it = <-l.in:
		case <-timer.C:
			it.event = event.Tick{}
		}
		now := l.clock.Now()
		actions = l.notePause(now, actions[:0])
		actions = l.apply(now, it, actions)
		actions = l.flush(now, actions)
		actions = l.tick(now, actions)
		for i, a := range actions {
			l.act(a)
			actions[i] = nil
		}
		l.after()
		timer.Reset(l.wait(now))
	}
}

// notePause compares the time with that of the last turn.
func (l *Loop) notePause(now time.Time, out []event.Action) []event.Action {
	elapsed := now.Sub(l.started)
	gap := elapsed - time.Duration(l.turn.Load())
	if gap > PauseLimit {
		l.epoch.Add(1)
		out = l.machine.Step(now, event.Paused{Gap: gap}, out)
		l.paused(gap)
	}
	l.turn.Store(int64(elapsed))
	return out
}

func (l *Loop) apply(now time.Time, it item, out []event.Action) []event.Action {
	if it.call != nil {
		it.call(now)
		close(it.ran)
		return out
	}
	return l.machine.Step(now, it.event, out)
}

func (l *Loop) flush(now time.Time, out []event.Action) []event.Action {
	for i := 0; i < len(l.pending); i++ {
		out = l.machine.Step(now, l.pending[i], out)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
	return out
}

func (l *Loop) tick(now time.Time, out []event.Action) []event.Action {
	if w := l.machine.Wake(); !w.IsZero() && !w.After(now) {
		return l.machine.Step(now, event.Tick{}, out)
	}
	return out
}

func (l *Loop) wait(now time.Time) time.Duration {
	w := l.machine.Wake()
	if w.IsZero() {
		return beat
	}
	return max(0, min(beat, w.Sub(now)))
}
