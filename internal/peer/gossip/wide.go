package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// tickWide pings neighbours, requests the full state from time to time and gossips
// pending changes.
func (t *Table) tickWide(now time.Time, live []netip.AddrPort, paused bool) []Send {
	if paused {
		for _, e := range t.entries {
			e.resetProbes()
		}
	}
	out := t.probe(now, live)
	every := syncEvery
	if now.Sub(t.startedAt) < youngAge {
		every = youngSyncEvery
	}
	if t.ticks%every == 0 && len(live) > 0 {
		out = append(out, Send{To: live[t.rng.IntN(len(live))], Message: Message{Members: []Member{t.self}, Full: true}})
	}
	if len(t.pending) > 0 {
		for range min(gossipFanout, len(live)) {
			out = append(out, Send{To: live[t.rng.IntN(len(live))], Message: t.pendingMessage()})
		}
	}
	return out
}

// probe pings the neighbours before this daemon in address order every second
// tick, silent ones in each tick, and declares dead those that did not answer in
// time. While neighbours are silent, the number considered doubles with each tick,
// so that the loss of most of the fleet is detected soon.
func (t *Table) probe(now time.Time, live []netip.AddrPort) []Send {
	position, _ := slices.BinarySearchFunc(live, t.self.Addr, func(a, b netip.AddrPort) int { return a.Compare(b) })
	var out []Send
	answering, silent := 0, 0
	for i := 0; i < len(live) && answering < probeTargets && i < t.probeReach; i++ {
		// position may be past the end; the order wraps around.
		addr := live[(position-1-i+2*len(live))%len(live)]
		e := t.entries[addr]
		if e.probedAt.IsZero() {
			if now.Sub(e.lastReceived) < answerWindow {
				answering++
			}
			if t.ticks%2 != 0 {
				continue
			}
			e.probedAt = now
		} else {
			silent++
		}
		if now.Sub(e.probedAt) >= probeTimeout && e.probes >= minProbes {
			e.Dead, e.diedAt = true, now
			t.enqueue(addr)
			continue
		}
		e.probes++
		g := t.pendingMessage()
		g.Ping = true
		out = append(out, Send{To: addr, Message: g})
	}
	if silent > 0 && answering < probeTargets {
		t.probeReach = min(2*t.probeReach, max(len(live), probeTargets))
	} else if silent == 0 {
		t.probeReach = probeTargets
	}
	return out
}

// pendingMessage returns a message with this daemon and the pending changes that
// were sent least.
func (t *Table) pendingMessage() Message {
	addrs := make([]netip.AddrPort, 0, len(t.pending))
	for addr := range t.pending {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(t.pending[b], t.pending[a]), a.Compare(b))
	})
	g := Message{Members: []Member{t.self}}
	for _, addr := range addrs[:min(len(addrs), gossipLimit)] {
		if t.pending[addr]--; t.pending[addr] <= 0 {
			delete(t.pending, addr)
		}
		if e := t.entries[addr]; e != nil {
			g.Members = append(g.Members, e.Member)
		}
	}
	return g
}
