// Package loads generates synthetic request arrivals for the operators' model
// services from a seed, without prompt texts.
package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// Load describes a model service, the size of its pools and its requests.
type Load struct {
	Name, Service   string
	Prefill, Decode int
	Domains         []string
	// Prefixes is the number of shared prompt prefixes, MaxPrefix the upper bound of
	// their lengths and Suffix the median length of the rest, in tokens.
	Prefixes  int
	MaxPrefix uint32
	Suffix    float64
	// Output is the median length of the output, MaxOutput the largest, in tokens.
	Output    float64
	MaxOutput uint32
	// UrgentShare is the share of requests with priority 1; all others have 2.
	UrgentShare float64
	// First and Gap are the targets for the time to the first token and between
	// tokens; Timeout is the time from arrival to deadline.
	First   time.Duration
	Gap     time.Duration
	Timeout time.Duration
	// Waste weighs wasted prefill against goodput, from 0 to 1.
	Waste float64
}

// Operators returns the load of each operator's model service.
func Operators() []Load {
	return []Load{
		{
			Name: "agentschap", Service: "taalpost", Prefill: 4, Decode: 6,
			Domains:  []string{"gent", "mechelen", "hasselt"},
			Prefixes: 40, MaxPrefix: 8000, Suffix: 1500, Output: 160, MaxOutput: 512, UrgentShare: 0.3,
			First: 3 * time.Second, Gap: 40 * time.Millisecond, Timeout: 20 * time.Second, Waste: 0.2,
		},
		{
			Name: "xenho", Service: "letter-llm", Prefill: 3, Decode: 4,
			Domains:  []string{"thuduc", "binhthanh", "dian"},
			Prefixes: 20, MaxPrefix: 4000, Suffix: 2500, Output: 120, MaxOutput: 384, UrgentShare: 0.3,
			First: 3 * time.Second, Gap: 40 * time.Millisecond, Timeout: 20 * time.Second, Waste: 0.8,
		},
	}
}

// Request is one arrival; At is relative to the start of the run and lengths are in
// tokens.
type Request struct {
	ID          string
	At          time.Duration
	Tokens      uint32
	Pieces      []uint64
	Output      uint32
	Priority    uint32
	Fingerprint uint64
	// Edge is a random number that chooses the edge daemon.
	Edge int
}

// Source draws the requests of a load as a Poisson process.
type Source struct {
	load        Load
	rnd         *rand.Rand
	prefixes    []uint32
	totalWeight float64
	seq         int
	at          time.Duration
}

// New returns a source for a load; equal seeds give equal requests.
func New(l Load, seed uint64) *Source {
	s := &Source{load: l, rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range l.Prefixes {
		s.prefixes = append(s.prefixes, l.MaxPrefix/4+uint32(s.rnd.IntN(int(l.MaxPrefix*3/4))))
		s.totalWeight += 1 / float64(i+1)
	}
	return s
}

// Next returns the next request; rate is the mean number of arrivals a second.
func (s *Source) Next(rate float64) Request {
	s.at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	s.seq++
	prefix := s.pickPrefix()
	r := Request{
		ID: fmt.Sprintf("%s-%d", s.load.Service, s.seq), At: s.at,
		Tokens:      s.prefixes[prefix] + s.drawLength(s.load.Suffix, 16000),
		Output:      s.drawLength(s.load.Output, s.load.MaxOutput),
		Fingerprint: s.rnd.Uint64() | 1, Edge: s.rnd.IntN(1 << 30), Priority: 2,
	}
	if s.rnd.Float64() < s.load.UrgentShare {
		r.Priority = 1
	}
	for i := uint32(1); i*policy.BlockTokens <= r.Tokens; i++ {
		r.Pieces = append(r.Pieces, s.blockHash(&r, prefix, i))
	}
	return r
}

// blockHash returns the hash of the prompt's first i KV blocks. Prompts with the
// same prefix have equal hashes for the blocks that lie in it.
func (s *Source) blockHash(r *Request, prefix int, i uint32) uint64 {
	if i*policy.BlockTokens <= s.prefixes[prefix] {
		return uint64(prefix+1)<<16 | uint64(i)
	}
	return r.Fingerprint + uint64(i)<<56
}

// pickPrefix chooses a shared prefix with a Zipf distribution.
func (s *Source) pickPrefix() int {
	x := s.rnd.Float64() * s.totalWeight
	for i := range s.prefixes {
		if x -= 1 / float64(i+1); x < 0 {
			return i
		}
	}
	return len(s.prefixes) - 1
}

// drawLength draws from a log-normal distribution, clamped to 8 and limit.
func (s *Source) drawLength(median float64, limit uint32) uint32 {
	v := median * math.Exp(0.6*s.rnd.NormFloat64())
	return uint32(max(8, min(v, float64(limit))))
}

// Means estimates by sampling the mean lengths in tokens of the prompt, of its part
// beyond the shared KV blocks, and of the output.
func (l Load) Means(seed uint64) (prompt, uncached, output float64) {
	const n = 20000
	s := New(l, seed)
	for range n {
		r := s.Next(1)
		prompt += float64(r.Tokens) / n
		output += float64(r.Output) / n
		shared := 0
		for _, h := range r.Pieces {
			if h>>16 <= uint64(l.Prefixes) {
				shared++
			}
		}
		uncached += float64(r.Tokens-uint32(shared)*policy.BlockTokens) / n
	}
	return prompt, uncached, output
}
