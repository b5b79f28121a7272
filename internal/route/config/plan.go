// Package config holds the published routing configuration: which service a
// request goes to, what may be repeated and which limits clients have to keep.
package config

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run once unless
	// their route allows them to be resumed.
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

// Split is one target of a route. Weights are relative to each other.
type Split struct {
	Service string
	Weight  int
}

// Route is a rule that sends requests to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// Gap is the longest pause between events that is still on time.
	Gap time.Duration
	// Rank orders routes by importance, 0 is the highest.
	Rank int
	// Attempts is the largest number of engines that may run one request.
	Attempts int
	// Resume tells whether a broken stream may go on at another engine.
	Resume bool
	// Model tells whether the route leads to model engines.
	Model  bool
	Splits []Split
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
	// Handle is how long a prefilled KV cache is kept for its taker.
	Handle time.Duration
	// Switch is the time that a change of stage takes.
	Switch time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	// Header and Body are in bytes.
	Header int
	Body   int
	// HeaderWait is the time for a request's header, Idle the time between
	// requests on a connection.
	HeaderWait time.Duration
	Idle       time.Duration
}

// Document is one version of the configuration. It is not changed after New.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	hosts map[string][]*Route
}

// New returns a document that is ready for Match.
func New(version uint64, routes []Route, services []Service, limits Limits) *Document {
	d := &Document{Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)), hosts: map[string][]*Route{}}
	for _, s := range services {
		d.Services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	for _, list := range d.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return d
}

// Match returns the route of the host with the longest prefix that begins the
// path, nil when there is none.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request. Requests with the same key go to the
// same service as long as the weights stay.
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
	at := int(h.Sum64() % uint64(total))
	for _, s := range r.Splits {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return ""
}
