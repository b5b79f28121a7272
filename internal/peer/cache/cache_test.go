package cache

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

func body(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version = %d\n", version)
	for i := range 200 {
		fmt.Fprintf(&b, "line %d of the document\n", i)
	}
	return b.Bytes()
}

func instances(names ...string) []*platfm.Instance {
	var out []*platfm.Instance
	for _, n := range names {
		out = append(out, &platfm.Instance{Name: n, Kind: "daemon", State: "live"})
	}
	return out
}

// Guards against a reply of a peer that is decoded to other content than the peer
// has, or is sent whole where a change would do.
func TestExchange(t *testing.T) {
	from := New()
	for v := 1; v <= 6; v++ {
		from.PutDocument(uint64(v), body(v))
	}
	from.PutList(1, instances("a", "b", "c"))
	second := instances("a", "c", "d")
	second[1].State = "leaving"
	from.PutList(2, second)
	cases := map[string]struct {
		have  int
		whole bool
	}{
		"fresh":     {have: 0, whole: true},
		"far back":  {have: 1, whole: true},
		"behind":    {have: 4},
		"up to now": {have: 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			to := New()
			if tc.have > 0 {
				to.PutDocument(uint64(tc.have), body(tc.have))
				to.PutList(1, instances("a", "b", "c"))
			}
			r := from.AnswerFetch(&peer.FetchRequest{Above: uint64(tc.have), Revision: uint64(min(tc.have, 1))})
			if got := len(r.Body) > 0; got != tc.whole {
				t.Errorf("whole document: %v", got)
			}
			got, err := to.DecodeDocument(uint64(tc.have), r)
			if err != nil || tc.have < 6 && !bytes.Equal(got, body(6)) {
				t.Errorf("document of %d bytes, %v", len(got), err)
			}
			l, err := to.DecodeList(uint64(min(tc.have, 1)), r)
			if err != nil || len(l) != 3 || !proto.Equal(l[1], second[1]) || l[2].Name != "d" {
				t.Errorf("list %v, %v", l, err)
			}
			if tc.have > 0 && len(r.Instances) != 2 {
				t.Errorf("%d instances were sent", len(r.Instances))
			}
		})
	}
}

// Guards against a corrupt document that is accepted.
func TestChecksum(t *testing.T) {
	from, to := New(), New()
	from.PutDocument(2, body(2))
	r := from.AnswerFetch(&peer.FetchRequest{})
	r.Body = body(3)
	if _, err := to.DecodeDocument(0, r); err == nil {
		t.Error("a body with a wrong checksum was accepted")
	}
	if _, err := to.DecodeDocument(1, &peer.FetchReply{Version: 2, Patch: []*peer.Patch{{Length: 1}}}); err == nil {
		t.Error("a patch of an unknown version was applied")
	}
}

// Guards against a patch that is computed again at each daemon that passes it on,
// which takes milliseconds for a large document.
func TestChangeIsPassedOn(t *testing.T) {
	from, via := New(), New()
	for v := 1; v <= 2; v++ {
		from.PutDocument(uint64(v), body(v))
	}
	via.PutDocument(1, body(1))
	r := from.AnswerFetch(&peer.FetchRequest{Above: 1})
	got, err := via.DecodeDocument(1, r)
	if err != nil {
		t.Fatal(err)
	}
	via.PutDocument(2, got)
	again := via.AnswerFetch(&peer.FetchRequest{Above: 1})
	if len(r.Patch) == 0 || &again.Patch[0] != &r.Patch[0] {
		t.Error("the patch was computed again")
	}
}
