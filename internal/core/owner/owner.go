// Package owner assigns keys to daemons by rendezvous hashing, so that a change
// of membership moves only the keys of the daemons that changed.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the name with the highest score for key, or "" when names is
// empty. It does not depend on the order of names.
func First(key string, names []string) string {
	best, top := "", uint64(0)
	for _, n := range names {
		s := Score(key, n)
		if best == "" || s > top || s == top && n < best {
			best, top = n, s
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

// Score returns the weight of a name for key. The highest one owns the key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
