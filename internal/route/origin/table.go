package origin

import (
	"container/heap"
	"strings"
	"time"
	"unique"
)

const (
	// MaxAttempt is the longest ID of an attempt that is recorded, in bytes.
	MaxAttempt = 64
	// maxName is the longest name of a service or version that is recorded, in bytes.
	// A longer version counts as unknown.
	maxName = 256
	// MaxAhead bounds how long a record is kept without a later one of its attempt.
	MaxAhead = 2 * time.Minute
	// Margin is how long a record is kept after its Until: a client that takes its stream
	// up in the last moment is still served.
	Margin = 2 * time.Second
	// DefaultCapacity is the number of records that a table holds at most, about 15 MB.
	DefaultCapacity = 1 << 16
)

// Table holds origins by attempt. It has no I/O and no clock, and is not safe for
// concurrent use. Merging records is commutative and idempotent: tables that got the same
// records agree, in whatever order these came.
type Table struct {
	capacity int
	entries  map[string]*entry
	expiry   byExpiry
}

type entry struct {
	attempt string
	// service and version are empty if the version is unknown for good.
	service, version unique.Handle[string]
	until            time.Time
	index            int
}

var none = unique.Make("")

// byExpiry is a heap, the entry that expires first on top.
type byExpiry []*entry

func (h byExpiry) Len() int           { return len(h) }
func (h byExpiry) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h byExpiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byExpiry) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *byExpiry) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// NewTable returns a table of at most capacity records.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, entries: map[string]*entry{}}
}

// Put records an origin and returns what is known of its attempt now, or false if it can't
// be recorded: its attempt's ID is empty or too long, or it has expired. A record with
// another service or version than an earlier one, or without a version, makes the version
// unknown until the record expires. Until is the latest of all records, at most MaxAhead
// from now. The record that expires first makes room in a full table.
func (t *Table) Put(now time.Time, o Origin) (Origin, bool) {
	t.expire(now)
	if o.Attempt == "" || len(o.Attempt) > MaxAttempt || !now.Before(o.Until.Add(Margin)) {
		return Origin{}, false
	}
	if latest := now.Add(MaxAhead); o.Until.After(latest) {
		o.Until = latest
	}
	if o.Version == "" || len(o.Version) > maxName || len(o.Service) > maxName {
		o.Service, o.Version = "", ""
	}
	service, version := unique.Make(o.Service), unique.Make(o.Version)
	e := t.entries[o.Attempt]
	if e == nil {
		e = &entry{attempt: strings.Clone(o.Attempt), service: service, version: version, until: o.Until}
		t.entries[e.attempt] = e
		heap.Push(&t.expiry, e)
		if len(t.entries) > t.capacity {
			t.drop()
		}
		return e.origin(), true
	}
	if e.service != service || e.version != version {
		e.service, e.version = none, none
	}
	if o.Until.After(e.until) {
		e.until = o.Until
		heap.Fix(&t.expiry, e.index)
	}
	return e.origin(), true
}

// Get returns the record of an attempt. It changes nothing.
func (t *Table) Get(now time.Time, attempt string) (Origin, bool) {
	e := t.entries[attempt]
	if e == nil || e.expired(now) {
		return Origin{}, false
	}
	return e.origin(), true
}

// All returns all records.
func (t *Table) All(now time.Time) []Origin {
	t.expire(now)
	out := make([]Origin, 0, len(t.expiry))
	for _, e := range t.expiry {
		out = append(out, e.origin())
	}
	return out
}

// Len returns the number of records, expired ones that are not yet dropped included.
func (t *Table) Len() int { return len(t.entries) }

// expire drops the records that have expired.
func (t *Table) expire(now time.Time) {
	for len(t.expiry) > 0 && t.expiry[0].expired(now) {
		t.drop()
	}
}

// drop drops the record that expires first.
func (t *Table) drop() {
	e := heap.Pop(&t.expiry).(*entry)
	delete(t.entries, e.attempt)
}

func (e *entry) expired(now time.Time) bool { return !now.Before(e.until.Add(Margin)) }

func (e *entry) origin() Origin {
	return Origin{Attempt: e.attempt, Service: e.service.Value(), Version: e.version.Value(), Until: e.until}
}
