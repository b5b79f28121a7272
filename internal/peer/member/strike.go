package member

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// strikeKey identifies a record about a suspect request.
type strikeKey struct {
	print  uint64
	engine string
	count  uint32
	clear  bool
}

func (k strikeKey) compare(o strikeKey) int {
	return cmp.Or(cmp.Compare(k.print, o.print), cmp.Compare(k.engine, o.engine), cmp.Compare(k.count, o.count))
}

type struckItem struct {
	until time.Time
	left  int
}

// strikes are the records kept, to tell new ones, and the keys of those that
// are still to be passed on.
type strikes struct {
	kept    map[strikeKey]*struckItem
	pending map[strikeKey]bool
}

// strikeDrift is how far the end of one record may differ between daemons.
// What ends later than that is a new record of the same kind.
const strikeDrift = 2 * time.Second

// strikePackets is the number of packets in which a record is passed on.
const strikePackets = 12

// maxKept bounds the records kept; a new one replaces the one that ends first.
const maxKept = 512

// strikeTerm is the life of a record that states none.
const strikeTerm = 10 * time.Minute

// Strike passes a record about a suspect request on.
func (m *Machine) Strike(now time.Time, s *peer.Strike) {
	m.now = now
	if m.keep(now, s) {
		m.hurry(now, newsDelay)
	}
}

// keep stores a record and tells whether it is new.
func (m *Machine) keep(now time.Time, s *peer.Strike) bool {
	term := time.Duration(s.Left) * time.Millisecond
	if term <= 0 || term > strikeTerm {
		term = strikeTerm
	}
	k := strikeKey{print: s.Print, engine: s.Engine, count: s.Count, clear: s.Clear}
	until := now.Add(term)
	if old := m.strikes.kept[k]; old != nil && until.Sub(old.until) < strikeDrift {
		return false
	}
	if len(m.strikes.kept) >= maxKept {
		m.strikes.evict(now)
	}
	m.strikes.kept[k] = &struckItem{until: until, left: strikePackets}
	m.strikes.pending[k] = true
	return true
}

// evict drops what has ended, or else the record that ends first.
func (s *strikes) evict(now time.Time) {
	var first strikeKey
	var at time.Time
	for k, i := range s.kept {
		if !now.Before(i.until) {
			s.drop(k)
			continue
		}
		if at.IsZero() || i.until.Before(at) || i.until.Equal(at) && k.compare(first) < 0 {
			first, at = k, i.until
		}
	}
	if len(s.kept) >= maxKept {
		s.drop(first)
	}
}

func (s *strikes) drop(k strikeKey) {
	delete(s.kept, k)
	delete(s.pending, k)
}

// struck takes the records of a packet.
func (m *Machine) struck(now time.Time, got []*peer.Strike, out []Output) []Output {
	for _, s := range got {
		if m.keep(now, s) {
			m.hurry(now, newsDelay)
			out = append(out, StrikeReceived{Strike: s})
		}
	}
	return out
}

// addStrikes adds the records that were passed on least.
func (m *Machine) addStrikes(p *peer.Packet, size int) int {
	keys := make([]strikeKey, 0, len(m.strikes.pending))
	for k := range m.strikes.pending {
		if !m.now.Before(m.strikes.kept[k].until) {
			delete(m.strikes.pending, k)
			continue
		}
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b strikeKey) int {
		return cmp.Or(cmp.Compare(m.strikes.kept[b].left, m.strikes.kept[a].left), a.compare(b))
	})
	for _, k := range keys[:min(len(keys), maxStrikes)] {
		i := m.strikes.kept[k]
		left := uint32(i.until.Sub(m.now) / time.Millisecond)
		s := &peer.Strike{Print: k.print, Engine: k.engine, Count: k.count, Clear: k.clear, Left: left}
		if size+fieldSize(s) > MaxPacket {
			break
		}
		size += fieldSize(s)
		p.Strikes = append(p.Strikes, s)
		if i.left--; i.left == 0 {
			delete(m.strikes.pending, k)
		}
	}
	return size
}
