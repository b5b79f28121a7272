// Package patch encodes a document as a patch of an older one. Most changes touch
// a few lines of a document of up to a megabyte, and each goes to every daemon, so
// that whole documents would exceed the limit on control traffic.
package patch

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/wire/peer"
)

// minCopy is the least number of bytes worth a reference to the older document,
// which itself takes about ten bytes.
const minCopy = 16

// resyncWindow is the number of lines after a difference within which the
// documents are expected to agree again. Only beyond it all lines are indexed,
// which takes most of the time for a large document.
const resyncWindow = 64

// document is a document split into lines.
type document struct {
	lines     [][]byte
	starts    []int
	positions map[string][]int
}

func split(raw []byte) *document {
	n := bytes.Count(raw, []byte{'\n'}) + 1
	t := &document{lines: make([][]byte, 0, n), starts: make([]int, 0, n)}
	at := 0
	for line := range bytes.Lines(raw) {
		t.lines = append(t.lines, line)
		t.starts = append(t.starts, at)
		at += len(line)
	}
	return t
}

// hasAt reports whether a line is at a position.
func (d *document) hasAt(place int, line []byte) bool {
	return place >= 0 && place < len(d.lines) && bytes.Equal(d.lines[place], line)
}

// find returns the first position of a line at or after a position, else its first
// position, or -1.
func (d *document) find(line []byte, place int) int {
	if d.positions == nil {
		d.positions = make(map[string][]int, len(d.lines))
		for i, l := range d.lines {
			d.positions[string(l)] = append(d.positions[string(l)], i)
		}
	}
	p := d.positions[string(line)]
	if len(p) == 0 {
		return -1
	}
	i, _ := slices.BinarySearch(p, place)
	if i == len(p) {
		i = 0
	}
	return p[i]
}

// resync returns how many lines of the older and the newer document differ until
// two lines in a row agree again, or false if none do within the window.
func resync(older, newer *document, i, j int) (skip, differ int, ok bool) {
	for n := 1; n <= resyncWindow; n++ {
		for d := 0; d <= n; d++ {
			for _, c := range [2][2]int{{n, d}, {d, n}} {
				a, b := i+c[0], j+c[1]
				if b+1 < len(newer.lines) && older.hasAt(a, newer.lines[b]) && older.hasAt(a+1, newer.lines[b+1]) {
					return c[0], c[1], true
				}
			}
		}
	}
	return 0, 0, false
}

// Diff returns pieces that make newer from older.
func Diff(older, newer []byte) []*peer.Patch {
	o, n := split(older), split(newer)
	var out []*peer.Patch
	cur := &peer.Patch{}
	// next is the line of older with which the current copy would continue.
	next := 0
	for j := 0; j < len(n.lines); {
		line := n.lines[j]
		if o.hasAt(next, line) {
			if len(cur.Data) > 0 || int(cur.Offset+cur.Length) != o.starts[next] {
				out = appendPiece(out, cur)
				cur = &peer.Patch{Offset: uint32(o.starts[next])}
			}
			cur.Length += uint32(len(line))
			next++
			j++
			continue
		}
		if skip, differ, ok := resync(o, n, next, j); ok {
			cur.Data = append(cur.Data, bytes.Join(n.lines[j:j+differ], nil)...)
			next += skip
			j += differ
			continue
		}
		if place := o.find(line, next); place >= 0 {
			next = place
			continue
		}
		cur.Data = append(cur.Data, line...)
		j++
	}
	return compact(older, appendPiece(out, cur))
}

func appendPiece(out []*peer.Patch, p *peer.Patch) []*peer.Patch {
	if p.Length == 0 && len(p.Data) == 0 {
		return out
	}
	return append(out, p)
}

// compact replaces short copies by data of the preceding piece.
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

// Apply returns the newer document. It fails when a piece lies beyond the older
// document or the result exceeds limit bytes.
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
