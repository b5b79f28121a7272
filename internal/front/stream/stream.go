// Package stream serves generations: it obtains engines, has the prompt read,
// and passes the events of the answer on as they come. Where a route allows it,
// a stream that breaks goes on at another engine.
package stream

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/memory"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/front/quota"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
)

// Acquirer obtains engines.
type Acquirer interface {
	Acquire(ctx context.Context, a ledger.Request) (*lease.Lease, error)
}

// Handler serves streams.
type Handler struct {
	domain   string
	table    *pool.Table
	backends citronrock.Backends
	ingress  citronrock.Ingress
	granter  Acquirer
	quota    *quota.Quota
	log      *lines.Log
	wasted   func(service string, tokens int)
	guard    *crash.Guard
	memory   *memory.Budget
	verify   func(pool.Server)
	// end is when this daemon ends, zero while it is not stopping.
	end func() time.Time

	mu    sync.Mutex
	sizes map[string]*size
	leads map[string]time.Duration
	// stays are the times from the grants to the ends of answers by service.
	stays map[string]time.Duration
}

// Option changes a setting of a handler.
type Option func(*Handler)

// WithDomain sets the failure domain whose servers are preferred where no ledger
// chooses.
func WithDomain(domain string) Option { return func(h *Handler) { h.domain = domain } }

// WithWaste sets a function that takes the tokens of prompts that were read in
// vain.
func WithWaste(f func(service string, tokens int)) Option {
	return func(h *Handler) { h.wasted = f }
}

// WithVerify sets a function that finds out whether an engine that says that a
// request is not for it is still the one of its entry: it may have another stage.
func WithVerify(f func(pool.Server)) Option { return func(h *Handler) { h.verify = f } }

// WithShutdownDeadline sets a function that tells when this daemon ends, zero while it is not
// stopping.
func WithShutdownDeadline(f func() time.Time) Option { return func(h *Handler) { h.end = f } }

// WithGuard sets what counts the engines that a request crashed.
func WithGuard(g *crash.Guard) Option { return func(h *Handler) { h.guard = g } }

// WithMemory sets the budget for what is held in memory of answers.
func WithMemory(b *memory.Budget) Option { return func(h *Handler) { h.memory = b } }

// New returns a handler that obtains engines from a granter.
func New(table *pool.Table, b citronrock.Backends, i citronrock.Ingress, g Acquirer, q *quota.Quota, log *lines.Log, opts ...Option) *Handler {
	h := &Handler{table: table, backends: b, ingress: i, granter: g, quota: q, log: log,
		wasted: func(string, int) {}, verify: func(pool.Server) {}, end: func() time.Time { return time.Time{} },
		sizes: map[string]*size{}, leads: map[string]time.Duration{}, stays: map[string]time.Duration{}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Parameters of the estimates.
const (
	// firstShare stands for the share of the largest output that is made until
	// answers have shown it.
	firstShare = 0.5
	// sizeWeight is the least weight of one answer in the mean share.
	sizeWeight = 0.03
	// firstLead stands for the time from a grant to the first event until answers
	// have shown it, and meanWeight is the weight of one answer in mean times.
	firstLead  = 300 * time.Millisecond
	meanWeight = 0.1
	// bytesPerToken stands for the size of a prompt that its client does not
	// tell.
	bytesPerToken = 4
	// plainOutput is the expected output in tokens of a request that does not
	// tell its largest output.
	plainOutput = 500
)

// size is the mean output of a route as a share of the largest output.
type size struct {
	share float64
	n     int
}

// expect estimates the output of a call in tokens.
func (h *Handler) expect(route string, c *proxy.Request) int {
	if c.MaxOutput == 0 {
		return plainOutput
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	share := firstShare
	if s := h.sizes[route]; s != nil {
		share = s.share
	}
	return int(share * float64(c.MaxOutput))
}

// learn takes the output of a complete answer in tokens.
func (h *Handler) learn(route string, c *proxy.Request, made int) {
	if c.MaxOutput == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sizes[route]
	if s == nil {
		s = &size{share: firstShare, n: 3}
		h.sizes[route] = s
	}
	s.n++
	s.share += (float64(made)/float64(c.MaxOutput) - s.share) * max(1/float64(s.n), sizeWeight)
}

// lead is the time from a grant to the first event.
func (h *Handler) lead(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, ok := h.leads[service]; ok {
		return d
	}
	return firstLead
}

// toward returns a mean time after one more value.
func toward(mean, d time.Duration) time.Duration {
	return mean + time.Duration(meanWeight*float64(d-mean))
}

func (h *Handler) learnLead(service string, d time.Duration) {
	was := h.lead(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leads[service] = toward(was, d)
}

// stay is the time from a grant to the end of an answer, zero while it is not
// known.
func (h *Handler) stay(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stays[service]
}

func (h *Handler) learnStay(service string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	was, ok := h.stays[service]
	if !ok {
		was = d
	}
	h.stays[service] = toward(was, d)
}

// prompt is the length of a call's prompt in tokens.
func prompt(c *proxy.Request) int {
	if c.Prompt > 0 {
		return c.Prompt
	}
	return len(c.Body) / bytesPerToken
}

// subject is a hash that is the same when a client asks again.
func subject(c *proxy.Request) uint64 {
	if c.LastPart == "" {
		return 0
	}
	d := fnv.New64a()
	_, _ = d.Write([]byte(c.Host + c.Path + "\x00" + c.LastPart))
	return d.Sum64()
}

// Serve answers a call and returns how it ended. Ctx ends when the client
// leaves or the deadline passes. A Result of "broken" means that the client's
// connection must be closed, since part of an answer was sent.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, c *proxy.Request, r *config.Route, s config.Service, deadline time.Time) lines.Outcome {
	j := &job{Handler: h, call: c, route: r, service: s, deadline: deadline, out: w, last: c.LastEventID}
	proxy.LimitWrites(w, deadline)
	func() {
		defer j.release(ctx) // also after a panic: others need the room
		j.run(ctx)
	}()
	o := &j.outcome
	o.Sends, o.Events, o.Prompt = j.sends, j.events, prompt(c)
	if errors.Is(context.Cause(ctx), context.Canceled) && o.Result != "ok" {
		o.Result, o.Reason, o.Status = "gone", "client", 0
		return *o
	}
	if !j.answered {
		h.ingress.Refuse(w, c, o.Status, o.After, "the request was not answered: "+o.Result+", "+o.Reason)
	}
	return *o
}
