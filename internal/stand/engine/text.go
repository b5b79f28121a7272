package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the natural length of an answer in tokens.
const (
	shortest = 16
	longest  = 1040
)

// Text is the answer to a prompt. It depends on the prompt only, so that any
// engine continues it at any index and a checker can verify it.
type Text struct{ sum uint64 }

// NewText returns the answer to prompt.
func NewText(prompt string) Text {
	return Text{sum: xxhash.Sum64String(prompt)}
}

// Token returns the token at index.
func (t Text) Token(index uint32) string {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], t.sum)
	binary.LittleEndian.PutUint32(b[8:], index)
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])&0xfffff, 36)
}

// Len returns the number of tokens of an answer that is limited to limit
// tokens, and why it ends: "length" at the limit, else "stop".
func (t Text) Len(limit uint32) (uint32, string) {
	natural := uint32(shortest + t.sum%(longest-shortest))
	if limit <= natural {
		return limit, "length"
	}
	return natural, "stop"
}

// Answer returns the whole answer to prompt and why it ends.
func Answer(prompt string, limit uint32) (text, finish string) {
	t := NewText(prompt)
	n, finish := t.Len(limit)
	var b strings.Builder
	for i := range n {
		b.WriteString(t.Token(i))
	}
	return b.String(), finish
}

// CountTokens returns the length of a prompt in tokens, of 4 bytes each.
func CountTokens(prompt string) uint32 {
	return uint32((len(prompt) + 3) / 4)
}

// PieceHashes returns the hashes of the whole pieces of a prompt, each over all
// bytes up to the end of the piece.
func PieceHashes(prompt string) []uint64 {
	const size = PieceTokens * 4
	var out []uint64
	d := xxhash.New()
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		out = append(out, d.Sum64())
		prompt = prompt[size:]
	}
	return out
}
