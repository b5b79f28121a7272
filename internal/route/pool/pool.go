// Package pool is the table of backend servers: the entries that they publish in
// the platform's store, and their health as observed from requests.
package pool

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Stage is the phase of a generation that an engine serves.
type Stage uint8

// Stages of engines.
const (
	// Plain is for servers that are not model engines.
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

// Server is the entry of one backend server in the store.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	// Domain is the failure domain.
	Domain string
	Slots  int
	Stage  Stage
	// Version is the version of the server's software, empty if it is not known. Versions
	// have no order.
	Version string
	// Draining servers get no new requests.
	Draining bool
	// StartedAt is the start of the server's process. An entry with an earlier
	// start never replaces one with a later start.
	StartedAt time.Time
	// Revision is the store's revision of the entry.
	Revision Revision
	// Sequence counts the entries that the server's process has written. Writes
	// can reach the store out of order, so that a lower one may come after a
	// higher one.
	Sequence uint64
}

// IsVersion reports whether the server's software is known to have a version. It is
// false for the empty version, which stands for one that is not known.
func (s *Server) IsVersion(version string) bool { return version != "" && s.Version == version }

// Times of the table.
const (
	// renewalGrace is how long a server stays in use whose entry expired around
	// a store outage. Live servers write their entries again within two seconds
	// of the store's return.
	renewalGrace = 1700 * time.Millisecond
	// outageWindow is how long after the end of an outage a removal is still
	// attributed to it.
	outageWindow = 2500 * time.Millisecond
	// misdirectedTTL is how long a server is excluded after another one
	// responded at its address. A new process of the server is used at once.
	misdirectedTTL = 30 * time.Second
)

// record is a server with the health that this daemon observed.
type record struct {
	Server
	// removedAt is when the entry was removed, zero while it exists.
	removedAt time.Time
	health    health
	// inFlight is the number of this daemon's requests at the server.
	inFlight int
}

// Table holds the backend servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*record
	// misdirected holds the processes at whose address another server responded,
	// and when.
	misdirected map[Process]time.Time
	// tombstones holds the last sequence of processes whose entries were
	// removed, so that a delayed write does not bring them back.
	tombstones map[Process]uint64
	// draining holds the processes that announced in a response that they
	// drain, and when they first did so.
	draining map[Process]time.Time
	// backoff holds until when processes want no request from this daemon.
	backoff map[Process]time.Time
	// holds has the processes whose limits leave no room for this daemon's requests.
	holds map[Process]hold
	// versionSeen is when the last entry with a version of the software went away,
	// observedSince since when no change of the entries was missed.
	versionSeen   map[versionKey]time.Time
	observedSince time.Time
	// observedFrom is the revision of the store at observedSince, as of the last full read.
	observedFrom Revision
	// evidence has what was observed of processes, currentAt is when the entries were last
	// the newest ones, unsettled ends the time in which servers write theirs again.
	evidence             map[Process]evidence
	currentAt, unsettled time.Time
	// outageEnd is when the last store outage ended.
	outageEnd  time.Time
	outage     bool
	onChange   func()
	onSuspect  func(Server)
	onDraining func(Server)
}

// Option changes a setting of a table.
type Option func(*Table)

// WithChanged sets a function that is called after the set of usable servers or the
// health of one changed. It must not block.
func WithChanged(f func()) Option { return func(t *Table) { t.onChange = f } }

// WithSuspect sets a function that is called when a request could not reach a
// server or got no complete response from it. It must not block.
func WithSuspect(f func(Server)) Option { return func(t *Table) { t.onSuspect = f } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{servers: map[string]*record{}, misdirected: map[Process]time.Time{}, tombstones: map[Process]uint64{},
		draining: map[Process]time.Time{}, backoff: map[Process]time.Time{}, holds: map[Process]hold{}, versionSeen: map[versionKey]time.Time{}, evidence: map[Process]evidence{},
		onChange: func() {}, onSuspect: func(Server) {}, onDraining: func(Server) {}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetOutage records whether the store is unavailable. The end of an outage starts
// renewalGrace for servers whose entries expired in it.
func (t *Table) SetOutage(now time.Time, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage && !down {
		t.outageEnd = now
	}
	t.outage = down
}

// StoreRestored records that the store came back from an older copy at a time.
// Servers may have to write entries again that the copy lacks, as after an outage.
func (t *Table) StoreRestored(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.outageEnd) {
		t.outageEnd = at
	}
}

// Put applies an entry and reports whether it changed the table. It ignores entries
// that are older than the known one or its removal.
func (t *Table) Put(s Server) bool {
	t.mu.Lock()
	r := t.servers[s.ID]
	lastSequence, removed := t.tombstones[s.Process()]
	if r != nil && (s.StartedAt.Before(r.StartedAt) || s.Revision.Before(r.Revision) || s.Process() == r.Process() && s.Sequence < r.Sequence) ||
		removed && s.Sequence <= lastSequence {
		t.mu.Unlock()
		return false
	}
	delete(t.tombstones, s.Process())
	if r != nil && (r.Service != s.Service || r.Version != s.Version) {
		t.noteVersion(time.Now(), r.Server)
	}
	changed := r == nil || r.Process() != s.Process() || r.Addr != s.Addr
	if changed {
		t.servers[s.ID] = &record{Server: s}
	} else {
		old := r.Server
		old.Revision, old.Sequence = s.Revision, s.Sequence
		changed = old != s || !r.removedAt.IsZero()
		r.Server, r.removedAt = s, time.Time{}
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
	return changed
}

// DuringOutage reports whether a removal that is seen now may be the expiry of an
// entry that could not be renewed because of a store outage.
func (t *Table) DuringOutage(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outage || now.Sub(t.outageEnd) < outageWindow
}

// Remove applies the removal of an entry at a revision and reports whether it
// changed the table. With duringOutage, a server that isn't draining stays in use
// for renewalGrace, as it may only have been unable to renew its entry.
func (t *Table) Remove(now time.Time, id string, revision Revision, duringOutage bool) bool {
	t.mu.Lock()
	r := t.servers[id]
	if r == nil || revision.Before(r.Revision) || !r.removedAt.IsZero() {
		t.mu.Unlock()
		return false
	}
	if duringOutage && !r.Draining {
		r.removedAt, r.Revision = now, revision
		if now.Sub(t.outageEnd) < outageWindow {
			r.removedAt = t.outageEnd
		}
	} else {
		t.tombstones[r.Process()] = r.Sequence
		t.noteVersion(now, r.Server)
		delete(t.servers, id)
	}
	t.mu.Unlock()
	t.onChange()
	return true
}

// Reset replaces all entries with those of a full read of the store at a revision.
// Entries newer than that stay. duringOutage has the meaning of Remove for those that
// are missing. It returns the entries that changed and the IDs of those that were removed.
func (t *Table) Reset(now time.Time, all []Server, revision Revision, duringOutage bool) (changed []Server, removed []string) {
	seen := make(map[string]bool, len(all))
	for _, s := range all {
		seen[s.ID] = true
		if t.Put(s) {
			changed = append(changed, s)
		}
	}
	t.mu.Lock()
	t.observedSince, t.observedFrom = now, revision // entries may have come and gone before
	var missing []string
	for id, r := range t.servers {
		if !seen[id] && r.Revision.Compare(revision) <= 0 {
			missing = append(missing, id)
		}
	}
	t.mu.Unlock()
	for _, id := range missing {
		if t.Remove(now, id, revision, duringOutage) {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// MarkMisdirected records that another server responded at the address of s.
func (t *Table) MarkMisdirected(now time.Time, s Server) {
	t.mu.Lock()
	t.misdirected[s.Process()] = now
	t.mu.Unlock()
	t.onChange()
}

// usable reports whether a server may get new requests. The caller holds mu.
func (t *Table) usable(now time.Time, r *record) bool {
	if r.Draining || !r.removedAt.IsZero() && now.Sub(r.removedAt) > renewalGrace {
		return false
	}
	if _, draining := t.draining[r.Process()]; draining {
		return false
	}
	at, misdirected := t.misdirected[r.Process()]
	return !misdirected || now.Sub(at) > misdirectedTTL
}

// Usable returns the servers of a service that may get new requests, sorted by ID.
func (t *Table) Usable(now time.Time, service string) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for id, r := range t.servers {
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > renewalGrace {
			t.noteVersion(r.removedAt, r.Server)
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

// Get returns the entry of a server that may get new requests.
func (t *Table) Get(now time.Time, id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || !t.usable(now, r) {
		return Server{}, false
	}
	return r.Server, true
}

// Entry returns the last known entry of a server, also of one that gets no new requests.
func (t *Table) Entry(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return Server{}, false
	}
	return r.Server, true
}

// HasVersion reports whether a service has a usable server of a software version besides
// the excluded ones.
func (t *Table) HasVersion(now time.Time, service, version string, exclude []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.servers {
		if r.Service == service && r.IsVersion(version) && t.usable(now, r) && !slices.Contains(exclude, id) {
			return true
		}
	}
	return false
}

// All returns every known entry, sorted by ID, for display.
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

// Entries returns the servers whose entries are in the store as far as this daemon knows:
// All without those that stay in use for renewalGrace only.
func (t *Table) Entries() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Server, 0, len(t.servers))
	for _, r := range t.servers {
		if r.removedAt.IsZero() {
			out = append(out, r.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
