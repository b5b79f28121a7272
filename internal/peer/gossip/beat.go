// Package gossip finds the other daemons from a few seeds and tells which of them
// are alive. A small fleet tells heartbeats to all; in a wide one each daemon
// probes its neighbours in the order of addresses and spreads what changed, so
// that the load of a daemon doesn't grow with the fleet. Table is a state
// machine without I/O; Node drives it.
package gossip

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times and sizes of the protocol.
const (
	// closeSize is the number of other daemons from which a fleet is wide.
	closeSize = 8
	// closeEvery and closeDead apply to a small fleet: four lost heartbeats in a
	// row mean that a daemon is dead.
	closeEvery = 200 * time.Millisecond
	closeDead  = 900 * time.Millisecond
	// wideEvery is the time between steps in a wide fleet.
	wideEvery = 250 * time.Millisecond
	// probed is the number of daemons that one daemon probes. Several daemons
	// probe each one, so that the death of some is still noticed.
	probed = 3
	// wideDead is the silence after which a probed daemon counts as dead, and
	// probeTries the number of probes in that time, so that lost datagrams don't
	// kill.
	wideDead   = 2 * time.Second
	probeTries = 6
	// fresh is the time for which a message shows that its sender answers.
	fresh = 3 * wideEvery
	// pauseLimit is the time between steps from which this daemon was paused, and
	// what it did not hear proves nothing.
	pauseLimit = time.Second
	// newsFanout daemons are told what changed in each step.
	newsFanout = 3
	// newsLimit bounds the members in one message, 500 bytes.
	newsLimit = 20
	// sample is the number of members in a message of a small fleet, about 800
	// bytes.
	sample = 32
	// exchangeEvery is the number of steps between questions to a random daemon
	// for all that it knows, which repair lost news.
	exchangeEvery = 80
	// youngEvery is the same for a daemon that is younger than youth, as it knows
	// few others that can tell it of the rest.
	youngEvery = 4
	youth      = 8 * time.Second
	// allLimit bounds the answer to such a question, about 10 KB.
	allLimit = 400
	// seedEvery is the number of steps after which seeds that are not known to be
	// alive are told again, so that separated groups meet. seedTellers daemons do
	// so in a wide fleet.
	seedEvery   = 5
	seedTellers = 8
	// lostFor is how long a dead daemon is still told now and then.
	lostFor = time.Minute
	// mature is the age from which a daemon may own state: by then the others
	// have reported to it.
	mature = time.Second
)

// Member is a daemon as told by gossip.
type Member struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	// Power is the share of a processor in hundredths.
	Power uint32 `cbor:"2,keyasint,omitempty"`
	// Start is the incarnation, the Unix time of the start in nanoseconds.
	Start int64 `cbor:"3,keyasint"`
	// Count grows with each heartbeat of a small fleet.
	Count   uint64 `cbor:"4,keyasint,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	// Dead tells that the daemon did not answer probes. It contradicts that by a
	// higher Round.
	Dead  bool   `cbor:"6,keyasint,omitempty"`
	Round uint32 `cbor:"7,keyasint,omitempty"`
}

// Message is the message between daemons. The first member is the sender.
type Message struct {
	Members []Member `cbor:"1,keyasint"`
	// Ping asks for an answer, All for one with all members.
	Ping bool `cbor:"2,keyasint,omitempty"`
	Full bool `cbor:"3,keyasint,omitempty"`
	// Sync tells that the members are no news, so that they need not be told on.
	Sync bool `cbor:"4,keyasint,omitempty"`
}

// Send asks for a message to be sent.
type Send struct {
	To      netip.AddrPort
	Message Message
}

type entry struct {
	Member
	// first is when this incarnation was first heard of, heard when its count
	// last grew or it last sent a message, and ended when it was found dead.
	first, heard, ended time.Time
	// asked is when the first probe was sent that is not answered, and tries the
	// number of those since.
	asked time.Time
	tries int
}

// answered notes that a probe is answered, or no longer counts.
func (e *entry) answered() { e.asked, e.tries = time.Time{}, 0 }

// Table is the membership as one daemon sees it.
type Table struct {
	self  Member
	seeds []netip.AddrPort
	known map[netip.AddrPort]*entry
	// news counts how often each change is still to be told.
	news map[netip.AddrPort]int
	// reach is the number of daemons that are probed.
	reach       int
	rng         *rand.Rand
	step        int
	begun, last time.Time
	wide        bool
}

// New returns the table of a daemon.
func New(self Member, seeds []netip.AddrPort, seed uint64) *Table {
	return &Table{self: self, seeds: seeds, known: map[netip.AddrPort]*entry{}, news: map[netip.AddrPort]int{},
		reach: probed, rng: rand.New(rand.NewPCG(seed, uint64(self.Start)))}
}

// SetSeeds replaces the seeds after a reload of the settings.
func (t *Table) SetSeeds(seeds []netip.AddrPort) { t.seeds = seeds }

// Leave makes the next messages tell that this daemon stops.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Round++
	t.announce(t.self.Addr)
}

// Interval is the time between steps.
func (t *Table) Interval() time.Duration {
	if t.wide {
		return wideEvery
	}
	return closeEvery
}

// lives reports whether a daemon is taken for alive.
func (t *Table) lives(now time.Time, e *entry) bool {
	if t.wide {
		return !e.Dead
	}
	return now.Sub(e.heard) < closeDead
}

// Tick returns the messages of one step.
func (t *Table) Tick(now time.Time) []Send {
	if t.begun.IsZero() {
		t.begun = now
	}
	paused := !t.last.IsZero() && now.Sub(t.last) > pauseLimit
	t.last = now
	t.step++
	t.self.Count++
	t.resize(now)
	live, lost := t.split(now)
	var out []Send
	if t.wide {
		out = t.tickWide(now, live, paused)
	} else {
		for _, addr := range live {
			out = append(out, Send{To: addr, Message: t.gossip(now, sample)})
		}
	}
	return append(out, t.search(now, live, lost)...)
}

// resize changes between the ways of small and wide fleets.
func (t *Table) resize(now time.Time) {
	wide := len(t.known) >= closeSize
	if t.wide && !wide {
		// Heartbeats begin again.
		for _, e := range t.known {
			if !e.Dead {
				e.heard = now
			}
		}
	}
	t.wide = wide
}

// split returns the live daemons and the lost ones in order of address, and
// forgets those that were lost long ago.
func (t *Table) split(now time.Time) (live, lost []netip.AddrPort) {
	for addr, e := range t.known {
		gone := now.Sub(e.heard)
		if t.wide {
			gone = now.Sub(e.ended)
		}
		switch {
		case t.lives(now, e):
			live = append(live, addr)
		case gone < lostFor:
			lost = append(lost, addr)
		default:
			delete(t.known, addr)
			delete(t.news, addr)
		}
	}
	sortAddrs(live)
	sortAddrs(lost)
	return live, lost
}

func sortAddrs(a []netip.AddrPort) {
	slices.SortFunc(a, func(x, y netip.AddrPort) int { return x.Compare(y) })
}

// search tells seeds that are not known to be alive, and a lost daemon.
func (t *Table) search(now time.Time, live, lost []netip.AddrPort) []Send {
	var out []Send
	if t.step%seedEvery != 1 && len(live) > 0 {
		return nil
	}
	for _, s := range t.seeds {
		teller := len(live) < seedTellers || t.rng.IntN(len(live)) < seedTellers
		if s != t.self.Addr && !slices.Contains(live, s) && teller {
			out = append(out, Send{To: s, Message: Message{Members: []Member{t.self}, Ping: true, Full: len(live) < closeSize}})
		}
	}
	if len(lost) > 0 {
		g := t.gossip(now, 0)
		g.Ping = true
		out = append(out, Send{To: lost[t.rng.IntN(len(lost))], Message: g})
	}
	return out
}

// gossip returns this daemon and a sample of the live members.
func (t *Table) gossip(now time.Time, size int) Message {
	var live []Member
	for _, e := range t.known {
		if t.lives(now, e) {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	t.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return Message{Members: append([]Member{t.self}, live[:min(len(live), size)]...)}
}

// all returns all that is known, or a part of it if that is too much.
func (t *Table) all() Message {
	g := Message{Members: []Member{t.self}, Sync: true}
	for _, e := range t.known {
		if g.Members = append(g.Members, e.Member); len(g.Members) > allLimit {
			break
		}
	}
	return g
}

// Receive takes a message and returns the answers.
func (t *Table) Receive(now time.Time, g Message) []Send {
	if len(g.Members) == 0 || !g.Members[0].Addr.IsValid() || g.Members[0].Addr == t.self.Addr {
		return nil
	}
	round := t.self.Round
	for i, m := range g.Members {
		t.merge(now, m, !g.Sync || i == 0)
	}
	from := g.Members[0].Addr
	e := t.known[from]
	e.heard = now
	e.answered()
	switch {
	case g.Full:
		return []Send{{To: from, Message: t.all()}}
	case g.Ping || round != t.self.Round || e.Dead:
		answer := t.tell()
		if e.Dead {
			answer.Members = append(answer.Members, e.Member) // it has to contradict
		}
		return []Send{{To: from, Message: answer}}
	}
	return nil
}

// merge takes a record of a member, and makes it spread if it is news.
func (t *Table) merge(now time.Time, m Member, news bool) {
	if !m.Addr.IsValid() {
		return
	}
	if m.Addr == t.self.Addr {
		if m.Start == t.self.Start && m.Dead && m.Round >= t.self.Round {
			t.self.Round = m.Round + 1
			t.announce(t.self.Addr)
		}
		return
	}
	e := t.known[m.Addr]
	if e == nil || m.Start > e.Start {
		t.known[m.Addr] = &entry{Member: m, first: now, heard: now, ended: now}
		if news {
			t.announce(m.Addr)
		}
		return
	}
	if m.Start < e.Start {
		return
	}
	if m.Count > e.Count {
		e.Count, e.Leaving, e.heard = m.Count, e.Leaving || m.Leaving, now
	}
	if m.Round > e.Round || m.Round == e.Round && m.Dead && !e.Dead {
		if m.Dead && !e.Dead {
			e.ended = now
		}
		e.Round, e.Dead, e.Leaving = m.Round, m.Dead, e.Leaving || m.Leaving
		e.answered()
		if news {
			t.announce(m.Addr)
		}
	}
}

// announce makes a change spread. Where each daemon tells it ten times, one in
// twenty thousand does not hear of it, and asks later.
func (t *Table) announce(addr netip.AddrPort) {
	t.news[addr] = newsFanout + bits.Len(uint(len(t.known)))
}

// LiveMember is a live daemon.
type LiveMember struct {
	Member
	// Mature daemons may own state.
	Mature bool
}

// Members tells which daemons are alive.
type Members interface {
	// Alive includes this daemon.
	Alive() []LiveMember
}

// Others returns the addresses of the live daemons but self.
func Others(m Members, self netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, other := range m.Alive() {
		if other.Addr != self {
			out = append(out, other.Addr)
		}
	}
	return out
}

// Alive returns the live daemons, this one included, in order of address.
func (t *Table) Alive(now time.Time) []LiveMember {
	out := []LiveMember{{Member: t.self, Mature: !t.self.Leaving && now.Sub(t.begun) >= mature}}
	for _, e := range t.known {
		if t.lives(now, e) {
			out = append(out, LiveMember{Member: e.Member, Mature: !e.Leaving && now.Sub(e.first) >= mature})
		}
	}
	slices.SortFunc(out, func(a, b LiveMember) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Known returns the number of daemons that were alive within the last minute,
// this one included.
func (t *Table) Known() int { return len(t.known) + 1 }
