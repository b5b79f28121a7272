package flow

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
)

// cleanupKey identifies the part of a request that is on one engine.
type cleanupKey struct{ request, engine string }

// cleanup frees what an engine may hold for a request by Cancels, which it repeats
// until the engine confirms that it holds nothing. It may outlive the request.
type cleanup struct {
	timer
	cleanupKey
	// pendingCancels is the number of Cancels without an answer.
	pendingCancels int
	// restarted is true when the cleanup was started again, at restartedAt. Answers
	// arrive in any order, so they don't confirm anything until those to all
	// Cancels that may be older have arrived.
	restarted   bool
	restartedAt time.Duration
	// sent is the number of Cancels, unanswered the number of consecutive ones
	// without an answer.
	sent, unanswered int
	// confirmed is true once the engine has confirmed that it holds nothing. The
	// cleanup is kept while answers are missing, so that they aren't taken for
	// answers to the Cancels of a later one.
	confirmed bool
	// backingOff is true during the backoff before the next Cancel.
	backingOff bool
	prev, next *cleanup
}

// Limits of cleanups.
const (
	// cancelTimeout is the time within which an engine must answer a Cancel.
	cancelTimeout = 500 * time.Millisecond
	// maxCleanups bounds the number of cleanups. When it is reached, the oldest one
	// is dropped, and its reservation ends at the engine with its term.
	maxCleanups = 1 << 14
	// maxUnanswered is the number of consecutive unanswered Cancels after which the
	// cleanup of an engine that is no longer in the document is dropped. With
	// backoff they take about a minute.
	maxUnanswered = 60
	// lateAnswerTimeout is the time after which an answer to a Cancel is no longer
	// expected.
	lateAnswerTimeout = 5 * time.Second
)

// startCleanup starts to free what an engine holds for a request. A cleanup that is
// already running starts again, since its Cancels may have reached the engine
// before what is to be freed.
func (m *Machine) startCleanup(id, engine string) {
	key := cleanupKey{id, engine}
	if cl := m.cleanups[key]; cl != nil {
		cl.confirmed = false
		cl.restarted, cl.restartedAt = true, m.at
		m.sendCancel(cl)
		return
	}
	if len(m.cleanups) >= maxCleanups {
		m.dropCleanup(m.byAge.head)
	}
	cl := &cleanup{cleanupKey: key}
	cl.index, cl.forCleanup = -1, cl
	m.cleanups[key] = cl
	m.byAge.push(cl)
	m.sendCancel(cl)
}

func (m *Machine) sendCancel(cl *cleanup) {
	cl.pendingCancels++
	cl.sent++
	cl.backingOff = false
	m.emit(event.Cancel{
		Request: cl.request, Engine: cl.engine,
		Fence: m.engine(cl.engine).fencingToken, Fresh: cl.unanswered > 0,
	})
	m.timers.set(&cl.timer, m.at+cancelTimeout)
}

// onCleanupTimer handles the timer of a cleanup: the end of a backoff, of the wait
// for late answers or of that for the answer to a Cancel.
func (m *Machine) onCleanupTimer(cl *cleanup) {
	if cl.confirmed {
		m.dropCleanup(cl)
		return
	}
	if cl.restarted && m.at-cl.restartedAt >= lateAnswerTimeout {
		cl.restarted, cl.pendingCancels = false, 0
	}
	if cl.backingOff {
		m.sendCancel(cl)
		return
	}
	m.cancelTimedOut(cl)
}

// cancelTimedOut counts an unanswered Cancel and schedules the next one.
func (m *Machine) cancelTimedOut(cl *cleanup) {
	cl.unanswered++
	if cl.unanswered >= maxUnanswered && !m.engine(cl.engine).configured {
		m.dropCleanup(cl)
		return
	}
	m.backOffCancel(cl)
}

func (m *Machine) backOffCancel(cl *cleanup) {
	cl.backingOff = true
	m.timers.set(&cl.timer, m.at+retry.Backoff(cl.sent, m.random))
}

func (m *Machine) onCancelled(e event.Cancelled) {
	cl := m.cleanups[cleanupKey{e.Request, e.Engine}]
	if cl == nil {
		return
	}
	cl.pendingCancels = max(0, cl.pendingCancels-1)
	if cl.confirmed {
		m.endCleanup(cl)
		return
	}
	if cl.restarted && cl.pendingCancels == 0 {
		cl.restarted = false
		m.sendCancel(cl)
		return
	}
	if e.Fault != event.FaultNone {
		if !cl.backingOff {
			m.cancelTimedOut(cl)
		}
		return
	}
	cl.unanswered = 0
	if !cl.restarted && !e.Held {
		m.endCleanup(cl)
		return
	}
	if !cl.backingOff && cl.pendingCancels == 0 {
		m.backOffCancel(cl)
	}
}

// endCleanup ends a cleanup that the engine has confirmed, after the answers to all
// its Cancels have arrived or lateAnswerTimeout has passed.
func (m *Machine) endCleanup(cl *cleanup) {
	if cl.pendingCancels == 0 {
		m.dropCleanup(cl)
		return
	}
	if !cl.confirmed {
		cl.confirmed = true
		m.timers.set(&cl.timer, m.at+lateAnswerTimeout)
	}
}

func (m *Machine) dropCleanup(cl *cleanup) {
	m.timers.stop(&cl.timer)
	m.byAge.remove(cl)
	delete(m.cleanups, cl.cleanupKey)
}

// cleanupList is a linked list of cleanups, oldest first.
type cleanupList struct{ head, tail *cleanup }

func (q *cleanupList) push(cl *cleanup) {
	cl.prev = q.tail
	if q.tail != nil {
		q.tail.next = cl
	} else {
		q.head = cl
	}
	q.tail = cl
}

func (q *cleanupList) remove(cl *cleanup) {
	if cl.prev != nil {
		cl.prev.next = cl.next
	} else {
		q.head = cl.next
	}
	if cl.next != nil {
		cl.next.prev = cl.prev
	} else {
		q.tail = cl.prev
	}
	cl.prev, cl.next = nil, nil
}
