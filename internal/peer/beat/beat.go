// Package beat finds the other daemons from a few seeds and tells which of them
// are alive, by gossip of heartbeat counters. It is a state machine without
// I/O; beat.Node drives it.
package beat

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times and sizes of the protocol.
const (
	// closeSize is the number of daemons up to which each tells all others.
	closeSize = 8
	// closeEvery and closeDead apply up to closeSize daemons: four lost
	// heartbeats in a row mean that a daemon is dead.
	closeEvery = 200 * time.Millisecond
	closeDead  = 900 * time.Millisecond
	// wideEvery, wideFanout and wideDead apply to more daemons. In wideDead a
	// daemon receives about 50 messages, so that at 100 daemons it misses all news
	// of a live one less than once in a thousand years.
	wideEvery  = 300 * time.Millisecond
	wideFanout = 3
	wideDead   = 5 * time.Second
	// sample is the number of members in one message, about 800 bytes.
	sample = 32
	// seedEvery is the number of rounds after which a seed is told again though
	// it is not known to be alive, so that separated groups meet.
	seedEvery = 5
	// lostFor is how long a silent daemon is still told now and then.
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
	// Count grows with each heartbeat.
	Count   uint64 `cbor:"4,keyasint"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
}

// newer tells whether m is later news of the same daemon than o.
func (m Member) newer(o Member) bool {
	return m.Start > o.Start || m.Start == o.Start && m.Count > o.Count
}

// Gossip is the message between daemons. The first member is the sender.
type Gossip struct {
	Members []Member `cbor:"1,keyasint"`
}

// Send asks for a message to be sent.
type Send struct {
	To     netip.AddrPort
	Gossip Gossip
}

type entry struct {
	Member
	// first is when this incarnation was first heard of, heard when its count
	// last grew.
	first, heard time.Time
}

// Table is the membership as one daemon sees it.
type Table struct {
	self  Member
	seeds []netip.AddrPort
	known map[netip.AddrPort]*entry
	rng   *rand.Rand
	round int
	begun time.Time
}

// New returns the table of a daemon.
func New(self Member, seeds []netip.AddrPort, seed uint64) *Table {
	return &Table{self: self, seeds: seeds, known: map[netip.AddrPort]*entry{},
		rng: rand.New(rand.NewPCG(seed, uint64(self.Start)))}
}

// Seeds replaces the seeds after a reload of the settings.
func (t *Table) Seeds(seeds []netip.AddrPort) { t.seeds = seeds }

// Leave makes the next heartbeats tell that this daemon stops.
func (t *Table) Leave() { t.self.Leaving = true }

// dead is the silence after which a daemon counts as dead.
func (t *Table) dead() time.Duration {
	if len(t.known) < closeSize {
		return closeDead
	}
	return wideDead
}

// Every is the time between heartbeats.
func (t *Table) Every() time.Duration {
	if len(t.known) < closeSize {
		return closeEvery
	}
	return wideEvery
}

// Tick returns the messages of one heartbeat.
func (t *Table) Tick(now time.Time) []Send {
	if t.begun.IsZero() {
		t.begun = now
	}
	t.round++
	t.self.Count++
	var live []netip.AddrPort
	var lost []netip.AddrPort
	for addr, e := range t.known {
		switch silent := now.Sub(e.heard); {
		case silent < t.dead():
			live = append(live, addr)
		case silent < lostFor:
			lost = append(lost, addr)
		default:
			delete(t.known, addr)
		}
	}
	sortAddrs(live)
	sortAddrs(lost)
	to := live
	if len(live) >= closeSize {
		t.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:wideFanout]
	}
	if t.round%seedEvery == 1 || len(live) == 0 {
		for _, s := range t.seeds {
			if s != t.self.Addr && !slices.Contains(to, s) {
				to = append(to, s)
			}
		}
		if len(lost) > 0 {
			to = append(to, lost[t.rng.IntN(len(lost))])
		}
	}
	out := make([]Send, 0, len(to))
	for _, addr := range to {
		out = append(out, Send{To: addr, Gossip: t.gossip(now)})
	}
	return out
}

func sortAddrs(a []netip.AddrPort) {
	slices.SortFunc(a, func(x, y netip.AddrPort) int { return x.Compare(y) })
}

// gossip returns this daemon and a sample of the live members.
func (t *Table) gossip(now time.Time) Gossip {
	members := []Member{t.self}
	var live []Member
	for _, e := range t.known {
		if now.Sub(e.heard) < t.dead() {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	t.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return Gossip{Members: append(members, live[:min(len(live), sample)]...)}
}

// Receive takes a message. It returns the daemons that are new to this one.
func (t *Table) Receive(now time.Time, g Gossip) []Member {
	var fresh []Member
	for _, m := range g.Members {
		if !m.Addr.IsValid() || m.Addr == t.self.Addr {
			continue
		}
		e := t.known[m.Addr]
		switch {
		case e == nil:
			t.known[m.Addr] = &entry{Member: m, first: now, heard: now}
			fresh = append(fresh, m)
		case m.newer(e.Member):
			if m.Start > e.Start {
				e.first = now
				fresh = append(fresh, m)
			}
			e.Member, e.heard = m, now
		}
	}
	return fresh
}

// Seen is a live daemon.
type Seen struct {
	Member
	// Mature daemons may own state.
	Mature bool
}

// Alive returns the live daemons, this one included, in order of address.
func (t *Table) Alive(now time.Time) []Seen {
	out := []Seen{{Member: t.self, Mature: !t.self.Leaving && now.Sub(t.begun) >= mature}}
	for _, e := range t.known {
		if now.Sub(e.heard) < t.dead() {
			out = append(out, Seen{Member: e.Member, Mature: !e.Leaving && now.Sub(e.first) >= mature})
		}
	}
	slices.SortFunc(out, func(a, b Seen) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Known returns the number of daemons that were alive within the last minute,
// this one included.
func (t *Table) Known() int { return len(t.known) + 1 }
