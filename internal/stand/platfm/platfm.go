// Package platfm is a stand-in for the platform: it serves the published
// document and the lagging list of instances, and counts its readers' calls.
package platfm

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/platfm"
)

// Settings are the properties of the platform.
type Settings struct {
	// Lag is the time until a published list is visible.
	Lag time.Duration
	// Latency is the time of each answer.
	Latency time.Duration
	// Rate is the limit on reads a second over all readers; a pending watch
	// counts as one read.
	Rate float64
}

// Option changes one or more settings.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that options change.
func Defaults() Settings {
	return Settings{Lag: 200 * time.Millisecond, Latency: 2 * time.Millisecond, Rate: 2000}
}

// Platform is the simulated platform.
type Platform struct {
	set    Settings
	ctx    context.Context
	stop   context.CancelFunc
	server *serve.Server
	limit  *rate.Limiter

	mu    sync.Mutex
	fault Fault
	// document and list are what was published, seen is what readers get.
	document *wire.DocumentReply
	list     *wire.InstancesReply
	seen     state
	changed  chan struct{} // closed with each change of seen or of the faults
	timers   map[*time.Timer]struct{}
	reads    Reads
}

type state struct {
	document *wire.DocumentReply
	list     *wire.InstancesReply
}

// Reads counts calls since the start.
type Reads struct {
	Document  uint64 `json:"document"`
	Instances uint64 `json:"instances"`
	// Refused counts calls over the rate limit or while the platform was down.
	Refused uint64 `json:"refused"`
	// Pending is the number of watches that wait now.
	Pending int `json:"pending"`
}

// New returns a platform without a network address. Close ends it.
func New(options ...Option) *Platform {
	set := Defaults()
	for _, o := range options {
		o(&set)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Platform{
		set: set, ctx: ctx, stop: stop,
		limit:    rate.NewLimiter(rate.Limit(set.Rate), max(1, int(set.Rate))),
		document: &wire.DocumentReply{}, list: &wire.InstancesReply{},
		changed: make(chan struct{}), timers: map[*time.Timer]struct{}{},
	}
	p.fault.Lag = set.Lag.Milliseconds()
	p.seen = state{p.document, p.list}
	return p
}

// Listen serves on addr; port 0 takes a free port.
func (p *Platform) Listen(addr netip.AddrPort) error {
	s, err := serve.New(addr, p.Handler())
	if err != nil {
		return err
	}
	p.server = s
	return nil
}

// Addr returns the address after Listen.
func (p *Platform) Addr() netip.AddrPort { return p.server.Addr() }

// Close ends all connections and pending changes.
func (p *Platform) Close() error {
	p.stop()
	p.mu.Lock()
	for t := range p.timers {
		t.Stop()
	}
	clear(p.timers)
	p.mu.Unlock()
	if p.server == nil {
		return nil
	}
	return p.server.Close()
}

// Handler serves the platform protocol, PUT /document, PUT /instances,
// GET /instances, GET /reads and POST /fault.
func (p *Platform) Handler() http.Handler {
	path, h := wire.NewPlatformHandler(service{p})
	mux := http.NewServeMux()
	mux.Handle(path, h)
	mux.HandleFunc("PUT /document", p.putDocument)
	mux.HandleFunc("PUT /instances", p.putInstances)
	mux.HandleFunc("GET /instances", p.getInstances)
	mux.HandleFunc("POST /fault", p.serveFault)
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) {
		serve.Reply(w, p.Reads())
	})
	return mux
}

// Reads returns the counts so far.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// PublishDocument publishes a document; it is visible at once. Versions may go back,
// since readers must cope with that.
func (p *Platform) PublishDocument(version uint64, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = &wire.DocumentReply{Version: version, Body: body}
	p.show(func() { p.seen.document = p.document })
}

// PublishInstances publishes a list under the next revision and returns it. The list
// is visible after the lag.
func (p *Platform) PublishInstances(list []*wire.Instance) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &wire.InstancesReply{Revision: p.list.Revision + 1, Instances: list}
	p.list = r
	if p.fault.Lag <= 0 {
		p.show(func() { p.seen.list = r })
		return r.Revision
	}
	var t *time.Timer
	t = time.AfterFunc(time.Duration(p.fault.Lag)*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.timers, t)
		if r.Revision > p.seen.list.Revision {
			p.show(func() { p.seen.list = r })
		}
	})
	p.timers[t] = struct{}{}
	return r.Revision
}

// show changes what readers get unless the platform is stale, and wakes
// watches. The caller holds mu.
func (p *Platform) show(change func()) {
	if p.fault.Stale {
		return
	}
	change()
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read answers a call when fresh returns true or wait has passed.
func (p *Platform) read(ctx context.Context, wait time.Duration, count *uint64, fresh func(state) bool) (state, error) {
	p.mu.Lock()
	*count++
	p.reads.Pending++
	allowed := p.limit.Allow()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.reads.Pending--
		p.mu.Unlock()
	}()
	if !allowed {
		return state{}, p.refuse(connect.CodeResourceExhausted, "too many reads; poll less often")
	}
	latency := time.NewTimer(p.set.Latency)
	defer latency.Stop()
	select {
	case <-latency.C:
	case <-ctx.Done():
		return state{}, ctx.Err()
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	ended := wait <= 0
	for {
		p.mu.Lock()
		s, down, changed := p.seen, p.fault.Down, p.changed
		p.mu.Unlock()
		if down {
			return state{}, p.refuse(connect.CodeUnavailable, "the platform is down")
		}
		if ended || fresh(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-over.C:
			ended = true
		case <-ctx.Done():
			return state{}, ctx.Err()
		case <-p.ctx.Done():
			return state{}, p.refuse(connect.CodeUnavailable, "the platform stops")
		}
	}
}

func (p *Platform) refuse(code connect.Code, text string) error {
	p.mu.Lock()
	p.reads.Refused++
	p.mu.Unlock()
	return connect.NewError(code, errors.New(text))
}

// service adapts a Platform to the generated handler interface.
type service struct{ p *Platform }

// Document leaves the body out when the reader has this version already.
func (s service) Document(ctx context.Context, r *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentReply], error) {
	after := r.Msg.After
	st, err := s.p.read(ctx, r.Msg.Wait.AsDuration(), &s.p.reads.Document,
		func(st state) bool { return st.document.Version > after })
	if err != nil {
		return nil, err
	}
	if st.document.Version <= after {
		return connect.NewResponse(&wire.DocumentReply{Version: st.document.Version}), nil
	}
	return connect.NewResponse(st.document), nil
}

func (s service) Instances(ctx context.Context, r *connect.Request[wire.InstancesRequest]) (*connect.Response[wire.InstancesReply], error) {
	after := r.Msg.After
	st, err := s.p.read(ctx, r.Msg.Wait.AsDuration(), &s.p.reads.Instances,
		func(st state) bool { return st.list.Revision > after })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(st.list), nil
}
