package stream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// stallGaps is the number of longest pauses after which a resumable stream without
	// events counts as silent, and minStallTimeout the shortest such time.
	stallGaps       = 4
	minStallTimeout = 1200 * time.Millisecond
	// checkInterval is the time between two checks of a silent run.
	checkInterval = 500 * time.Millisecond
	// minSearchPause is the time between the first two searches for a replacement of a
	// silent run. It doubles with each search up to maxSearchPause, as owners count each
	// lease request as demand.
	minSearchPause = checkInterval
	maxSearchPause = 4 * time.Second
	// lostChecks is the number of checks in a row that must find the engine's process
	// gone. A cut link that heals looks the same for a while.
	lostChecks = 4
)

// Causes of the cancellation of a silent run.
var (
	errStall = errors.New("no event within the stall timeout, another engine goes on")
	errLost  = errors.New("no event within the stall timeout, the engine's process is gone")
)

// watch looks for a replacement of a run, or of a prefill, while it is silent. A run is
// given up only once a lease on another engine is granted and the retry budget is charged
// for it, or the engine's process is known to be gone; until then its next event wins.
//
// A nil watch is that of a run that may not be moved.
type watch struct {
	*job
	ctx    context.Context
	cancel context.CancelCauseFunc
	server pool.Server
	limit  time.Duration
	silent pool.Outcome

	// mu guards the following fields and the state of the job. The relay holds it but
	// while it waits for an event.
	mu sync.Mutex
	// lastEvent is when the last event was passed on, or the run began.
	lastEvent time.Time
	// recorded is the lastEvent of the last silence that was recorded.
	recorded time.Time
	// lost counts the checks in a row that found the engine's process gone.
	lost int
	// searchAt is when the next search may begin, pause the time from its end to the one
	// after it.
	searchAt time.Time
	pause    time.Duration
	// unusable are the engines that were granted since the last refusal and can't be used.
	unusable []string
	// stopSearch ends the search in progress, nil for none.
	stopSearch context.CancelFunc
	givenUp    *proxy.SendError
	stopped    bool
	timer      *time.Timer
	// running counts the check that is due or in progress. There is one at most.
	running sync.WaitGroup
}

// watch starts to watch a run or a prefill at engine s, which is silent after limit,
// which counts for its health as the outcome silent. stop must be called; until then the
// caller holds the watch's lock. ctx is that of the request, cancel ends the run. It returns
// nil if the request may use no further lease. One that has begun gets more of them.
func (j *job) watch(ctx context.Context, cancel context.CancelCauseFunc, s pool.Server, limit time.Duration, silent pool.Outcome) *watch {
	if j.leases+1 >= j.maxLeases() && !j.begun() {
		return nil
	}
	w := &watch{job: j, ctx: ctx, cancel: cancel, server: s, limit: limit, silent: silent, lastEvent: time.Now()}
	w.mu.Lock()
	w.arm(w.limit)
	return w
}

// maxLeases returns the number of leases that the request may use.
func (j *job) maxLeases() int { return maxLeases + min(j.limited+j.strays, maxLimited) }

// unlock releases the lock while the caller waits for the engine.
func (w *watch) unlock() {
	if w != nil {
		w.mu.Unlock()
	}
}

func (w *watch) lock() {
	if w != nil {
		w.mu.Lock()
	}
}

// next waits for the next event.
func (w *watch) next(events *eventReader) (sseEvent, error) {
	w.unlock()
	e, err := func() (sseEvent, error) {
		defer w.lock()
		return events.next()
	}()
	if w != nil && w.givenUp == nil && !e.empty {
		w.endSearch() // before the client reads the event, which may take long
	}
	return e, err
}

// verdict returns why the run was given up, nil while it was not. An event that was read
// after that is dropped: the next run repeats it.
func (w *watch) verdict() *proxy.SendError {
	if w == nil {
		return nil
	}
	return w.givenUp
}

// progress records that an event was passed on.
func (w *watch) progress() {
	if w == nil {
		return
	}
	w.lastEvent = time.Now()
	w.endSearch()
}

func (w *watch) endSearch() {
	if w.stopSearch != nil {
		w.stopSearch()
		w.stopSearch = nil
	}
}

// stop ends the watch and waits for its goroutine.
func (w *watch) stop() {
	if w == nil {
		return
	}
	w.stopped = true
	w.endSearch()
	if w.timer.Stop() {
		w.running.Done()
	}
	w.mu.Unlock()
	w.running.Wait()
}

// arm lets the next check be made after d. The caller holds mu, and no check is due.
func (w *watch) arm(d time.Duration) {
	w.running.Add(1)
	w.timer = time.AfterFunc(d, func() {
		defer w.running.Done()
		defer panics.Recover(w.log, "search for another engine")
		w.check()
	})
}

// check looks for a replacement if the run is silent.
func (w *watch) check() {
	search, req := w.beginSearch()
	if search == nil {
		return
	}
	found, err := w.find(search, req)
	var refused *lease.RefusedError // has a line of its own
	if err != nil && search.Err() == nil && !errors.As(err, &refused) {
		w.log.Info("no other engine for a silent stream", "request", w.req.ID, "server", w.server.ID, "error", err.Error())
	}
	w.endCheck(search, found)
}

// beginSearch returns the context of a search and the request for a lease. The context is
// nil if there is nothing to search for now.
func (w *watch) beginSearch() (context.Context, ledger.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch silent := now.Sub(w.lastEvent); {
	case w.stopped:
		return nil, ledger.Request{}
	case silent < w.limit:
		w.arm(w.limit - silent)
		return nil, ledger.Request{}
	}
	if w.recorded != w.lastEvent {
		w.recorded, w.lost, w.searchAt, w.pause = w.lastEvent, 0, now, minSearchPause
		w.table.RecordSilence(now, w.server, w.silent)
	}
	if lost, known := w.table.Lost(w.server); lost || !known && w.lost > 0 {
		w.lost++
	} else {
		w.lost = 0
	}
	if w.lost >= lostChecks {
		w.giveUp(event.FaultBroken, errLost)
		return nil, ledger.Request{}
	}
	if now.Before(w.searchAt) || !w.admitted() || !w.charge.CanReserve(now, budget.Run) || !w.hasOther(w.server) {
		w.arm(checkInterval)
		return nil, ledger.Request{}
	}
	var search context.Context
	search, w.stopSearch = context.WithCancel(w.ctx)
	req := w.leaseRequest()
	req.Fingerprint = 0 // the client has not been refused if the search is
	req.Excluded = slices.Concat(w.excludedEngines(), w.unusable, []string{w.server.ID})
	return search, req
}

// find obtains a lease on another engine, or chooses a server if the service has no
// ledger. The lease is nil if there is none.
func (w *watch) find(ctx context.Context, req ledger.Request) (*lease.Lease, error) {
	if w.service.Engine != nil {
		return w.requestLease(ctx, req)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.chooseServer(req.Excluded)
	if !ok {
		return nil, nil
	}
	return lease.Unmanaged(s.ID), nil
}

// endCheck gives the run up in favour of the lease that was found, if it is still silent.
// Otherwise it releases the lease.
func (w *watch) endCheck(search context.Context, found *lease.Lease) {
	if found != nil && search.Err() != nil {
		found.Close("") // the lock may be held while a slow client reads
		found = nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := search.Err() == nil
	w.endSearch()
	switch {
	case silent && found != nil && w.admitted() && w.usable(found) && w.charge.Reserve(time.Now(), kinds(found)...):
		w.replacement = found
		w.giveUp(event.FaultStalled, errStall)
		return
	case found != nil:
		found.Close("")
	default:
		w.unusable = nil
	}
	w.searchAt, w.pause = time.Now().Add(w.pause), min(2*w.pause, maxSearchPause)
	if !w.stopped {
		w.arm(checkInterval)
	}
}

// kinds returns the requests to engines that follow a lease.
func kinds(l *lease.Lease) []budget.Kind {
	if l.Prefill != "" {
		return []budget.Kind{budget.Prefill, budget.Run}
	}
	return []budget.Kind{budget.Run}
}

// usable reports whether requests may be sent to the engines of a lease now.
func (w *watch) usable(l *lease.Lease) bool {
	for _, id := range []string{l.Decode, l.Prefill} {
		if id == "" {
			continue
		}
		s, ok := w.table.Available(time.Now(), id)
		if !ok || w.table.IsUnhealthy(time.Now(), id) || id == l.Decode && !w.suits(s) {
			w.unusable = append(w.unusable, id)
			return false
		}
	}
	return true
}

// giveUp ends the run. The caller holds mu.
func (w *watch) giveUp(fault event.Fault, err error) {
	w.givenUp = &proxy.SendError{Fault: fault, Err: err}
	w.cancel(err)
}
