// Package fakes simulates model engines for the benchmark of the decision core,
// in injected time: KV memory, decode steps, prefill queues, KV transfers and
// prefix caches.
package fakes

import (
	"slices"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/bench/sched"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
)

// Properties of every engine: its KV blocks, decode slots, prefill speed in
// tokens a second, transfer link in bytes a second and KV cache size in bytes a
// token. With 20 concurrent requests a token takes 27 ms; a prefill of 4,000
// tokens takes a third of a second, in which a full engine generates 240 tokens.
const (
	Pieces         = 56
	Slots          = 20
	Speed          = 12000
	Link           = 4 << 30
	CacheBytes     = 64 << 10
	evictAfter     = 800 * time.Millisecond
	stepBase       = 15 * time.Millisecond
	stepPerRequest = 600 * time.Microsecond
	cacheBlocks    = 80
)

// StepTime returns the time between the tokens of a stream with n concurrent
// requests.
func StepTime(n int) time.Duration { return stepBase + time.Duration(n)*stepPerRequest }

// Work is the time spent on prefills: all of it, and the part whose result was
// never decoded.
type Work struct{ Total, Wasted time.Duration }

// Engine simulates one engine. Callbacks run in injected time without a network
// delay, which the caller adds.
type Engine struct {
	Name, Role, Domain string
	Up                 bool
	Incarnation        uint64
	Work               *Work

	q            *sched.Queue
	free         uint32
	reservations map[string]*reservation
	order        []*reservation
	jobs         []*job
	running      *job
	results      map[string]*result
	stepping     bool
	linkFree     time.Time
	cache        cache
	// Cached is called after each change of the prefix cache with the hashes of
	// the blocks that were added and evicted.
	Cached  func(stored, removed []uint64)
	onBreak []func()
}

// reservation is reserved decode memory and the stream that uses it.
type reservation struct {
	request  *loads.Request
	origin   Origin
	pieces   uint32
	decoding bool
	// unusedWork is the time of a prefill whose KV cache was transferred here but
	// isn't decoded yet.
	unusedWork time.Duration
	stream     uint32
	next       uint32
	emit       func(next uint32)
	end        func(event.Fault)
}

// Origin is the name and the incarnation of the edge daemon of a request.
type Origin struct {
	Name        string
	Incarnation uint64
}

// job is a queued or running prefill.
type job struct {
	request  *loads.Request
	origin   Origin
	tokens   uint32
	priority uint32
	work     time.Duration
	began    time.Time
	reply    func(event.Fault)
}

// result is the KV cache of a finished prefill that awaits its transfer.
type result struct {
	origin Origin
	tokens uint32
	work   time.Duration
	used   bool
}

// New returns a running engine with empty memory and queue. It adds its prefill
// time to w.
func New(q *sched.Queue, name, role, domain string, w *Work) *Engine {
	e := &Engine{Name: name, Role: role, Domain: domain, q: q, Work: w, Cached: func(_, _ []uint64) {}}
	e.Start()
	return e
}

// Start starts the engine with a new incarnation and empty memory.
func (e *Engine) Start() {
	e.Incarnation++
	e.Up, e.free = true, Pieces
	e.reservations, e.order, e.jobs, e.running = map[string]*reservation{}, nil, nil, nil
	e.results, e.stepping = map[string]*result{}, false
	e.cache = newCache(cacheBlocks)
}

// Kill crashes the engine. Streams and prefills end with FaultCrashed.
func (e *Engine) Kill() {
	e.Up = false
	for _, h := range e.order {
		e.waste(h.unusedWork, false)
		if h.decoding {
			h.end(event.FaultCrashed)
		}
	}
	if e.running != nil {
		e.waste(e.q.Now().Sub(e.running.began), true)
		e.running.reply(event.FaultCrashed)
	}
	for _, j := range e.jobs {
		j.reply(event.FaultCrashed)
	}
	for _, r := range e.results {
		e.waste(r.work, false)
	}
	e.running, e.jobs = nil, nil
	broken := e.onBreak
	e.onBreak = nil
	for _, f := range broken {
		f()
	}
}

// OnBreak registers f to be called once, when the engine crashes.
func (e *Engine) OnBreak(f func()) { e.onBreak = append(e.onBreak, f) }

// waste counts prefill time as wasted, and also adds it to the total if it is
// uncounted so far.
func (e *Engine) waste(d time.Duration, uncounted bool) {
	e.Work.Wasted += d
	if uncounted {
		e.Work.Total += d
	}
}

// Hold reserves decode memory for a request until term has passed or decoding
// begins. It returns FaultRefused without enough free blocks or slots, and
// FaultUnsent if the engine is down.
func (e *Engine) Hold(r *loads.Request, o Origin, pieces uint32, term time.Duration) event.Fault {
	if !e.Up {
		return event.FaultUnsent
	}
	if e.reservations[r.ID] != nil {
		return event.FaultNone
	}
	if e.free < pieces || len(e.order) >= Slots {
		return event.FaultRefused
	}
	h := &reservation{request: r, origin: o, pieces: pieces}
	e.free -= pieces
	e.reservations[r.ID] = h
	e.order = append(e.order, h)
	e.q.After(term, func() {
		if e.reservations[r.ID] == h && !h.decoding {
			e.release(h)
		}
	})
	return event.FaultNone
}

func (e *Engine) release(h *reservation) {
	e.free += h.pieces
	e.waste(h.unusedWork, false)
	delete(e.reservations, h.request.ID)
	e.order = slices.DeleteFunc(e.order, func(o *reservation) bool { return o == h })
}

// Cancel frees everything that the engine holds for a request: its reservation,
// its KV cache and its queued or running prefill.
func (e *Engine) Cancel(request string) event.Fault {
	if !e.Up {
		return event.FaultUnsent
	}
	if h := e.reservations[request]; h != nil {
		e.release(h)
	}
	if r := e.results[request]; r != nil {
		delete(e.results, request)
		e.waste(r.work, false)
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.request.ID == request })
	if j := e.running; j != nil && j.request.ID == request {
		e.waste(e.q.Now().Sub(j.began), true)
		e.running = nil
		e.runNext()
	}
	return event.FaultNone
}

// Decode starts a stream at token index from. It calls emit after each token with
// the index of the next one, and end once with the outcome.
func (e *Engine) Decode(request string, stream, from uint32, emit func(uint32), end func(event.Fault)) {
	h := e.reservations[request]
	if !e.Up {
		end(event.FaultUnsent)
		return
	}
	if h == nil {
		end(event.FaultFailed)
		return
	}
	h.decoding, h.stream, h.next, h.emit, h.end = true, stream, from, emit, end
	if !e.stepping {
		e.stepping = true
		e.scheduleStep()
	}
}

func (e *Engine) scheduleStep() {
	n, inc := 0, e.Incarnation
	for _, h := range e.order {
		if h.decoding {
			n++
		}
	}
	if n == 0 {
		e.stepping = false
		return
	}
	e.q.After(StepTime(n), func() {
		if e.Up && e.Incarnation == inc {
			e.step()
			e.scheduleStep()
		}
	})
}

// step emits one token for each stream that has memory for it.
func (e *Engine) step() {
	for _, h := range slices.Clone(e.order) {
		if !h.decoding || !e.grow(h) {
			continue
		}
		h.next++
		h.unusedWork = 0
		h.emit(h.next)
		if h.next >= h.request.Output {
			e.release(h)
			h.end(event.FaultNone)
		}
	}
}

// grow takes another block when the output has outgrown the reservation. It
// returns false if no block is free; the stream then stalls until one is.
func (e *Engine) grow(h *reservation) bool {
	need := (h.request.Tokens + h.next + policy.BlockTokens) / policy.BlockTokens
	if need <= h.pieces {
		return true
	}
	if e.free == 0 {
		return false
	}
	e.free--
	h.pieces++
	return true
}
