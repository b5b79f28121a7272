package once_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/once"
	"github.com/google/uuid"
)

// begin sends the first attempt of a new call, with a token of d, a UUID of version
// 7 or another key.
func (sim *simulation) begin(d *daemon, b uint32) {
	if !sim.up(d) {
		return
	}
	sim.serial++
	c := &call{key: fmt.Sprintf("k%d", sim.serial)}
	switch {
	case sim.consistent || b%4 == 0:
		c.key = uuidv7(sim.now.Add(time.Duration(int(b%2000)-1000)*time.Millisecond), sim.serial)
	case b%4 == 1:
		c.token = d.table.Issue(sim.now, "t")
	}
	sim.calls = append(sim.calls, c)
	sim.send(c, sim.daemons[b>>2%fleet])
}

// uuidv7 returns a UUID of version 7.
func uuidv7(made time.Time, n uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(made.UnixMilli())<<16)
	binary.BigEndian.PutUint64(u[8:], n)
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// send makes one attempt. It is a first one when all attempts before it were
// answered as not run.
func (sim *simulation) send(c *call, edge *daemon) {
	s := &attempt{call: c, first: true}
	for _, old := range c.attempts {
		s.first = s.first && old.knowsNotRun || sim.consistent
	}
	c.attempts = append(c.attempts, s)
	if !sim.up(edge) {
		return
	}
	to, _ := edge.table.Homes(sim.describe(s, s.first))
	if o, ok := once.ParseToken(c.token); ok {
		to = o.Instance
	}
	for _, d := range sim.daemons {
		if d.name == to && d == edge {
			sim.decide(d, s, s.first)
		} else if d.name == to {
			sim.messages = append(sim.messages, message{s, edge.index, d.index, s.first})
		}
	}
}

func (sim *simulation) describe(s *attempt, first bool) once.Call {
	return once.Call{Tenant: "t", Service: "s", Key: s.call.key, Token: s.call.token, First: first, Window: sim.limits.Window}
}

// network delivers, loses or duplicates a message. An edge daemon never sends the
// duplicate as a first attempt.
func (sim *simulation) network(a, b uint32) {
	m, ok := pick(sim.messages, a)
	if !ok {
		return
	}
	i := int(a) % len(sim.messages)
	switch b % 8 {
	case 0:
		sim.messages = slices.Delete(sim.messages, i, i+1)
		if m.first {
			sim.deliverAnswer(m.attempt, citronrock.NotRun, b&16 != 0) // never written to a connection
		}
	case 1:
		m.attempt.duplicated = true
		sim.messages = append(sim.messages, message{m.attempt, m.from, m.to, false})
	default:
		if sim.reach(sim.daemons[m.from], sim.daemons[m.to]) {
			sim.messages = slices.Delete(sim.messages, i, i+1)
			sim.decide(sim.daemons[m.to], m.attempt, m.first)
		}
	}
}

func (sim *simulation) decide(d *daemon, s *attempt, first bool) {
	v := d.table.Begin(sim.now, sim.describe(s, first))
	switch v.Next {
	case once.Run:
		sim.runs = append(sim.runs, &run{daemon: d, table: d.table, id: v.ID, attempt: s})
	case once.Join:
		for _, r := range sim.runs {
			if r.table == d.table && r.id == v.ID {
				r.joined = append(r.joined, s)
			}
		}
	case once.Refuse:
		sim.deliverAnswer(s, v.Refusal.Kind, true)
	}
}

func (sim *simulation) deliverAnswer(s *attempt, k citronrock.Kind, arrives bool) {
	if k != citronrock.NotRun || s.duplicated {
		return // an edge daemon that has sent a message twice answers unknown
	}
	for _, old := range s.call.attempts {
		if old.ran && !sim.consistent {
			sim.violation = "an attempt was answered not run although it or an earlier one ran"
		}
		if old == s {
			break
		}
	}
	s.answeredNotRun = true
	s.knowsNotRun = s.knowsNotRun || arrives
}

func (sim *simulation) execute(a uint32) {
	r, ok := pick(sim.runs, a)
	if !ok || r.executed || !sim.up(r.daemon) {
		return
	}
	r.executed, r.attempt.ran = true, true
	r.attempt.call.runs++
	if r.attempt.call.runs > 1 {
		sim.violation = "a call ran twice"
	}
	if r.attempt.answeredNotRun && !sim.consistent {
		sim.violation = "an attempt that was answered not run has run"
	}
}

func (sim *simulation) finish(a, b uint32) {
	r, ok := pick(sim.runs, a)
	if !ok || !sim.up(r.daemon) {
		return
	}
	sim.runs = slices.Delete(sim.runs, int(a)%len(sim.runs), int(a)%len(sim.runs)+1)
	o := once.Result{Status: 200, Body: make([]byte, b%64)}
	if b%4 == 0 {
		o = once.Result{Refusal: &citronrock.Error{Kind: citronrock.Unknown}}
	}
	if !r.executed {
		o = once.Result{Refusal: &citronrock.Error{Kind: citronrock.NotRun}}
		for _, s := range append(r.joined, r.attempt) {
			sim.deliverAnswer(s, citronrock.NotRun, b&16 != 0)
		}
	}
	r.table.End(sim.now, r.id, o)
}

// stopFaults ends pauses and runs and restarts crashed daemons, but keeps the
// partition.
func (sim *simulation) stopFaults() {
	sim.messages = nil
	for _, d := range sim.daemons {
		if d.dead {
			sim.boot(d)
		}
		if d.paused {
			sim.pause(d)
		}
	}
	for len(sim.runs) > 0 {
		sim.finish(0, 1)
	}
	sim.now = sim.now.Add(sim.limits.Window + sim.limits.TokenTTL)
}

// byName returns the daemons by name.
func (sim *simulation) byName() map[string]*daemon {
	return maps.Collect(func(yield func(string, *daemon) bool) {
		for _, d := range sim.daemons {
			if !yield(d.name, d) {
				return
			}
		}
	})
}
