// Package pool keeps what is known about the backend servers: the entries that
// they publish, and what requests show about them.
package pool

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Stage is the part of a generation that an engine carries out.
type Stage uint8

// Stages of engines.
const (
	// Plain servers have no stage.
	Plain Stage = iota
	Prefill
	Decode
)

// String returns the name that logs use.
func (s Stage) String() string {
	switch s {
	case Plain:
		return "plain"
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	}
	return "unknown"
}

// Server is the published entry of one backend server.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	// Domain is the failure domain.
	Domain string
	Slots  int
	Stage  Stage
	// Draining servers get no new work.
	Draining bool
	// StartedAt is the start of the server's process. An entry with an earlier start
	// never replaces one with a later start.
	StartedAt time.Time
	// Revision is the version of the entry in the platform's store.
	Revision Revision
	// Sequence counts the entries that the server's process has written. A late entry
	// may be written after a newer one.
	Sequence uint64
}

// Times of the table.
const (
	// returnGrace is how long a server whose entry vanished around an outage of
	// the store is kept in use: live servers write their entries again within
	// two seconds of the store's return.
	returnGrace = 1700 * time.Millisecond
	// outageMemory is how long after its end an outage can explain that an entry
	// vanished.
	outageMemory = 2500 * time.Millisecond
	// misdirectedFor is how long a server is left out after its address was
	// answered by another one. A new process of it is used at once.
	misdirectedFor = 30 * time.Second
)

type record struct {
	Server
	// goneAt is when the entry vanished, zero while it is there.
	goneAt time.Time
	health health
	// open is the number of requests of this daemon at the server.
	open int
}

// Table holds the backend servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*record
	wrong   map[Process]time.Time
	// left holds the last entry of processes whose entries were removed, so that a
	// late entry does not bring them back.
	left map[Process]uint64
	// leaving holds the processes that take no new work by their own answers, with
	// the time of the first such answer.
	leaving map[Process]time.Time
	// barred holds the processes that want no request of this daemon until a time.
	barred map[Process]time.Time
	// outageEnd is when the store last came back.
	outageEnd time.Time
	outage    bool
	changed   func()
	suspect   func(Server)
	told      func(Server)
}

// Option changes a setting of a table.
type Option func(*Table)

// WithChanged sets a function that is called after the set of servers that can
// be used changed. It must not block.
func WithChanged(f func()) Option { return func(t *Table) { t.changed = f } }

// WithSuspect sets a function that is called when a request could not reach a
// server or got no whole answer from it. It must not block.
func WithSuspect(f func(Server)) Option { return func(t *Table) { t.suspect = f } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{servers: map[string]*record{}, wrong: map[Process]time.Time{}, left: map[Process]uint64{},
		leaving: map[Process]time.Time{}, barred: map[Process]time.Time{},
		changed: func() {}, suspect: func(Server) {}, told: func(Server) {}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetOutage tells the table whether the store can be read.
func (t *Table) SetOutage(now time.Time, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage && !down {
		t.outageEnd = now
	}
	t.outage = down
}

// StoreRestored tells the table when the store has come back from an older copy. Entries
// that it lacks may be written again, as after an outage.
func (t *Table) StoreRestored(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.outageEnd) {
		t.outageEnd = at
	}
}

// Put takes a published entry. It reports whether it changed the table.
func (t *Table) Put(s Server) bool {
	t.mu.Lock()
	r := t.servers[s.ID]
	last, left := t.left[s.Process()]
	if r != nil && (s.StartedAt.Before(r.StartedAt) || s.Revision.Before(r.Revision) || s.Process() == r.Process() && s.Sequence < r.Sequence) ||
		left && s.Sequence <= last {
		t.mu.Unlock()
		return false
	}
	delete(t.left, s.Process())
	fresh := r == nil || r.Process() != s.Process() || r.Addr != s.Addr
	if fresh {
		t.servers[s.ID] = &record{Server: s}
	} else {
		same := r.Server
		same.Revision, same.Sequence = s.Revision, s.Sequence
		fresh = same != s || !r.goneAt.IsZero()
		r.Server, r.goneAt = s, time.Time{}
	}
	t.mu.Unlock()
	if fresh {
		t.changed()
	}
	return fresh
}

// DuringOutage tells whether a removal that is seen now may be due to an outage of the
// store.
func (t *Table) DuringOutage(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outage || now.Sub(t.outageEnd) < outageMemory
}

// Remove takes the removal of an entry. A server whose entry lapsed around an
// outage stays in use for a short while, since it may only have been unable to
// renew its entry.
func (t *Table) Remove(now time.Time, id string, revision Revision, lapsed bool) bool {
	t.mu.Lock()
	r := t.servers[id]
	if r == nil || revision.Before(r.Revision) || !r.goneAt.IsZero() {
		t.mu.Unlock()
		return false
	}
	if lapsed && !r.Draining {
		r.goneAt, r.Revision = now, revision
		if now.Sub(t.outageEnd) < outageMemory {
			r.goneAt = t.outageEnd
		}
	} else {
		t.left[r.Process()] = r.Sequence
		delete(t.servers, id)
	}
	t.mu.Unlock()
	t.changed()
	return true
}

// Reset replaces all entries, after a full read of the store at a revision.
func (t *Table) Reset(now time.Time, all []Server, revision Revision) {
	seen := make(map[string]bool, len(all))
	for _, s := range all {
		seen[s.ID] = true
		t.Put(s)
	}
	t.mu.Lock()
	var lost []string
	for id, r := range t.servers {
		if !seen[id] && r.Revision.Compare(revision) <= 0 {
			lost = append(lost, id)
		}
	}
	t.mu.Unlock()
	for _, id := range lost {
		t.Remove(now, id, revision, t.DuringOutage(now))
	}
}

// MarkMisdirected records that another server answered at the address of s.
func (t *Table) MarkMisdirected(now time.Time, s Server) {
	t.mu.Lock()
	t.wrong[s.Process()] = now
	t.mu.Unlock()
	t.changed()
}

// usable tells whether new work may go to a server. The lock is held.
func (t *Table) usable(now time.Time, r *record) bool {
	if r.Draining || !r.goneAt.IsZero() && now.Sub(r.goneAt) > returnGrace {
		return false
	}
	if _, leaving := t.leaving[r.Process()]; leaving {
		return false
	}
	at, wrong := t.wrong[r.Process()]
	return !wrong || now.Sub(at) > misdirectedFor
}

// Usable returns the servers of a service that may get new work, in order of
// their names.
func (t *Table) Usable(now time.Time, service string) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for id, r := range t.servers {
		if !r.goneAt.IsZero() && now.Sub(r.goneAt) > returnGrace {
			delete(t.servers, id)
			continue
		}
		if r.Service == service && t.usable(now, r) {
			out = append(out, r.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Get returns the entry of a server while it may get new work.
func (t *Table) Get(now time.Time, id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || !t.usable(now, r) {
		return Server{}, false
	}
	return r.Server, true
}

// All returns every known entry, for display.
func (t *Table) All() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Server, 0, len(t.servers))
	for _, r := range t.servers {
		out = append(out, r.Server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
