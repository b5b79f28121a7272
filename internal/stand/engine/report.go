package engine

import (
	"context"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// Interval of reports when the watcher gives none, and the shortest one.
const (
	usual   = 100 * time.Millisecond
	fastest = 5 * time.Millisecond
)

type aged struct {
	at     time.Time
	report *wire.Report
}

// watch sends a report at every interval, each as old as the configured lag.
func (e *Engine) watch(ctx context.Context, r *wire.WatchRequest, send func(*wire.Report) error) error {
	every := r.Every.AsDuration()
	if every <= 0 {
		every = usual
	}
	tick := time.NewTicker(max(every, fastest))
	defer tick.Stop()
	past := []aged{{time.Now(), e.report()}}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-e.ctx.Done():
			return e.ctx.Err()
		}
		if err := e.gate(ctx); err != nil {
			return err
		}
		now := time.Now()
		past = append(past, aged{now, e.report()})
		due := -1
		lag := e.lag()
		for i, p := range past {
			if now.Sub(p.at) >= lag {
				due = i
			}
		}
		if due < 0 {
			continue
		}
		p := past[due]
		past = past[due+1:]
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
		Speed: e.set.PrefillRate, Gap: durationpb.New(e.gap()), Link: e.set.LinkRate, Checks: e.set.CheckFence, Fence: e.fence,
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

// feed is one Events call.
type feed struct {
	queue chan dated
}

type dated struct {
	at    time.Time
	event *wire.CacheEvent
}

// publish numbers a cache event and passes it to all feeds. Every n-th event
// is left out when the fault Gap is n. The caller holds mu.
func (e *Engine) publish(stored, removed []uint64) {
	if len(stored)+len(removed) == 0 {
		return
	}
	e.sequence++
	if g := e.fault.SkipEvery; g > 0 && e.sequence%uint64(g) == 0 {
		return
	}
	d := dated{time.Now(), &wire.CacheEvent{
		Sequence: e.sequence, Incarnation: e.incarnation, Stored: stored, Removed: removed,
	}}
	for f := range e.feeds {
		// A reader that is too slow gets a gap.
		select {
		case f.queue <- d:
		default:
		}
	}
}

// events sends each cache event after the configured delay.
func (e *Engine) events(ctx context.Context, send func(*wire.CacheEvent) error) error {
	f := &feed{queue: make(chan dated, 1024)}
	e.mu.Lock()
	e.feeds[f] = struct{}{}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.feeds, f)
		e.mu.Unlock()
	}()
	for {
		select {
		case d := <-f.queue:
			if !sleep(ctx, time.Until(d.at.Add(e.delay()))) {
				return ctx.Err()
			}
			if err := e.gate(ctx); err != nil {
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
