package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the length of an answer, in tokens, before the request's limit.
const (
	minAnswerTokens = 16
	maxAnswerTokens = 1040
)

// Text is the answer to a prompt. It is a function of the prompt alone, so that any
// engine can resume it at any index and a checker can verify it.
type Text struct{ sum uint64 }

// NewText returns the answer that all engines give to prompt.
func NewText(prompt string) Text {
	return Text{sum: xxhash.Sum64String(prompt)}
}

// Token returns the text of the token at index, which begins with a space.
func (t Text) Token(index uint32) string {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], t.sum)
	binary.LittleEndian.PutUint32(b[8:], index)
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])&0xfffff, 36)
}

// Len returns the number of tokens of an answer of at most limit tokens, and the
// finish reason: "length" if the limit cuts it, else "stop".
func (t Text) Len(limit uint32) (uint32, string) {
	full := uint32(minAnswerTokens + t.sum%(maxAnswerTokens-minAnswerTokens))
	if limit <= full {
		return limit, "length"
	}
	return full, "stop"
}

// Answer returns the whole answer to prompt, of at most limit tokens, and its finish
// reason.
func Answer(prompt string, limit uint32) (text, finish string) {
	t := NewText(prompt)
	n, finish := t.Len(limit)
	var b strings.Builder
	for i := range n {
		b.WriteString(t.Token(i))
	}
	return b.String(), finish
}

// CountTokens returns the length of a prompt in tokens of 4 bytes, rounded up.
func CountTokens(prompt string) uint32 {
	return uint32((len(prompt) + 3) / 4)
}

// BlockHashes returns the hashes of the complete KV blocks of a prompt. Each covers
// all bytes from the start of the prompt to the end of the block.
func BlockHashes(prompt string) []uint64 {
	const size = BlockTokens * 4
	var out []uint64
	d := xxhash.New()
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		out = append(out, d.Sum64())
		prompt = prompt[size:]
	}
	return out
}
