package dissem

import (
	"slices"
	"time"
)

// Tick starts the reads and fetches that are due.
func (m *Machine) Tick(now time.Time, out []Output) []Output {
	if m.started.IsZero() {
		m.started = now
	}
	out = m.greet(out)
	if !m.settled && m.settle(now) {
		if best := m.tracks[Document].best; best.Number > 0 {
			out = m.take(Document, best, out)
		}
	}
	for k := range m.tracks {
		out = m.read(now, Kind(k), out)
	}
	return m.ask(now, out)
}

// Wake returns when Tick is wanted next, zero for none.
func (m *Machine) Wake() time.Time {
	var w time.Time
	earlier := func(t time.Time) {
		if w.IsZero() || t.Before(w) {
			w = t
		}
	}
	for k := range m.tracks {
		if t := &m.tracks[k]; !t.reading {
			earlier(t.readAt)
		}
	}
	if !m.settled {
		earlier(m.started.Add(freshFor))
	}
	if len(m.shown) > 0 && len(m.asking) == 0 {
		earlier(m.askAt)
	}
	return w
}

// read starts a read at the platform when one is due. Watchers leave theirs
// pending; all others poll.
func (m *Machine) read(now time.Time, k Kind, out []Output) []Output {
	t := &m.tracks[k]
	if t.reading || now.Before(t.readAt) {
		return out
	}
	t.reading, t.readAt = true, now
	r := Read{Kind: k, After: t.have.Number}
	if (m.watching || t.have.Number == 0) && t.answered {
		r.After, r.Wait = max(t.have.Number, t.rejected()), watchFor
		// Numbers below a rejected one are only found without regard to it.
		if now.After(t.wholeAt) && r.After > t.have.Number {
			r.After, r.Wait = t.have.Number, 0
			t.wholeAt = now.Add(m.poll())
		}
	}
	return append(out, r)
}

// greet asks some listed peers what they have when the daemon is fresh, and
// others in place of those that do not answer.
func (m *Machine) greet(out []Output) []Output {
	if m.settled {
		return out
	}
	for m.heard+len(m.asking) < freshAsks && len(m.asked) < freshTries {
		names := []string{}
		for n := range m.domains {
			if n != m.self && !m.asked[n] {
				names = append(names, n)
			}
		}
		if len(names) == 0 {
			return out
		}
		slices.Sort(names)
		out = m.send(names[m.rng.IntN(len(names))], out)
	}
	return out
}

func (m *Machine) send(to string, out []Output) []Output {
	m.asking[to] = true
	fresh := !m.settled
	if fresh {
		m.asked[to] = true
	}
	a := Fetch{To: to, Members: fresh}
	for k := range m.tracks {
		a.Current[k] = m.tracks[k].have.Number
	}
	return append(out, a)
}

// settle tells whether a fresh daemon has heard all it asked, or has waited
// long enough.
func (m *Machine) settle(now time.Time) bool {
	if m.settled {
		return true
	}
	answered := m.tracks[Document].answered && m.tracks[List].answered
	// Without a list or a shown number there is nobody to ask yet.
	greeted := len(m.domains) > 0 && len(m.asking) == 0 && !m.more()
	m.settled = answered && greeted || now.Sub(m.started) >= freshFor
	return m.settled
}

// more tells whether another peer is to be asked by a fresh daemon.
func (m *Machine) more() bool {
	if m.heard >= freshAsks || len(m.asked) >= freshTries {
		return false
	}
	for n := range m.domains {
		if n != m.self && !m.asked[n] {
			return true
		}
	}
	return false
}

// ask fetches from a peer that shows a higher number, one at a time. The
// highest version wins; among equals the choice is random, which spreads the
// fetches.
func (m *Machine) ask(now time.Time, out []Output) []Output {
	if len(m.asking) > 0 || now.Before(m.askAt) {
		return out
	}
	best, names := numbers{}, []string{}
	for name, n := range m.shown {
		switch {
		case !m.wanted(n):
			delete(m.shown, name)
		case n[Document] > best[Document] || n[Document] == best[Document] && n[List] > best[List]:
			best, names = n, append(names[:0], name)
		case n == best:
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return out
	}
	slices.Sort(names)
	return m.send(names[m.rng.IntN(len(names))], out)
}

// backoff returns the time before a retry, with jitter so that daemons that
// failed together do not return together.
func (m *Machine) backoff(failures int) time.Duration {
	d := retryMin << min(failures-1, 10)
	return m.jitter(min(d, retryMax))
}

func (m *Machine) poll() time.Duration { return m.jitter(pollEvery) }

// jitter returns between three quarters and five quarters of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.rng.Int64N(int64(d/2)))
}
