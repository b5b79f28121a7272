// Package engine is a stand-in for a model engine. It serves the engine protocol
// with simulated compute time, KV memory and KV transfers, and with faults that can
// be injected while it runs.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

// BlockTokens is the number of tokens in one KV block, the unit of memory.
const BlockTokens = policy.BlockTokens

// Settings are the capacity and timing of a simulated engine.
type Settings struct {
	Name, Model, Role string
	// Pieces is the memory in KV blocks, Slots the maximum number of requests
	// that hold a reservation or decode.
	Pieces, Slots uint32
	// TokenGap is the time between tokens with one busy slot. It grows linearly, to
	// TokenGap * (1 + Growth) with all slots busy.
	TokenGap time.Duration
	Growth   float64
	// PrefillRate is in tokens per second.
	PrefillRate uint32
	// CachePieces is the size of the prefix cache in KV blocks.
	CachePieces int
	// Retention is the time after which the KV cache of a prefill is evicted.
	Retention time.Duration
	// LinkRate is the rate of the KV link in bytes per second, for each
	// direction. TokenBytes is the size of the KV cache of one token.
	LinkRate, TokenBytes uint64
	// ReportLag is the age of load reports when they are sent, EventDelay that of
	// cache events.
	ReportLag, EventDelay time.Duration
	// CheckFence makes the engine refuse outdated fencing tokens.
	CheckFence bool
	// LoadTime is how long an accepted order takes. Meanwhile the engine refuses
	// new work.
	LoadTime time.Duration
	// Poison is a text that crashes the engine if a prompt contains it.
	Poison string
	// Crash ends the process. Only that of a test may return.
	Crash func()
}

// Option changes settings before the engine starts.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that New starts from.
func Defaults() Settings {
	return Settings{
		Name: "engine", Model: "stand", Role: policy.RoleBoth,
		Pieces: 100, Slots: 20,
		TokenGap: 15 * time.Millisecond, Growth: 0.5,
		PrefillRate: 20000, CachePieces: 200, Retention: 800 * time.Millisecond,
		LinkRate: 2 << 30, TokenBytes: 16 << 10,
		ReportLag: 50 * time.Millisecond, EventDelay: 50 * time.Millisecond,
		Crash: func() {},
	}
}

// Engine is a simulated engine. Its methods are safe for concurrent use.
type Engine struct {
	set             Settings
	incarnation     uint64
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	server          *serve.Server
	linkIn, linkOut pacer
	// pull streams a KV cache from another engine. Tests replace it.
	pull func(ctx context.Context, source string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error
	// decodeWake wakes the decode loop, prefillWake the prefill loop.
	decodeWake, prefillWake chan struct{}

	mu           sync.Mutex
	fault        Fault
	unfrozen     chan struct{} // closed when the engine is not frozen
	unstalled    chan struct{} // closed when transfers are not stalled
	role         string
	model        string
	loadingUntil time.Time
	fence        uint64
	free         uint32
	busy         uint32
	entries      map[string]*entry
	active       []*entry
	queue        []*job
	current      *job
	serial       uint64
	cache        *cache
	subscribers  map[*subscriber]struct{}
	sequence     uint64
	finished     map[string]*entry
	finishedIDs  []string // keys of finished, oldest first
	stats        Stats
}

// New starts an engine without a listener. Close ends it.
func New(options ...Option) *Engine {
	set := Defaults()
	for _, o := range options {
		o(&set)
	}
	ctx, stop := context.WithCancel(context.Background())
	open := make(chan struct{})
	close(open)
	e := &Engine{
		set: set, incarnation: uint64(time.Now().UnixNano()), ctx: ctx, stop: stop,
		linkIn: pacer{rate: set.LinkRate}, linkOut: pacer{rate: set.LinkRate},
		decodeWake: make(chan struct{}, 1), prefillWake: make(chan struct{}, 1),
		unfrozen: open, unstalled: open,
		role: set.Role, model: set.Model, free: set.Pieces,
		entries: map[string]*entry{}, cache: newCache(set.CachePieces),
		subscribers: map[*subscriber]struct{}{}, finished: map[string]*entry{},
	}
	e.pull = pullFrom
	e.fault.ReportLag = milliseconds(set.ReportLag)
	e.fault.EventDelay = milliseconds(set.EventDelay)
	e.goroutines.Go(e.decodeLoop)
	e.goroutines.Go(e.prefillLoop)
	return e
}

// Listen serves the engine on addr. Port 0 picks a free port. It returns an error if
// the address can't be bound.
func (e *Engine) Listen(addr netip.AddrPort) error {
	s, err := serve.New(addr, e.Handler())
	if err != nil {
		return err
	}
	e.server = s
	return nil
}

// Addr returns the address that the engine listens on. It must not be called before
// Listen.
func (e *Engine) Addr() netip.AddrPort { return e.server.Addr() }

// Handler serves the engine protocol, POST /fault and GET /held.
func (e *Engine) Handler() http.Handler {
	path, h := wire.NewEngineHandler(service{e}, connect.WithCompressMinBytes(serve.CompressMinBytes))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	mux.HandleFunc("POST /fault", e.serveFault)
	mux.HandleFunc("GET /held", func(w http.ResponseWriter, _ *http.Request) {
		serve.Reply(w, e.Stats())
	})
	return mux
}

// Close ends all streams, frees all memory and waits for the engine's loops.
// Handlers end with their connections.
func (e *Engine) Close() error {
	e.stop()
	var err error
	if e.server != nil {
		err = e.server.Close()
	}
	e.goroutines.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.entries {
		e.drop(n)
	}
	return err
}

// Stats are the memory in use now and counts of work since the start. GET /held
// returns them.
type Stats struct {
	// Pieces is the number of KV blocks in use, Requests the number of requests
	// that the engine holds.
	Pieces   uint32 `json:"pieces"`
	Requests int    `json:"requests"`
	// Computed counts the prefill tokens computed here, Used those that led to an
	// output token here, and Wasted those whose KV cache was dropped here before
	// any output token.
	Computed uint64 `json:"computed"`
	Used     uint64 `json:"used"`
	Wasted   uint64 `json:"wasted"`
	// Duplicates counts decodes of requests that had already finished here.
	Duplicates uint64 `json:"double"`
	// Finished counts completed decodes, Preempted those evicted for lack of
	// memory.
	Finished  uint64 `json:"finished"`
	Preempted uint64 `json:"preempted"`
}

// Stats returns a snapshot of the statistics.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.stats
	h.Pieces = e.set.Pieces - e.free
	h.Requests = len(e.entries)
	return h
}

// notify wakes the reader of c, a channel with a buffer of one, without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
