package fakes

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/bench/loads"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
)

// Prefill queues a prompt of the given length by priority.
func (e *Engine) Prefill(r *loads.Request, o Origin, tokens, priority uint32, reply func(event.Fault)) {
	if !e.Up {
		reply(event.FaultUnsent)
		return
	}
	j := &job{request: r, origin: o, tokens: tokens, priority: priority, reply: reply}
	at := len(e.jobs)
	for at > 0 && e.jobs[at-1].priority > priority {
		at--
	}
	e.jobs = slices.Insert(e.jobs, at, j)
	if e.running == nil {
		e.runNext()
	}
}

func (e *Engine) runNext() {
	if len(e.jobs) == 0 || e.running != nil {
		return
	}
	j := e.jobs[0]
	e.jobs = slices.Delete(e.jobs, 0, 1)
	cached := min(uint32(e.cache.match(j.request.Pieces))*policy.BlockTokens, j.tokens)
	j.work = prefillTime(j.tokens - cached)
	j.began = e.q.Now()
	e.running = j
	e.q.After(j.work, func() {
		if e.running == j {
			e.complete(j)
		}
	})
}

func prefillTime(tokens uint32) time.Duration {
	return 5*time.Millisecond + time.Duration(tokens)*time.Second/Speed
}

// complete keeps the result for the eviction time.
func (e *Engine) complete(j *job) {
	e.running = nil
	e.Work.Total += j.work
	stored, removed := e.cache.store(j.request.Pieces)
	if len(stored)+len(removed) > 0 {
		e.Cached(stored, removed)
	}
	r := &result{origin: j.origin, tokens: j.tokens, work: j.work}
	e.kept[j.request.ID] = r
	e.q.After(evict, func() {
		if e.Up && e.kept[j.request.ID] == r && !r.used {
			delete(e.kept, j.request.ID)
			e.waste(r.work, false)
		}
	})
	j.reply(event.FaultNone)
	e.runNext()
}

// Move pulls a KV cache over the links of both engines.
func (e *Engine) Move(request string, from *Engine, reply func(event.Fault)) {
	if !e.Up {
		reply(event.FaultUnsent)
		return
	}
	r := from.kept[request]
	if !from.Up || r == nil {
		reply(event.FaultFailed)
		return
	}
	// From its start on, the transfer keeps the result from eviction.
	r.used = true
	now := e.q.Now()
	begin := now
	for _, t := range []time.Time{e.linkFree, from.linkFree} {
		if t.After(begin) {
			begin = t
		}
	}
	rate := time.Duration(float64(r.tokens) * CacheBytes / Link * float64(time.Second))
	end := begin.Add(rate)
	e.linkFree, from.linkFree = end, end
	inc, source := e.Incarnation, from.Incarnation
	e.q.At(end, func() { e.moved(request, from, r, inc, source, reply) })
}

func (e *Engine) moved(request string, from *Engine, r *result, inc, source uint64, reply func(event.Fault)) {
	if !from.Up || from.Incarnation != source {
		reply(event.FaultFailed)
		return
	}
	if !e.Up || e.Incarnation != inc {
		// The transfer broke; the result is evicted as usual.
		r.used = false
		from.q.After(evict, func() {
			if from.kept[request] == r && !r.used {
				delete(from.kept, request)
				from.waste(r.work, false)
			}
		})
		reply(event.FaultCrashed)
		return
	}
	delete(from.kept, request)
	h := e.holds[request]
	if h == nil {
		e.waste(r.work, false)
		reply(event.FaultFailed)
		return
	}
	h.unused = r.work
	reply(event.FaultNone)
}

// Report returns the engine's figures.
func (e *Engine) Report() *engine.Report {
	r := &engine.Report{
		Engine: e.Name, Incarnation: e.Incarnation, Role: e.Role,
		Pieces: Pieces, Free: e.free, Slots: Slots, Busy: uint32(len(e.order)),
		Speed: Speed, Link: Link, Checks: true,
		Gap: durationpb.New(StepTime(len(e.order))),
	}
	add := func(request string, o Origin, pieces uint32, state string) {
		r.Running = append(r.Running, &engine.Running{
			Request: request, Instance: o.Name, Incarnation: o.Incarnation, Pieces: pieces, State: state,
		})
	}
	for _, h := range e.order {
		state := "reserved"
		if h.decoding {
			state = "decode"
		}
		add(h.request.ID, h.origin, h.pieces, state)
	}
	for _, j := range e.jobs {
		r.Queue += j.tokens
		add(j.request.ID, j.origin, 0, "prefill")
	}
	if j := e.running; j != nil {
		left := j.work - e.q.Now().Sub(j.began)
		r.Queue += uint32(left.Seconds() * Speed)
		add(j.request.ID, j.origin, 0, "prefill")
	}
	for _, id := range slices.Sorted(maps.Keys(e.kept)) {
		add(id, e.kept[id].origin, 0, "kept")
	}
	return r
}

// cache is a prefix cache that evicts the least recently used pieces.
type cache struct {
	size int
	used map[uint64]uint64
	tick uint64
}

func newCache(size int) cache { return cache{size: size, used: map[uint64]uint64{}} }

// match returns the number of leading pieces in the cache and marks them used.
func (c *cache) match(pieces []uint64) int {
	for i, h := range pieces {
		if _, ok := c.used[h]; !ok {
			return i
		}
		c.tick++
		c.used[h] = c.tick
	}
	return len(pieces)
}

func (c *cache) store(pieces []uint64) (stored, removed []uint64) {
	for _, h := range pieces {
		if _, ok := c.used[h]; !ok {
			stored = append(stored, h)
		}
		c.tick++
		c.used[h] = c.tick
	}
	for len(c.used) > c.size {
		oldest, at := uint64(0), c.tick+1
		for h, t := range c.used {
			if t < at {
				oldest, at = h, t
			}
		}
		delete(c.used, oldest)
		removed = append(removed, oldest)
	}
	return stored, removed
}
