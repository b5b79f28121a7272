// Package gossip keeps the membership of the daemons: it discovers them from a few
// seeds and detects which are alive. In a small fleet each daemon sends heartbeats
// to all others. In a wide one each daemon pings its neighbours in address order
// and gossips changes, so that the load of a daemon doesn't grow with the fleet.
// Table is a state machine without I/O; Node runs it.
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
	// wideThreshold is the number of other daemons from which a fleet is wide.
	wideThreshold = 8
	// heartbeatInterval and heartbeatTimeout apply to a small fleet: a daemon is dead
	// after four lost heartbeats in a row.
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 900 * time.Millisecond
	// wideInterval is the time between ticks in a wide fleet.
	wideInterval = 250 * time.Millisecond
	// probeTargets is the number of neighbours that a daemon pings. Each daemon is
	// pinged by several others, so that its death is detected although some of them
	// died too.
	probeTargets = 3
	// probeTimeout is the silence after which a pinged daemon is declared dead, if at
	// least minProbes pings were sent in that time, so that lost datagrams don't make
	// a live daemon dead.
	probeTimeout = 2 * time.Second
	minProbes    = 6
	// answerWindow is the time for which a received message shows that its sender
	// answers.
	answerWindow = 3 * wideInterval
	// pauseThreshold is the time between ticks from which this process was paused:
	// silence of the others during the pause proves nothing.
	pauseThreshold = time.Second
	// gossipFanout is the number of random daemons that get the pending changes in
	// each tick.
	gossipFanout = 3
	// gossipLimit bounds the members in one message, 500 bytes.
	gossipLimit = 20
	// sampleSize is the number of members in a heartbeat, about 800 bytes.
	sampleSize = 32
	// syncEvery is the number of ticks between full-state requests to a random
	// daemon. They are the anti-entropy that repairs lost gossip.
	syncEvery = 80
	// youngSyncEvery is the same for a daemon younger than youngAge, which knows few
	// others that could gossip the rest to it.
	youngSyncEvery = 4
	youngAge       = 8 * time.Second
	// syncLimit bounds the members in the answer to a full-state request, about 10
	// KB.
	syncLimit = 400
	// seedEvery is the number of ticks between messages to seeds that are not known
	// to be alive, so that the halves of a healed partition join again. In a wide
	// fleet about seedSenders daemons send them.
	seedEvery   = 5
	seedSenders = 8
	// deadRetention is how long a dead daemon is kept and now and then contacted.
	deadRetention = time.Minute
	// lostRetention is how long a dead daemon counts as lost. A cut may last much longer
	// than daemons are contacted, and each part may use its share of a limit only.
	lostRetention = time.Hour
	// matureAge is the age from which a daemon may own state: by then the others have
	// sent their load reports to it.
	matureAge = time.Second
)

// Member is the record of a daemon in messages.
type Member struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	// CPUShare is the share of a processor in hundredths.
	CPUShare uint32 `cbor:"2,keyasint,omitempty"`
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64 `cbor:"3,keyasint"`
	// Count is the heartbeat counter of a small fleet.
	Count   uint64 `cbor:"4,keyasint,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	// Dead is set when the daemon did not answer pings. It refutes that with a higher
	// Round.
	Dead  bool   `cbor:"6,keyasint,omitempty"`
	Round uint32 `cbor:"7,keyasint,omitempty"`
}

// Message is the message between daemons. The first member is the sender.
type Message struct {
	Members []Member `cbor:"1,keyasint"`
	// Ping requests an answer, Full an answer with all members.
	Ping bool `cbor:"2,keyasint,omitempty"`
	Full bool `cbor:"3,keyasint,omitempty"`
	// Sync marks the answer to a full-state request: its members are not gossiped on.
	Sync bool `cbor:"4,keyasint,omitempty"`
}

// Send is a message to be sent.
type Send struct {
	To      netip.AddrPort
	Message Message
}

type entry struct {
	Member
	// firstSeen is when this incarnation was first received, lastReceived when its
	// count last grew or its last message came, diedAt when it was declared dead.
	firstSeen, lastReceived, diedAt time.Time
	// probedAt is when the first ping without an answer was sent, and probes the
	// number of pings since.
	probedAt time.Time
	probes   int
}

// resetProbes forgets pings without an answer, after an answer or when their
// silence proves nothing.
func (e *entry) resetProbes() { e.probedAt, e.probes = time.Time{}, 0 }

// Table is the membership as one daemon sees it.
type Table struct {
	self    Member
	seeds   []netip.AddrPort
	entries map[netip.AddrPort]*entry
	// dropped holds when daemons were dropped that had not said that they leave.
	dropped map[netip.AddrPort]time.Time
	// pending holds for each changed member in how many more messages it is sent.
	pending map[netip.AddrPort]int
	// probeReach is the number of neighbours considered for pings.
	probeReach          int
	rng                 *rand.Rand
	ticks               int
	startedAt, lastTick time.Time
	wide                bool
}

// New returns the table of a daemon. The seeds are addresses of daemons to join
// by.
func New(self Member, seeds []netip.AddrPort, seed uint64) *Table {
	return &Table{self: self, seeds: seeds, entries: map[netip.AddrPort]*entry{}, dropped: map[netip.AddrPort]time.Time{}, pending: map[netip.AddrPort]int{},
		probeReach: probeTargets, rng: rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))}
}

// SetSeeds replaces the seeds after a reload of the settings.
func (t *Table) SetSeeds(seeds []netip.AddrPort) { t.seeds = seeds }

// Leave marks this daemon as leaving in the next messages.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Round++
	t.enqueue(t.self.Addr)
}

// Interval returns the time between ticks.
func (t *Table) Interval() time.Duration {
	if t.wide {
		return wideInterval
	}
	return heartbeatInterval
}

// isAlive reports whether a daemon counts as alive.
func (t *Table) isAlive(now time.Time, e *entry) bool {
	if t.wide {
		return !e.Dead
	}
	return now.Sub(e.lastReceived) < heartbeatTimeout
}

// Tick advances the protocol and returns the messages to send.
func (t *Table) Tick(now time.Time) []Send {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseThreshold
	t.lastTick = now
	t.ticks++
	t.self.Count++
	t.setMode(now)
	live, dead := t.split(now)
	var out []Send
	if t.wide {
		out = t.tickWide(now, live, paused)
	} else {
		for _, addr := range live {
			out = append(out, Send{To: addr, Message: t.sampleMessage(now, sampleSize)})
		}
	}
	return append(out, t.discover(now, live, dead)...)
}

// setMode switches between the protocols of small and wide fleets.
func (t *Table) setMode(now time.Time) {
	wide := len(t.entries) >= wideThreshold
	if t.wide && !wide {
		// Heartbeats start only now, so that their timeouts start too.
		for _, e := range t.entries {
			if !e.Dead {
				e.lastReceived = now
			}
		}
	}
	t.wide = wide
}

// split returns the live and the dead daemons in address order, and drops those
// that died more than deadRetention ago.
func (t *Table) split(now time.Time) (live, dead []netip.AddrPort) {
	for addr, e := range t.entries {
		age := now.Sub(e.lastReceived)
		if t.wide {
			age = now.Sub(e.diedAt)
		}
		switch {
		case t.isAlive(now, e):
			live = append(live, addr)
		case age < deadRetention:
			dead = append(dead, addr)
		default:
			delete(t.entries, addr)
			delete(t.pending, addr)
			if !e.Leaving {
				t.dropped[addr] = now
			}
		}
	}
	for addr, at := range t.dropped {
		if now.Sub(at) > lostRetention-deadRetention {
			delete(t.dropped, addr)
		}
	}
	sortAddrs(live)
	sortAddrs(dead)
	return live, dead
}

func sortAddrs(a []netip.AddrPort) {
	slices.SortFunc(a, func(x, y netip.AddrPort) int { return x.Compare(y) })
}

// discover returns messages to seeds that are not known to be alive and to a
// random dead daemon.
func (t *Table) discover(now time.Time, live, dead []netip.AddrPort) []Send {
	var out []Send
	if t.ticks%seedEvery != 1 && len(live) > 0 {
		return nil
	}
	for _, s := range t.seeds {
		sender := len(live) < seedSenders || t.rng.IntN(len(live)) < seedSenders
		if s != t.self.Addr && !slices.Contains(live, s) && sender {
			out = append(out, Send{To: s, Message: Message{Members: []Member{t.self}, Ping: true, Full: len(live) < wideThreshold}})
		}
	}
	if len(dead) > 0 {
		g := t.sampleMessage(now, 0)
		g.Ping = true
		out = append(out, Send{To: dead[t.rng.IntN(len(dead))], Message: g})
	}
	return out
}

// sampleMessage returns a message with this daemon and a random sample of the live
// members.
func (t *Table) sampleMessage(now time.Time, size int) Message {
	var live []Member
	for _, e := range t.entries {
		if t.isAlive(now, e) {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	t.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return Message{Members: append([]Member{t.self}, live[:min(len(live), size)]...)}
}

// fullState returns a message with all members, or with syncLimit of them if there
// are more.
func (t *Table) fullState() Message {
	g := Message{Members: []Member{t.self}, Sync: true}
	for _, e := range t.entries {
		if g.Members = append(g.Members, e.Member); len(g.Members) > syncLimit {
			break
		}
	}
	return g
}

// Receive applies a message and returns the answers to it. Messages without a
// valid sender are ignored.
func (t *Table) Receive(now time.Time, g Message) []Send {
	if len(g.Members) == 0 || !g.Members[0].Addr.IsValid() || g.Members[0].Addr == t.self.Addr {
		return nil
	}
	round := t.self.Round
	for i, m := range g.Members {
		t.merge(now, m, !g.Sync || i == 0)
	}
	sender := g.Members[0].Addr
	e := t.entries[sender]
	e.lastReceived = now
	e.resetProbes()
	switch {
	case g.Full:
		return []Send{{To: sender, Message: t.fullState()}}
	case g.Ping || round != t.self.Round || e.Dead:
		answer := t.pendingMessage()
		if e.Dead {
			answer.Members = append(answer.Members, e.Member) // the sender has to refute
		}
		return []Send{{To: sender, Message: answer}}
	}
	return nil
}

// merge applies the record of a member; enqueue makes a changed one be gossiped
// on.
func (t *Table) merge(now time.Time, m Member, enqueue bool) {
	if !m.Addr.IsValid() {
		return
	}
	if m.Addr == t.self.Addr {
		if m.Incarnation == t.self.Incarnation && m.Dead && m.Round >= t.self.Round {
			t.self.Round = m.Round + 1
			t.enqueue(t.self.Addr)
		}
		return
	}
	e := t.entries[m.Addr]
	if e == nil || m.Incarnation > e.Incarnation {
		delete(t.dropped, m.Addr)
		t.entries[m.Addr] = &entry{Member: m, firstSeen: now, lastReceived: now, diedAt: now}
		if enqueue {
			t.enqueue(m.Addr)
		}
		return
	}
	if m.Incarnation < e.Incarnation {
		return
	}
	if m.Count > e.Count {
		e.Count, e.Leaving, e.lastReceived = m.Count, e.Leaving || m.Leaving, now
	}
	if m.Round > e.Round || m.Round == e.Round && m.Dead && !e.Dead {
		if m.Dead && !e.Dead {
			e.diedAt = now
		}
		e.Round, e.Dead, e.Leaving = m.Round, m.Dead, e.Leaving || m.Leaving
		e.resetProbes()
		if enqueue {
			t.enqueue(m.Addr)
		}
	}
}

// enqueue makes the record of a member be gossiped. When each daemon sends a
// change ten times, one in twenty thousand does not receive it, and gets it by a
// full-state request.
func (t *Table) enqueue(addr netip.AddrPort) {
	t.pending[addr] = gossipFanout + bits.Len(uint(len(t.entries)))
}
