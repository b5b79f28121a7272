// Package strike keeps records of requests whose runs ended in the death of a
// backend server, so that a request that crashes its servers is stopped.
package strike

import (
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// Limits of a table.
const (
	// TTL is how long a death counts.
	TTL = 10 * time.Minute
	// Threshold is the number of deaths from which a request is refused.
	Threshold = 2
	// Separator stands between the name of an engine and its incarnation.
	Separator = "#"
	// window is the time within which reports about an engine that don't tell
	// its incarnation mean one death. Edges notice a death within a second, and
	// an engine that died needs longer to come back and run the request again.
	window = 5 * time.Second
	// capacity bounds the memory of a table to about half a megabyte.
	capacity = 4096
)

// Table holds records by the hash of a request's content.
type Table struct {
	life    time.Duration
	limit   int
	records map[uint64]*record
}

// record holds the deaths of one print that are later than its last clearance.
type record struct {
	deaths  []death
	count   int
	cleared time.Time
	expires time.Time
}

type death struct {
	engine string
	at     time.Time
}

// Option changes a setting of a table.
type Option func(*Table)

// WithTTL sets how long a record lives.
func WithTTL(d time.Duration) Option { return func(t *Table) { t.life = d } }

// WithCapacity sets the largest number of records.
func WithCapacity(n int) Option { return func(t *Table) { t.limit = max(n, 1) } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{life: TTL, limit: capacity, records: make(map[uint64]*record)}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Count returns the number of strikes of a print.
func (t *Table) Count(now time.Time, print uint64) int {
	if len(t.records) == 0 {
		return 0
	}
	if r := t.live(now, print); r != nil {
		return r.count
	}
	return 0
}

// Add records that engine died while it ran the request. The name of the engine
// may be followed by Separator and its incarnation. The same death counts once;
// Add returns the record to spread, nil when the death was known.
func (t *Table) Add(now time.Time, print uint64, engine string) *peer.Strike {
	if print == 0 || !t.add(now, print, engine, now, 1) {
		return nil
	}
	r := t.records[print]
	return &peer.Strike{
		Print:  print,
		Count:  uint32(r.count),
		Left:   uint32(t.life / time.Millisecond),
		Engine: engine,
	}
}

// Known reports whether the death of engine is in the record of a print.
func (t *Table) Known(now time.Time, print uint64, engine string) bool {
	r := t.live(now, print)
	return r != nil && slices.ContainsFunc(r.deaths, func(d death) bool { return d.is(engine, now) })
}

// Clear drops the strikes of a print after a run that survived. It returns the
// record to spread, nil when there was no strike.
func (t *Table) Clear(now time.Time, print uint64) *peer.Strike {
	r := t.live(now, print)
	if r == nil || r.count == 0 {
		return nil
	}
	t.clear(now, print, now)
	return &peer.Strike{Print: print, Left: uint32(t.life / time.Millisecond), Clear: true}
}

// Merge takes over a record from a peer and reports whether it was news.
func (t *Table) Merge(now time.Time, s *peer.Strike) bool {
	left := min(time.Duration(s.GetLeft())*time.Millisecond, t.life)
	if left <= 0 || s.GetPrint() == 0 {
		return false
	}
	at := now.Add(left - t.life)
	if s.GetClear() {
		return t.clear(now, s.GetPrint(), at)
	}
	return t.add(now, s.GetPrint(), s.GetEngine(), at, int(s.GetCount()))
}

// Records returns the live strikes in order of print, for gossip.
func (t *Table) Records(now time.Time) []*peer.Strike {
	var out []*peer.Strike
	for print, r := range t.records {
		if t.live(now, print) == nil || r.count == 0 {
			continue
		}
		d := r.deaths[len(r.deaths)-1]
		left := uint32(d.at.Add(t.life).Sub(now) / time.Millisecond)
		out = append(out, &peer.Strike{Print: print, Count: uint32(r.count), Left: left, Engine: d.engine})
	}
	slices.SortFunc(out, func(a, b *peer.Strike) int {
		if a.Print < b.Print {
			return -1
		}
		return 1
	})
	return out
}

// Len returns the number of records, cleared ones included.
func (t *Table) Len() int { return len(t.records) }

// live returns the record of a print, or nil when it has expired.
func (t *Table) live(now time.Time, print uint64) *record {
	r := t.records[print]
	if r == nil {
		return nil
	}
	if !now.Before(r.expires) {
		delete(t.records, print)
		return nil
	}
	return r
}

// add counts a death at the given time. count is the number of deaths that the
// sender knew, this one included.
func (t *Table) add(now time.Time, print uint64, engine string, at time.Time, count int) bool {
	r := t.live(now, print)
	if r == nil {
		r = t.insert(now, print)
	}
	// A death from before a run that survived is no longer evidence.
	if !r.cleared.IsZero() && !at.After(r.cleared) {
		return false
	}
	known := r.knows(engine, at)
	before := r.count
	if !known {
		r.deaths = append(r.deaths, death{engine, at})
		if len(r.deaths) > Threshold {
			r.deaths = r.deaths[1:]
		}
	}
	r.count = min(max(r.count, len(r.deaths), count), Threshold)
	r.expires = later(r.expires, at.Add(t.life))
	return !known || r.count > before
}

// knows reports whether the record holds a death. It takes over the incarnation
// when the record lacks it.
func (r *record) knows(engine string, at time.Time) bool {
	for i, d := range r.deaths {
		if !d.is(engine, at) {
			continue
		}
		if len(engine) > len(d.engine) {
			r.deaths[i].engine = engine
		}
		return true
	}
	return false
}

// is reports whether the death is that of engine at the given time. Where one of
// the names lacks the incarnation, the times decide.
func (d death) is(engine string, at time.Time) bool {
	own, _, labelled := strings.Cut(d.engine, Separator)
	other, _, told := strings.Cut(engine, Separator)
	if labelled && told {
		return d.engine == engine
	}
	return own == other && d.near(at)
}

func (d death) near(at time.Time) bool { return at.Sub(d.at).Abs() < window }

// clear drops the deaths up to the given time and keeps the time, so that a
// late copy of an old record doesn't bring them back.
func (t *Table) clear(now time.Time, print uint64, at time.Time) bool {
	r := t.live(now, print)
	if r == nil {
		r = t.insert(now, print)
	}
	if !at.After(r.cleared) {
		return false
	}
	r.cleared = at
	r.deaths = slices.DeleteFunc(r.deaths, func(d death) bool { return !d.at.After(at) })
	r.count = len(r.deaths)
	r.expires = later(r.expires, at.Add(t.life))
	return true
}

// insert adds an empty record and evicts the one that expires first when the
// table is full.
func (t *Table) insert(now time.Time, print uint64) *record {
	if len(t.records) >= t.limit {
		t.evict(now)
	}
	r := &record{expires: now}
	t.records[print] = r
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
	if len(t.records) >= t.limit {
		delete(t.records, oldest)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
