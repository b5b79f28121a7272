package member

import (
	"fmt"
	"testing"
	"time"
)

// mesh connects machines over links with a delay of a millisecond.
type mesh struct {
	now     time.Time
	nodes   map[string]*Machine
	stopped string
	queue   []flight
}

type flight struct {
	at time.Time
	Send
}

const linkDelay = time.Millisecond

func newMesh(n int, seed uint64) *mesh {
	m := &mesh{now: start, nodes: map[string]*Machine{}}
	var list []Daemon
	for i := range n {
		list = append(list, Daemon{Name: fmt.Sprint("d", i)})
	}
	for i, l := range list {
		node := New(l.Name, uint64(i+1), seed*100+uint64(i))
		m.nodes[l.Name] = node
		m.send(node.SetDaemons(m.now, list, nil))
	}
	return m
}

func (m *mesh) send(out []Output) {
	for _, o := range out {
		if s, ok := o.(Send); ok {
			m.queue = append(m.queue, flight{m.now.Add(linkDelay), s})
		}
	}
}

// runUntil steps the machines until done holds or limit has passed.
func (m *mesh) runUntil(limit time.Duration, done func() bool) time.Duration {
	begun := m.now
	for !done() && m.now.Sub(begun) < limit {
		m.now = m.now.Add(linkDelay)
		for len(m.queue) > 0 && !m.now.Before(m.queue[0].at) {
			f := m.queue[0]
			m.queue = m.queue[1:]
			if f.To != m.stopped {
				m.send(m.nodes[f.To].Receive(m.now, f.Packet, nil))
			}
		}
		for name, node := range m.nodes {
			if name != m.stopped && !m.now.Before(node.Wake()) {
				m.send(node.Tick(m.now, nil))
			}
		}
	}
	return m.now.Sub(begun)
}

// countStillAlive counts the machines in which the stopped daemon is still alive.
func (m *mesh) countStillAlive() int {
	n := 0
	for name, node := range m.nodes {
		if _, alive := node.Alive()[m.stopped]; alive && name != m.stopped {
			n++
		}
	}
	return n
}

// Guards against a death that is detected up to a second late, when the daemons
// that ping a peer in successive seconds do so at different parts of a second.
func TestDeathIsNoticed(t *testing.T) {
	const limit = probeInterval + suspicionTimeout + 2*flushInterval
	for seed := range uint64(40) {
		m := newMesh(5, seed)
		m.runUntil(20*time.Second+time.Duration(seed)*37*time.Millisecond, func() bool { return false })
		m.stopped = fmt.Sprint("d", seed%5)
		if took := m.runUntil(20*time.Second, func() bool { return m.countStillAlive() == 0 }); took > limit {
			t.Errorf("seed %d: death detected by all after %v, want %v at most", seed, took, limit)
		}
	}
}
