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

// begin makes a new call, with a token of d, a UUID of version 7 or another key.
func (w *world) begin(d *daemon, b uint32) {
	if !w.up(d) {
		return
	}
	w.made++
	c := &call{key: fmt.Sprintf("k%d", w.made)}
	switch {
	case w.agree || b%4 == 0:
		c.key = stamped(w.now.Add(time.Duration(int(b%2000)-1000)*time.Millisecond), w.made)
	case b%4 == 1:
		c.token = d.table.Issue(w.now, "t")
	}
	w.calls = append(w.calls, c)
	w.send(c, w.daemons[b>>2%fleet])
}

// stamped returns a UUID of version 7.
func stamped(made time.Time, n uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(made.UnixMilli())<<16)
	binary.BigEndian.PutUint64(u[8:], n)
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// send is one sending by the caller. It is a first one when all before it were
// answered not run.
func (w *world) send(c *call, edge *daemon) {
	s := &send{call: c, first: true}
	for _, old := range c.sends {
		s.first = s.first && old.told || w.agree
	}
	c.sends = append(c.sends, s)
	if !w.up(edge) {
		return
	}
	to, _ := edge.table.Homes(w.describe(s, s.first))
	if o, ok := once.ParseToken(c.token); ok {
		to = o.Instance
	}
	for _, d := range w.daemons {
		if d.name == to && d == edge {
			w.decide(d, s, s.first)
		} else if d.name == to {
			w.messages = append(w.messages, message{s, edge.index, d.index, s.first})
		}
	}
}

func (w *world) describe(s *send, first bool) once.Call {
	return once.Call{Tenant: "t", Service: "s", Key: s.call.key, Token: s.call.token, First: first, Window: w.limits.Window}
}

// network delivers, loses or repeats a message. An edge that repeats a message
// never repeats it as a first one.
func (w *world) network(a, b uint32) {
	m, ok := pick(w.messages, a)
	if !ok {
		return
	}
	i := int(a) % len(w.messages)
	switch b % 8 {
	case 0:
		w.messages = slices.Delete(w.messages, i, i+1)
		if m.first {
			w.say(m.send, citronrock.NotRun, b&16 != 0) // never written to a connection
		}
	case 1:
		m.send.copied = true
		w.messages = append(w.messages, message{m.send, m.from, m.to, false})
	default:
		if w.reach(w.daemons[m.from], w.daemons[m.to]) {
			w.messages = slices.Delete(w.messages, i, i+1)
			w.decide(w.daemons[m.to], m.send, m.first)
		}
	}
}

func (w *world) decide(d *daemon, s *send, first bool) {
	v := d.table.Begin(w.now, w.describe(s, first))
	switch v.Next {
	case once.Run:
		w.runs = append(w.runs, &run{at: d, table: d.table, id: v.ID, send: s})
	case once.Join:
		for _, r := range w.runs {
			if r.table == d.table && r.id == v.ID {
				r.joined = append(r.joined, s)
			}
		}
	case once.Refuse:
		w.say(s, v.Refusal.Kind, true)
	}
}

func (w *world) say(s *send, k citronrock.Kind, arrives bool) {
	if k != citronrock.NotRun || s.copied {
		return // an edge that has repeated a message answers unknown
	}
	for _, old := range s.call.sends {
		if old.ran && !w.agree {
			w.fault = "not run was said after that sending or one before it ran"
		}
		if old == s {
			break
		}
	}
	s.notrun = true
	s.told = s.told || arrives
}

func (w *world) execute(a uint32) {
	r, ok := pick(w.runs, a)
	if !ok || r.executed || !w.up(r.at) {
		return
	}
	r.executed, r.send.ran = true, true
	r.send.call.runs++
	if r.send.call.runs > 1 {
		w.fault = "a call ran twice"
	}
	if r.send.notrun && !w.agree {
		w.fault = "a sending that was answered not run has run"
	}
}

func (w *world) finish(a, b uint32) {
	r, ok := pick(w.runs, a)
	if !ok || !w.up(r.at) {
		return
	}
	w.runs = slices.Delete(w.runs, int(a)%len(w.runs), int(a)%len(w.runs)+1)
	o := once.Result{Status: 200, Body: make([]byte, b%64)}
	if b%4 == 0 {
		o = once.Result{Refusal: &citronrock.Error{Kind: citronrock.Unknown}}
	}
	if !r.executed {
		o = once.Result{Refusal: &citronrock.Error{Kind: citronrock.NotRun}}
		for _, s := range append(r.joined, r.send) {
			w.say(s, citronrock.NotRun, b&16 != 0)
		}
	}
	r.table.End(w.now, r.id, o)
}

// quiet ends pauses and runs and starts the dead, but keeps the partition.
func (w *world) quiet() {
	w.messages = nil
	for _, d := range w.daemons {
		if d.dead {
			w.boot(d)
		}
		if d.asleep {
			w.pause(d)
		}
	}
	for len(w.runs) > 0 {
		w.finish(0, 1)
	}
	w.now = w.now.Add(w.limits.Window + w.limits.TokenTTL)
}

// names returns the daemons by name.
func (w *world) names() map[string]*daemon {
	return maps.Collect(func(yield func(string, *daemon) bool) {
		for _, d := range w.daemons {
			if !yield(d.name, d) {
				return
			}
		}
	})
}
