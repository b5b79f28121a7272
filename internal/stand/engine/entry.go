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

// entry is what the engine holds of one request.
type entry struct {
	id     string
	origin *wire.Origin
	// pieces is the memory held. slot tells that a reservation holds it.
	pieces uint32
	slot   bool
	expiry *time.Timer

	prompt string
	text   Text
	tokens uint32
	// handle names the KV cache that is present, empty when there is none.
	handle string
	cached uint32
	// computed is the number of prefill tokens that are wasted when the entry
	// is dropped before its first output token.
	computed uint32
	job      *job
	exports  int
	evict    *time.Timer
	due      bool

	decoding bool
	priority uint32
	next     uint32
	limit    uint32
	finish   string
	done     bool
	stream   *stream
	// left is when the last stream was detached.
	left time.Time
}

// idle is the time since the last stream was detached.
func (n *entry) idle() time.Duration {
	if n.stream != nil || n.left.IsZero() {
		return 0
	}
	return time.Since(n.left)
}

// stream is one Decode call that is attached to an entry.
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

// end closes the attached stream with err.
func (n *entry) end(err error) {
	if n.stream == nil {
		return
	}
	n.stream.err = err
	poke(n.stream.wake)
	n.stream = nil
}

// entry returns the entry of a request and makes one when there is none. The
// last origin is the one that reports name. The caller holds mu.
func (e *Engine) entry(id string, o *wire.Origin) *entry {
	n := e.entries[id]
	if n == nil {
		n = &entry{id: id}
		e.entries[id] = n
	}
	n.origin = o
	return n
}

// drop frees everything that the entry holds. The caller holds mu.
func (e *Engine) drop(n *entry) {
	if e.entries[n.id] != n {
		return
	}
	delete(e.entries, n.id)
	e.free += n.pieces
	n.pieces = 0
	if n.slot {
		e.busy--
	}
	for _, t := range []*time.Timer{n.expiry, n.evict} {
		if t != nil {
			t.Stop()
		}
	}
	if n.job != nil {
		e.abort(n.job)
	}
	e.count.Wasted += uint64(n.computed)
	n.computed = 0
	if n.decoding {
		e.deactivate(n)
	}
	n.end(connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", n.id)))
	poke(e.jobs)
}

func (e *Engine) deactivate(n *entry) {
	for i, a := range e.active {
		if a == n {
			e.active = append(e.active[:i], e.active[i+1:]...)
			return
		}
	}
}

// admit refuses new work that the role, a fault or an old fencing number
// forbids. The caller holds mu.
func (e *Engine) admit(o *wire.Origin, role string) error {
	if e.fault.Refuse {
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("engine %s refuses new work", e.set.Name))
	}
	if time.Now().Before(e.loading) {
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("engine %s is loading", e.set.Name))
	}
	if e.role != policy.RoleBoth && e.role != role {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("engine %s has the role %s, not %s", e.set.Name, e.role, role))
	}
	return e.fenced(o)
}

// fenced refuses a number lower than that of the last accepted order, if the
// engine checks. The caller holds mu.
func (e *Engine) fenced(o *wire.Origin) error {
	f := o.GetFence()
	if e.set.CheckFence && f < e.fence {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("fencing number %d is lower than %d", f, e.fence))
	}
	return nil
}

func (e *Engine) reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if err := e.gate(ctx); err != nil {
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
		fresh = !old.slot
	}
	want := max(r.Pieces, 1, has)
	if want > has+e.free || fresh && e.busy >= e.set.Slots {
		return &wire.ReserveReply{Free: e.free}, nil
	}
	n := e.entry(r.Request, r.Origin)
	e.free -= want - n.pieces
	n.pieces = want
	if fresh {
		n.slot = true
		e.busy++
	}
	e.term(n, r.Term.AsDuration())
	return &wire.ReserveReply{Granted: true, Free: e.free}, nil
}

// term ends the reservation after d unless decode starts. A KV cache that lies
// in the reserved memory goes with it. The caller holds mu.
func (e *Engine) term(n *entry, d time.Duration) {
	if n.expiry != nil {
		n.expiry.Stop()
	}
	if n.evict != nil {
		n.evict.Stop()
		n.evict = nil
	}
	if d <= 0 {
		d = time.Second
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A renewal replaces the timer.
		if !n.decoding && n.expiry == t {
			e.drop(n)
		}
	})
	n.expiry = t
}

func (e *Engine) cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := e.gate(ctx); err != nil {
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
	if err := e.gate(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Refuse || e.fenced(r.Origin) != nil {
		return &wire.OrderReply{Fence: e.fence}, nil
	}
	switch r.Role {
	case "", policy.RolePrefill, policy.RoleDecode, policy.RoleBoth:
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("unknown role %q", r.Role))
	}
	e.fence = max(e.fence, r.Origin.GetFence())
	if r.Role != "" {
		e.role = r.Role
	}
	if r.Model != "" {
		e.model = r.Model
	}
	e.loading = time.Now().Add(e.set.LoadTime)
	return &wire.OrderReply{Accepted: true, Fence: e.fence}, nil
}

// poisoned crashes the engine when the prompt contains the poison text.
func (e *Engine) poisoned(prompt string) error {
	if e.set.Poison == "" || !strings.Contains(prompt, e.set.Poison) {
		return nil
	}
	e.set.Crash()
	return connect.NewError(connect.CodeInternal, fmt.Errorf("engine %s crashed", e.set.Name))
}
