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

// record holds the state of one call.
type record struct {
	id      ID
	running bool
	result  Result
	window  time.Duration
	// expires is the earliest time at which the record may be dropped.
	expires time.Time
	bytes   int
}

// recordBytes is the approximate size of a record in bytes, without its strings
// and its answer.
const recordBytes = 256

// store holds the records within the limits of their number and size.
type store struct {
	limits   Limits
	records  map[ID]*record
	expiring expiryHeap
	bytes    int
	closed   bool
}

// find returns the decision on an attempt of a call that has a record, or false
// when it has none.
func (s *store) find(id ID) (Decision, bool) {
	r := s.records[id]
	switch {
	case r == nil:
		return Decision{}, false
	case r.running:
		return Decision{Next: Join, ID: id}, true
	case r.result.Refusal != nil:
		return Decision{Refusal: r.result.Refusal}, true
	}
	return Decision{Next: Replay, ID: id, Result: r.result}, true
}

// start adds the record of a new run. It refuses when the store is closed or the
// record would exceed the limits.
func (s *store) start(now time.Time, id ID, window time.Duration, expires time.Time) Decision {
	if s.closed {
		return refused(citronrock.NotRun, citronrock.ReasonDrain,
			"the daemon that may run the call is stopping; send it again to another, with a new token", recordRetryAfter)
	}
	size := recordBytes + len(id.tenant) + len(id.service) + len(id.key) + s.limits.Reserve
	if len(s.records) >= s.limits.Count || s.bytes+size > s.limits.Bytes {
		return refused(citronrock.NotRun, citronrock.ReasonOverload,
			"this daemon has no room to keep the answer; send the call again after the stated time", s.retryAfter(now))
	}
	s.records[id] = &record{id: id, running: true, window: window, expires: expires, bytes: size}
	s.bytes += size
	return Decision{Next: Run, ID: id}
}

// retryAfter returns the time until the next record expires.
func (s *store) retryAfter(now time.Time) time.Duration {
	if len(s.expiring) == 0 {
		return time.Second
	}
	return max(s.expiring[0].expires.Sub(now), recordRetryAfter)
}

// end stores the result for the window of the call. An answer that exceeds the
// limits is dropped, and retries are then refused with Unknown.
func (s *store) end(now time.Time, id ID, o Result) {
	r := s.records[id]
	if r == nil || !r.running {
		return
	}
	r.running = false
	if o.Refusal != nil && o.Refusal.Kind == citronrock.NotRun {
		s.drop(r)
		return
	}
	s.setBytes(r, r.bytes-s.limits.Reserve)
	if s.bytes+len(o.Body) > s.limits.Bytes {
		o = Result{Refusal: &citronrock.Error{
			Kind: citronrock.Unknown, Reason: citronrock.ReasonRepeat,
			Remedy: "the call ran, but its answer could not be kept; ask the service about it",
		}}
	}
	s.setBytes(r, r.bytes+len(o.Body))
	r.result = o
	if end := now.Add(r.window); end.After(r.expires) {
		r.expires = end
	}
	heap.Push(&s.expiring, r)
}

func (s *store) setBytes(r *record, bytes int) {
	s.bytes += bytes - r.bytes
	r.bytes = bytes
}

func (s *store) drop(r *record) {
	s.bytes -= r.bytes
	delete(s.records, r.id)
}

// expire drops expired records. The record of a token expires after the token, so
// that the token can't start a second run.
func (s *store) expire(now time.Time) {
	for len(s.expiring) > 0 && now.After(s.expiring[0].expires) {
		s.drop(heap.Pop(&s.expiring).(*record))
	}
}

// expiryHeap is a heap of ended records, the one that expires first on top.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
