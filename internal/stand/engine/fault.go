package engine

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/stand/serve"
)

// Fault is the set of injected faults. A POST to /fault changes the fields that its
// JSON body has and returns the result.
type Fault struct {
	// Stall stops all KV transfers without closing their connections.
	Stall bool `json:"stall"`
	// Freeze simulates a process pause: only /fault and /held still respond.
	Freeze bool `json:"freeze"`
	// Refuse refuses new reservations, prefills and orders.
	Refuse bool `json:"refuse"`
	// ReportLag and EventDelay are the ages of load reports and cache events when
	// they are sent, in milliseconds.
	ReportLag  int64 `json:"lag"`
	EventDelay int64 `json:"delay"`
	// SkipEvery drops every SkipEvery-th cache event. Zero drops none.
	SkipEvery int `json:"gap"`
	// Silent mutes the connections that are open now, as a partition would. It
	// resets itself.
	Silent bool `json:"silent,omitempty"`
	// Crash ends the process immediately.
	Crash bool `json:"crash,omitempty"`
}

func milliseconds(d time.Duration) int64 { return int64(d / time.Millisecond) }

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

// SetFault replaces the injected faults. Silent and Crash take effect only through
// /fault.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unfrozen = toggle(e.unfrozen, f.Freeze)
	e.unstalled = toggle(e.unstalled, f.Stall)
	e.fault = f
}

// toggle returns a channel that is open if blocked is set and closed otherwise. It
// reuses c where it can.
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

// waitUnfrozen blocks while the engine is frozen. It returns an error if ctx or the
// engine ends.
func (e *Engine) waitUnfrozen(ctx context.Context) error {
	e.mu.Lock()
	c := e.unfrozen
	e.mu.Unlock()
	return e.waitClosed(ctx, c)
}

// waitTransfer blocks while transfers are stalled or the engine is frozen.
func (e *Engine) waitTransfer(ctx context.Context) error {
	e.mu.Lock()
	c := e.unstalled
	e.mu.Unlock()
	if err := e.waitClosed(ctx, c); err != nil {
		return err
	}
	return e.waitUnfrozen(ctx)
}

func (e *Engine) waitClosed(ctx context.Context, c chan struct{}) error {
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
