// Package prefix indexes which engines of a cell hold which prompt prefixes. It
// is fed by cache events that are late and have gaps, so its answers are hints.
package prefix

import (
	"slices"

	"citronrock.example/citronrock/internal/wire/engine"
)

// MaxEngines is the largest number of engines of one index; engines with a higher
// number are not indexed.
const MaxEngines = 64

// Index maps hashes of prompt prefixes to the engines that hold them. Engines
// are known by their number in the cell.
type Index struct {
	limit int
	masks map[uint64]uint64
	feeds [MaxEngines]*feed
}

// feed is the state of one engine's event stream.
type feed struct {
	incarnation, sequence uint64
	// ring holds the stored hashes in order of arrival, with next as the place
	// of the oldest one once it is full.
	ring []uint64
	next int
}

// New returns an empty index that keeps at most limit prefixes an engine.
func New(limit int) *Index {
	return &Index{limit: max(limit, 1), masks: make(map[uint64]uint64)}
}

// Apply records an event of engine n. A gap in the sequence or a new
// incarnation drops what was known about the engine; an event that is older
// than the last one is ignored. It reports whether entries were dropped.
func (x *Index) Apply(n int, e *engine.CacheEvent) bool {
	if n < 0 || n >= MaxEngines {
		return false
	}
	f := x.feeds[n]
	if f == nil {
		f = &feed{incarnation: e.GetIncarnation(), sequence: e.GetSequence()}
		x.feeds[n] = f
		x.record(n, f, e)
		return false
	}
	if e.GetIncarnation() < f.incarnation {
		return false
	}
	same := e.GetIncarnation() == f.incarnation
	if same && e.GetSequence() <= f.sequence {
		return false
	}
	drop := !same || e.GetSequence() != f.sequence+1
	if drop {
		x.clear(n, f)
	}
	f.incarnation, f.sequence = e.GetIncarnation(), e.GetSequence()
	x.record(n, f, e)
	return drop
}

// Drop forgets engine n.
func (x *Index) Drop(n int) {
	if n < 0 || n >= MaxEngines || x.feeds[n] == nil {
		return
	}
	x.clear(n, x.feeds[n])
	x.feeds[n] = nil
}

// Match sets depth[n] to the number of leading pieces that engine n is known to
// hold, for each n below len(depth).
func (x *Index) Match(pieces []uint64, depth []int) {
	clear(depth)
	mask := ^uint64(0)
	for i, h := range pieces {
		mask &= x.masks[h]
		if mask == 0 {
			return
		}
		for n := range depth {
			if mask&(1<<n) != 0 {
				depth[n] = i + 1
			}
		}
	}
}

// Len returns the number of indexed prefixes.
func (x *Index) Len() int { return len(x.masks) }

func (x *Index) record(n int, f *feed, e *engine.CacheEvent) {
	for _, h := range e.GetStored() {
		x.store(n, f, h)
	}
	for _, h := range e.GetRemoved() {
		x.remove(n, h)
	}
}

func (x *Index) store(n int, f *feed, h uint64) {
	if x.masks[h]&(1<<n) != 0 {
		return
	}
	x.masks[h] |= 1 << n
	if len(f.ring) < x.limit {
		f.ring = append(f.ring, h)
		return
	}
	x.remove(n, f.ring[f.next])
	f.ring[f.next] = h
	f.next = (f.next + 1) % x.limit
}

func (x *Index) remove(n int, h uint64) {
	mask, ok := x.masks[h]
	if !ok {
		return
	}
	mask &^= 1 << n
	if mask == 0 {
		delete(x.masks, h)
		return
	}
	x.masks[h] = mask
}

func (x *Index) clear(n int, f *feed) {
	for _, h := range f.ring {
		x.remove(n, h)
	}
	f.ring, f.next = slices.Clip(f.ring[:0]), 0
}
