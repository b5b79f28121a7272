// Package platfm is a stand-in for the platform's configuration service. It serves
// the published document and the instance list, which becomes visible with a lag, and
// counts its readers' calls.
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

// Settings are the timing and the rate limit of the simulated platform.
type Settings struct {
	// Lag is the time until a published instance list is visible.
	Lag time.Duration
	// Latency is the minimum time of each response.
	Latency time.Duration
	// Rate is the limit on reads per second of all readers together. A long poll
	// counts as one read.
	Rate float64
}

// Option changes settings before the platform starts.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that New starts from.
func Defaults() Settings {
	return Settings{Lag: 200 * time.Millisecond, Latency: 2 * time.Millisecond, Rate: 2000}
}

// Platform is the simulated platform. Its methods are safe for concurrent use.
type Platform struct {
	set    Settings
	ctx    context.Context
	stop   context.CancelFunc
	server *serve.Server
	limit  *rate.Limiter

	mu    sync.Mutex
	fault Fault
	// document and list are the latest published, visible is what readers get.
	document *wire.DocumentReply
	list     *wire.InstancesReply
	visible  state
	changed  chan struct{} // closed on each change of visible or of the faults
	timers   map[*time.Timer]struct{}
	reads    Reads
}

type state struct {
	document *wire.DocumentReply
	list     *wire.InstancesReply
}

// Reads are the statistics of read calls since the start. GET /reads returns them.
type Reads struct {
	Document  uint64 `json:"document"`
	Instances uint64 `json:"instances"`
	// Refused counts calls over the rate limit or while the platform is down or
	// shutting down.
	Refused uint64 `json:"refused"`
	// Pending is the number of calls in flight, most of them long polls.
	Pending int `json:"pending"`
}

// New returns a platform without a listener. Close ends it.
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
	p.visible = state{p.document, p.list}
	return p
}

// Listen serves on addr. Port 0 picks a free port. It returns an error if the address
// can't be bound.
func (p *Platform) Listen(addr netip.AddrPort) error {
	s, err := serve.New(addr, p.Handler())
	if err != nil {
		return err
	}
	p.server = s
	return nil
}

// Addr returns the address that the platform listens on. It must not be called before
// Listen.
func (p *Platform) Addr() netip.AddrPort { return p.server.Addr() }

// Close ends all connections and drops publications that aren't visible yet.
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

// Reads returns a snapshot of the statistics.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// PublishDocument publishes a document, which is visible immediately. A version may be
// lower than the one before, as readers must tolerate that.
func (p *Platform) PublishDocument(version uint64, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = &wire.DocumentReply{Version: version, Body: body}
	p.changeVisible(func() { p.visible.document = p.document })
}

// PublishInstances publishes an instance list as the next revision and returns the
// revision. The list is visible after the lag.
func (p *Platform) PublishInstances(list []*wire.Instance) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &wire.InstancesReply{Revision: p.list.Revision + 1, Instances: list}
	p.list = r
	if p.fault.Lag <= 0 {
		p.changeVisible(func() { p.visible.list = r })
		return r.Revision
	}
	var t *time.Timer
	t = time.AfterFunc(time.Duration(p.fault.Lag)*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.timers, t)
		if r.Revision > p.visible.list.Revision {
			p.changeVisible(func() { p.visible.list = r })
		}
	})
	p.timers[t] = struct{}{}
	return r.Revision
}

// changeVisible applies a change of what readers get and wakes long polls, unless the
// fault Stale is set. The caller holds mu.
func (p *Platform) changeVisible(change func()) {
	if p.fault.Stale {
		return
	}
	change()
	p.notify()
}

// notify wakes all long polls. The caller holds mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns what is visible as soon as fresh accepts it or wait has passed. It
// increments *count.
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
		s, down, changed := p.visible, p.fault.Down, p.changed
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

// service implements the generated handler interface for a Platform.
type service struct{ p *Platform }

// Document omits the body if the reader already has this version.
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
