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
	out = m.bootstrap(out)
	if !m.bootstrapped && m.finishBootstrap(now) {
		if best := m.tracks[Document].candidate; best.Number > 0 {
			out = m.adopt(Document, best, out)
		}
	}
	for k := range m.tracks {
		out = m.read(now, Kind(k), out)
	}
	return m.fetch(now, out)
}

// Wake returns the time of the next Tick, zero for none.
func (m *Machine) Wake() time.Time {
	var w time.Time
	earlier := func(t time.Time) {
		if w.IsZero() || t.Before(w) {
			w = t
		}
	}
	for k := range m.tracks {
		if t := &m.tracks[k]; !t.readInFlight {
			earlier(t.nextRead)
		}
	}
	if !m.bootstrapped {
		earlier(m.started.Add(bootstrapTimeout))
	}
	if len(m.advertised) > 0 && len(m.fetching) == 0 {
		earlier(m.nextFetch)
	}
	return w
}

// read starts a read at the platform when one is due. Watchers use long polls; all
// others poll.
func (m *Machine) read(now time.Time, k Kind, out []Output) []Output {
	t := &m.tracks[k]
	if t.readInFlight || now.Before(t.nextRead) {
		return out
	}
	t.readInFlight, t.nextRead = true, now
	r := Read{Kind: k, After: t.current.Number}
	if (m.watching || t.current.Number == 0) && t.answered {
		r.After, r.Wait = max(t.current.Number, t.highestRejected()), watchTimeout
		// A long poll after a rejected number misses valid numbers below it.
		if now.After(t.nextFullRead) && r.After > t.current.Number {
			r.After, r.Wait = t.current.Number, 0
			t.nextFullRead = now.Add(m.pollDelay())
		}
	}
	return append(out, r)
}

// bootstrap makes a fresh daemon fetch from some listed peers, and from others in
// place of those that do not answer.
func (m *Machine) bootstrap(out []Output) []Output {
	if m.bootstrapped {
		return out
	}
	for m.bootstrapAnswers+len(m.fetching) < bootstrapPeers && len(m.bootstrapAsked) < bootstrapTries {
		names := []string{}
		for n := range m.domains {
			if n != m.self && !m.bootstrapAsked[n] {
				names = append(names, n)
			}
		}
		if len(names) == 0 {
			return out
		}
		slices.Sort(names)
		out = m.fetchFrom(names[m.rng.IntN(len(names))], out)
	}
	return out
}

func (m *Machine) fetchFrom(to string, out []Output) []Output {
	m.fetching[to] = true
	fresh := !m.bootstrapped
	if fresh {
		m.bootstrapAsked[to] = true
	}
	a := Fetch{To: to, Members: fresh}
	for k := range m.tracks {
		a.Current[k] = m.tracks[k].current.Number
	}
	return append(out, a)
}

// finishBootstrap ends the bootstrap when all answers are there or
// bootstrapTimeout has passed, and reports whether it has ended.
func (m *Machine) finishBootstrap(now time.Time) bool {
	if m.bootstrapped {
		return true
	}
	answered := m.tracks[Document].answered && m.tracks[List].answered
	// Without an instance list there is no peer to fetch from yet.
	fetched := len(m.domains) > 0 && len(m.fetching) == 0 && !m.hasPeerToAsk()
	m.bootstrapped = answered && fetched || now.Sub(m.started) >= bootstrapTimeout
	return m.bootstrapped
}

// hasPeerToAsk reports whether a fresh daemon is to fetch from another peer.
func (m *Machine) hasPeerToAsk() bool {
	if m.bootstrapAnswers >= bootstrapPeers || len(m.bootstrapAsked) >= bootstrapTries {
		return false
	}
	for n := range m.domains {
		if n != m.self && !m.bootstrapAsked[n] {
			return true
		}
	}
	return false
}

// fetch starts a fetch from a peer that advertises a newer number, one fetch at a
// time. The peer with the highest version is chosen, at random among equals, which
// balances the fetches.
func (m *Machine) fetch(now time.Time, out []Output) []Output {
	if len(m.fetching) > 0 || now.Before(m.nextFetch) {
		return out
	}
	best, names := versions{}, []string{}
	for name, n := range m.advertised {
		switch {
		case !m.anyNew(n):
			delete(m.advertised, name)
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
	return m.fetchFrom(names[m.rng.IntN(len(names))], out)
}

// backoff returns the delay before a retry, with jitter so that daemons that
// failed together do not retry together.
func (m *Machine) backoff(failures int) time.Duration {
	d := retryMin << min(failures-1, 10)
	return m.jitter(min(d, retryMax))
}

func (m *Machine) pollDelay() time.Duration { return m.jitter(pollInterval) }

// jitter returns a random time between three quarters and five quarters of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.rng.Int64N(int64(d/2)))
}
