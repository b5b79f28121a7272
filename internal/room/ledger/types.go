// Package ledger accounts for the slots and the KV cache memory of one service's
// model engines and grants leases on them. The owner of the service decides; the
// daemons that would take over keep a ledger of their own, fed with the same
// reports. The package does no I/O.
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
	// StartedAt is the start time of the engine's process. Stage orders don't survive a
	// restart.
	StartedAt time.Time
	// Version is the version of the engine's software, empty if it is not known.
	Version string
}

// Phase is the progress of a run.
type Phase uint8

// Phases of a run.
const (
	// Prefilling runs wait for their prefill or are in it.
	Prefilling Phase = iota
	// Decoding runs have left the prefill engine.
	Decoding
)

// Run is the state of a lease as its edge daemon reports it.
type Run struct {
	// Lease is the ID of the lease request that was granted.
	Lease uint64 `cbor:"1,keyasint"`
	// Decode and Prefill are engine IDs. Prefill is empty when no prefill engine is
	// needed.
	Decode  string `cbor:"2,keyasint"`
	Prefill string `cbor:"3,keyasint,omitempty"`
	// Prompt, Expected and Generated count tokens: of the prompt, of the output that is
	// expected in all and of the output so far.
	Prompt    int   `cbor:"4,keyasint"`
	Expected  int   `cbor:"5,keyasint"`
	Generated int   `cbor:"6,keyasint,omitempty"`
	Phase     Phase `cbor:"7,keyasint,omitempty"`
}

// Report lists everything that one edge daemon runs at the engines of a service.
type Report struct {
	Service string `cbor:"1,keyasint"`
	// Incarnation identifies the process of the edge daemon by its start. Sequence
	// orders the reports of one incarnation.
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Runs        []Run  `cbor:"4,keyasint"`
	// Ended are the IDs of leases that were released recently.
	Ended []uint64 `cbor:"5,keyasint,omitempty"`
	// Unhealthy are engines that the daemon uses only if no other is usable.
	Unhealthy []string `cbor:"6,keyasint,omitempty"`
	// PrefillRate is the measured speed of a prefill engine without queueing, in tokens
	// a second. Zero means that it is not known.
	PrefillRate float64 `cbor:"8,keyasint,omitempty"`
	// Full are engines that recently refused a granted request.
	Full []string `cbor:"7,keyasint,omitempty"`
	// Prefills are the newest prefills of the daemon, also those of earlier reports, as
	// reports may be lost.
	Prefills []Prefill `cbor:"9,keyasint,omitempty"`
}

// Request is a lease request: it asks for a slot and memory of a decode engine and,
// unless the prompt is already in a KV cache, for a place in the queue of a prefill
// engine.
type Request struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// ID is unique within one incarnation of the edge daemon.
	ID uint64 `cbor:"3,keyasint"`
	// Domain is the failure domain of the edge daemon.
	Domain   string `cbor:"4,keyasint,omitempty"`
	Prompt   int    `cbor:"5,keyasint"`
	Expected int    `cbor:"6,keyasint"`
	// Slack is how long the grant may take if the response is to meet its latency
	// target.
	Slack time.Duration `cbor:"7,keyasint"`
	// MaxWait is the longest queueing time. RetryMaxWait replaces it for a client that
	// retries after a refusal and for a request that is prefilled or resumed.
	MaxWait      time.Duration `cbor:"8,keyasint"`
	RetryMaxWait time.Duration `cbor:"14,keyasint"`
	// MaxRetryAfter is the longest delay after which the client would still retry.
	MaxRetryAfter time.Duration `cbor:"15,keyasint,omitempty"`
	// Fingerprint is a hash of the client's request that recognizes its retries. Zero
	// means that it has none.
	Fingerprint uint64 `cbor:"9,keyasint,omitempty"`
	// Prefilled is set when the KV cache of the prompt exists, so that no prefill
	// engine is needed.
	Prefilled bool `cbor:"10,keyasint,omitempty"`
	// Alone is set when the decode engine has to prefill the prompt itself, as the retry
	// budget of the edge daemon allows one request to an engine, not two.
	Alone bool `cbor:"19,keyasint,omitempty"`
	// Resumed is set when the client has already received a part of the response.
	Resumed bool `cbor:"11,keyasint,omitempty"`
	// Excluded are engines that must not be chosen, such as those that failed this
	// request.
	Excluded []string `cbor:"12,keyasint,omitempty"`
	// Held are engines whose limits leave no room for requests of the edge daemon.
	Held []string `cbor:"17,keyasint,omitempty"`
	// Rank is the priority of the route, or of the tenant if that has one; 0 is the
	// highest.
	Rank int `cbor:"13,keyasint,omitempty"`
	// Tenant is the name of the client's tenant, empty for none.
	Tenant string `cbor:"20,keyasint,omitempty"`
	// Gap is the longest pause between events with which a response still meets its
	// target.
	Gap time.Duration `cbor:"16,keyasint,omitempty"`
	// Version is the version of the decode engines that may be chosen, because they have
	// to go on with what one of it began. Empty allows all.
	Version string `cbor:"18,keyasint,omitempty"`

	// confirmed and down are what the ledger learns while the request waits: see confirm.
	confirmed bool
	down      []string
}

// Bounds of the numbers in peer messages: far above what engines can hold, and small
// enough that sums don't overflow.
const (
	maxTokens   = 1 << 31
	maxDuration = time.Hour
)

func clampTokens(tokens int) int { return min(max(tokens, 0), maxTokens) }

func clampDuration(d time.Duration) time.Duration { return min(max(d, -maxDuration), maxDuration) }

// Clamp returns the lease request with its token counts and durations limited to
// valid ranges.
func (r Request) Clamp() Request {
	r.Prompt, r.Expected = clampTokens(r.Prompt), clampTokens(r.Expected)
	r.Slack, r.MaxWait, r.RetryMaxWait = clampDuration(r.Slack), clampDuration(r.MaxWait), clampDuration(r.RetryMaxWait)
	r.MaxRetryAfter, r.Gap = clampDuration(r.MaxRetryAfter), clampDuration(r.Gap)
	return r
}

// Clamp returns the report with its token counts, times and prefill rate limited to valid
// ranges. It modifies the runs and prefills in place.
func (r Report) Clamp() Report {
	for i := range r.Runs {
		run := &r.Runs[i]
		run.Prompt, run.Expected, run.Generated = clampTokens(run.Prompt), clampTokens(run.Expected), clampTokens(run.Generated)
	}
	if !(r.PrefillRate >= 0 && r.PrefillRate <= maxTokens) { // also true for NaN
		r.PrefillRate = 0
	}
	for i := range r.Prefills {
		p := &r.Prefills[i]
		p.Tokens, p.Took = clampTokens(p.Tokens), clampDuration(p.Took)
	}
	return r
}

// Status is the state or outcome of a lease request.
type Status uint8

// Statuses of lease requests.
const (
	// Queued requests wait for capacity.
	Queued Status = iota
	Granted
	Refused
)

// Reasons for refusals.
const (
	ReasonLate     = "wait"   // the predicted wait is too long
	ReasonMaxWait  = "tired"  // the longest queueing time has passed
	ReasonNoEngine = "engine" // no decode engine can be used
	ReasonTooLarge = "large"  // the prompt exceeds the memory of every engine
)

// Reply answers a lease request. With the status Queued, a final reply follows.
type Reply struct {
	To          netip.AddrPort `cbor:"-"`
	Service     string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	ID          uint64         `cbor:"3,keyasint"`
	Status      Status         `cbor:"4,keyasint"`
	Decode      string         `cbor:"5,keyasint,omitempty"`
	// Prefill is empty when no prefill engine is needed or the decode engine has to
	// prefill the prompt itself.
	Prefill string `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the delay after which a refused request may expect capacity.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	Reason     string        `cbor:"8,keyasint,omitempty"`
	// Wait is the queueing time, actual after a grant and predicted otherwise. Ahead is
	// the number of requests before this one in the queue. Load is the share of decode
	// memory in use. Wait, Ahead and Load are logged only.
	Wait  time.Duration `cbor:"9,keyasint,omitempty"`
	Ahead int           `cbor:"10,keyasint,omitempty"`
	Load  float32       `cbor:"11,keyasint,omitempty"`
	// Queued is the number of prompt tokens that are ahead of a granted request at its
	// prefill engine, as far as the owner knows.
	Queued int `cbor:"12,keyasint,omitempty"`
	// Prefilled is the expected time from the grant to the end of the prefill, zero if it is
	// not known.
	Prefilled time.Duration `cbor:"13,keyasint,omitempty"`
	// Version is the version that a refused request asked for, Census the engines of it.
	// They are for the log of the owner and are not repeated with a reply.
	Version string `cbor:"-"`
	Census  Census `cbor:"-"`
}
