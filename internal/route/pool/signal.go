package pool

import (
	"slices"
	"time"
)

// Times of what servers say of themselves in their answers.
const (
	// leavingMemory is how long a process that says that it leaves is left out
	// without an entry that says so, too. Such processes end within seconds.
	leavingMemory = 5 * time.Minute
	// longestWait bounds the time for which a server asks to be left alone.
	longestWait = time.Minute
)

// Signal is what an answer of a server says besides the answer itself.
type Signal struct {
	// Draining tells that the server's process takes no new work.
	Draining bool
	// RetryAfter is the time for which the server wants no request from this daemon,
	// zero for none. Only refusals have it.
	RetryAfter time.Duration
}

// Process names one process of a backend server.
type Process struct {
	ID string `cbor:"1,keyasint"`
	// StartedAt is the start of the process in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
}

// Process returns the process of the entry.
func (s *Server) Process() Process { return Process{s.ID, s.StartedAt.UnixMilli()} }

// WithDraining sets a function that is called once for each process that told this
// daemon in an answer that it leaves. It must not block.
func WithDraining(f func(Server)) Option { return func(t *Table) { t.told = f } }

// ApplySignal takes what an answer of a server said of the server.
func (t *Table) ApplySignal(now time.Time, s Server, signal Signal) {
	if signal.RetryAfter > 0 {
		t.bar(now, s.Process(), min(signal.RetryAfter, longestWait))
	}
	if signal.Draining && t.MarkDraining(now, s.Process()) {
		t.told(s)
	}
}

// MarkDraining leaves out a process that takes no new work, whatever its entry
// says. It reports whether this is news. Another process of the same server is
// not left out.
func (t *Table) MarkDraining(now time.Time, p Process) bool {
	t.mu.Lock()
	for old, at := range t.leaving {
		if now.Sub(at) > leavingMemory {
			delete(t.leaving, old)
		}
	}
	_, known := t.leaving[p]
	if !known {
		t.leaving[p] = now
	}
	t.mu.Unlock()
	if !known {
		t.changed()
	}
	return !known
}

// bar keeps new requests of this daemon from a process for a while.
func (t *Table) bar(now time.Time, p Process, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for old, until := range t.barred {
		if now.After(until) {
			delete(t.barred, old)
		}
	}
	if until := now.Add(wait); until.After(t.barred[p]) {
		t.barred[p] = until
	}
}

// isBarred tells whether this daemon must not send to a process. The lock is held.
func (t *Table) isBarred(now time.Time, p Process) bool { return now.Before(t.barred[p]) }

// BackingOff returns the servers of a service that want no request from this daemon
// for a while, in order of their names.
func (t *Table) BackingOff(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.barred) == 0 {
		return nil
	}
	var out []string
	for id, r := range t.servers {
		if r.Service == service && t.usable(now, r) && t.isBarred(now, r.Process()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Available returns the entry of a server to which this daemon may send new work.
func (t *Table) Available(now time.Time, id string) (Server, bool) {
	s, ok := t.Get(now, id)
	return s, ok && !t.IsBackingOff(now, s)
}

// IsBackingOff tells whether a server wants no request from this daemon.
func (t *Table) IsBackingOff(now time.Time, s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBarred(now, s.Process())
}

// RetryAfter returns the time until the first server of a service that can be used
// takes requests of this daemon again, zero when one does or there is none.
func (t *Table) RetryAfter(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := time.Duration(0)
	for _, r := range t.servers {
		if r.Service != service || !t.usable(now, r) {
			continue
		}
		wait := t.barred[r.Process()].Sub(now)
		if wait <= 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
