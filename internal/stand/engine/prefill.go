package engine

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/conf/policy"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

// slice is the time of prefill work between two checks for a cancel.
const slice = 10 * time.Millisecond

// job is a prefill that waits or runs.
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

// prefill queues the prompt and waits for its KV cache. The work goes on when
// ctx ends, as only Cancel ends it.
func (e *Engine) prefill(ctx context.Context, r *wire.PrefillRequest) (*wire.PrefillReply, error) {
	if err := e.gate(ctx); err != nil {
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
	if err := e.gate(ctx); err != nil {
		return nil, err
	}
	if j.err != nil {
		return nil, j.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return replyOf(j.entry), nil
}

func replyOf(n *entry) *wire.PrefillReply {
	return &wire.PrefillReply{Handle: n.handle, Tokens: n.tokens, Cached: n.cached}
}

// enqueue returns the job of the request, or the reply when its result is kept
// already.
func (e *Engine) enqueue(r *wire.PrefillRequest) (*job, *wire.PrefillReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := e.entries[r.Request]; n != nil {
		switch {
		case n.job != nil:
			return n.job, nil, nil
		case n.decoding:
			return nil, nil, connect.NewError(connect.CodeAlreadyExists,
				fmt.Errorf("request %s decodes already", r.Request))
		case n.handle != "":
			return nil, replyOf(n), nil
		}
	}
	if err := e.admit(r.Origin, policy.RolePrefill); err != nil {
		return nil, nil, err
	}
	tokens := CountTokens(r.Prompt)
	if memory(tokens) > e.set.Pieces {
		return nil, nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("the prompt's %d tokens exceed the memory", tokens))
	}
	n := e.entry(r.Request, r.Origin)
	n.prompt, n.text, n.tokens = r.Prompt, NewText(r.Prompt), tokens
	e.serial++
	n.job = &job{
		entry: n, priority: r.Priority, serial: e.serial, pieces: r.Pieces,
		left: tokens, done: make(chan struct{}),
	}
	e.queue = append(e.queue, n.job)
	poke(e.jobs)
	return n.job, nil, nil
}

// memory returns the pieces that tokens occupy.
func memory(tokens uint32) uint32 {
	return max(1, (tokens+PieceTokens-1)/PieceTokens)
}

// abort ends a job whose entry is dropped. The caller holds mu.
func (e *Engine) abort(j *job) {
	for i, q := range e.queue {
		if q == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	e.finish(j, connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", j.entry.id)))
}

// finish ends a job once. The caller holds mu.
func (e *Engine) finish(j *job, err error) {
	if j.ended {
		return
	}
	j.ended = true
	j.err = err
	j.entry.job = nil
	close(j.done)
}

// pick takes the most urgent job for which memory is free. The caller holds mu.
func (e *Engine) pick() *job {
	best := -1
	for i, j := range e.queue {
		if e.lacks(j.entry, memory(j.entry.tokens)) > e.free {
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
	e.grow(j.entry, memory(j.entry.tokens))
	return j
}

// lacks returns how many more pieces the entry needs to hold want.
func (e *Engine) lacks(n *entry, want uint32) uint32 {
	if want <= n.pieces {
		return 0
	}
	return want - n.pieces
}

// grow takes the missing pieces and tells whether they were free.
func (e *Engine) grow(n *entry, want uint32) bool {
	more := e.lacks(n, want)
	if more > e.free {
		return false
	}
	e.free -= more
	n.pieces += more
	return true
}

func (e *Engine) prefillLoop() {
	for {
		if e.gate(e.ctx) != nil {
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
		case <-e.jobs:
		case <-e.ctx.Done():
			return
		}
	}
}

// compute runs one job in slices of simulated time.
func (e *Engine) compute(j *job) {
	if err := e.poisoned(j.entry.prompt); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(j, err)
		e.drop(j.entry)
		return
	}
	e.mu.Lock()
	n := j.entry
	hit := min(e.cache.longest(j.pieces)*PieceTokens, n.tokens-min(n.tokens, 1))
	n.cached = hit
	j.left = n.tokens - hit
	e.mu.Unlock()
	step := max(1, uint32(uint64(e.set.PrefillRate)*uint64(slice)/uint64(time.Second)))
	due := time.Now()
	for j.left > 0 {
		now := min(step, j.left)
		due = due.Add(time.Duration(now) * time.Second / time.Duration(e.set.PrefillRate))
		if !sleep(e.ctx, time.Until(due)) || e.gate(e.ctx) != nil {
			return
		}
		e.mu.Lock()
		if j.ended {
			e.mu.Unlock()
			return
		}
		j.left -= now
		n.computed += now
		e.count.Computed += uint64(now)
		e.mu.Unlock()
	}
	e.keep(j)
}

// keep stores the result of a job until it is used or evicted.
func (e *Engine) keep(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ended {
		return
	}
	n := j.entry
	n.handle = fmt.Sprintf("%s/%s/%d", e.set.Name, n.id, j.serial)
	e.publish(e.cache.add(j.pieces))
	if !n.slot {
		e.evict(n)
	}
	e.finish(j, nil)
}

// evict drops a kept KV cache after the eviction time. An export that runs
// then delays it to its end. The caller holds mu.
func (e *Engine) evict(n *entry) {
	n.due = false
	var t *time.Timer
	t = time.AfterFunc(e.set.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if n.evict != t || n.slot || n.decoding {
			return
		}
		if n.exports > 0 {
			n.due = true
			return
		}
		e.drop(n)
	})
	n.evict = t
}
