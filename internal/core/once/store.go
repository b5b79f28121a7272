package once

import (
	"container/heap"
	"time"

	"citronrock.example/citronrock"
)

// ID identifies the record of a call: a token's nonce or a tenant's key.
type ID struct {
	nonce                uint64
	tenant, service, key string
}

// record is one call. It runs until its outcome is set.
type record struct {
	id      ID
	running bool
	outcome Result
	window  time.Duration
	// until is the earliest end of the record.
	until time.Time
	bytes int
}

// recordBytes is the approximate size of a record without strings and answer.
const recordBytes = 256

// store holds the records within its limits.
type store struct {
	limits Limits
	by     map[ID]*record
	ended  byEnd
	bytes  int
	closed bool
}

// find returns what becomes of a sending whose call has a record.
func (s *store) find(id ID) (Decision, bool) {
	r := s.by[id]
	switch {
	case r == nil:
		return Decision{}, false
	case r.running:
		return Decision{Next: Join, ID: id}, true
	case r.outcome.Refusal != nil:
		return Decision{Refusal: r.outcome.Refusal}, true
	}
	return Decision{Next: Replay, ID: id, Result: r.outcome}, true
}

// start makes a record, or refuses when there is no room for it.
func (s *store) start(now time.Time, id ID, window time.Duration, until time.Time) Decision {
	if s.closed {
		return refused(citronrock.NotRun, citronrock.ReasonDrain,
			"the daemon that may run the call is stopping; send it again to another, with a new token", lostAfter)
	}
	size := recordBytes + len(id.tenant) + len(id.service) + len(id.key) + s.limits.Reserve
	if len(s.by) >= s.limits.Count || s.bytes+size > s.limits.Bytes {
		return refused(citronrock.NotRun, citronrock.ReasonOverload,
			"this daemon has no room to keep the answer; send the call again after the stated time", s.room(now))
	}
	s.by[id] = &record{id: id, running: true, window: window, until: until, bytes: size}
	s.bytes += size
	return Decision{Next: Run, ID: id}
}

// room returns the time until the next record ends.
func (s *store) room(now time.Time) time.Duration {
	if len(s.ended) == 0 {
		return time.Second
	}
	return max(s.ended[0].until.Sub(now), lostAfter)
}

// end keeps the outcome for the window. An answer that does not fit is dropped,
// and repeats are then told that the call ran but its answer is gone.
func (s *store) end(now time.Time, id ID, o Result) {
	r := s.by[id]
	if r == nil || !r.running {
		return
	}
	r.running = false
	if o.Refusal != nil && o.Refusal.Kind == citronrock.NotRun {
		s.drop(r)
		return
	}
	s.resize(r, r.bytes-s.limits.Reserve)
	if s.bytes+len(o.Body) > s.limits.Bytes {
		o = Result{Refusal: &citronrock.Error{
			Kind: citronrock.Unknown, Reason: citronrock.ReasonRepeat,
			Remedy: "the call ran, but its answer could not be kept; ask the service about it",
		}}
	}
	s.resize(r, r.bytes+len(o.Body))
	r.outcome = o
	if end := now.Add(r.window); end.After(r.until) {
		r.until = end
	}
	heap.Push(&s.ended, r)
}

func (s *store) resize(r *record, bytes int) {
	s.bytes += bytes - r.bytes
	r.bytes = bytes
}

func (s *store) drop(r *record) {
	s.bytes -= r.bytes
	delete(s.by, r.id)
}

// expire drops records past their end. A token's record ends after the token,
// so that the token can't start a second run.
func (s *store) expire(now time.Time) {
	for len(s.ended) > 0 && now.After(s.ended[0].until) {
		s.drop(heap.Pop(&s.ended).(*record))
	}
}

// byEnd is a heap of records by their end.
type byEnd []*record

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byEnd) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *byEnd) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
