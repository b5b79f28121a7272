package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/retry"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// failurePoints are the points at which the connection or the backend process can
// fail in one attempt, with the fault that is seen and how often the call ran.
var failurePoints = []struct {
	name  string
	fault event.Fault
	ran   int
}{
	{"connection refused", event.FaultUnsent, 0},
	{"connection opened, nothing written", event.FaultUnsent, 0},
	{"cut within the request", event.FaultBroken, 0},
	{"process dies before it starts", event.FaultCrashed, 0},
	{"refused before the start", event.FaultRefused, 0},
	{"silent, request lost", event.FaultStalled, 0},
	{"silent, answer lost", event.FaultStalled, 1},
	{"process dies during the run", event.FaultCrashed, 1},
	{"cut within the answer", event.FaultBroken, 1},
	{"error reported after the run", event.FaultFailed, 1},
	{"answered", event.FaultNone, 1},
}

type result struct {
	decision        retry.Decision
	runs, sent, end int
}

// simulate makes attempts that fail at the given points until the rules end the
// call. Each attempt takes 10 ms, each wait 5 ms.
func simulate(steps []int, idempotent bool, budget, left int) result {
	var o result
	maybeReceived := false
	for _, step := range steps {
		p := failurePoints[step]
		o.runs += p.ran
		o.sent++
		o.end = left
		left -= 10
		o.decision = retry.Decide(retry.State{
			Fault: p.fault, MaybeReceived: maybeReceived, Idempotent: idempotent,
			Budget:     func() bool { budget--; return budget >= 0 },
			Left:       time.Duration(left) * time.Millisecond,
			Wait:       5 * time.Millisecond,
			RetryAfter: time.Second,
		})
		if o.decision.Next != retry.Send {
			return o
		}
		maybeReceived = o.decision.MaybeReceived
		left -= 5
	}
	return o
}

func parameters(seed int64) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 5000
	return p
}

// Guards against a second run of a call that is not idempotent, against the answer
// not run for a call that ran, and against retries past the budget or deadline.
func TestDecideProperties(t *testing.T) {
	ps := gopter.NewProperties(parameters(1))
	args := []gopter.Gen{
		gen.SliceOfN(12, gen.IntRange(0, len(failurePoints)-1)),
		gen.Bool(), gen.IntRange(0, 8), gen.IntRange(0, 150),
	}
	ps.Property("a call that may not be repeated runs at most once", prop.ForAll(
		func(steps []int, _ bool, budget, left int) bool {
			return simulate(steps, false, budget, left).runs <= 1
		}, args...))
	ps.Property("not run is said only for a call that did not run", prop.ForAll(
		func(steps []int, idempotent bool, budget, left int) bool {
			o := simulate(steps, idempotent, budget, left)
			return o.decision.Kind != citronrock.NotRun || o.runs == 0
		}, args...))
	ps.Property("failed is said only for a call that ran", prop.ForAll(
		func(steps []int, idempotent bool, budget, left int) bool {
			o := simulate(steps, idempotent, budget, left)
			return o.decision.Kind != citronrock.Failed || o.runs > 0
		}, args...))
	ps.Property("retries stay within budget and deadline", prop.ForAll(
		func(steps []int, idempotent bool, budget, left int) bool {
			o := simulate(steps, idempotent, budget, left)
			return o.sent <= 1+budget && (o.sent == 1 || o.end > 0)
		}, args...))
	ps.Property("a call that did not run may come back", prop.ForAll(
		func(steps []int, idempotent bool, budget, left int) bool {
			o := simulate(steps, idempotent, budget, left)
			return o.decision.Kind != citronrock.NotRun || o.decision.RetryAfter > 0
		}, args...))
	ps.TestingRun(t)
}

// Guards each row of the rule table.
func TestDecideTable(t *testing.T) {
	const (
		send   = "send"
		notrun = "notrun"
	)
	cases := map[string]struct {
		fault                     event.Fault
		maybeReceived, idempotent bool
		budget                    bool
		want                      string
	}{
		"answered":                       {event.FaultNone, false, false, true, "none"},
		"unsent":                         {event.FaultUnsent, false, false, true, send},
		"unsent, no budget":              {event.FaultUnsent, false, false, false, notrun},
		"refused":                        {event.FaultRefused, false, false, true, send},
		"refused, no budget":             {event.FaultRefused, false, true, false, notrun},
		"broken":                         {event.FaultBroken, false, false, true, "unknown"},
		"broken, idempotent":             {event.FaultBroken, false, true, true, send},
		"broken, idempotent, no budget":  {event.FaultBroken, false, true, false, "unknown"},
		"stalled":                        {event.FaultStalled, false, false, true, "unknown"},
		"crashed":                        {event.FaultCrashed, false, false, true, "unknown"},
		"failed":                         {event.FaultFailed, false, true, true, "failed"},
		"unsent after broken, no budget": {event.FaultUnsent, true, true, false, "unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := retry.Decide(retry.State{
				Fault: c.fault, MaybeReceived: c.maybeReceived, Idempotent: c.idempotent,
				Budget: func() bool { return c.budget },
				Left:   time.Second, RetryAfter: time.Second,
			})
			got := v.Kind.String()
			if v.Next == retry.Send {
				got = send
			}
			if got != c.want {
				t.Errorf("Decide = %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against retries that multiply the load of an outage.
func TestBudgetProperties(t *testing.T) {
	ps := gopter.NewProperties(parameters(2))
	ps.Property("retries are at most the limit and the share of first attempts", prop.ForAll(
		func(steps []bool, percent, limit int) bool {
			share := float64(percent) / 100
			b := retry.NewBudget(share, float64(limit))
			first, again := 0, 0
			for _, retried := range steps {
				if !retried {
					b.Sent()
					first++
				} else if b.Take() {
					again++
				}
			}
			return float64(again) <= float64(limit)+share*float64(first)+1e-9
		}, gen.SliceOf(gen.Bool()), gen.IntRange(0, 100), gen.IntRange(0, 20)))
	ps.TestingRun(t)
}

// Guards against waits that grow without bound, and against retries of failed calls
// at the same time.
func TestBackoffProperties(t *testing.T) {
	ps := gopter.NewProperties(parameters(3))
	ps.Property("the wait is above zero, bounded, and varies", prop.ForAll(
		func(attempt int, seed uint64) bool {
			rnd := rand.New(rand.NewPCG(seed, 0))
			a, b := retry.Backoff(attempt, rnd), retry.Backoff(attempt, rnd)
			return a > 0 && b > 0 && a != b && max(a, b) < 2100*time.Millisecond
		}, gen.IntRange(-1, 1000), gen.UInt64()))
	ps.TestingRun(t)
}
