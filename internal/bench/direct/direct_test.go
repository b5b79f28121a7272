package direct

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a load generator and stand-ins that disagree about the protocol or
// the counts: with enough capacity each request must be answered and all memory freed.
func TestLoad(t *testing.T) {
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	doc := &policy.Document{}
	var engines []*engine.Engine
	for _, role := range []string{policy.RolePrefill, policy.RoleDecode, policy.RoleDecode} {
		e := engine.New(func(s *engine.Settings) {
			s.Role, s.Name = role, role
			s.TokenGap, s.PrefillRate, s.Pieces, s.Slots = time.Millisecond, 10000000, 1000, 1000
			s.LinkRate = 1 << 40
		})
		defer func() { _ = e.Close() }()
		if err := e.Listen(any0); err != nil {
			t.Fatal(err)
		}
		engines = append(engines, e)
		doc.Engines = append(doc.Engines, policy.Engine{Service: "taalpost", Role: role, Address: e.Addr()})
	}
	s := plain.New(func(s *plain.Settings) { s.Latency, s.MaxConcurrent = time.Millisecond, 1000 })
	defer func() { _ = s.Close() }()
	if err := s.Listen(any0); err != nil {
		t.Fatal(err)
	}
	doc.Servers = append(doc.Servers, policy.Server{Service: "bestelbalie", Address: s.Addr()})
	r, err := New(doc)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	result, err := load.Run(t.Context(), []string{r.Addr().String()}, func(s *load.Settings) {
		s.Rate, s.Count, s.Time = 200, 100, time.Minute
	})
	if err != nil {
		t.Fatal(err)
	}
	if n, answered := result.Count(load.Answered); n != 100 || answered != 100 {
		t.Fatalf("%d of %d answered: %v", answered, n, result.Failures)
	}
	var computed, used uint64
	for _, e := range engines {
		h := e.Stats()
		computed += h.Computed
		used += h.Used
		if h.Requests != 0 || h.Pieces != 0 || h.Wasted != 0 || h.Duplicates != 0 {
			t.Errorf("held %+v", h)
		}
	}
	if computed == 0 || computed != used {
		t.Errorf("%d prefill tokens computed, %d used", computed, used)
	}
	runs := s.Runs().Paths["/order"]
	for sum, outcome := range result.AtMostOnce["/order"] {
		if outcome != load.Answered || runs[sum] != 1 {
			t.Errorf("order %s: %s, %d runs", sum, outcome, runs[sum])
		}
	}
}
