// Package event holds the inputs and outputs of the decision core. Inputs are
// events, outputs are actions; neither refers to connections, clocks or
// goroutines, so that a recorded sequence of events replays to the same
// actions.
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

// Action is an output of a state machine of the core, to be carried out by the
// daemon. The outcome of an action comes back as an event.
type Action interface{ action() }

// Fault says how far an attempt on a backend server came before it failed.
type Fault int

// The faults of an attempt, ordered by how much may have happened.
const (
	// FaultNone means that the attempt succeeded.
	FaultNone Fault = iota
	// FaultUnsent means that nothing was written to a connection.
	FaultUnsent
	// FaultRefused means that the backend refused before it started.
	FaultRefused
	// FaultBroken means that the attempt may have been received.
	FaultBroken
	// FaultStalled means that a progress deadline passed.
	FaultStalled
	// FaultCrashed means that the backend died while it ran the request.
	FaultCrashed
	// FaultFailed means that the backend ran the request and reported an error.
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
	// Tokens is the length of the prompt, Max the largest answer, in tokens.
	Tokens, Max uint32
	// Pieces are the hashes of the prompt's whole pieces.
	Pieces []uint64
	// Print is the hash of the content and the service.
	Print uint64
	// From is the first token index wanted.
	From uint32
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Gone reports that the caller of a request left.
type Gone struct{ Request string }

// Granted carries the answer of a cell's owner.
type Granted struct{ Grant *peer.Grant }

// Held carries an engine's answer to Hold.
type Held struct {
	Request, Engine string
	Fault           Fault
	// Free is the number of free pieces that the engine reported.
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

// Progress reports output tokens that were passed to the caller.
type Progress struct {
	Request string
	// Stream is the number given in Decode; other numbers are late.
	Stream uint32
	// Next is the index of the next token wanted.
	Next uint32
}

// Ended reports the end of a decode stream.
type Ended struct {
	Request, Engine string
	Stream          uint32
	Next            uint32
	Fault           Fault
}

// Cancelled reports an engine's answer to Cancel.
type Cancelled struct {
	Request, Engine string
	// Held is true while the engine still holds something of the request.
	Held  bool
	Fault Fault
}

// Tick reports that the time asked for by Wake has come.
type Tick struct{}

// Published reports a new valid document.
type Published struct{ Document *policy.Document }

// Listed reports a new instance list.
type Listed struct {
	Revision  uint64
	Instances []*platfm.Instance
}

// Members reports which daemons answer, by name with their incarnations.
type Members struct {
	// Alive are the daemons that may own cells, this one included.
	Alive map[string]uint64
	// Running are the daemons that may have requests in flight: besides those
	// in Alive the ones that leave, that the list lacks and that were not heard
	// of yet, the last with incarnation zero. Without it, Alive counts.
	Running map[string]uint64
}

// Paused reports that the process did not run for Gap. What was known before
// is void until it has been confirmed.
type Paused struct{ Gap time.Duration }

// Asked carries an Ask that reached the owner of a cell.
type Asked struct {
	From string
	Ask  *peer.Ask
}

// Finished carries a Done that reached the owner of a cell.
type Finished struct {
	From string
	Done *peer.Done
}

// Reported carries an engine's load report.
type Reported struct {
	Engine string
	Report *engine.Report
}

// Unreachable reports that the report stream of an engine broke.
type Unreachable struct{ Engine string }

// Cached carries an engine's prefix cache event.
type Cached struct {
	Engine string
	Event  *engine.CacheEvent
}

// Struck carries a record about a suspect request from a peer.
type Struck struct{ Strike *peer.Strike }

// Ordered carries an engine's answer to Order.
type Ordered struct {
	Engine string
	// Accepted is false when the engine refused or gave no answer.
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

// SendAsk sends an Ask to the owner of its cell.
type SendAsk struct{ Ask *peer.Ask }

// SendGrant answers an Ask.
type SendGrant struct {
	To    string
	Grant *peer.Grant
}

// SendDone tells the owner of the cell what became of a grant.
type SendDone struct{ Done *peer.Done }

// SendStrike spreads a record about a suspect request to the peers.
type SendStrike struct{ Strike *peer.Strike }

// Hold reserves decode memory on an engine.
type Hold struct {
	Request, Engine string
	Pieces          uint32
	Term            time.Duration
	Fence           uint64
}

// Prefill starts a prefill on an engine.
type Prefill struct {
	Request, Engine string
	Fence           uint64
	Priority        uint32
}

// Move makes engine To pull a KV cache from engine From.
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

// Cancel ends a request on an engine; it is repeated until confirmed.
type Cancel struct {
	Request, Engine string
	Fence           uint64
	// Fresh asks for a new connection, since the last one gave no answer.
	Fresh bool
}

// Answer ends a request towards its caller.
type Answer struct {
	Request string
	// Kind is 0 for success, else the kind of the caller protocol's Failure.
	Kind   int
	Reason string
	After  time.Duration
}

// Order brings an engine to a model and a role.
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
