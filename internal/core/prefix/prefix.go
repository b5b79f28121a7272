// Package prefix indexes which engines of a cell have which prompt prefixes in
// their KV caches. Its input is the engines' cache events, which are delayed and
// may have gaps, so that its results are hints.
package prefix

import (
	"slices"

	"citronrock.example/citronrock/internal/wire/engine"
)

// MaxEngines is the largest number of engines in an index. Engines with a number
// from this one on are not indexed.
const MaxEngines = 64

// Index maps hashes of prompt prefixes to the engines that hold them. Engines are
// identified by their number in the cell, from 0.
type Index struct {
	maxPrefixes int
	engines     map[uint64]uint64
	feeds       [MaxEngines]*feed
}

// feed is the state of one engine's event stream.
type feed struct {
	incarnation, sequence uint64
	// ring holds the stored hashes in order of arrival. Once it is full, next is the
	// index of the oldest one.
	ring []uint64
	next int
}

// New returns an empty index that keeps at most limit prefixes for each engine and
// evicts the oldest ones.
func New(limit int) *Index {
	return &Index{maxPrefixes: max(limit, 1), engines: make(map[uint64]uint64)}
}

// Apply applies a cache event of engine n. A gap in the sequence or a new
// incarnation of the engine first drops its entries. An event that is not newer
// than the last one is ignored. Apply reports whether it dropped entries.
func (idx *Index) Apply(n int, e *engine.CacheEvent) bool {
	if n < 0 || n >= MaxEngines {
		return false
	}
	f := idx.feeds[n]
	if f == nil {
		f = &feed{incarnation: e.GetIncarnation(), sequence: e.GetSequence()}
		idx.feeds[n] = f
		idx.update(n, f, e)
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
		idx.removeAll(n, f)
	}
	f.incarnation, f.sequence = e.GetIncarnation(), e.GetSequence()
	idx.update(n, f, e)
	return drop
}

// Drop removes the entries of engine n and the state of its event stream.
func (idx *Index) Drop(n int) {
	if n < 0 || n >= MaxEngines || idx.feeds[n] == nil {
		return
	}
	idx.removeAll(n, idx.feeds[n])
	idx.feeds[n] = nil
}

// Match sets depth[n] to the number of leading KV blocks of a prompt that engine n
// is known to hold, for each n below len(depth). pieces are the hashes of the
// blocks.
func (idx *Index) Match(pieces []uint64, depth []int) {
	clear(depth)
	mask := ^uint64(0)
	for i, h := range pieces {
		mask &= idx.engines[h]
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
func (idx *Index) Len() int { return len(idx.engines) }

func (idx *Index) update(n int, f *feed, e *engine.CacheEvent) {
	for _, h := range e.GetStored() {
		idx.store(n, f, h)
	}
	for _, h := range e.GetRemoved() {
		idx.remove(n, h)
	}
}

func (idx *Index) store(n int, f *feed, h uint64) {
	if idx.engines[h]&(1<<n) != 0 {
		return
	}
	idx.engines[h] |= 1 << n
	if len(f.ring) < idx.maxPrefixes {
		f.ring = append(f.ring, h)
		return
	}
	idx.remove(n, f.ring[f.next])
	f.ring[f.next] = h
	f.next = (f.next + 1) % idx.maxPrefixes
}

func (idx *Index) remove(n int, h uint64) {
	mask, ok := idx.engines[h]
	if !ok {
		return
	}
	mask &^= 1 << n
	if mask == 0 {
		delete(idx.engines, h)
		return
	}
	idx.engines[h] = mask
}

func (idx *Index) removeAll(n int, f *feed) {
	for _, h := range f.ring {
		idx.remove(n, h)
	}
	f.ring, f.next = slices.Clip(f.ring[:0]), 0
}
