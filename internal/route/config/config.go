// Package config holds the published routing configuration: which service a request
// goes to, whether it may be retried, and the limits on clients.
package config

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is how often the requests of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run once, unless
	// their route allows a broken stream to be resumed.
	Stream
)

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "once"
}

// Split is one target of a route. Traffic is divided in proportion to the weights.
type Split struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time for which a client is kept waiting.
	Timeout time.Duration
	// Target is the latency objective up to the answer, or up to the first
	// event of a stream.
	Target time.Duration
	// Gap is the latency objective between two events of a stream.
	Gap time.Duration
	// Rank is the priority, 0 the highest.
	Rank int
	// Attempts bounds the number of engines that may run one request.
	Attempts int
	// Resume allows a broken stream to be continued at another engine.
	Resume bool
	// Model is set on routes to model engines.
	Model bool
	// Anonymous admits requests without an API key.
	Anonymous bool
	Splits    []Split
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Tokens is the capacity of the KV cache.
	Tokens int
	// Stride is the number of tokens in one event of a stream.
	Stride int
	// Handle is how long a prefilled KV cache is kept until a decode engine
	// fetches it.
	Handle time.Duration
	// Switch is the time that an engine needs to change its stage.
	Switch time.Duration
}

// Limits bounds what clients may send.
type Limits struct {
	// Header and Body are in bytes.
	Header int
	Body   int
	// HeaderWait bounds the time to receive a request's header, Idle the time
	// between requests on a connection.
	HeaderWait time.Duration
	Idle       time.Duration
}

// Document is one version of the configuration. It is immutable after New.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants are the client accounts. Requests have to carry a key of one of them if
	// KeysRequired is set, unless their route is anonymous.
	Tenants      []Tenant
	KeysRequired bool

	routesByHost map[string][]*Route
	tenantByKey  map[KeyHash]*Tenant
	tenantByName map[string]*Tenant
	digestOnce   sync.Once
	digest       uint64
}

// New returns a document and indexes its routes for Match and its tenants for
// Authenticate.
func New(version uint64, routes []Route, services []Service, limits Limits, opts ...Option) *Document {
	d := &Document{Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)), routesByHost: map[string][]*Route{}}
	for _, s := range services {
		d.Services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.routesByHost[r.Host] = append(d.routesByHost[r.Host], r)
	}
	for _, list := range d.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range opts {
		o(d)
	}
	d.indexTenants()
	return d
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request by a hash of key: requests with the same
// key go to the same service as long as the weights stay. It returns "" if no split
// has a positive weight.
func (r *Route) Pick(key string) string {
	total := 0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	point := int(h.Sum64() % uint64(total))
	for _, s := range r.Splits {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service
		}
	}
	return ""
}
