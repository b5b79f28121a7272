package patch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
)

// text returns a document with few distinct lines, so that copies are ambiguous.
func text(lines []uint8) []byte {
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(strings.Repeat(string('a'+rune(l%5)), int(l%40)))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// Guards against a daemon that runs a document other than the published one.
func TestPatchMakesTheNewerDocument(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("apply undoes diff", prop.ForAll(func(a, b []uint8, cut int) bool {
		older, newer := text(a), text(b)
		newer = newer[:len(newer)-cut%(len(newer)+1)]
		got, err := Apply(older, Diff(older, newer), 1<<20)
		return err == nil && bytes.Equal(got, newer)
	}, gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.UInt8()), gen.IntRange(0, 50)))
	properties.TestingRun(t)
}

// Guards against patches that are nearly as large as the document.
func TestPatchOfOneLineIsSmall(t *testing.T) {
	var b bytes.Buffer
	for i := range 5000 {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"t%d\"\nrate = %d\nburst = 10\nopen = 20\n\n", i, i%7)
	}
	older := "version = 7\n\n" + b.String()
	newer := "version = 8\n\n" + strings.Replace(b.String(), "name = \"t2500\"\nrate = 1\n", "name = \"t2500\"\nrate = 900\n", 1)
	if n := proto.Size(&peer.FetchReply{Patch: Diff([]byte(older), []byte(newer))}); n > 100 {
		t.Errorf("the patch takes %d bytes", n)
	}
}

// Guards against a crash or excessive memory by a patch of another document.
func TestPatchOutOfRange(t *testing.T) {
	cases := map[string][]*peer.Patch{
		"beyond the end": {{Offset: 3, Length: 2}},
		"overflow":       {{Offset: 1 << 31, Length: 1 << 31}},
		"too large":      {{Length: 4}, {Length: 4}, {Length: 4}, {Data: make([]byte, 9)}},
	}
	for name, p := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Apply([]byte("abcd"), p, 20); err == nil {
				t.Error("the patch was applied")
			}
		})
	}
}
