// Package owner assigns keys to daemons by rendezvous hashing, so that a change of
// the membership moves only the keys of the daemons that joined or left. It also
// makes the fencing tokens of owners.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the name with the highest score for key, which owns the key, or ""
// when names is empty. The order of names doesn't matter.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		score := Score(key, n)
		if best == "" || score > bestScore || score == bestScore && n < best {
			best, bestScore = n, score
		}
	}
	return best
}

// Top returns the n names with the highest scores for key, highest first.
func Top(key string, names []string, n int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		sa, sb := Score(key, a), Score(key, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}

// Score returns the 64-bit hash of a key and a name by which names are ranked for the
// key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
