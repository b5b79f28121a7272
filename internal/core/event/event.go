// Package event defines the inputs of the decision core, events, and its outputs,
// actions. Neither refers to connections, clocks or goroutines, so that replaying a
// recorded sequence of events gives the same actions.
package event

import (
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Event is an input of a state machine of the core.
type Event interface{ event() }

// Action is an output of a state machine of the core, which the daemon carries out.
// The outcome of an action arrives as an event.
type Action interface{ action() }

// Fault is how far an attempt at a backend server came before it failed.
type Fault int

// The faults of an attempt, ordered by how far it may have come.
const (
	// FaultNone means that the attempt succeeded.
	FaultNone Fault = iota
	// FaultUnsent means that no byte was written to a connection.
	FaultUnsent
	// FaultRefused means that the backend server refused before it ran the request.
	FaultRefused
	// FaultBroken means that the connection failed after the request may have been
	// received.
	FaultBroken
	// FaultStalled means that a timeout expired without progress.
	FaultStalled
	// FaultCrashed means that the backend server crashed while it ran the request.
	FaultCrashed
	// FaultFailed means that the backend server ran the request and reported an error.
	FaultFailed
)

// String returns the name that logs use.
func (f Fault) String() string {
	return [...]string{"none", "unsent", "refused", "broken", "stalled", "crashed", "failed"}[f]
}

// Arrive reports a new generate request at this daemon.
type Arrive struct {
	Request  string
	Tenant   string
	Service  string
	Priority uint32
	// Tokens is the length of the prompt, Max the most tokens to generate.
	Tokens, Max uint32
	// Pieces holds the hashes of the prompt's whole KV blocks.
	Pieces []uint64
	// Print is the request's fingerprint: the hash of its content and its service.
	Print uint64
	// From is the index of the first token to send to the client.
	From uint32
	// Deadline is when the client stops waiting.
	Deadline time.Time
}

// Gone reports that the client of a request has disconnected.
type Gone struct{ Request string }

// Granted carries the reply of a cell's owner to a lease request.
type Granted struct{ Grant *peer.Grant }

// Held carries an engine's response to Hold.
type Held struct {
	Request, Engine string
	Fault           Fault
	// Free is the number of free KV blocks that the engine reported.
	Free uint32
}

// Prefilled reports the end of a prefill.
type Prefilled struct {
	Request, Engine string
	Handle          string
	Tokens, Cached  uint32
	Fault           Fault
}

// Moved reports the end of a KV cache transfer.
type Moved struct {
	Request, Engine string
	Fault           Fault
}

// Progress reports generated tokens that were sent to the client.
type Progress struct {
	Request string
	// Stream is Decode.Stream. Any other number is of an earlier stream.
	Stream uint32
	// Next is the index of the next token to send.
	Next uint32
}

// Ended reports the end of a decode stream.
type Ended struct {
	Request, Engine string
	Stream          uint32
	Next            uint32
	Fault           Fault
}

// Cancelled carries an engine's response to Cancel.
type Cancelled struct {
	Request, Engine string
	// Held is true while the engine still holds memory or work of the request.
	Held  bool
	Fault Fault
}

// Tick reports that the time returned by Wake has been reached.
type Tick struct{}

// Published reports a new valid document.
type Published struct{ Document *policy.Document }

// Listed reports a new instance list of the platform.
type Listed struct {
	Revision  uint64
	Instances []*platfm.Instance
}

// Members reports the daemons of the membership, by name with their incarnations.
type Members struct {
	// Alive are the daemons that may own cells, this one included.
	Alive map[string]uint64
	// Running are the daemons that may have requests in flight: those in Alive, and
	// those that are leaving, that the instance list lacks, or of which nothing has
	// been received yet; the last have incarnation zero. Nil stands for Alive.
	Running map[string]uint64
}

// Paused reports a process pause of length Gap. Any state known before it may be
// stale until it is confirmed.
type Paused struct{ Gap time.Duration }

// Asked carries a lease request that has reached the owner of a cell.
type Asked struct {
	From string
	Ask  *peer.Ask
}

// Finished carries the release of a lease that has reached the owner of a cell.
type Finished struct {
	From string
	Done *peer.Done
}

// Reported carries an engine's load report.
type Reported struct {
	Engine string
	Report *engine.Report
}

// Unreachable reports that the stream of an engine's load reports has broken.
type Unreachable struct{ Engine string }

// Cached carries an engine's prefix cache event.
type Cached struct {
	Engine string
	Event  *engine.CacheEvent
}

// Struck carries a strike against a suspect request, or its clearing, from a peer.
type Struck struct{ Strike *peer.Strike }

// Ordered carries an engine's response to Order.
type Ordered struct {
	Engine string
	// Accepted is false when the engine refused or didn't respond.
	Accepted bool
}

func (Arrive) event()      {}
func (Gone) event()        {}
func (Granted) event()     {}
func (Held) event()        {}
func (Prefilled) event()   {}
func (Moved) event()       {}
func (Progress) event()    {}
func (Ended) event()       {}
func (Cancelled) event()   {}
func (Tick) event()        {}
func (Published) event()   {}
func (Listed) event()      {}
func (Members) event()     {}
func (Paused) event()      {}
func (Asked) event()       {}
func (Finished) event()    {}
func (Reported) event()    {}
func (Unreachable) event() {}
func (Cached) event()      {}
func (Struck) event()      {}
func (Ordered) event()     {}

// SendAsk sends a lease request to the owner of its cell.
type SendAsk struct{ Ask *peer.Ask }

// SendGrant replies to the lease request of the edge daemon To.
type SendGrant struct {
	To    string
	Grant *peer.Grant
}

// SendDone releases a lease at the owner of its cell and reports the outcome.
type SendDone struct{ Done *peer.Done }

// SendStrike broadcasts a strike against a suspect request, or its clearing, to the
// peers.
type SendStrike struct{ Strike *peer.Strike }

// Hold reserves decode memory at an engine for the time Term.
type Hold struct {
	Request, Engine string
	Pieces          uint32
	Term            time.Duration
	Fence           uint64
}

// Prefill starts the prefill of a prompt on an engine.
type Prefill struct {
	Request, Engine string
	Fence           uint64
	Priority        uint32
}

// Move makes engine To fetch a KV cache from engine From.
type Move struct {
	Request, From, To string
	Handle            string
	Fence             uint64
}

// Decode opens a decode stream at token index From.
type Decode struct {
	Request, Engine string
	Stream          uint32
	From, Max       uint32
	Fence           uint64
	Priority        uint32
}

// Cancel ends a request on an engine. It is retried until it is confirmed.
type Cancel struct {
	Request, Engine string
	Fence           uint64
	// Fresh makes the client open a new connection, since the last one brought no
	// response.
	Fresh bool
}

// Answer sends the final answer of a request to its client.
type Answer struct {
	Request string
	// Kind is 0 for success, else the kind of Failure in the caller protocol.
	Kind   int
	Reason string
	After  time.Duration
}

// Order makes an engine load a model and take a role.
type Order struct {
	Engine, Model, Role string
	Fence               uint64
}

func (SendAsk) action()    {}
func (SendGrant) action()  {}
func (SendDone) action()   {}
func (SendStrike) action() {}
func (Hold) action()       {}
func (Prefill) action()    {}
func (Move) action()       {}
func (Decode) action()     {}
func (Cancel) action()     {}
func (Answer) action()     {}
func (Order) action()      {}
