// Package stream serves generations: it acquires a lease on engines, has the prompt
// prefilled and passes on the events of the response as they arrive. On routes that
// allow it, a broken stream is resumed at another engine.
package stream

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/memory"
	"citronrock.example/citronrock/internal/front/budget"
	"citronrock.example/citronrock/internal/front/grace"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
	"golang.org/x/sync/singleflight"
)

// Acquirer grants leases on engines.
type Acquirer interface {
	Acquire(ctx context.Context, a ledger.Request) (*lease.Lease, error)
}

// Handler serves streaming requests. It is safe for concurrent use.
type Handler struct {
	domain   string
	table    *pool.Table
	backends citronrock.Backends
	ingress  citronrock.Ingress
	acquirer Acquirer
	budget   *budget.Budget
	log      *lines.Log
	onWaste  func(service string, tokens int)
	guard    *crash.Guard
	memory   *memory.Budget
	verify   func(pool.Server)
	origins  citronrock.Origins
	stop     *grace.Period
	// checks are the questions to engines which process they are.
	checks singleflight.Group
	// recent are the times from the grant to the end of the answer.
	recent grace.Recent

	mu               sync.Mutex
	outputShares     map[string]*outputShare
	firstEventDelays map[string]time.Duration
}

// Option configures a handler.
type Option func(*Handler)

// WithDomain sets the failure domain whose servers are preferred for services
// without a ledger.
func WithDomain(domain string) Option { return func(h *Handler) { h.domain = domain } }

// WithWaste sets a function that counts the prompt tokens of prefills whose KV cache
// was not used.
func WithWaste(f func(service string, tokens int)) Option {
	return func(h *Handler) { h.onWaste = f }
}

// WithVerify sets a function that checks whether an engine that rejects a request as
// misdirected still matches its entry. Its stage may have changed.
func WithVerify(f func(pool.Server)) Option { return func(h *Handler) { h.verify = f } }

// WithGuard sets the guard that counts the engines which a request has crashed.
func WithGuard(g *crash.Guard) Option { return func(h *Handler) { h.guard = g } }

// WithOrigins sets the records of the versions at which streams began. Without them no
// stream that a client takes up goes on.
func WithOrigins(o citronrock.Origins) Option { return func(h *Handler) { h.origins = o } }

// WithMemory sets the budget for response data held in memory.
func WithMemory(b *memory.Budget) Option { return func(h *Handler) { h.memory = b } }

// New returns a handler that sends requests to the servers of the table and acquires
// leases on engines from g.
func New(table *pool.Table, b citronrock.Backends, i citronrock.Ingress, g Acquirer, q *budget.Budget, log *lines.Log, opts ...Option) *Handler {
	h := &Handler{table: table, backends: b, ingress: i, acquirer: g, budget: q, log: log,
		onWaste: func(string, int) {}, origins: noOrigins{}, verify: func(pool.Server) {}, stop: grace.New(),
		outputShares: map[string]*outputShare{}, firstEventDelays: map[string]time.Duration{}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Parameters of the estimates.
const (
	// initialShare is the output as a share of the longest output that is assumed until
	// responses have shown it.
	initialShare = 0.5
	// minShareWeight is the smallest weight of one response in the average share.
	minShareWeight = 0.03
	// initialFirstEventDelay is the time from a grant to the first event that is
	// assumed until responses have shown it. delayWeight is the weight of one response
	// in the moving averages of times.
	initialFirstEventDelay = 300 * time.Millisecond
	delayWeight            = 0.1
	// bytesPerToken estimates the length of a prompt whose client does not state it.
	bytesPerToken = 4
	// defaultOutput is the expected output in tokens of a request that does not state
	// its longest output.
	defaultOutput = 500
)

// outputShare is the average output of a route as a share of the longest output.
type outputShare struct {
	share float64
	n     int
}

// expectedOutput estimates the output of a request in tokens.
func (h *Handler) expectedOutput(route string, req *proxy.Request) int {
	if req.MaxOutput == 0 {
		return defaultOutput
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	share := initialShare
	if s := h.outputShares[route]; s != nil {
		share = s.share
	}
	return int(share * float64(req.MaxOutput))
}

// learnOutput updates the average with the output of a complete response in tokens.
func (h *Handler) learnOutput(route string, req *proxy.Request, generated int) {
	if req.MaxOutput == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.outputShares[route]
	if s == nil {
		s = &outputShare{share: initialShare, n: 3}
		h.outputShares[route] = s
	}
	s.n++
	s.share += (float64(generated)/float64(req.MaxOutput) - s.share) * max(1/float64(s.n), minShareWeight)
}

// firstEventDelay returns the average time from a grant to the first event.
func (h *Handler) firstEventDelay(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, ok := h.firstEventDelays[service]; ok {
		return d
	}
	return initialFirstEventDelay
}

// movingAverage returns an exponential moving average after one more value.
func movingAverage(mean, d time.Duration) time.Duration {
	return mean + time.Duration(delayWeight*float64(d-mean))
}

func (h *Handler) learnFirstEventDelay(service string, d time.Duration) {
	mean := h.firstEventDelay(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstEventDelays[service] = movingAverage(mean, d)
}

// promptTokens returns the length of a request's prompt in tokens, estimated if the
// client does not state it.
func promptTokens(req *proxy.Request) int {
	if req.Prompt > 0 {
		return req.Prompt
	}
	return len(req.Body) / bytesPerToken
}

// fingerprint returns a hash that is the same when a client retries, zero when the
// client does not identify its prompt.
func fingerprint(req *proxy.Request) uint64 {
	if req.LastPart == "" {
		return 0
	}
	d := fnv.New64a()
	_, _ = d.Write([]byte(req.Host + req.Path + "\x00" + req.LastPart))
	return d.Sum64()
}

// Serve answers a request and returns the outcome. ctx ends when the client leaves
// or the deadline passes. A Result of "broken" means that a part of the answer was
// sent, so that the caller must close the client's connection.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, req *proxy.Request, r *config.Route, s config.Service, deadline time.Time) lines.Outcome {
	j := &job{Handler: h, req: req, route: r, service: s, deadline: deadline, out: w, lastEventID: req.LastEventID}
	proxy.LimitWrites(w, deadline)
	ctx, keep, release := h.stop.Bind(ctx)
	defer release()
	j.keep = keep
	j.charge = h.budget.Open(req.Received, s.Name)
	defer func() { j.charge.Close(time.Now()) }()
	func() {
		defer j.release(ctx) // also after a panic: the capacity must be freed
		j.run(ctx)
	}()
	j.noteStop(ctx)
	o := &j.outcome
	o.Attempts, o.Events, o.PromptTokens, o.Resumes = j.sends, j.events, promptTokens(req), req.Resumes
	if errors.Is(context.Cause(ctx), context.Canceled) && o.Result != "ok" {
		o.Result, o.Reason, o.Status = "gone", "client", 0
		return *o
	}
	if !j.headerSent {
		h.ingress.Refuse(w, req, o.Status, o.RetryAfter, "the request was not answered: "+o.Result+", "+o.Reason)
	}
	return *o
}
