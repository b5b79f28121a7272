// Package fakes holds small models of engines behind the interfaces of the
// decision core, in injected time.
package fakes

import (
	"slices"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/bench/sched"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
)

// Figures of every engine. With twenty requests at once a token takes 27 ms; a
// prefill of 4,000 tokens takes a third of a second, as long as 240 output
// tokens of a full engine.
const (
	Pieces     = 56
	Slots      = 20
	Speed      = 12000
	Link       = 4 << 30
	CacheBytes = 64 << 10
	evict      = 800 * time.Millisecond
	stepBase   = 15 * time.Millisecond
	stepEach   = 600 * time.Microsecond
	cacheSize  = 80
)

// StepTime returns the time between tokens with n requests at once.
func StepTime(n int) time.Duration { return stepBase + time.Duration(n)*stepEach }

// Work is prefill time, in total and without use.
type Work struct{ Total, Wasted time.Duration }

// Engine is the model of one engine. Replies are called in injected time; the
// caller adds the network's delay.
type Engine struct {
	Name, Role, Domain string
	Up                 bool
	Incarnation        uint64
	Work               *Work

	q        *sched.Queue
	free     uint32
	holds    map[string]*hold
	order    []*hold
	jobs     []*job
	running  *job
	kept     map[string]*result
	stepping bool
	linkFree time.Time
	cache    cache
	// Cached is called for each change of the prefix cache.
	Cached func(stored, removed []uint64)
	broken []func()
}

// hold is decode memory set aside, and the stream that uses it.
type hold struct {
	request  *loads.Request
	origin   Origin
	pieces   uint32
	decoding bool
	// unused is the work of a prefill that was moved here and not decoded yet.
	unused time.Duration
	stream uint32
	next   uint32
	emit   func(next uint32)
	end    func(event.Fault)
}

// Origin names the daemon that a request belongs to.
type Origin struct {
	Name        string
	Incarnation uint64
}

// job is a prefill that waits or runs.
type job struct {
	request  *loads.Request
	origin   Origin
	tokens   uint32
	priority uint32
	work     time.Duration
	began    time.Time
	reply    func(event.Fault)
}

// result is a KV cache that waits for its transfer.
type result struct {
	origin Origin
	tokens uint32
	work   time.Duration
	used   bool
}

// New returns an empty engine that is up.
func New(q *sched.Queue, name, role, domain string, w *Work) *Engine {
	e := &Engine{Name: name, Role: role, Domain: domain, q: q, Work: w, Cached: func(_, _ []uint64) {}}
	e.Start()
	return e
}

// Start brings the engine up with a new incarnation and nothing in memory.
func (e *Engine) Start() {
	e.Incarnation++
	e.Up, e.free = true, Pieces
	e.holds, e.order, e.jobs, e.running = map[string]*hold{}, nil, nil, nil
	e.kept, e.stepping = map[string]*result{}, false
	e.cache = newCache(cacheSize)
}

// Kill ends the process. Calls that wait get a reply of FaultCrashed.
func (e *Engine) Kill() {
	e.Up = false
	for _, h := range e.order {
		e.waste(h.unused, false)
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
	for _, r := range e.kept {
		e.waste(r.work, false)
	}
	e.running, e.jobs = nil, nil
	broken := e.broken
	e.broken = nil
	for _, f := range broken {
		f()
	}
}

// OnBreak calls f when the engine dies.
func (e *Engine) OnBreak(f func()) { e.broken = append(e.broken, f) }

// waste counts prefill work without use; fresh work is not in the total yet.
func (e *Engine) waste(d time.Duration, fresh bool) {
	e.Work.Wasted += d
	if fresh {
		e.Work.Total += d
	}
}

// Hold sets memory aside.
func (e *Engine) Hold(r *loads.Request, o Origin, pieces uint32, term time.Duration) event.Fault {
	if !e.Up {
		return event.FaultUnsent
	}
	if e.holds[r.ID] != nil {
		return event.FaultNone
	}
	if e.free < pieces || len(e.order) >= Slots {
		return event.FaultRefused
	}
	h := &hold{request: r, origin: o, pieces: pieces}
	e.free -= pieces
	e.holds[r.ID] = h
	e.order = append(e.order, h)
	e.q.After(term, func() {
		if e.holds[r.ID] == h && !h.decoding {
			e.drop(h)
		}
	})
	return event.FaultNone
}

func (e *Engine) drop(h *hold) {
	e.free += h.pieces
	e.waste(h.unused, false)
	delete(e.holds, h.request.ID)
	e.order = slices.DeleteFunc(e.order, func(o *hold) bool { return o == h })
}

// Cancel frees all that the engine holds of a request.
func (e *Engine) Cancel(request string) event.Fault {
	if !e.Up {
		return event.FaultUnsent
	}
	if h := e.holds[request]; h != nil {
		e.drop(h)
	}
	if r := e.kept[request]; r != nil {
		delete(e.kept, request)
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

// Decode streams tokens from an index on; emit is called with the index of the
// next token.
func (e *Engine) Decode(request string, stream, from uint32, emit func(uint32), end func(event.Fault)) {
	h := e.holds[request]
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
		h.unused = 0
		h.emit(h.next)
		if h.next >= h.request.Output {
			e.drop(h)
			h.end(event.FaultNone)
		}
	}
}

// grow takes another piece when the output has outgrown what was reserved. A
// stream without memory pauses until there is some.
func (e *Engine) grow(h *hold) bool {
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
