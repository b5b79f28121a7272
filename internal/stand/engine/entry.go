package engine

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/conf/policy"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

// entry is the state of one request on the engine.
type entry struct {
	id     string
	origin *wire.Origin
	// pieces is the number of KV blocks in use. reserved is set if a reservation,
	// which also takes a slot, holds them.
	pieces      uint32
	reserved    bool
	expiryTimer *time.Timer

	prompt string
	text   Text
	tokens uint32
	// handle identifies the KV cache, and is empty while there is none.
	handle string
	cached uint32
	// computed is the number of prefill tokens that count as wasted if the entry is
	// dropped before its first output token.
	computed    uint32
	job         *job
	exports     int
	evictTimer  *time.Timer
	evictionDue bool

	decoding bool
	priority uint32
	next     uint32
	limit    uint32
	finish   string
	done     bool
	stream   *stream
	// detachedAt is when the last stream ended.
	detachedAt time.Time
}

// idle returns the time since the last stream ended, zero while one is attached.
func (n *entry) idle() time.Duration {
	if n.stream != nil || n.detachedAt.IsZero() {
		return 0
	}
	return time.Since(n.detachedAt)
}

// stream is the Decode call that receives the tokens of an entry.
type stream struct {
	wake chan struct{}
	err  error
}

func (n *entry) state() string {
	switch {
	case n.decoding:
		return "decode"
	case n.job != nil:
		return "prefill"
	case n.handle != "":
		return "kept"
	}
	return "reserved"
}

// endStream ends the attached stream, if any, with err.
func (n *entry) endStream(err error) {
	if n.stream == nil {
		return
	}
	n.stream.err = err
	notify(n.stream.wake)
	n.stream = nil
}

// entry returns the entry of a request and creates it if there is none. Load reports
// give the origin of the latest call. The caller holds mu.
func (e *Engine) entry(id string, o *wire.Origin) *entry {
	n := e.entries[id]
	if n == nil {
		n = &entry{id: id}
		e.entries[id] = n
	}
	n.origin = o
	return n
}

// drop removes the entry, frees its memory and slot, and ends its job and stream. The
// caller holds mu.
func (e *Engine) drop(n *entry) {
	if e.entries[n.id] != n {
		return
	}
	delete(e.entries, n.id)
	e.free += n.pieces
	n.pieces = 0
	if n.reserved {
		e.busy--
	}
	for _, t := range []*time.Timer{n.expiryTimer, n.evictTimer} {
		if t != nil {
			t.Stop()
		}
	}
	if n.job != nil {
		e.abort(n.job)
	}
	e.stats.Wasted += uint64(n.computed)
	n.computed = 0
	if n.decoding {
		e.deactivate(n)
	}
	n.endStream(connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", n.id)))
	notify(e.prefillWake)
}

func (e *Engine) deactivate(n *entry) {
	for i, a := range e.active {
		if a == n {
			e.active = append(e.active[:i], e.active[i+1:]...)
			return
		}
	}
}

// admit returns an error if the role, a fault, a running order or an outdated fencing
// token forbids new work. The caller holds mu.
func (e *Engine) admit(o *wire.Origin, role string) error {
	if e.fault.Refuse {
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("engine %s refuses new work", e.set.Name))
	}
	if time.Now().Before(e.loadingUntil) {
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("engine %s is busy with an order", e.set.Name))
	}
	if e.role != policy.RoleBoth && e.role != role {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("engine %s has role %s, want %s", e.set.Name, e.role, role))
	}
	return e.checkFence(o)
}

// checkFence returns an error for a fencing token lower than that of the last accepted
// order, if the engine checks tokens. The caller holds mu.
func (e *Engine) checkFence(o *wire.Origin) error {
	f := o.GetFence()
	if e.set.CheckFence && f < e.fence {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("fencing token %d is lower than the current %d", f, e.fence))
	}
	return nil
}

func (e *Engine) reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(r.Origin, policy.RoleDecode); err != nil {
		return nil, err
	}
	old := e.entries[r.Request]
	if old != nil && old.decoding {
		return &wire.ReserveReply{Granted: true, Free: e.free}, nil
	}
	var has uint32
	fresh := true
	if old != nil {
		has = old.pieces
		fresh = !old.reserved
	}
	want := max(r.Pieces, 1, has)
	if want > has+e.free || fresh && e.busy >= e.set.Slots {
		return &wire.ReserveReply{Free: e.free}, nil
	}
	n := e.entry(r.Request, r.Origin)
	e.free -= want - n.pieces
	n.pieces = want
	if fresh {
		n.reserved = true
		e.busy++
	}
	e.setTerm(n, r.Term.AsDuration())
	return &wire.ReserveReply{Granted: true, Free: e.free}, nil
}

// setTerm makes the reservation expire after d, by default 1 s, unless the decode
// starts. A KV cache in the reserved memory is dropped with it. The caller holds mu.
func (e *Engine) setTerm(n *entry, d time.Duration) {
	if n.expiryTimer != nil {
		n.expiryTimer.Stop()
	}
	if n.evictTimer != nil {
		n.evictTimer.Stop()
		n.evictTimer = nil
	}
	if d <= 0 {
		d = time.Second
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A renewed reservation has another timer.
		if !n.decoding && n.expiryTimer == t {
			e.drop(n)
		}
	})
	n.expiryTimer = t
}

func (e *Engine) cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := e.entries[r.Request]; n != nil {
		e.drop(n)
	}
	return &wire.CancelReply{}, nil
}

func (e *Engine) order(ctx context.Context, r *wire.OrderRequest) (*wire.OrderReply, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Refuse || e.checkFence(r.Origin) != nil {
		return &wire.OrderReply{Fence: e.fence}, nil
	}
	switch r.Role {
	case "", policy.RolePrefill, policy.RoleDecode, policy.RoleBoth:
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("unknown role %q; use prefill, decode or both", r.Role))
	}
	e.fence = max(e.fence, r.Origin.GetFence())
	if r.Role != "" {
		e.role = r.Role
	}
	if r.Model != "" {
		e.model = r.Model
	}
	e.loadingUntil = time.Now().Add(e.set.LoadTime)
	return &wire.OrderReply{Accepted: true, Fence: e.fence}, nil
}

// checkPoison crashes the engine if the prompt contains the poison text.
func (e *Engine) checkPoison(prompt string) error {
	if e.set.Poison == "" || !strings.Contains(prompt, e.set.Poison) {
		return nil
	}
	e.set.Crash()
	return connect.NewError(connect.CodeInternal, fmt.Errorf("engine %s crashed", e.set.Name))
}
