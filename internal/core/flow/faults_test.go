package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// cancelled returns the engines that got a Cancel among the last actions.
func (s *script) cancelled() []string {
	var names []string
	for _, a := range find[event.Cancel](s.out) {
		names = append(names, a.Engine)
	}
	slices.Sort(names)
	return names
}

// TestFaults guards against a wrong decision after a fault in each step: what is
// freed, and whether the request gets another lease request or its answer.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		play    func(*script, string) string
		freed   int
		kind    int
		again   bool
	}{
		"hold refused":        {"orders", holdEnds(event.FaultRefused), 0, 0, true},
		"hold broken":         {"orders", holdEnds(event.FaultBroken), 1, 0, true},
		"prefill refused":     {"orders", prefillEnds(event.FaultRefused), 0, 0, true},
		"prefill crashed":     {"drafts", prefillEnds(event.FaultCrashed), 1, 0, true},
		"prefill crashed, no": {"orders", prefillEnds(event.FaultCrashed), 2, 3, false},
		"move broken":         {"orders", moveEnds(event.FaultBroken), 1, 0, true},
		"move failed":         {"drafts", moveEnds(event.FaultFailed), 1, 0, true},
		"move failed, no":     {"orders", moveEnds(event.FaultFailed), 2, 3, false},
		"decode refused":      {"drafts", decodeEnds(event.FaultRefused), 1, 0, true},
		"decode crashed":      {"drafts", decodeEnds(event.FaultCrashed), 1, 0, true},
		"decode crashed, no":  {"orders", decodeEnds(event.FaultCrashed), 1, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			engine := c.play(s, c.service)
			if got := s.cancelled(); len(got) != c.freed {
				t.Errorf("freed %v, want %d", got, c.freed)
			}
			kind := 0
			for _, a := range find[event.Answer](s.out) {
				kind = a.Kind
			}
			if kind != c.kind {
				t.Errorf("kind %d, want %d", kind, c.kind)
			}
			if len(find[event.SendAsk](s.out)) == 0 {
				s.wait(100 * time.Millisecond)
			}
			asks := find[event.SendAsk](s.out)
			if (len(asks) == 1) != c.again {
				t.Fatalf("%d lease requests, want one: %v", len(asks), c.again)
			}
			if c.again && !slices.Contains(asks[0].Ask.GetAvoid(), engine) {
				t.Errorf("the next lease request does not avoid %s", engine)
			}
		})
	}
}

func holdEnds(f event.Fault) func(*script, string) string {
	return func(s *script, svc string) string {
		s.grant(s.arrive("r", svc), "p1", "d1")
		h := one[event.Hold](s)
		s.step(event.Held{Request: "r", Engine: h.Engine, Fault: f})
		return h.Engine
	}
}

func prefillEnds(f event.Fault) func(*script, string) string {
	return func(s *script, svc string) string {
		p := s.prefill("r", svc)
		s.step(event.Prefilled{Request: "r", Engine: p.Engine, Fault: f})
		return p.Engine
	}
}

func moveEnds(f event.Fault) func(*script, string) string {
	return func(s *script, svc string) string {
		v := s.moving("r", svc)
		s.step(event.Moved{Request: "r", Engine: v.To, Fault: f})
		if f == event.FaultFailed {
			return v.From
		}
		return v.To
	}
}

func decodeEnds(f event.Fault) func(*script, string) string {
	return func(s *script, svc string) string {
		d := s.decode("r", svc)
		s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: d.Stream, Fault: f})
		return d.Engine
	}
}

// TestKeptCache guards against a second prefill when only the decode engine was
// lost, and against the use of a KV cache after its retention.
func TestKeptCache(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		move bool
	}{
		"in time": {0, true},
		"late":    {800 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			v := s.moving("r", "drafts")
			s.step(event.Moved{Request: "r", Engine: v.To, Fault: event.FaultUnsent})
			s.wait(50 * time.Millisecond)
			s.grant(one[event.SendAsk](s).Ask, "p2", "d2")
			h := one[event.Hold](s)
			// The clock passes the 250 ms timeout of the Hold without a Tick, so the
			// late answer still counts.
			s.now = s.now.Add(c.late)
			s.step(event.Held{Request: "r", Engine: h.Engine})
			moves := find[event.Move](s.out)
			if (len(moves) == 1) != c.move {
				t.Fatalf("moves %v", moves)
			}
			if c.move && moves[0].From != v.From {
				t.Fatalf("moved from %s, the cache is on %s", moves[0].From, v.From)
			}
		})
	}
}

// TestResumes guards against an endless wait for a stalled stream, tokens that are
// requested twice, and a stream that is resumed without limit.
func TestResumes(t *testing.T) {
	s := newScript(t)
	d := s.decode("r", "drafts")
	s.step(event.Progress{Request: "r", Stream: d.Stream, Next: 4})
	s.wait(256 * time.Millisecond)
	n := one[event.Decode](s)
	if n.From != 4 || n.Stream != 2 || n.Engine != d.Engine {
		t.Fatalf("resumed as %+v", n)
	}
	s.wait(3 * time.Second)
	if len(find[event.Decode](s.out)) != 1 || len(find[event.SendAsk](s.out)) == 0 {
		t.Fatalf("after more stalls: %s", actionNames(s.out))
	}
}

// TestEngineGone guards against a crash that gets no strike because the stream broke
// first and the engine then refused connections.
func TestEngineGone(t *testing.T) {
	strikes := newStrikeTable()
	s := newScript(t, flow.WithStrikes(strikes))
	d := s.decode("r", "drafts")
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Next: 3, Fault: event.FaultBroken})
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 2, Next: 3, Fault: event.FaultUnsent})
	if len(s.out) != 0 {
		t.Fatalf("no backoff before the third stream: %s", actionNames(s.out))
	}
	s.wait(100 * time.Millisecond)
	n := one[event.Decode](s)
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: n.Stream, Next: 3, Fault: event.FaultUnsent})
	if one[event.SendStrike](s); strikes.count[7] != 1 {
		t.Fatalf("%d strikes", strikes.count[7])
	}
}

// TestLateStream guards against events of an earlier stream that end or advance the
// request.
func TestLateStream(t *testing.T) {
	s := newScript(t)
	d := s.decode("r", "drafts")
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Next: 2, Fault: event.FaultBroken})
	n := one[event.Decode](s)
	s.step(event.Progress{Request: "r", Stream: 1, Next: 9})
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Next: 10})
	if len(s.out) != 0 {
		t.Fatalf("events of the first stream caused %s", actionNames(s.out))
	}
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: n.Stream, Next: 10})
	one[event.Answer](s)
}

// TestOwnerLost guards against endless lease requests, and a client without an
// answer, when no owner replies.
func TestOwnerLost(t *testing.T) {
	s := newScript(t)
	s.step(event.Arrive{
		Request: "r", Tenant: "agentschap", Service: "orders", Tokens: 9, Max: 9,
		Deadline: s.now.Add(time.Hour),
	})
	asks := len(find[event.SendAsk](s.out))
	s.wait(time.Minute)
	asks += len(find[event.SendAsk](s.out))
	a := one[event.Answer](s)
	if asks != 10 || a.Kind != 1 || a.After == 0 {
		t.Fatalf("%d lease requests, answer %+v", asks, a)
	}
}

// TestOwnerRefuses guards against a refused request that waits although it is not
// deferrable, and against endless lease requests for a deferrable one.
func TestOwnerRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		service     string
		least, most int
	}{
		"interactive": {"orders", 2, 2},
		"deferrable":  {"drafts", 10, 64},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			asks := []event.SendAsk{{Ask: s.arrive("r", c.service)}}
			var answers []event.Answer
			for i := 0; i < len(asks) && len(answers) == 0; i++ {
				s.step(event.Granted{Grant: &peer.Grant{Request: "r", After: 200, Reason: "overload"}})
				if len(find[event.SendAsk](s.out))+len(find[event.Answer](s.out)) == 0 {
					s.wait(250 * time.Millisecond)
				}
				asks = append(asks, find[event.SendAsk](s.out)...)
				answers = append(answers, find[event.Answer](s.out)...)
			}
			if len(asks) < c.least || len(asks) > c.most {
				t.Errorf("%d lease requests", len(asks))
			}
			if len(answers) != 1 || answers[0].Kind != 1 || answers[0].After == 0 {
				t.Errorf("answers %+v", answers)
			}
		})
	}
}

// TestReleasedEngine guards against new work on an engine while a cleanup of the
// same request runs there: the Cancel could end the new work, or its answer could
// be taken for that of a later Cancel.
func TestReleasedEngine(t *testing.T) {
	s := newScript(t)
	d := s.decode("r", "drafts")
	p := d.Engine[:len(d.Engine)-2] + "p1"
	s.step(event.Prefilled{Request: "r", Engine: p, Handle: "h"})
	one[event.Cancel](s)
	s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Fault: event.FaultCrashed})
	s.wait(50 * time.Millisecond)
	a := one[event.SendAsk](s).Ask
	a.Cell = p[:len(p)-2]
	s.grant(a, "p1", "d2")
	if n := len(find[event.Hold](s.out)); n != 0 {
		t.Fatal("a lease was used on an engine with a cleanup of the request")
	}
}

// TestGone guards against engine memory that stays held after the client has left.
func TestGone(t *testing.T) {
	s := newScript(t)
	v := s.moving("r", "drafts")
	s.step(event.Gone{Request: "r"})
	if got := s.cancelled(); !slices.Equal(got, []string{v.To, v.From}) {
		t.Fatalf("cancelled on %v", got)
	}
	s.step(event.Cancelled{Request: "r", Engine: v.From})
	s.step(event.Cancelled{Request: "r", Engine: v.To, Fault: event.FaultStalled})
	s.wait(100 * time.Millisecond)
	if c := one[event.Cancel](s); c.Engine != v.To || !c.Fresh || c.Fence != 9 {
		t.Fatalf("repeated as %+v", c)
	}
}

// TestPaused guards against a prefill with a lease from before a process pause.
func TestPaused(t *testing.T) {
	s := newScript(t)
	s.grant(s.arrive("r", "drafts"), "p1", "d1")
	h := one[event.Hold](s)
	s.step(event.Held{Request: "r", Engine: h.Engine})
	s.now = s.now.Add(700 * time.Millisecond)
	s.step(event.Paused{Gap: 700 * time.Millisecond})
	one[event.SendAsk](s)
	s.wait(20 * time.Millisecond)
	if n := len(find[event.Prefill](s.out)); n != 0 {
		t.Fatalf("%d prefills with a lease from before the pause", n)
	}
}

// TestLeaving guards against new work on an engine that is leaving by the instance
// list.
func TestLeaving(t *testing.T) {
	s := newScript(t)
	a := s.arrive("r", "drafts")
	s.step(event.Listed{Instances: []*platfm.Instance{
		{Name: a.GetCell() + "d1", Kind: "engine", State: "leaving"},
	}})
	s.grant(a, "p1", "d1")
	if n := len(find[event.Hold](s.out)); n != 0 {
		t.Fatal("memory was reserved on a leaving engine")
	}
	s.wait(50 * time.Millisecond)
	if avoid := one[event.SendAsk](s).Ask.GetAvoid(); !slices.Equal(avoid, []string{a.GetCell() + "d1"}) {
		t.Fatalf("avoids %v", avoid)
	}
}

// TestStrikes guards against a request that crashes a third engine, and against a
// strike that is kept after a run with its fingerprint has completed.
func TestStrikes(t *testing.T) {
	strikes := newStrikeTable()
	s := newScript(t, flow.WithStrikes(strikes))
	for i := range 2 {
		d := s.decode(fmt.Sprint("r", i), "orders")
		s.step(event.Ended{Request: d.Request, Engine: d.Engine, Stream: 1, Fault: event.FaultCrashed})
		if strike := one[event.SendStrike](s).Strike; strike.GetEngine() != d.Engine {
			t.Fatalf("strike %v", strike)
		}
	}
	s.step(event.Arrive{Request: "r2", Tenant: "agentschap", Service: "orders", Print: 7, Deadline: s.now.Add(time.Second)})
	if a := one[event.Answer](s); a.Kind != 1 || a.Reason != "suspect" || a.After == 0 {
		t.Fatalf("answer %+v", a)
	}
	strikes.count[7] = 1
	d := s.decode("r3", "orders")
	s.step(event.Ended{Request: "r3", Engine: d.Engine, Stream: 1, Next: 10})
	if !one[event.SendStrike](s).Strike.GetClear() || strikes.count[7] != 0 {
		t.Fatal("the strike was not cleared")
	}
}

// TestBudget guards against retries that multiply the load of an outage, and
// against one failing engine that uses up the retry budget of its service.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		engines []string
		want    int
	}{
		// Each budget starts full and gains one retry per ten of the 200 requests.
		"one engine": {[]string{"d1"}, 24 + 20},
		"service":    {[]string{"d1", "d2", "d3"}, 64 + 20},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			retries := 0
			for i := range 200 {
				id := fmt.Sprint("r", i)
				a := s.arrive(id, "drafts")
				a.Cell = "draftsa"
				s.grant(a, "p1", c.engines[i%len(c.engines)])
				s.step(event.Held{Request: id, Engine: one[event.Hold](s).Engine})
				s.wait(10 * time.Millisecond)
				s.step(event.Prefilled{Request: id, Engine: "draftsap1"})
				s.step(event.Moved{Request: id, Engine: one[event.Move](s).To})
				s.step(event.Ended{Request: id, Engine: one[event.Decode](s).Engine, Stream: 1, Fault: event.FaultCrashed})
				retries += 1 - len(find[event.Answer](s.out))
				s.step(event.Gone{Request: id})
			}
			if retries < c.want-3 || retries > c.want {
				t.Fatalf("%d retries, want at most %d", retries, c.want)
			}
		})
	}
}

// TestGrantTooLate guards against the use of a lease whose first token is expected
// after the deadline of the request.
func TestGrantTooLate(t *testing.T) {
	s := newScript(t)
	a := s.arrive("r", "drafts")
	s.step(event.Granted{Grant: &peer.Grant{
		Request: "r", Granted: true, Prefill: a.GetCell() + "p1", Decode: a.GetCell() + "d1", First: 30_000,
	}})
	if a := one[event.Answer](s); a.Kind != 1 || a.After == 0 || len(find[event.Hold](s.out)) != 0 {
		t.Fatalf("answer %+v", a)
	}
}

// TestReleasesBounded guards against an unbounded number of cleanups while an engine
// is unreachable.
func TestReleasesBounded(t *testing.T) {
	s := newScript(t)
	for i := range 1<<14 + 100 {
		s.step(event.Held{Request: fmt.Sprint("r", i), Engine: "draftsad1"})
	}
	if _, n := s.m.InFlight(); n != 1<<14 {
		t.Fatalf("%d cleanups", n)
	}
}
