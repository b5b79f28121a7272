// Package load generates an open-loop load against daemons and validates the
// answers: requests are sent at their arrival times, however many are in flight.
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// LogNormal is a log-normal distribution that is clamped to Min and Max.
type LogNormal struct {
	Median float64
	// Sigma is the standard deviation of the logarithm.
	Sigma    float64
	Min, Max float64
}

func (s LogNormal) draw(r *rand.Rand) uint32 {
	v := s.Median * math.Exp(s.Sigma*r.NormFloat64())
	return uint32(min(max(v, s.Min), s.Max))
}

// Class is one kind of request in a workload.
type Class struct {
	Name, Tenant, Service string
	// Weight is the share of this class in all arrivals, relative to the sum of
	// the weights of all classes.
	Weight float64
	// First and Gap are the targets for the time to the first token (or to the
	// response of a plain service) and between tokens. Only answers that meet
	// both count as goodput. Gap is zero for plain services.
	First, Gap time.Duration
	// Deadline is the caller's timeout, over all retries.
	Deadline time.Duration

	// Path makes the class a call to a plain service, with a body of Body bytes.
	Path string
	Body int
	// AtMostOnce marks calls that must not be executed twice; they carry an
	// execution token.
	AtMostOnce bool

	// Prompt and Output are lengths in tokens.
	Prompt, Output LogNormal
	// Poison is a text in each prompt that crashes the engine stand-ins which
	// were started with the same text.
	Poison string
	// Prefixes is the number of shared prompt prefixes, chosen with a Zipf
	// distribution; SharedFraction is the part of a prompt that the prefix fills.
	Prefixes       uint64
	SharedFraction float64
}

func (c *Class) plain() bool { return c.Path != "" }

// Agentschap is the workload of the lace wholesaler: drafts and replies by the
// model service taalpost, stock checks and orders by the plain service bestelbalie.
func Agentschap() []Class {
	return []Class{
		{
			Name: "draft", Tenant: "agentschap", Service: "taalpost", Weight: 0.15,
			First: 3 * time.Second, Gap: 40 * time.Millisecond, Deadline: 40 * time.Second,
			Prompt: LogNormal{9000, 0.5, 3000, 24000}, Output: LogNormal{160, 0.5, 40, 400},
			Prefixes: 12, SharedFraction: 0.7,
		},
		{
			Name: "reply", Tenant: "agentschap", Service: "taalpost", Weight: 0.2,
			First: 1500 * time.Millisecond, Gap: 40 * time.Millisecond, Deadline: 30 * time.Second,
			Prompt: LogNormal{1500, 0.6, 200, 6000}, Output: LogNormal{90, 0.5, 20, 250},
			Prefixes: 12, SharedFraction: 0.4,
		},
		{
			Name: "stock", Tenant: "agentschap", Service: "bestelbalie", Weight: 0.45,
			First: 150 * time.Millisecond, Deadline: 5 * time.Second, Path: "/stock", Body: 120,
		},
		{
			Name: "order", Tenant: "agentschap", Service: "bestelbalie", Weight: 0.2,
			First: 500 * time.Millisecond, Deadline: 10 * time.Second, Path: "/order", Body: 600, AtMostOnce: true,
		},
	}
}

// XeNho is the workload of the balance bike lender: assessments from rental
// histories and renewal letters by the model service letter-llm, checkouts and
// stock lookups by the plain service counter-app.
func XeNho() []Class {
	return []Class{
		{
			Name: "history", Tenant: "xenho", Service: "letter-llm", Weight: 0.12,
			First: 4 * time.Second, Gap: 40 * time.Millisecond, Deadline: 60 * time.Second,
			Prompt: LogNormal{14000, 0.4, 5000, 32000}, Output: LogNormal{120, 0.5, 30, 300},
			Prefixes: 40, SharedFraction: 0.8,
		},
		{
			Name: "letter", Tenant: "xenho", Service: "letter-llm", Weight: 0.18,
			First: 2 * time.Second, Gap: 40 * time.Millisecond, Deadline: 40 * time.Second,
			Prompt: LogNormal{2500, 0.6, 400, 8000}, Output: LogNormal{140, 0.5, 40, 350},
			Prefixes: 8, SharedFraction: 0.5,
		},
		{
			Name: "checkout", Tenant: "xenho", Service: "counter-app", Weight: 0.25,
			First: 500 * time.Millisecond, Deadline: 10 * time.Second, Path: "/checkout", Body: 400, AtMostOnce: true,
		},
		{
			Name: "lookup", Tenant: "xenho", Service: "counter-app", Weight: 0.45,
			First: 120 * time.Millisecond, Deadline: 5 * time.Second, Path: "/lookup", Body: 80,
		},
	}
}
