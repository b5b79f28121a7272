package engine

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/stand/serve"
)

// Fault is the state of the fault switches, as read and written at /fault. A
// POST changes the switches that its body names.
type Fault struct {
	// Stall stops the bytes of KV transfers.
	Stall bool `json:"stall"`
	// Freeze stops everything except /fault and /held.
	Freeze bool `json:"freeze"`
	// Refuse refuses new reservations, prefills and orders.
	Refuse bool `json:"refuse"`
	// ReportLag and Delay are the ages of reports and cache events in milliseconds.
	ReportLag  int64 `json:"lag"`
	EventDelay int64 `json:"delay"`
	// SkipEvery leaves out every Gap-th cache event; zero leaves out none.
	SkipEvery int `json:"gap"`
	// Silent makes the connections that are open now fall silent, once.
	Silent bool `json:"silent,omitempty"`
	// Crash ends the process at once.
	Crash bool `json:"crash,omitempty"`
}

func millis(d time.Duration) int64 { return int64(d / time.Millisecond) }

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	f := e.fault
	e.mu.Unlock()
	if !serve.Decode(w, r, &f) {
		return
	}
	if f.Crash {
		e.set.Crash()
	}
	if f.Silent && e.server != nil {
		e.server.Silence(r.Context())
	}
	f.Silent, f.Crash = false, false
	e.SetFault(f)
	serve.Reply(w, f)
}

// SetFault changes the fault switches. Silent and Crash work through /fault only.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.thaw = toggle(e.thaw, f.Freeze)
	e.loose = toggle(e.loose, f.Stall)
	e.fault = f
}

// toggle returns an open channel when blocked and a closed one otherwise.
func toggle(c chan struct{}, blocked bool) chan struct{} {
	closed := false
	select {
	case <-c:
		closed = true
	default:
	}
	if blocked && closed {
		return make(chan struct{})
	}
	if !blocked && !closed {
		close(c)
	}
	return c
}

// gate waits while the engine is frozen.
func (e *Engine) gate(ctx context.Context) error {
	e.mu.Lock()
	c := e.thaw
	e.mu.Unlock()
	return e.block(ctx, c)
}

// flowing waits while transfers are stalled or the engine is frozen.
func (e *Engine) flowing(ctx context.Context) error {
	e.mu.Lock()
	c := e.loose
	e.mu.Unlock()
	if err := e.block(ctx, c); err != nil {
		return err
	}
	return e.gate(ctx)
}

func (e *Engine) block(ctx context.Context, c chan struct{}) error {
	select {
	case <-c:
		return nil
	default:
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

func (e *Engine) lag() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.fault.ReportLag) * time.Millisecond
}

func (e *Engine) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.fault.EventDelay) * time.Millisecond
}
