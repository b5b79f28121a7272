package engine

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// remembered is the number of finished requests whose streams can be resumed.
const remembered = 10000

// decode streams tokens from an index on. Generation goes on when the stream
// breaks; a later call takes the request over.
func (e *Engine) decode(ctx context.Context, r *wire.DecodeRequest, send func(*wire.DecodeChunk) error) error {
	if err := e.gate(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	prompt := ""
	if n := e.entries[r.Request]; n != nil && !n.decoding {
		prompt = n.prompt
	}
	e.mu.Unlock()
	if err := e.poisoned(prompt); err != nil {
		return err
	}
	n, s, err := e.attach(r)
	if err != nil {
		return err
	}
	defer e.detach(n, s)
	for index := r.From; ; index++ {
		more, err := e.await(ctx, n, s, index)
		if err != nil {
			return err
		}
		if err := e.gate(ctx); err != nil {
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

// attach makes a new stream the one of its request and starts the request if
// it does not decode yet.
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
			fmt.Errorf("request %s is not on engine %s", r.Request, e.set.Name))
	}
	if !n.decoding {
		if !n.slot || n.handle == "" {
			return nil, nil, connect.NewError(connect.CodeFailedPrecondition,
				fmt.Errorf("request %s has no reservation or no KV cache here", r.Request))
		}
		e.begin(n, r)
	}
	n.end(connect.NewError(connect.CodeAborted, fmt.Errorf("another stream took request %s over", r.Request)))
	n.stream, n.origin = s, r.Origin
	return n, s, nil
}

// begin starts the generation. The caller holds mu.
func (e *Engine) begin(n *entry, r *wire.DecodeRequest) {
	n.decoding = true
	n.priority = r.Priority
	n.limit, n.finish = n.text.Len(r.Max)
	n.next = min(r.From, n.limit)
	if n.expiry != nil {
		n.expiry.Stop()
	}
	if e.finished[n.id] != nil {
		e.count.Duplicates++
	}
	e.active = append(e.active, n)
	poke(e.work)
}

func (e *Engine) detach(n *entry, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.stream == s {
		n.stream = nil
		n.left = time.Now()
	}
}

// await returns when the token at index is there. It returns false with the
// last token.
func (e *Engine) await(ctx context.Context, n *entry, s *stream, index uint32) (bool, error) {
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

// decodeLoop generates one token for each active request in every step.
func (e *Engine) decodeLoop() {
	var due time.Time
	for {
		e.mu.Lock()
		gap := e.gap()
		idle := len(e.active) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-e.work:
				due = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		due = due.Add(gap)
		// A late step is not made up for.
		if now := time.Now(); due.Before(now) {
			due = now
		}
		if !sleep(e.ctx, time.Until(due)) || e.gate(e.ctx) != nil {
			return
		}
		e.step()
	}
}

// gap returns the time between tokens now. The caller holds mu.
func (e *Engine) gap() time.Duration {
	if len(e.active) < 2 || e.set.Slots < 2 {
		return e.set.TokenGap
	}
	load := float64(len(e.active)-1) / float64(e.set.Slots-1)
	return e.set.TokenGap + time.Duration(float64(e.set.TokenGap)*e.set.Growth*load)
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Requests leave the list while it is walked.
	for _, n := range append([]*entry(nil), e.active...) {
		if e.entries[n.id] == n && e.room(n) {
			e.advance(n)
		}
	}
}

// advance generates the next token. The caller holds mu.
func (e *Engine) advance(n *entry) {
	e.count.Used += uint64(n.computed)
	n.computed = 0
	if n.next < n.limit {
		n.next++
	}
	s := n.stream
	if n.next >= n.limit {
		n.done = true
		n.stream = nil
		e.remember(n)
		e.drop(n)
		e.count.Finished++
	}
	if s != nil {
		poke(s.wake)
	}
}

// remember keeps a finished request, without memory, so that a broken stream
// can still be resumed. The caller holds mu.
func (e *Engine) remember(n *entry) {
	if e.finished[n.id] == nil {
		e.recent = append(e.recent, n.id)
	}
	e.finished[n.id] = n
	n.prompt = ""
	if len(e.recent) > remembered {
		delete(e.finished, e.recent[0])
		e.recent = e.recent[1:]
	}
}

// room makes sure that the next token of n has memory and tells whether n still
// runs. When memory lacks, the least urgent request is preempted, and among
// equals the one with the fewest tokens. The caller holds mu.
func (e *Engine) room(n *entry) bool {
	for !e.grow(n, memory(n.tokens+n.next+1)) {
		victim := e.active[0]
		for _, a := range e.active[1:] {
			if less(a, victim) {
				victim = a
			}
		}
		e.count.Preempted++
		victim.end(connect.NewError(connect.CodeResourceExhausted,
			fmt.Errorf("request %s was preempted", victim.id)))
		e.drop(victim)
		if victim == n {
			return false
		}
	}
	return true
}

func less(a, b *entry) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if a.next != b.next {
		return a.next < b.next
	}
	return a.id > b.id
}
