// Package loop runs the control goroutine, the only one that accesses the state of
// the decision core. It also detects pauses of the process.
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
	// queueSize is the number of queued events. Goroutines that post to a full
	// queue block, which is backpressure on new requests.
	queueSize = 4096
	// maxTickInterval is the longest time between two iterations of an idle loop. It
	// is well below PauseLimit, so that a late tick does not count as a pause. At
	// 50 ms an idle daemon used 0.6% of a core, half of it for these iterations.
	maxTickInterval = 200 * time.Millisecond
	// PauseLimit is the time between two iterations above which the process counts
	// as paused. It is shorter than every reservation and lease lasts.
	PauseLimit = 500 * time.Millisecond
)

// Loop passes events to a state machine and executes the actions that it returns.
type Loop struct {
	machine  citronrock.Machine
	act      func(event.Action)
	clock    citronrock.Clock
	paused   func(time.Duration)
	after    func()
	injected []event.Event
	queue    chan item
	stop     chan struct{}
	done     chan struct{}
	once     sync.Once
	started  time.Time
	// lastIteration is the start of the last iteration, in nanoseconds since started.
	lastIteration atomic.Int64
	epoch         atomic.Uint64
}

type item struct {
	event event.Event
	call  func(time.Time)
	ran   chan struct{}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Option configures a Loop in New.
type Option func(*Loop)

// WithClock replaces the system clock.
func WithClock(c citronrock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithPaused sets a function that is called on the control goroutine after a
// process pause, with its duration.
func WithPaused(f func(time.Duration)) Option { return func(l *Loop) { l.paused = f } }

// WithAfter sets a function that is called on the control goroutine after each
// iteration.
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
		queue:   make(chan item, queueSize),
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

// Post queues an event and blocks while the queue is full. The event is dropped
// when the loop has ended.
func (l *Loop) Post(e event.Event) {
	select {
	case l.queue <- item{event: e}:
	case <-l.stop:
	}
}

// Inject adds an event that is applied in the same iteration. It must be called on
// the control goroutine, where Post would deadlock on a full queue.
func (l *Loop) Inject(e event.Event) { l.injected = append(l.injected, e) }

// Do runs f on the control goroutine and waits for it. It returns false if f did
// not run because the loop has ended.
func (l *Loop) Do(f func(now time.Time)) bool {
	ran := make(chan struct{})
	select {
	case l.queue <- item{call: f, ran: ran}:
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

// Epoch returns a number that grows with each process pause. An action that was
// decided in an older epoch must not be executed.
func (l *Loop) Epoch() uint64 { return l.epoch.Load() }

// Valid reports whether an action decided in epoch may still be executed: the
// process has not been paused since. A pause that the loop has not detected yet is
// recognised by the age of the last iteration.
func (l *Loop) Valid(epoch uint64) bool {
	sinceIteration := l.clock.Now().Sub(l.started) - time.Duration(l.lastIteration.Load())
	return epoch == l.epoch.Load() && sinceIteration <= PauseLimit
}

// Close ends the loop and waits for the control goroutine.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Loop) run() {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	var actions []event.Action
	for {
		var it item
		select {
		case <-l.stop:
			return
		case it = <-l.queue:
		case <-timer.C:
			it.event = event.Tick{}
		}
		now := l.clock.Now()
		actions = l.detectPause(now, actions[:0])
		actions = l.apply(now, it, actions)
		actions = l.applyInjected(now, actions)
		actions = l.tickIfDue(now, actions)
		for i, a := range actions {
			l.act(a)
			actions[i] = nil
		}
		l.after()
		timer.Reset(l.untilNextTick(now))
	}
}

// detectPause reports a pause to the machine if the last iteration is more than
// PauseLimit ago, and starts a new epoch.
func (l *Loop) detectPause(now time.Time, actions []event.Action) []event.Action {
	elapsed := now.Sub(l.started)
	gap := elapsed - time.Duration(l.lastIteration.Load())
	if gap > PauseLimit {
		l.epoch.Add(1)
		actions = l.machine.Step(now, event.Paused{Gap: gap}, actions)
		l.paused(gap)
	}
	l.lastIteration.Store(int64(elapsed))
	return actions
}

func (l *Loop) apply(now time.Time, it item, actions []event.Action) []event.Action {
	if it.call != nil {
		it.call(now)
		close(it.ran)
		return actions
	}
	return l.machine.Step(now, it.event, actions)
}

func (l *Loop) applyInjected(now time.Time, actions []event.Action) []event.Action {
	for i := 0; i < len(l.injected); i++ {
		actions = l.machine.Step(now, l.injected[i], actions)
	}
	clear(l.injected)
	l.injected = l.injected[:0]
	return actions
}

func (l *Loop) tickIfDue(now time.Time, actions []event.Action) []event.Action {
	if w := l.machine.Wake(); !w.IsZero() && !w.After(now) {
		return l.machine.Step(now, event.Tick{}, actions)
	}
	return actions
}

func (l *Loop) untilNextTick(now time.Time) time.Duration {
	w := l.machine.Wake()
	if w.IsZero() {
		return maxTickInterval
	}
	return max(0, min(maxTickInterval, w.Sub(now)))
}
