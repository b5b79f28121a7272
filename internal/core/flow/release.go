package flow

import (
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
)

// place names a request on an engine.
type place struct{ request, engine string }

// release frees what an engine may hold of a request. It lives until the engine
// confirms, also after the request was answered.
type release struct {
	timer
	place
	// open is the number of Cancels without an answer.
	open int
	// again is set when there is more to free, at the time late: answers don't
	// count until all of those that may be older are in. They come in any order.
	again bool
	late  time.Duration
	// sent is the number of Cancels, silent those in a row without an answer.
	sent, silent int
	// free is true once the engine has confirmed. The entry stays while answers
	// are open, so that they aren't taken for those of later Cancels.
	free bool
	// resting is true between an answer and the next Cancel.
	resting    bool
	prev, next *release
}

// Limits of releases.
const (
	// cancelWait is how long an engine may take to answer a Cancel.
	cancelWait = 500 * time.Millisecond
	// maxReleases bounds the background entries. When it is reached, the oldest
	// is given up; its reservation ends at the engine with its term.
	maxReleases = 1 << 14
	// forgetAfter is the number of silent Cancels after which an engine that is
	// in no document any more is given up. With backoff that is about a minute.
	forgetAfter = 60
	// answerMost is when a Cancel's answer is no longer expected.
	answerMost = 5 * time.Second
)

// release starts to free a request on an engine. A release that is open already
// starts again, since its Cancels may precede what is to be freed.
func (m *Machine) release(id, engine string) {
	p := place{id, engine}
	if l := m.releases[p]; l != nil {
		l.free = false
		l.again, l.late = true, m.at
		m.cancel(l)
		return
	}
	if len(m.releases) >= maxReleases {
		m.forget(m.oldest.head)
	}
	l := &release{place: p}
	l.pos, l.rel = -1, l
	m.releases[p] = l
	m.oldest.push(l)
	m.cancel(l)
}

func (m *Machine) cancel(l *release) {
	l.open++
	l.sent++
	l.resting = false
	m.emit(event.Cancel{
		Request: l.request, Engine: l.engine,
		Fence: m.engine(l.engine).fence, Fresh: l.silent > 0,
	})
	m.timers.set(&l.timer, m.at+cancelWait)
}

// repeat handles the timer of a release: the end of a backoff or a Cancel that
// was not answered in time.
func (m *Machine) repeat(l *release) {
	if l.free {
		m.forget(l)
		return
	}
	if l.again && m.at-l.late >= answerMost {
		l.again, l.open = false, 0
	}
	if l.resting {
		m.cancel(l)
		return
	}
	m.unheard(l)
}

// unheard counts a Cancel without an answer and plans the next.
func (m *Machine) unheard(l *release) {
	l.silent++
	if l.silent >= forgetAfter && !m.engine(l.engine).known {
		m.forget(l)
		return
	}
	m.backOff(l)
}

func (m *Machine) backOff(l *release) {
	l.resting = true
	m.timers.set(&l.timer, m.at+retry.Backoff(l.sent, m.rnd))
}

func (m *Machine) cancelled(e event.Cancelled) {
	l := m.releases[place{e.Request, e.Engine}]
	if l == nil {
		return
	}
	l.open = max(0, l.open-1)
	if l.free {
		m.confirm(l)
		return
	}
	if l.again && l.open == 0 {
		l.again = false
		m.cancel(l)
		return
	}
	if e.Fault != event.FaultNone {
		if !l.resting {
			m.unheard(l)
		}
		return
	}
	l.silent = 0
	if !l.again && !e.Held {
		m.confirm(l)
		return
	}
	if !l.resting && l.open == 0 {
		m.backOff(l)
	}
}

// confirm ends a release that the engine has confirmed.
func (m *Machine) confirm(l *release) {
	if l.open == 0 {
		m.forget(l)
		return
	}
	if !l.free {
		l.free = true
		m.timers.set(&l.timer, m.at+answerMost)
	}
}

func (m *Machine) forget(l *release) {
	m.timers.stop(&l.timer)
	m.oldest.remove(l)
	delete(m.releases, l.place)
}

// releaseList orders the releases by age.
type releaseList struct{ head, tail *release }

func (q *releaseList) push(l *release) {
	l.prev = q.tail
	if q.tail != nil {
		q.tail.next = l
	} else {
		q.head = l
	}
	q.tail = l
}

func (q *releaseList) remove(l *release) {
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		q.head = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	} else {
		q.tail = l.prev
	}
	l.prev, l.next = nil, nil
}
