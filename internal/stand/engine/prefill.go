package engine

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/conf/policy"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

// sliceTime is the prefill time between two checks for cancellation.
const sliceTime = 10 * time.Millisecond

// job is a queued or running prefill.
type job struct {
	entry    *entry
	priority uint32
	serial   uint64
	pieces   []uint64
	left     uint32
	done     chan struct{}
	err      error
	ended    bool
}

// prefill queues the prompt and waits for its KV cache. The work continues after ctx
// ends: only a Cancel stops it.
func (e *Engine) prefill(ctx context.Context, r *wire.PrefillRequest) (*wire.PrefillReply, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	j, reply, err := e.enqueue(r)
	if j == nil {
		return reply, err
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, e.ctx.Err())
	}
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	if j.err != nil {
		return nil, j.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return prefillReply(j.entry), nil
}

func prefillReply(n *entry) *wire.PrefillReply {
	return &wire.PrefillReply{Handle: n.handle, Tokens: n.tokens, Cached: n.cached}
}

// enqueue returns the job of the request, which it queues if there is none, or the
// reply if the prefill is already done.
func (e *Engine) enqueue(r *wire.PrefillRequest) (*job, *wire.PrefillReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := e.entries[r.Request]; n != nil {
		switch {
		case n.job != nil:
			return n.job, nil, nil
		case n.decoding:
			return nil, nil, connect.NewError(connect.CodeAlreadyExists,
				fmt.Errorf("request %s is already decoding", r.Request))
		case n.handle != "":
			return nil, prefillReply(n), nil
		}
	}
	if err := e.admit(r.Origin, policy.RolePrefill); err != nil {
		return nil, nil, err
	}
	tokens := CountTokens(r.Prompt)
	if blocksFor(tokens) > e.set.Pieces {
		return nil, nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("prompt of %d tokens exceeds the engine's KV memory", tokens))
	}
	n := e.entry(r.Request, r.Origin)
	n.prompt, n.text, n.tokens = r.Prompt, NewText(r.Prompt), tokens
	e.serial++
	n.job = &job{
		entry: n, priority: r.Priority, serial: e.serial, pieces: r.Pieces,
		left: tokens, done: make(chan struct{}),
	}
	e.queue = append(e.queue, n.job)
	notify(e.prefillWake)
	return n.job, nil, nil
}

// blocksFor returns the number of KV blocks that tokens occupy, at least one.
func blocksFor(tokens uint32) uint32 {
	return max(1, (tokens+BlockTokens-1)/BlockTokens)
}

// abort removes a job whose entry is dropped from the queue and fails it. The caller
// holds mu.
func (e *Engine) abort(j *job) {
	for i, q := range e.queue {
		if q == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	e.finish(j, connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", j.entry.id)))
}

// finish completes a job, with err if it failed. Later calls have no effect. The
// caller holds mu.
func (e *Engine) finish(j *job, err error) {
	if j.ended {
		return
	}
	j.ended = true
	j.err = err
	j.entry.job = nil
	close(j.done)
}

// pick dequeues the job of the highest priority that fits the free memory, the oldest
// among equals, and allocates its memory. It returns nil if there is none. The caller
// holds mu.
func (e *Engine) pick() *job {
	best := -1
	for i, j := range e.queue {
		if e.missing(j.entry, blocksFor(j.entry.tokens)) > e.free {
			continue
		}
		if best < 0 || j.priority < e.queue[best].priority ||
			j.priority == e.queue[best].priority && j.serial < e.queue[best].serial {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	j := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	e.grow(j.entry, blocksFor(j.entry.tokens))
	return j
}

// missing returns the number of KV blocks that the entry lacks to hold want.
func (e *Engine) missing(n *entry, want uint32) uint32 {
	if want <= n.pieces {
		return 0
	}
	return want - n.pieces
}

// grow allocates the missing KV blocks. It returns false, and allocates none, if too
// few are free.
func (e *Engine) grow(n *entry, want uint32) bool {
	more := e.missing(n, want)
	if more > e.free {
		return false
	}
	e.free -= more
	n.pieces += more
	return true
}

func (e *Engine) prefillLoop() {
	for {
		if e.waitUnfrozen(e.ctx) != nil {
			return
		}
		e.mu.Lock()
		j := e.pick()
		e.current = j
		e.mu.Unlock()
		if j != nil {
			e.compute(j)
			continue
		}
		select {
		case <-e.prefillWake:
		case <-e.ctx.Done():
			return
		}
	}
}

// compute runs a job in slices of simulated time, and stops if it is cancelled.
func (e *Engine) compute(j *job) {
	if err := e.checkPoison(j.entry.prompt); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(j, err)
		e.drop(j.entry)
		return
	}
	e.mu.Lock()
	n := j.entry
	hit := min(e.cache.longest(j.pieces)*BlockTokens, n.tokens-min(n.tokens, 1))
	n.cached = hit
	j.left = n.tokens - hit
	e.mu.Unlock()
	step := max(1, uint32(uint64(e.set.PrefillRate)*uint64(sliceTime)/uint64(time.Second)))
	due := time.Now()
	for j.left > 0 {
		now := min(step, j.left)
		due = due.Add(time.Duration(now) * time.Second / time.Duration(e.set.PrefillRate))
		if !sleep(e.ctx, time.Until(due)) || e.waitUnfrozen(e.ctx) != nil {
			return
		}
		e.mu.Lock()
		if j.ended {
			e.mu.Unlock()
			return
		}
		j.left -= now
		n.computed += now
		e.stats.Computed += uint64(now)
		e.mu.Unlock()
	}
	e.storeResult(j)
}

// storeResult keeps the KV cache that a job computed until it is used or evicted.
func (e *Engine) storeResult(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ended {
		return
	}
	n := j.entry
	n.handle = fmt.Sprintf("%s/%s/%d", e.set.Name, n.id, j.serial)
	e.publish(e.cache.add(j.pieces))
	if !n.reserved {
		e.scheduleEviction(n)
	}
	e.finish(j, nil)
}

// scheduleEviction drops an unused KV cache after the retention time. A running export
// delays that until it ends. The caller holds mu.
func (e *Engine) scheduleEviction(n *entry) {
	n.evictionDue = false
	var t *time.Timer
	t = time.AfterFunc(e.set.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if n.evictTimer != t || n.reserved || n.decoding {
			return
		}
		if n.exports > 0 {
			n.evictionDue = true
			return
		}
		e.drop(n)
	})
	n.evictTimer = t
}
