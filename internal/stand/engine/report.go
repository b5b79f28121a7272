package engine

import (
	"context"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// Default and minimum of the interval between reports that a watcher asks for.
const (
	defaultInterval = 100 * time.Millisecond
	minInterval     = 5 * time.Millisecond
)

type timedReport struct {
	at     time.Time
	report *wire.Report
}

// watch sends a load report at each interval. Each is as old as the configured lag.
func (e *Engine) watch(ctx context.Context, r *wire.WatchRequest, send func(*wire.Report) error) error {
	every := r.Every.AsDuration()
	if every <= 0 {
		every = defaultInterval
	}
	tick := time.NewTicker(max(every, minInterval))
	defer tick.Stop()
	history := []timedReport{{time.Now(), e.report()}}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-e.ctx.Done():
			return e.ctx.Err()
		}
		if err := e.waitUnfrozen(ctx); err != nil {
			return err
		}
		now := time.Now()
		history = append(history, timedReport{now, e.report()})
		due := -1
		lag := e.lag()
		for i, p := range history {
			if now.Sub(p.at) >= lag {
				due = i
			}
		}
		if due < 0 {
			continue
		}
		p := history[due]
		history = history[due+1:]
		p.report.Lag = durationpb.New(now.Sub(p.at))
		if err := send(p.report); err != nil {
			return err
		}
	}
}

func (e *Engine) report() *wire.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &wire.Report{
		Engine: e.set.Name, Incarnation: e.incarnation, Model: e.model, Role: e.role,
		Pieces: e.set.Pieces, Free: e.free, Slots: e.set.Slots, Busy: e.busy,
		Speed: e.set.PrefillRate, Gap: durationpb.New(e.tokenGap()), Link: e.set.LinkRate, Checks: e.set.CheckFence, Fence: e.fence,
	}
	for _, j := range e.queue {
		r.Queue += j.left
	}
	if e.current != nil && !e.current.ended {
		r.Queue += e.current.left
	}
	for _, n := range e.entries {
		r.Running = append(r.Running, &wire.Running{
			Request: n.id, Instance: n.origin.GetInstance(), Incarnation: n.origin.GetIncarnation(),
			Pieces: n.pieces, State: n.state(), Attached: n.stream != nil || n.job != nil,
			Idle: durationpb.New(n.idle()),
		})
	}
	sort.Slice(r.Running, func(i, j int) bool { return r.Running[i].Request < r.Running[j].Request })
	return r
}

// subscriber is the receiver of one Events call.
type subscriber struct {
	queue chan timedEvent
}

type timedEvent struct {
	at    time.Time
	event *wire.CacheEvent
}

// publish numbers a cache event and passes it to all subscribers, unless the fault
// SkipEvery drops it, which leaves a gap in the numbers. The caller holds mu.
func (e *Engine) publish(stored, removed []uint64) {
	if len(stored)+len(removed) == 0 {
		return
	}
	e.sequence++
	if g := e.fault.SkipEvery; g > 0 && e.sequence%uint64(g) == 0 {
		return
	}
	d := timedEvent{time.Now(), &wire.CacheEvent{
		Sequence: e.sequence, Incarnation: e.incarnation, Stored: stored, Removed: removed,
	}}
	for f := range e.subscribers {
		// A subscriber whose queue is full misses the event.
		select {
		case f.queue <- d:
		default:
		}
	}
}

// events sends each cache event when it is as old as the configured delay.
func (e *Engine) events(ctx context.Context, send func(*wire.CacheEvent) error) error {
	f := &subscriber{queue: make(chan timedEvent, 1024)}
	e.mu.Lock()
	e.subscribers[f] = struct{}{}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.subscribers, f)
		e.mu.Unlock()
	}()
	for {
		select {
		case d := <-f.queue:
			if !sleep(ctx, time.Until(d.at.Add(e.delay()))) {
				return ctx.Err()
			}
			if err := e.waitUnfrozen(ctx); err != nil {
				return err
			}
			if err := send(d.event); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-e.ctx.Done():
			return e.ctx.Err()
		}
	}
}
