package exec

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// MaxOutput is the largest number of generated tokens that a request may ask for.
const MaxOutput = 8192

var errTooManyTokens = errors.New("engine sent more tokens than the request allows")

// Request holds the data of a generate request in flight: its prompt, and the
// tokens that wait to be sent to the client.
type Request struct {
	ID      string
	Tenant  string
	Service string
	Prompt  string
	Pieces  []uint64
	Started time.Time
	// Deadline is the client's deadline for the whole answer.
	Deadline time.Time

	ctx       context.Context
	cancelAll context.CancelFunc
	ready     chan struct{}
	answer    chan event.Answer
	maxTokens int

	mu sync.Mutex
	// computed counts the prefill tokens computed for the request, used those whose
	// decoding generated output, pending those of the latest prefill until the
	// first output.
	computed, pending, used uint32
	tokens                  []*engine.DecodeChunk
	cancelStream            context.CancelFunc
}

// NewRequest returns a request whose calls to engines end with ctx. It buffers a
// whole answer of limit tokens, so that a slow client does not look like a stalled
// engine.
func NewRequest(ctx context.Context, id string, limit uint32) *Request {
	ctx, cancel := context.WithCancel(ctx)
	return &Request{
		ID: id, ctx: ctx, cancelAll: cancel,
		// A resumed stream may repeat tokens that are buffered here.
		maxTokens: 2*int(limit) + 1,
		ready:     make(chan struct{}, 1),
		answer:    make(chan event.Answer, 1),
	}
}

// Ready returns a channel that receives when tokens are buffered.
func (r *Request) Ready() <-chan struct{} { return r.ready }

// Take removes the buffered tokens and returns them in the order of arrival.
// Indices may repeat when a stream was resumed.
func (r *Request) Take() []*engine.DecodeChunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokens
	r.tokens = nil
	return tokens
}

// Answer returns a channel that receives the final answer, once.
func (r *Request) Answer() <-chan event.Answer { return r.answer }

// finish delivers the final answer; later ones are dropped.
func (r *Request) finish(a event.Answer) {
	select {
	case r.answer <- a:
	default:
	}
}

// push buffers a token. A full buffer means that the engine sent more tokens than
// requested.
func (r *Request) push(c *engine.DecodeChunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tokens) >= r.maxTokens {
		return errTooManyTokens
	}
	r.tokens = append(r.tokens, c)
	r.used += r.pending
	r.pending = 0
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return nil
}

// addPrefill counts the tokens computed by a finished prefill.
func (r *Request) addPrefill(tokens uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.computed += tokens
	r.pending = tokens
}

// WastedTokens returns the number of prefill tokens that led to no output. It must
// be called when the request has ended.
func (r *Request) WastedTokens() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.computed - r.used
}

// newStream returns the context of a new decode stream and cancels the previous
// stream, so that its late tokens are not received.
func (r *Request) newStream() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelStream != nil {
		r.cancelStream()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelStream = cancel
	return ctx
}
