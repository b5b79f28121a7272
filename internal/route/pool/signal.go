package pool

import (
	"slices"
	"time"
)

// Limits on what servers announce in their responses.
const (
	// drainingTTL is how long a process that announced that it drains is
	// excluded, even if its entry doesn't say so. Such processes end within
	// seconds.
	drainingTTL = 5 * time.Minute
	// maxBackoff bounds the backoff that a server asks for.
	maxBackoff = time.Minute
)

// Signal is what the headers of a response say about the server.
type Signal struct {
	// Draining is set when the server's process takes no new requests.
	Draining bool
	// RetryAfter is how long the server wants no request from this daemon, zero
	// if it didn't say so. Only rejections have it.
	RetryAfter time.Duration
}

// Process identifies one incarnation of a backend server.
type Process struct {
	ID string `cbor:"1,keyasint"`
	// StartedAt is the start of the process in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
}

// Process returns the incarnation that wrote the entry.
func (s *Server) Process() Process { return Process{s.ID, s.StartedAt.UnixMilli()} }

// WithDraining sets a function that is called once for each process that announced
// to this daemon that it drains. It must not block.
func WithDraining(f func(Server)) Option { return func(t *Table) { t.onDraining = f } }

// ApplySignal takes the signal of a response of server s.
func (t *Table) ApplySignal(now time.Time, s Server, signal Signal) {
	if signal.RetryAfter > 0 {
		t.backOff(now, s.Process(), min(signal.RetryAfter, maxBackoff))
	}
	if signal.Draining && t.MarkDraining(now, s.Process()) {
		t.onDraining(s)
	}
}

// MarkDraining excludes a process from new requests, whatever its entry says, and
// reports whether it was not excluded before. Another process of the same server is
// not affected.
func (t *Table) MarkDraining(now time.Time, p Process) bool {
	t.mu.Lock()
	for old, at := range t.draining {
		if now.Sub(at) > drainingTTL {
			delete(t.draining, old)
		}
	}
	_, known := t.draining[p]
	if !known {
		t.draining[p] = now
	}
	t.mu.Unlock()
	if !known {
		t.onChange()
	}
	return !known
}

// backOff keeps this daemon's requests from a process for a while. A longer backoff
// that is already in force stays.
func (t *Table) backOff(now time.Time, p Process, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for old, until := range t.backoff {
		if now.After(until) {
			delete(t.backoff, old)
		}
	}
	if until := now.Add(wait); until.After(t.backoff[p]) {
		t.backoff[p] = until
	}
}

// isBackingOff reports whether this daemon must not send to a process, because the
// process asked for that or because of its limit. The caller holds mu.
func (t *Table) isBackingOff(now time.Time, p Process) bool {
	return now.Before(t.backoff[p]) || now.Before(t.holds[p].until)
}

// BackingOff returns the usable servers of a service that want no request from this
// daemon for now, sorted by ID.
func (t *Table) BackingOff(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.backoff) == 0 && len(t.holds) == 0 {
		return nil
	}
	var out []string
	for id, r := range t.servers {
		if r.Service == service && t.usable(now, r) && t.isBackingOff(now, r.Process()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Available returns the entry of a server to which this daemon may send new
// requests: one that is usable and not backing off.
func (t *Table) Available(now time.Time, id string) (Server, bool) {
	s, ok := t.Get(now, id)
	return s, ok && !t.IsBackingOff(now, s)
}

// IsBackingOff reports whether a server wants no request from this daemon for now.
func (t *Table) IsBackingOff(now time.Time, s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBackingOff(now, s.Process())
}

// RetryAfter returns the time until the first usable server of a service accepts
// requests from this daemon again. It is zero when one does now or none is usable.
// Unhealthy servers count only if there is no healthy one.
func (t *Table) RetryAfter(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := map[bool]time.Duration{}
	for _, r := range t.servers {
		if r.Service != service || !t.usable(now, r) {
			continue
		}
		wait := max(t.backoff[r.Process()].Sub(now), 0)
		if h := t.holds[r.Process()]; now.Before(h.until) {
			wait = max(wait, h.back.Sub(now))
		}
		unhealthy := r.health.unhealthy(now)
		if was, ok := shortest[unhealthy]; !ok || wait < was {
			shortest[unhealthy] = wait
		}
	}
	if wait, ok := shortest[false]; ok {
		return wait
	}
	return shortest[true]
}
