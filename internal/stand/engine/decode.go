package engine

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// maxFinished is the maximum number of finished requests that are kept for a stream to
// be resumed.
const maxFinished = 10000

// decode streams tokens, beginning with the one at index From. Generation continues if
// the stream breaks, and a later call takes over the request.
func (e *Engine) decode(ctx context.Context, r *wire.DecodeRequest, send func(*wire.DecodeChunk) error) error {
	if err := e.waitUnfrozen(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	prompt := ""
	if n := e.entries[r.Request]; n != nil && !n.decoding {
		prompt = n.prompt
	}
	e.mu.Unlock()
	if err := e.checkPoison(prompt); err != nil {
		return err
	}
	n, s, err := e.attach(r)
	if err != nil {
		return err
	}
	defer e.detach(n, s)
	for index := r.From; ; index++ {
		more, err := e.waitToken(ctx, n, s, index)
		if err != nil {
			return err
		}
		if err := e.waitUnfrozen(ctx); err != nil {
			return err
		}
		c := &wire.DecodeChunk{Request: r.Request, Index: index}
		if index < n.limit {
			c.Text = n.text.Token(index)
		}
		if !more {
			c.Finish = n.finish
		}
		if err := send(c); err != nil || !more {
			return err
		}
	}
}

// attach creates a stream, replaces the request's current one by it, and starts the
// decode if it has not started. The replaced stream ends with an error.
func (e *Engine) attach(r *wire.DecodeRequest) (*entry, *stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &stream{wake: make(chan struct{}, 1)}
	n := e.entries[r.Request]
	if n == nil {
		if n = e.finished[r.Request]; n != nil {
			return n, s, nil
		}
		return nil, nil, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("request %s is unknown to engine %s", r.Request, e.set.Name))
	}
	if !n.decoding {
		if !n.reserved || n.handle == "" {
			return nil, nil, connect.NewError(connect.CodeFailedPrecondition,
				fmt.Errorf("request %s has no reservation or no KV cache on this engine", r.Request))
		}
		e.startDecode(n, r)
	}
	n.endStream(connect.NewError(connect.CodeAborted, fmt.Errorf("another stream took over request %s", r.Request)))
	n.stream, n.origin = s, r.Origin
	return n, s, nil
}

// startDecode starts the generation and ends the expiry of the reservation. The caller
// holds mu.
func (e *Engine) startDecode(n *entry, r *wire.DecodeRequest) {
	n.decoding = true
	n.priority = r.Priority
	n.limit, n.finish = n.text.Len(r.Max)
	n.next = min(r.From, n.limit)
	if n.expiryTimer != nil {
		n.expiryTimer.Stop()
	}
	if e.finished[n.id] != nil {
		e.stats.Duplicates++
	}
	e.active = append(e.active, n)
	notify(e.decodeWake)
}

func (e *Engine) detach(n *entry, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.stream == s {
		n.stream = nil
		n.detachedAt = time.Now()
	}
}

// waitToken blocks until the token at index is generated. It returns false if it is
// the last one.
func (e *Engine) waitToken(ctx context.Context, n *entry, s *stream, index uint32) (bool, error) {
	for {
		e.mu.Lock()
		ready := index < n.next || n.done
		more := index+1 < n.limit
		err := s.err
		e.mu.Unlock()
		switch {
		case err != nil:
			return false, err
		case ready:
			return more, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return false, ctx.Err()
		case <-e.ctx.Done():
			return false, connect.NewError(connect.CodeUnavailable, e.ctx.Err())
		}
	}
}

// decodeLoop generates one token for each active request per step.
func (e *Engine) decodeLoop() {
	var due time.Time
	for {
		e.mu.Lock()
		gap := e.tokenGap()
		idle := len(e.active) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-e.decodeWake:
				due = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		due = due.Add(gap)
		// After a late step, the next ones aren't run faster to catch up.
		if now := time.Now(); due.Before(now) {
			due = now
		}
		if !sleep(e.ctx, time.Until(due)) || e.waitUnfrozen(e.ctx) != nil {
			return
		}
		e.step()
	}
}

// tokenGap returns the time between tokens at the current load. The caller holds mu.
func (e *Engine) tokenGap() time.Duration {
	if len(e.active) < 2 || e.set.Slots < 2 {
		return e.set.TokenGap
	}
	load := float64(len(e.active)-1) / float64(e.set.Slots-1)
	return e.set.TokenGap + time.Duration(float64(e.set.TokenGap)*e.set.Growth*load)
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The loop needs a copy, since finished and preempted requests are removed.
	for _, n := range append([]*entry(nil), e.active...) {
		if e.entries[n.id] == n && e.ensureMemory(n) {
			e.advance(n)
		}
	}
}

// advance generates the next token of n, and frees n after the last one. The caller
// holds mu.
func (e *Engine) advance(n *entry) {
	e.stats.Used += uint64(n.computed)
	n.computed = 0
	if n.next < n.limit {
		n.next++
	}
	s := n.stream
	if n.next >= n.limit {
		n.done = true
		n.stream = nil
		e.keepFinished(n)
		e.drop(n)
		e.stats.Finished++
	}
	if s != nil {
		notify(s.wake)
	}
}

// keepFinished records a finished request, without its KV memory, so that a broken
// stream can still be resumed. The caller holds mu.
func (e *Engine) keepFinished(n *entry) {
	if e.finished[n.id] == nil {
		e.finishedIDs = append(e.finishedIDs, n.id)
	}
	e.finished[n.id] = n
	n.prompt = ""
	if len(e.finishedIDs) > maxFinished {
		delete(e.finished, e.finishedIDs[0])
		e.finishedIDs = e.finishedIDs[1:]
	}
}

// ensureMemory allocates memory for the next token of n and reports whether n still
// runs. While memory is short, it preempts the request with the lowest priority, and
// among equals the one with the fewest generated tokens. The caller holds mu.
func (e *Engine) ensureMemory(n *entry) bool {
	for !e.grow(n, blocksFor(n.tokens+n.next+1)) {
		victim := e.active[0]
		for _, a := range e.active[1:] {
			if lessUrgent(a, victim) {
				victim = a
			}
		}
		e.stats.Preempted++
		victim.endStream(connect.NewError(connect.CodeResourceExhausted,
			fmt.Errorf("request %s was preempted", victim.id)))
		e.drop(victim)
		if victim == n {
			return false
		}
	}
	return true
}

// lessUrgent reports whether a is to be preempted before b. A higher number is a lower
// priority.
func lessUrgent(a, b *entry) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if a.next != b.next {
		return a.next < b.next
	}
	return a.id > b.id
}
