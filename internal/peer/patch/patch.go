// Package patch writes a document as a change of an older one. Most changes
// touch a few lines of a document of up to a megabyte, and each goes to every
// daemon, so that whole documents would exceed the limit on control traffic.
package patch

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/wire/peer"
)

// minCopy is the least number of bytes worth a reference to the older
// document, which costs about ten bytes itself.
const minCopy = 16

// index holds the lines of a document with their places.
type index struct {
	starts []int
	places map[string][]int
}

func newIndex(text []byte) index {
	x := index{places: map[string][]int{}}
	at := 0
	for line := range bytes.Lines(text) {
		s := string(line)
		x.places[s] = append(x.places[s], len(x.starts))
		x.starts = append(x.starts, at)
		at += len(line)
	}
	x.starts = append(x.starts, at)
	return x
}

// from returns the first place of a line at or after a place, else its first
// place, or -1.
func (x *index) from(line string, place int) int {
	p := x.places[line]
	if len(p) == 0 {
		return -1
	}
	i, _ := slices.BinarySearch(p, place)
	if i == len(p) {
		i = 0
	}
	return p[i]
}

// Diff returns pieces that make newer from older.
func Diff(older, newer []byte) []*peer.Patch {
	x := newIndex(older)
	var out []*peer.Patch
	cur := &peer.Patch{}
	// next is the place in older that would continue the current copy.
	next := 0
	for line := range bytes.Lines(newer) {
		place := x.from(string(line), next)
		switch {
		case place >= 0 && place == next && len(cur.Data) == 0 && cur.Length > 0:
			cur.Length += uint32(len(line))
			next++
		case place >= 0:
			out = flush(out, cur)
			cur = &peer.Patch{Offset: uint32(x.starts[place]), Length: uint32(len(line))}
			next = place + 1
		default:
			cur.Data = append(cur.Data, line...)
		}
	}
	return compact(older, flush(out, cur))
}

func flush(out []*peer.Patch, p *peer.Patch) []*peer.Patch {
	if p.Length == 0 && len(p.Data) == 0 {
		return out
	}
	return append(out, p)
}

// compact writes short copies as data of the piece before them.
func compact(older []byte, pieces []*peer.Patch) []*peer.Patch {
	var out []*peer.Patch
	for _, p := range pieces {
		if len(out) > 0 && p.Length < minCopy {
			last := out[len(out)-1]
			last.Data = append(last.Data, older[p.Offset:p.Offset+p.Length]...)
			last.Data = append(last.Data, p.Data...)
			continue
		}
		out = append(out, p)
	}
	return out
}

// Apply makes the newer document, of at most limit bytes.
func Apply(older []byte, pieces []*peer.Patch, limit int) ([]byte, error) {
	size := 0
	for _, p := range pieces {
		if uint64(p.Offset)+uint64(p.Length) > uint64(len(older)) {
			return nil, eris.Errorf("a patch refers to byte %d of a document of %d bytes; fetch the whole document", uint64(p.Offset)+uint64(p.Length), len(older))
		}
		size += int(p.Length) + len(p.Data)
		if size > limit {
			return nil, eris.Errorf("a patch makes a document of more than %d bytes; publish a smaller one", limit)
		}
	}
	out := make([]byte, 0, size)
	for _, p := range pieces {
		out = append(out, older[p.Offset:p.Offset+p.Length]...)
		out = append(out, p.Data...)
	}
	return out, nil
}
