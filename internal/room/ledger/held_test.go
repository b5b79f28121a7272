package ledger_test

import (
	"testing"

	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

// Guards against leases on engines whose limits leave no room for the edge daemon: it
// would have to ask again for each.
func TestHeldEngines(t *testing.T) {
	two := append(engines(2, 4, 20000), ledger.Engine{ID: "p2", Domain: "b", Stage: pool.Prefill, Slots: 4, Tokens: 20000})
	cases := map[string]struct {
		held, excluded  []string
		decode, prefill string
		reason          string
	}{
		"none":                        {nil, nil, "d1", "p1", ""},
		"decode engine":               {[]string{"d1"}, nil, "d2", "p1", ""},
		"prefill engine":              {[]string{"p1"}, nil, "d1", "p2", ""},
		"all prefill engines":         {[]string{"p1", "p2"}, nil, "d1", "", ""},
		"one held, the other failed":  {[]string{"p1"}, []string{"p2"}, "d1", "p2", ""},
		"all decode engines":          {[]string{"d1", "d2"}, nil, "", "", ledger.ReasonNoEngine},
		"held and failed, all decode": {[]string{"d1"}, []string{"d2"}, "", "", ledger.ReasonNoEngine},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New("s")
			l.SetEngines(t0, two)
			req := request(1)
			req.Held, req.Excluded = c.held, c.excluded
			r := replyTo(t, l.Submit(t0, edge1, req), 1)
			if r.Decode != c.decode || r.Prefill != c.prefill || r.Reason != c.reason {
				t.Errorf("decode %q, prefill %q, reason %q; want %q, %q, %q", r.Decode, r.Prefill, r.Reason, c.decode, c.prefill, c.reason)
			}
		})
	}
}
