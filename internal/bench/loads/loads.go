// Package loads generates the arrivals of the operators' services from a seed.
package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// Load describes a service, its engines and its requests.
type Load struct {
	Name, Service   string
	Prefill, Decode int
	Domains         []string
	// Prefixes is the number of documents that prompts begin with, and Head the
	// largest length of one in tokens. Tail is the median length of the rest.
	Prefixes  int
	MaxPrefix uint32
	Suffix    float64
	// Output is the median length of the answer, Max the largest, in tokens.
	Output    float64
	MaxOutput uint32
	// UrgentShare is the share of requests with a more urgent priority.
	UrgentShare float64
	First       time.Duration
	Gap         time.Duration
	Timeout     time.Duration
	Waste       float64
}

// Operators returns the loads of both operators' model services.
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

// Request is one arrival.
type Request struct {
	ID          string
	At          time.Duration
	Tokens      uint32
	Pieces      []uint64
	Output      uint32
	Priority    uint32
	Fingerprint uint64
	// Edge is a random number that chooses the daemon.
	Edge int
}

// Source draws requests.
type Source struct {
	load  Load
	rnd   *rand.Rand
	heads []uint32
	sum   float64
	next  int
	at    time.Duration
}

// New returns the source of a load with a seed.
func New(l Load, seed uint64) *Source {
	s := &Source{load: l, rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range l.Prefixes {
		s.heads = append(s.heads, l.MaxPrefix/4+uint32(s.rnd.IntN(int(l.MaxPrefix*3/4))))
		s.sum += 1 / float64(i+1)
	}
	return s
}

// Next returns the next request of arrivals at a mean rate a second.
func (s *Source) Next(rate float64) Request {
	s.at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	s.next++
	head := s.pick()
	r := Request{
		ID: fmt.Sprintf("%s-%d", s.load.Service, s.next), At: s.at,
		Tokens:      s.heads[head] + s.length(s.load.Suffix, 16000),
		Output:      s.length(s.load.Output, s.load.MaxOutput),
		Fingerprint: s.rnd.Uint64() | 1, Edge: s.rnd.IntN(1 << 30), Priority: 2,
	}
	if s.rnd.Float64() < s.load.UrgentShare {
		r.Priority = 1
	}
	for i := uint32(1); i*policy.PieceTokens <= r.Tokens; i++ {
		r.Pieces = append(r.Pieces, s.piece(&r, head, i))
	}
	return r
}

// piece returns the hash of the prompt's first i pieces, which prompts share as
// far as they share the document that they begin with.
func (s *Source) piece(r *Request, head int, i uint32) uint64 {
	if i*policy.PieceTokens <= s.heads[head] {
		return uint64(head+1)<<16 | uint64(i)
	}
	return r.Fingerprint + uint64(i)<<56
}

// pick chooses a document with a Zipf distribution.
func (s *Source) pick() int {
	x := s.rnd.Float64() * s.sum
	for i := range s.heads {
		if x -= 1 / float64(i+1); x < 0 {
			return i
		}
	}
	return len(s.heads) - 1
}

// length draws from a lognormal distribution.
func (s *Source) length(median float64, most uint32) uint32 {
	v := median * math.Exp(0.6*s.rnd.NormFloat64())
	return uint32(max(8, min(v, float64(most))))
}

// Means returns the mean prompt length, the mean length beyond the shared pieces
// and the mean output length, of many requests.
func (l Load) Means(seed uint64) (prompt, rest, output float64) {
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
		rest += float64(r.Tokens-uint32(shared)*policy.PieceTokens) / n
	}
	return prompt, rest, output
}
