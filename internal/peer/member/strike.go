package member

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// strikeKey identifies a strike, or the clearing of strikes, by the fingerprint of
// the request and the engine.
type strikeKey struct {
	fingerprint uint64
	engine      string
	count       uint32
	clear       bool
}

func (k strikeKey) compare(o strikeKey) int {
	return cmp.Or(cmp.Compare(k.fingerprint, o.fingerprint), cmp.Compare(k.engine, o.engine), cmp.Compare(k.count, o.count))
}

type strikeRecord struct {
	expires time.Time
	sends   int
}

// strikes holds the strikes that have not expired, which tell new ones from known
// ones, and the keys of those that are still to be gossiped.
type strikes struct {
	entries map[strikeKey]*strikeRecord
	pending map[strikeKey]bool
}

// strikeSkew is how far the expiry of one strike may differ between daemons. A
// strike with the same key that expires later than that is a new one.
const strikeSkew = 2 * time.Second

// strikePackets is the number of packets in which a strike is gossiped.
const strikePackets = 12

// maxStrikesKept bounds the strikes kept; a new one evicts the one that expires
// first.
const maxStrikesKept = 512

// strikeTTL is the lifetime of a strike whose message states none, and the
// longest.
const strikeTTL = 10 * time.Minute

// Strike gossips a strike that this daemon has recorded.
func (m *Machine) Strike(now time.Time, s *peer.Strike) {
	m.now = now
	if m.storeStrike(now, s) {
		m.scheduleFlush(now, flushDelay)
	}
}

// storeStrike stores a strike and reports whether it is new.
func (m *Machine) storeStrike(now time.Time, s *peer.Strike) bool {
	term := time.Duration(s.Left) * time.Millisecond
	if term <= 0 || term > strikeTTL {
		term = strikeTTL
	}
	k := strikeKey{fingerprint: s.Print, engine: s.Engine, count: s.Count, clear: s.Clear}
	until := now.Add(term)
	if old := m.strikes.entries[k]; old != nil && until.Sub(old.expires) < strikeSkew {
		return false
	}
	if len(m.strikes.entries) >= maxStrikesKept {
		m.strikes.evict(now)
	}
	m.strikes.entries[k] = &strikeRecord{expires: until, sends: strikePackets}
	m.strikes.pending[k] = true
	return true
}

// evict drops expired strikes, or else the one that expires first.
func (s *strikes) evict(now time.Time) {
	var first strikeKey
	var at time.Time
	for k, i := range s.entries {
		if !now.Before(i.expires) {
			s.drop(k)
			continue
		}
		if at.IsZero() || i.expires.Before(at) || i.expires.Equal(at) && k.compare(first) < 0 {
			first, at = k, i.expires
		}
	}
	if len(s.entries) >= maxStrikesKept {
		s.drop(first)
	}
}

func (s *strikes) drop(k strikeKey) {
	delete(s.entries, k)
	delete(s.pending, k)
}

// receiveStrikes applies the strikes of a packet.
func (m *Machine) receiveStrikes(now time.Time, got []*peer.Strike, out []Output) []Output {
	for _, s := range got {
		if m.storeStrike(now, s) {
			m.scheduleFlush(now, flushDelay)
			out = append(out, StrikeReceived{Strike: s})
		}
	}
	return out
}

// addStrikes adds the strikes that were sent least, and returns the new size of
// the packet.
func (m *Machine) addStrikes(p *peer.Packet, size int) int {
	keys := make([]strikeKey, 0, len(m.strikes.pending))
	for k := range m.strikes.pending {
		if !m.now.Before(m.strikes.entries[k].expires) {
			delete(m.strikes.pending, k)
			continue
		}
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b strikeKey) int {
		return cmp.Or(cmp.Compare(m.strikes.entries[b].sends, m.strikes.entries[a].sends), a.compare(b))
	})
	for _, k := range keys[:min(len(keys), maxStrikes)] {
		i := m.strikes.entries[k]
		left := uint32(i.expires.Sub(m.now) / time.Millisecond)
		s := &peer.Strike{Print: k.fingerprint, Engine: k.engine, Count: k.count, Clear: k.clear, Left: left}
		if size+fieldSize(s) > MaxPacket {
			break
		}
		size += fieldSize(s)
		p.Strikes = append(p.Strikes, s)
		if i.sends--; i.sends == 0 {
			delete(m.strikes.pending, k)
		}
	}
	return size
}
