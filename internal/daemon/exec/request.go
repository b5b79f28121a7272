package exec

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// MaxOutput is the largest number of output tokens of one request.
const MaxOutput = 8192

var errFull = errors.New("more tokens than the request allows")

// Request is the traffic side of one generate request.
type Request struct {
	ID      string
	Tenant  string
	Service string
	Prompt  string
	Pieces  []uint64
	Started time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	ctx    context.Context
	end    context.CancelFunc
	ready  chan struct{}
	answer chan event.Answer
	limit  int

	mu sync.Mutex
	// computed are the prefill tokens computed for the request, used those that
	// output came from, last those of a prefill without output yet.
	computed, last, used uint32
	tokens               []*engine.DecodeChunk
	cancel               context.CancelFunc
}

// NewRequest returns a request whose attempts end with ctx. The tokens of an
// answer of limit tokens may wait in it, so that a slow caller does not look like
// a stalled engine.
func NewRequest(ctx context.Context, id string, limit uint32) *Request {
	ctx, end := context.WithCancel(ctx)
	return &Request{
		ID: id, ctx: ctx, end: end,
		// A resumed stream may repeat tokens that wait here.
		limit:  2*int(limit) + 1,
		ready:  make(chan struct{}, 1),
		answer: make(chan event.Answer, 1),
	}
}

// Ready returns a channel that tells when tokens wait.
func (r *Request) Ready() <-chan struct{} { return r.ready }

// Take removes the tokens that wait and returns them in the order of their
// arrival; indices may repeat after a resumed stream.
func (r *Request) Take() []*engine.DecodeChunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokens
	r.tokens = nil
	return tokens
}

// Answer returns the one final answer.
func (r *Request) Answer() <-chan event.Answer { return r.answer }

// finish delivers the final answer; later ones are dropped.
func (r *Request) finish(a event.Answer) {
	select {
	case r.answer <- a:
	default:
	}
}

// push queues a token. A full queue means that the engine sends more than was
// asked for.
func (r *Request) push(c *engine.DecodeChunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tokens) >= r.limit {
		return errFull
	}
	r.tokens = append(r.tokens, c)
	r.used += r.last
	r.last = 0
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return nil
}

// prefilled counts a finished prefill.
func (r *Request) prefilled(tokens uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.computed += tokens
	r.last = tokens
}

// WastedTokens returns the prefill tokens that no output came from, for an ended
// request.
func (r *Request) WastedTokens() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.computed - r.used
}

// stream returns the context of a new decode stream and ends the one before, so
// that its late tokens are not read any more.
func (r *Request) stream() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancel = cancel
	return ctx
}
