package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// tickWide probes neighbours and tells what changed.
func (t *Table) tickWide(now time.Time, live []netip.AddrPort, paused bool) []Send {
	if paused {
		for _, e := range t.known {
			e.answered()
		}
	}
	out := t.probe(now, live)
	every := exchangeEvery
	if now.Sub(t.begun) < youth {
		every = youngEvery
	}
	if t.step%every == 0 && len(live) > 0 {
		out = append(out, Send{To: live[t.rng.IntN(len(live))], Message: Message{Members: []Member{t.self}, Full: true}})
	}
	if len(t.news) > 0 {
		for range min(newsFanout, len(live)) {
			out = append(out, Send{To: live[t.rng.IntN(len(live))], Message: t.tell()})
		}
	}
	return out
}

// probe asks the neighbours before this daemon in the order of addresses every
// second step, silent ones in each step, and finds those dead that did not
// answer. While neighbours are silent, twice as many are probed each time, so
// that the loss of most of the fleet is noticed soon.
func (t *Table) probe(now time.Time, live []netip.AddrPort) []Send {
	at, _ := slices.BinarySearchFunc(live, t.self.Addr, func(a, b netip.AddrPort) int { return a.Compare(b) })
	var out []Send
	answering, silent := 0, 0
	for i := 0; i < len(live) && answering < probed && i < t.reach; i++ {
		// at may be past the end, and the order goes on from the first to the last.
		addr := live[(at-1-i+2*len(live))%len(live)]
		e := t.known[addr]
		if e.asked.IsZero() {
			if now.Sub(e.heard) < fresh {
				answering++
			}
			if t.step%2 != 0 {
				continue
			}
			e.asked = now
		} else {
			silent++
		}
		if now.Sub(e.asked) >= wideDead && e.tries >= probeTries {
			e.Dead, e.ended = true, now
			t.announce(addr)
			continue
		}
		e.tries++
		g := t.tell()
		g.Ping = true
		out = append(out, Send{To: addr, Message: g})
	}
	if silent > 0 && answering < probed {
		t.reach = min(2*t.reach, max(len(live), probed))
	} else if silent == 0 {
		t.reach = probed
	}
	return out
}

// tell returns a message with this daemon and the changes that were told least.
func (t *Table) tell() Message {
	addrs := make([]netip.AddrPort, 0, len(t.news))
	for addr := range t.news {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(t.news[b], t.news[a]), a.Compare(b))
	})
	g := Message{Members: []Member{t.self}}
	for _, addr := range addrs[:min(len(addrs), newsLimit)] {
		if t.news[addr]--; t.news[addr] <= 0 {
			delete(t.news, addr)
		}
		if e := t.known[addr]; e != nil {
			g.Members = append(g.Members, e.Member)
		}
	}
	return g
}
