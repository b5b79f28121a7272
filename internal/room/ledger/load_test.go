package ledger_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/room/ledger"
)

// generation is a generation in the simulated engines.
type generation struct {
	edge           netip.AddrPort
	decode         string
	prompt, output int
	generated      float64
	startedAt      time.Time
}

// simulation runs generations against ledgers and engines that generate tokens at a
// fixed rate and refuse a generation for which they have no memory.
type simulation struct {
	t        *testing.T
	ledgers  []*ledger.Ledger
	edges    []netip.AddrPort
	rng      *rand.Rand
	now      time.Time
	id       uint64
	sequence uint64

	waiting      map[uint64]ledger.Request
	requestEdges map[uint64]int
	running      map[uint64]*generation

	// tokens and slots are the size of an engine, spread is the deviation of outputs
	// from their expectation.
	tokens, slots int
	spread        float64

	submitted, granted, onTime, refused, full, preempted int
	retries                                              []time.Time
}

const (
	simEngines = 6
	simTokens  = 100_000
	simSlots   = 64
	// simDecodeRate is the output of a run in tokens a second, simStep the time step of
	// the simulation.
	simDecodeRate = 1000
	simStep       = 10 * time.Millisecond
)

func newSimulation(t *testing.T, edges int, shared bool) *simulation {
	return newSizedSimulation(t, edges, shared, simTokens, simSlots, 0.5)
}

func newSizedSimulation(t *testing.T, edges int, shared bool, tokens, slots int, spread float64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(7, 7)), now: t0, waiting: map[uint64]ledger.Request{},
		requestEdges: map[uint64]int{}, running: map[uint64]*generation{}, tokens: tokens, slots: slots, spread: spread}
	for i := range edges {
		s.edges = append(s.edges, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		if i == 0 || !shared {
			l := ledger.New("s")
			l.SetEngines(t0, engines(simEngines, slots, tokens))
			s.ledgers = append(s.ledgers, l)
		}
	}
	return s
}

// ledger returns the ledger that a daemon uses.
func (s *simulation) ledger(edge int) *ledger.Ledger { return s.ledgers[edge%len(s.ledgers)] }

func (s *simulation) lognormal(mean, spread float64) int {
	return int(mean * math.Exp(s.rng.NormFloat64()*spread-spread*spread/2))
}

// play runs the simulation for a while at a number of requests a second.
func (s *simulation) play(rate float64, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.grow()
		if s.now.UnixMilli()%200 == 0 {
			s.report()
		}
		if s.rng.Float64() < rate*simStep.Seconds() {
			s.submit()
		}
		for _, l := range s.ledgers {
			s.handle(l.Tick(s.now))
		}
	}
}

func (s *simulation) grow() {
	for id, d := range s.running {
		if d.generated += simDecodeRate * simStep.Seconds(); d.generated >= float64(d.output) {
			delete(s.running, id)
		}
	}
	s.preempt()
}

// preempt removes the newest generation of each engine that has run out of memory.
func (s *simulation) preempt() {
	held, newest := map[string]int{}, map[string]uint64{}
	for id, d := range s.running {
		held[d.decode] += d.prompt + int(d.generated)
		newest[d.decode] = max(newest[d.decode], id)
	}
	for engine, tokens := range held {
		if tokens > s.tokens {
			s.preempted++
			delete(s.running, newest[engine])
		}
	}
}

func (s *simulation) report() {
	s.sequence++
	for i, edge := range s.edges {
		report := ledger.Report{Service: "s", Incarnation: 1, Sequence: s.sequence}
		for id, d := range s.running {
			if d.edge == edge {
				report.Runs = append(report.Runs, ledger.Run{Lease: id, Decode: d.decode, Prompt: d.prompt,
					Expected: 4000, Generated: int(d.generated), Phase: ledger.Decoding})
			}
		}
		s.ledger(i).ApplyReport(s.now, edge, report)
	}
}

func (s *simulation) submit() {
	s.id++
	s.submitted++
	edge := s.rng.IntN(len(s.edges))
	req := ledger.Request{Service: "s", Incarnation: 1, ID: s.id, Domain: "a", Prompt: max(s.lognormal(5000, 0.5), 200),
		Expected: 4000, Slack: 600 * time.Millisecond, MaxWait: time.Second, RetryMaxWait: 2 * time.Second,
		MaxRetryAfter: 4500 * time.Millisecond, Fingerprint: s.id}
	s.waiting[req.ID], s.requestEdges[req.ID] = req, edge
	s.handle(s.ledger(edge).Submit(s.now, s.edges[edge], req))
}

func (s *simulation) handle(replies []ledger.Reply) {
	for _, reply := range replies {
		req, ok := s.waiting[reply.ID]
		if !ok {
			continue
		}
		switch reply.Status {
		case ledger.Refused:
			s.refused++
			s.retries = append(s.retries, s.now.Add(reply.RetryAfter))
			delete(s.waiting, reply.ID)
		case ledger.Granted:
			delete(s.waiting, reply.ID)
			s.start(reply, req)
		}
	}
}

func (s *simulation) start(reply ledger.Reply, req ledger.Request) {
	s.granted++
	if reply.Wait <= req.Slack {
		s.onTime++
	}
	held, slots := req.Prompt, 1
	for _, d := range s.running {
		if d.decode == reply.Decode {
			held += d.prompt + int(d.generated)
			slots++
		}
	}
	if held > s.tokens || slots > s.slots {
		s.full++
		return
	}
	s.running[reply.ID] = &generation{edge: s.edges[s.requestEdges[reply.ID]], decode: reply.Decode, prompt: req.Prompt,
		output: min(max(s.lognormal(4000, s.spread), 200), 7500), startedAt: s.now}
}

// Scenario: a burst of twice the usual load for four seconds on engines whose memory
// is nearly full. Guards against prefills whose result no decode engine has memory
// for, and against grants that come too late to be of use.
func TestRush(t *testing.T) {
	s := newSimulation(t, 6, true)
	s.play(10, 6*time.Second)
	s.play(21, 4*time.Second)
	s.play(10, 6*time.Second)
	if s.full > 0 {
		t.Errorf("%d of %d granted requests found no memory, want none", s.full, s.granted)
	}
	if s.onTime*100 < s.granted*95 {
		t.Errorf("%d of %d grants are on time, want 95%%", s.onTime, s.granted)
	}
	if s.granted+s.refused+len(s.waiting) != s.submitted {
		t.Errorf("%d granted, %d refused, %d waiting of %d requests", s.granted, s.refused, len(s.waiting), s.submitted)
	}
}

// Scenario: a burst of requests. Guards against a second burst when all refused
// clients retry at the same time after the load is back to normal.
func TestRetriesAreSpaced(t *testing.T) {
	s := newSimulation(t, 6, true)
	s.play(10, 6*time.Second)
	s.play(60, 2*time.Second)
	if len(s.retries) < 30 {
		t.Fatalf("%d refusals, want a burst that is refused in part", len(s.retries))
	}
	for _, at := range s.retries {
		if wait := at.Sub(s.now); wait < -2*time.Second || wait > 5*time.Second {
			t.Errorf("client should retry after %v, want within 5 s", wait)
		}
	}
	// The retries are spread over at least 1.5 s; the burst took 2 s.
	first, last := s.retries[0], s.retries[0]
	for _, at := range s.retries {
		if at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	if span := last.Sub(first); span < 1500*time.Millisecond {
		t.Errorf("%d clients retry within %v, want at least 1.5 s", len(s.retries), span)
	}
}

// Scenario: a burst of requests at many daemons. Compares one owner with daemons
// that each count only their own runs: the latter grant memory that is in use.
func TestOwnerAgainstSeparateCounts(t *testing.T) {
	play := func(shared bool) *simulation {
		s := newSimulation(t, 6, shared)
		s.play(10, 6*time.Second)
		s.play(30, 4*time.Second)
		return s
	}
	owner, separate := play(true), play(false)
	if owner.full > 0 || separate.full == 0 {
		t.Errorf("granted without memory: %d with an owner, %d with separate counts; want none and some", owner.full, separate.full)
	}
}

// Scenario: responses of very different length on engines that hold few of them.
// Guards against preemption, and the repeated prefill that follows, at normal load
// since outputs are longer than expected; and against memory left unused where
// outputs are as expected.
func TestSpreadOfOutputs(t *testing.T) {
	cases := map[string]struct {
		tokens int
		spread float64
		// preempted bounds the preempted runs in a hundred: a third of the 3.2 that a
		// fixed share of 95% had in the scenario veterlijn-large.
		preempted float64
	}{
		"few large places, wide":     {64_000, 0.45, 1.07},
		"few large places, narrow":   {64_000, 0.05, 1.07},
		"more places, wide":          {100_000, 0.45, 1.07},
		"more places, narrow spread": {100_000, 0.05, 1.07},
	}
	const span = 100 * time.Second
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSizedSimulation(t, 6, true, c.tokens, 64, c.spread)
			s.play(float64(c.tokens)/4500, span)
			if most := c.preempted / 100 * float64(s.granted); float64(s.preempted) > most {
				t.Errorf("%d of %d runs were preempted, want %.0f at most", s.preempted, s.granted, most)
			}
			// A run holds its prompt and on average half of its output while it decodes.
			fits := float64(simEngines*c.tokens) / (5000 + 4000/2) * span.Seconds() * simDecodeRate / 4000
			if float64(s.granted) < 0.75*fits {
				t.Errorf("%d runs granted of %.0f that fit at most, want three quarters", s.granted, fits)
			}
		})
	}
}
