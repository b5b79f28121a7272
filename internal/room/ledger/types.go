// Package ledger accounts for the memory and slots of the model engines of one
// service and grants them to requests. One daemon keeps the ledger that grants;
// all daemons that may follow it keep one too, from the same reports. It does no
// I/O.
package ledger

import (
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Engine is a model engine with its capacity.
type Engine struct {
	ID     string
	Domain string
	Stage  pool.Stage
	Slots  int
	// Tokens is the capacity of the KV cache.
	Tokens int
	// StartedAt is the start of the engine's process, which ends what it was ordered.
	StartedAt time.Time
}

// Phase is how far a run has come.
type Phase uint8

// Phases of a run.
const (
	// Prefilling runs wait for their prefill or are in it.
	Prefilling Phase = iota
	// Decoding runs have left the prefill engine.
	Decoding
)

// Run is a granted request as its daemon reports it.
type Run struct {
	// Lease is the ID of the ask that was granted.
	Lease uint64 `cbor:"1,keyasint"`
	// Decode and Prefill are engines; Prefill is empty when the cache exists.
	Decode  string `cbor:"2,keyasint"`
	Prefill string `cbor:"3,keyasint,omitempty"`
	// Prompt, Expect and Made count tokens: of the prompt, of the output that is
	// expected and of the output so far.
	Prompt    int   `cbor:"4,keyasint"`
	Expected  int   `cbor:"5,keyasint"`
	Generated int   `cbor:"6,keyasint,omitempty"`
	Phase     Phase `cbor:"7,keyasint,omitempty"`
}

// Report is everything that one daemon has running at the engines of a service.
type Report struct {
	Service string `cbor:"1,keyasint"`
	// Incarnation is the daemon's incarnation, Number orders its reports.
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Runs        []Run  `cbor:"4,keyasint"`
	// Ended are leases that ended lately.
	Ended []uint64 `cbor:"5,keyasint,omitempty"`
	// Unhealthy are engines that the daemon can't reach.
	Unhealthy []string `cbor:"6,keyasint,omitempty"`
	// PrefillRate is the rate at which prefill engines read prompts that do not wait, in
	// tokens a second.
	PrefillRate float64 `cbor:"8,keyasint,omitempty"`
	// Full are engines that refused a granted request lately.
	Full []string `cbor:"7,keyasint,omitempty"`
}

// Request is a request for engines.
type Request struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// ID is unique in one incarnation of the asking daemon.
	ID uint64 `cbor:"3,keyasint"`
	// Domain is the failure domain of the asking daemon.
	Domain   string `cbor:"4,keyasint,omitempty"`
	Prompt   int    `cbor:"5,keyasint"`
	Expected int    `cbor:"6,keyasint"`
	// Slack is how long the grant may take if the answer is to be on time.
	Slack time.Duration `cbor:"7,keyasint"`
	// MaxWait is how long the grant may take at all, Back the same for a client
	// that came back after a refusal or has part of its answer.
	MaxWait      time.Duration `cbor:"8,keyasint"`
	RetryMaxWait time.Duration `cbor:"14,keyasint"`
	// MaxRetryAfter is the longest time after which the client would come back.
	MaxRetryAfter time.Duration `cbor:"15,keyasint,omitempty"`
	// Fingerprint is a hash of what is asked for, the same when a client comes back.
	Fingerprint uint64 `cbor:"9,keyasint,omitempty"`
	// Prefilled tells that the prompt is read, so that no prefill engine is wanted.
	Prefilled bool `cbor:"10,keyasint,omitempty"`
	// Resumed tells that the client has had a part of the answer.
	Resumed bool `cbor:"11,keyasint,omitempty"`
	// Excluded are engines that failed this request.
	Excluded []string `cbor:"12,keyasint,omitempty"`
	// Rank is the importance of the route, 0 is the highest.
	Rank int `cbor:"13,keyasint,omitempty"`
	// Gap is the longest pause between events for which an answer is on time.
	Gap time.Duration `cbor:"16,keyasint,omitempty"`
}

// Bounds of what other daemons report: far above what engines can hold, and
// small enough that sums don't overflow.
const (
	mostTokens = 1 << 31
	mostWait   = time.Hour
)

func bound(tokens int) int { return min(max(tokens, 0), mostTokens) }

func boundWait(d time.Duration) time.Duration { return min(max(d, -mostWait), mostWait) }

// Clamp returns the ask with its figures within bounds.
func (a Request) Clamp() Request {
	a.Prompt, a.Expected = bound(a.Prompt), bound(a.Expected)
	a.Slack, a.MaxWait, a.RetryMaxWait = boundWait(a.Slack), boundWait(a.MaxWait), boundWait(a.RetryMaxWait)
	a.MaxRetryAfter, a.Gap = boundWait(a.MaxRetryAfter), boundWait(a.Gap)
	return a
}

// Clamp returns the report with its figures within bounds.
func (r Report) Clamp() Report {
	for i := range r.Runs {
		run := &r.Runs[i]
		run.Prompt, run.Expected, run.Generated = bound(run.Prompt), bound(run.Expected), bound(run.Generated)
	}
	if !(r.PrefillRate >= 0 && r.PrefillRate <= mostTokens) { // NaN is no pace either
		r.PrefillRate = 0
	}
	return r
}

// Status is the outcome of an ask.
type Status uint8

// Verdicts on asks.
const (
	// Queued asks wait.
	Queued Status = iota
	Granted
	Refused
)

// Reasons of refusals.
const (
	ReasonLate     = "wait"   // the answer would be late
	ReasonMaxWait  = "tired"  // the ask has waited for its patience
	ReasonNoEngine = "engine" // no engine of a stage can be used
	ReasonTooLarge = "large"  // no engine is large enough
)

// Reply is the reply to an ask.
type Reply struct {
	To          netip.AddrPort `cbor:"-"`
	Service     string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	ID          uint64         `cbor:"3,keyasint"`
	Status      Status         `cbor:"4,keyasint"`
	Decode      string         `cbor:"5,keyasint,omitempty"`
	// Prefill is empty when the decode engine has to read the prompt itself.
	Prefill string `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the time after which a refused request has a place.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	Reason     string        `cbor:"8,keyasint,omitempty"`
	// Wait is the predicted or actual wait, Ahead the number of asks before it
	// and Load the share of decode memory in use, for the log.
	Wait  time.Duration `cbor:"9,keyasint,omitempty"`
	Ahead int           `cbor:"10,keyasint,omitempty"`
	Load  float32       `cbor:"11,keyasint,omitempty"`
}
