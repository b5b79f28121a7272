package load

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/trace/record"
)

// Trace holds the arrivals of a recorded trace. A trace contains no prompts, so
// texts of the same lengths are synthesized. They are equal where the recorded
// hashes are equal, so that requests share the same prefixes as when recorded.
type Trace struct {
	classes  []Class
	requests []recorded
}

type recorded struct {
	at          time.Duration
	class       int
	tokens      uint32
	output      uint32
	pieces      []uint64
	fingerprint uint64
	deadline    time.Duration
}

// ReadTrace reads the arrivals of a trace. There is one class for each tenant and
// service, with the latency targets of the last document before its first arrival.
// It returns an error if the trace is malformed or has no arrivals.
func ReadTrace(in io.Reader) (*Trace, error) {
	r, err := record.NewReader(in)
	if err != nil {
		return nil, err
	}
	t := &Trace{}
	var doc *policy.Document
	var first time.Time
	for {
		at, e, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		switch e := e.(type) {
		case event.Published:
			doc = e.Document
		case event.Arrive:
			if first.IsZero() {
				first = at
			}
			t.requests = append(t.requests, recorded{
				at: at.Sub(first), class: t.class(doc, e), tokens: e.Tokens, output: e.Max,
				pieces: e.Pieces, fingerprint: e.Print, deadline: e.Deadline.Sub(at),
			})
		}
	}
	if len(t.requests) == 0 {
		return nil, eris.New("the trace has no arrivals; record one of a daemon under load")
	}
	return t, nil
}

func (t *Trace) class(doc *policy.Document, e event.Arrive) int {
	name := e.Tenant + "/" + e.Service
	for i := range t.classes {
		if t.classes[i].Name == name {
			return i
		}
	}
	c := Class{Name: name, Tenant: e.Tenant, Service: e.Service, Weight: 1, First: time.Second, Gap: time.Second}
	if doc != nil {
		if s := doc.FindService(e.Service); s != nil {
			c.First, c.Gap = time.Duration(s.LatencyTarget), time.Duration(s.GapTarget)
		}
	}
	t.classes = append(t.classes, c)
	return len(t.classes) - 1
}

// span is the time of the last arrival, but at least a second, since rates over
// shorter runs are meaningless.
func (t *Trace) span() time.Duration { return max(time.Second, t.requests[len(t.requests)-1].at) }

func (t *Trace) arrivals(seed uint64) func() (arrival, bool) {
	n := 0
	return func() (arrival, bool) {
		if n == len(t.requests) {
			return arrival{}, false
		}
		p := &t.requests[n]
		n++
		class := t.classes[p.class]
		class.Deadline = p.deadline
		return arrival{
			seq: uint64(n), at: p.at, class: &class, prompt: p.prompt(), output: p.output,
			rnd: arrivalRand(seed, uint64(n)),
		}, true
	}
}

// prompt synthesizes a text whose full KV blocks depend only on the recorded hashes.
func (p *recorded) prompt() string {
	const bytesPerToken = 4
	var out []byte
	for _, hash := range p.pieces {
		out = append(out, repeatExactly(fmt.Sprintf("%016x ", hash), policy.BlockTokens*bytesPerToken)...)
	}
	rest := int(p.tokens)*bytesPerToken - len(out)
	return string(append(out, repeatExactly(fmt.Sprintf("%016x ", p.fingerprint), max(0, rest))...))
}

// repeatExactly repeats text to exactly size bytes.
func repeatExactly(text string, size int) string { return repeatText(text, size)[:size] }
