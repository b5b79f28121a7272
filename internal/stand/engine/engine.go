// Package engine is a stand-in for a model engine. It serves the engine
// protocol with simulated time, memory and transfers, and it has faults that
// can be switched while it runs.
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

// PieceTokens is the number of tokens in one piece of memory.
const PieceTokens = policy.BlockTokens

// Settings are the properties of an engine.
type Settings struct {
	Name, Model, Role string
	// Pieces is the memory in pieces, Slots the number of requests that can
	// hold a reservation or decode.
	Pieces, Slots uint32
	// TokenGap is the time between tokens with one busy slot. It grows linearly, to
	// Gap * (1 + Growth) with all slots busy.
	TokenGap time.Duration
	Growth   float64
	// PrefillRate is the prefill rate in tokens a second.
	PrefillRate uint32
	// CachePieces is the size of the prefix cache in pieces.
	CachePieces int
	// Retention is how long the result of a prefill stays.
	Retention time.Duration
	// LinkRate is the rate of the KV link in bytes a second, for each direction;
	// Bytes is the size of the KV cache of one token.
	LinkRate, TokenBytes uint64
	// ReportLag is the age of reports, Delay the age of cache events when they are sent.
	ReportLag, EventDelay time.Duration
	// CheckFence makes the engine refuse old fencing numbers.
	CheckFence bool
	// LoadTime is the time that an accepted order takes.
	LoadTime time.Duration
	// Poison is a text that crashes the engine when a prompt contains it.
	Poison string
	// Crash ends the process. It may return in tests only.
	Crash func()
}

// Option changes one or more settings.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that options change.
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

// Engine is one simulated engine.
type Engine struct {
	set         Settings
	incarnation uint64
	ctx         context.Context
	stop        context.CancelFunc
	group       sync.WaitGroup
	server      *serve.Server
	in, out     pacer
	// pull streams a KV cache from another engine; tests replace it.
	pull func(ctx context.Context, source string, r *wire.ExportRequest, recv func(*wire.ExportChunk) error) error
	// work wakes the decode loop, jobs the prefill loop.
	work, jobs chan struct{}

	mu       sync.Mutex
	fault    Fault
	thaw     chan struct{} // closed when the engine is not frozen
	loose    chan struct{} // closed when transfers are not stalled
	role     string
	model    string
	loading  time.Time
	fence    uint64
	free     uint32
	busy     uint32
	entries  map[string]*entry
	active   []*entry
	queue    []*job
	current  *job
	serial   uint64
	cache    *cache
	feeds    map[*feed]struct{}
	sequence uint64
	finished map[string]*entry
	recent   []string // keys of finished, oldest first
	count    Stats
}

// New starts an engine without a network address. Close ends it.
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
		in: pacer{rate: set.LinkRate}, out: pacer{rate: set.LinkRate},
		work: make(chan struct{}, 1), jobs: make(chan struct{}, 1),
		thaw: open, loose: open,
		role: set.Role, model: set.Model, free: set.Pieces,
		entries: map[string]*entry{}, cache: newCache(set.CachePieces),
		feeds: map[*feed]struct{}{}, finished: map[string]*entry{},
	}
	e.pull = pullFrom
	e.fault.ReportLag = millis(set.ReportLag)
	e.fault.EventDelay = millis(set.EventDelay)
	e.group.Go(e.decodeLoop)
	e.group.Go(e.prefillLoop)
	return e
}

// Listen serves the engine on addr; port 0 takes a free port.
func (e *Engine) Listen(addr netip.AddrPort) error {
	s, err := serve.New(addr, e.Handler())
	if err != nil {
		return err
	}
	e.server = s
	return nil
}

// Addr returns the address after Listen.
func (e *Engine) Addr() netip.AddrPort { return e.server.Addr() }

// Handler serves the engine protocol and the paths /fault and /held.
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

// Close ends all streams, frees everything and waits for all goroutines of the
// engine. Handlers end with their connections.
func (e *Engine) Close() error {
	e.stop()
	var err error
	if e.server != nil {
		err = e.server.Close()
	}
	e.group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.entries {
		e.drop(n)
	}
	return err
}

// Stats is what an engine holds and what its work came to.
type Stats struct {
	// Pieces and Requests hold memory now.
	Pieces   uint32 `json:"pieces"`
	Requests int    `json:"requests"`
	// Computed, Used and Wasted are prefill tokens that were computed here,
	// that led to an output token here, and whose result was dropped here
	// before any output token.
	Computed uint64 `json:"computed"`
	Used     uint64 `json:"used"`
	Wasted   uint64 `json:"wasted"`
	// Duplicates counts decodes of requests that had finished here before.
	Duplicates uint64 `json:"double"`
	// Finished counts decodes that ended, Preempted those that lost their memory.
	Finished  uint64 `json:"finished"`
	Preempted uint64 `json:"preempted"`
}

// Stats returns what the engine holds now.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.count
	h.Pieces = e.set.Pieces - e.free
	h.Requests = len(e.entries)
	return h
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d, or returns false when ctx ends first.
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
