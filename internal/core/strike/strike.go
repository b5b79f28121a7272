// Package strike records crashes of backend servers by the fingerprint of the
// request that they ran, so that a request that crashes its servers is blocked. A
// strike is one crash attributed to a fingerprint.
package strike

import (
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// Limits of a table.
const (
	// TTL is how long a strike counts.
	TTL = 10 * time.Minute
	// Threshold is the number of strikes from which a request is blocked.
	Threshold = 2
	// Separator stands between the name of an engine and its incarnation.
	Separator = "#"
	// dedupWindow is the time within which reports of crashes of an engine count as
	// one crash when a report lacks the incarnation. Edge daemons detect a crash
	// within a second, and a crashed engine takes longer to restart and run the
	// request again.
	dedupWindow = 5 * time.Second
	// defaultCapacity bounds the memory of a table to about half a megabyte.
	defaultCapacity = 4096
)

// Table holds the strikes by fingerprint, the hash of a request's content.
type Table struct {
	ttl        time.Duration
	maxRecords int
	records    map[uint64]*record
}

// record holds the crashes of one fingerprint since its strikes were last cleared.
type record struct {
	crashes []crash
	count   int
	cleared time.Time
	expires time.Time
}

type crash struct {
	engine string
	at     time.Time
}

// Option changes a setting of a table.
type Option func(*Table)

// WithTTL sets how long a strike counts.
func WithTTL(d time.Duration) Option { return func(t *Table) { t.ttl = d } }

// WithCapacity sets the largest number of records.
func WithCapacity(n int) Option { return func(t *Table) { t.maxRecords = max(n, 1) } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{ttl: TTL, maxRecords: defaultCapacity, records: make(map[uint64]*record)}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Count returns the number of strikes of a fingerprint, at most Threshold.
func (t *Table) Count(now time.Time, fingerprint uint64) int {
	if len(t.records) == 0 {
		return 0
	}
	if r := t.live(now, fingerprint); r != nil {
		return r.count
	}
	return 0
}

// Add records that engine crashed while it ran the request. The name of the engine
// may be followed by Separator and its incarnation. A crash that several daemons
// report counts once. Add returns the strike to broadcast, nil when the crash was
// known.
func (t *Table) Add(now time.Time, fingerprint uint64, engine string) *peer.Strike {
	if fingerprint == 0 || !t.add(now, fingerprint, engine, now, 1) {
		return nil
	}
	r := t.records[fingerprint]
	return &peer.Strike{
		Print:  fingerprint,
		Count:  uint32(r.count),
		Left:   uint32(t.ttl / time.Millisecond),
		Engine: engine,
	}
}

// Known reports whether the crash of engine is recorded for a fingerprint.
func (t *Table) Known(now time.Time, fingerprint uint64, engine string) bool {
	r := t.live(now, fingerprint)
	return r != nil && slices.ContainsFunc(r.crashes, func(c crash) bool { return c.matches(engine, now) })
}

// Clear drops the strikes of a fingerprint after a run that crashed no server. It
// returns the message to broadcast, nil when there was no strike.
func (t *Table) Clear(now time.Time, fingerprint uint64) *peer.Strike {
	r := t.live(now, fingerprint)
	if r == nil || r.count == 0 {
		return nil
	}
	t.clear(now, fingerprint, now)
	return &peer.Strike{Print: fingerprint, Left: uint32(t.ttl / time.Millisecond), Clear: true}
}

// Merge applies a strike, or its clearing, from a peer, and reports whether it
// changed the table.
func (t *Table) Merge(now time.Time, s *peer.Strike) bool {
	left := min(time.Duration(s.GetLeft())*time.Millisecond, t.ttl)
	if left <= 0 || s.GetPrint() == 0 {
		return false
	}
	at := now.Add(left - t.ttl)
	if s.GetClear() {
		return t.clear(now, s.GetPrint(), at)
	}
	return t.add(now, s.GetPrint(), s.GetEngine(), at, int(s.GetCount()))
}

// Records returns the strikes that have not expired, ordered by fingerprint, for
// gossip.
func (t *Table) Records(now time.Time) []*peer.Strike {
	var out []*peer.Strike
	for fingerprint, r := range t.records {
		if t.live(now, fingerprint) == nil || r.count == 0 {
			continue
		}
		last := r.crashes[len(r.crashes)-1]
		left := uint32(last.at.Add(t.ttl).Sub(now) / time.Millisecond)
		out = append(out, &peer.Strike{Print: fingerprint, Count: uint32(r.count), Left: left, Engine: last.engine})
	}
	slices.SortFunc(out, func(a, b *peer.Strike) int {
		if a.Print < b.Print {
			return -1
		}
		return 1
	})
	return out
}

// Len returns the number of fingerprints with a record, cleared ones included.
func (t *Table) Len() int { return len(t.records) }

// live returns the record of a fingerprint, or nil when there is none or it has
// expired.
func (t *Table) live(now time.Time, fingerprint uint64) *record {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	if !now.Before(r.expires) {
		delete(t.records, fingerprint)
		return nil
	}
	return r
}

// add records a crash at the given time and reports whether it changed the record.
// count is the number of strikes that the sender knew, this one included.
func (t *Table) add(now time.Time, fingerprint uint64, engine string, at time.Time, count int) bool {
	r := t.live(now, fingerprint)
	if r == nil {
		r = t.insert(now, fingerprint)
	}
	// A crash before a run that crashed no server is no longer evidence.
	if !r.cleared.IsZero() && !at.After(r.cleared) {
		return false
	}
	known := r.hasCrash(engine, at)
	oldCount := r.count
	if !known {
		r.crashes = append(r.crashes, crash{engine, at})
		if len(r.crashes) > Threshold {
			r.crashes = r.crashes[1:]
		}
	}
	r.count = min(max(r.count, len(r.crashes), count), Threshold)
	r.expires = later(r.expires, at.Add(t.ttl))
	return !known || r.count > oldCount
}

// hasCrash reports whether the record holds the crash. It adds the incarnation
// when the record lacks it.
func (r *record) hasCrash(engine string, at time.Time) bool {
	for i, c := range r.crashes {
		if !c.matches(engine, at) {
			continue
		}
		if len(engine) > len(c.engine) {
			r.crashes[i].engine = engine
		}
		return true
	}
	return false
}

// matches reports whether c is the crash of engine at the given time. When one of
// the names lacks the incarnation, crashes within dedupWindow match.
func (c crash) matches(engine string, at time.Time) bool {
	name, _, hasIncarnation := strings.Cut(c.engine, Separator)
	otherName, _, otherHasIncarnation := strings.Cut(engine, Separator)
	if hasIncarnation && otherHasIncarnation {
		return c.engine == engine
	}
	return name == otherName && c.isNear(at)
}

func (c crash) isNear(at time.Time) bool { return at.Sub(c.at).Abs() < dedupWindow }

// clear drops the crashes up to the given time and reports whether it changed the
// record. It keeps the time, so that a delayed copy of an old strike doesn't restore
// them.
func (t *Table) clear(now time.Time, fingerprint uint64, at time.Time) bool {
	r := t.live(now, fingerprint)
	if r == nil {
		r = t.insert(now, fingerprint)
	}
	if !at.After(r.cleared) {
		return false
	}
	r.cleared = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	r.count = len(r.crashes)
	r.expires = later(r.expires, at.Add(t.ttl))
	return true
}

// insert adds an empty record and evicts the one that expires first when the
// table is full.
func (t *Table) insert(now time.Time, fingerprint uint64) *record {
	if len(t.records) >= t.maxRecords {
		t.evict(now)
	}
	r := &record{expires: now}
	t.records[fingerprint] = r
	return r
}

func (t *Table) evict(now time.Time) {
	var oldest uint64
	var found *record
	for p, r := range t.records {
		if !now.Before(r.expires) {
			delete(t.records, p)
			continue
		}
		if found == nil || r.expires.Before(found.expires) || r.expires.Equal(found.expires) && p < oldest {
			oldest, found = p, r
		}
	}
	if len(t.records) >= t.maxRecords {
		delete(t.records, oldest)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
