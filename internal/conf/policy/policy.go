// Package policy defines the configuration document that operators publish: its
// types, parser and validator. The daemon, the command line and the console share
// them.
package policy

import (
	"net/netip"
	"time"
)

// Document is one version of the configuration.
type Document struct {
	Version  uint64    `toml:"version"`
	Tenants  []Tenant  `toml:"tenant"`
	Services []Service `toml:"service"`
	Engines  []Engine  `toml:"engine,omitempty"`
	Servers  []Server  `toml:"server,omitempty"`
}

// Tenant is a client account with its own limits.
type Tenant struct {
	Name string `toml:"name"`
	// Rate is the sustained rate in requests per second, Burst the number of
	// requests that may exceed it at once, and MaxInFlight the limit on concurrent
	// requests.
	Rate        float64 `toml:"rate"`
	Burst       int     `toml:"burst"`
	MaxInFlight int     `toml:"open"`
	// Weight is the relative share of this tenant among the tenants with queued
	// requests; 1 if not set.
	Weight float64 `toml:"weight,omitempty"`
}

// Kinds of services: model services run on engines, plain services on backend
// servers without a model.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Roles of engines: the phases of a request that an engine runs.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// BlockTokens is the number of tokens in one KV block of engine memory.
const BlockTokens = 2000

// Service is a routing target with its latency objectives.
type Service struct {
	Name string `toml:"name"`
	Kind string `toml:"kind"`
	// Model is the name of the model; for services of kind model only.
	Model string `toml:"model,omitempty"`
	// LatencyTarget is the objective for the time to the first token or, for a plain
	// service, to the whole answer. GapTarget is the objective for the time between
	// tokens; model services only.
	LatencyTarget Duration `toml:"first"`
	GapTarget     Duration `toml:"gap,omitempty"`
	// Priority ranks services; a smaller value is more urgent.
	Priority   uint32 `toml:"priority"`
	Idempotent bool   `toml:"idempotent"`
	// Deferrable requests may wait in a queue of at most MaxQueue requests.
	Deferrable bool `toml:"deferrable,omitempty"`
	MaxQueue   int  `toml:"queue,omitempty"`
	// WasteWeight weighs wasted prefill work against goodput, from 0 to 1. A higher
	// value reserves more decode memory, so that fewer requests
	// are preempted but fewer run at a time.
	WasteWeight float64 `toml:"waste,omitempty"`
	// TokenBytes is the size of the KV cache of one prompt token in bytes. If it is
	// zero, KV transfers between engines are assumed to take no time.
	TokenBytes uint64 `toml:"cache,omitempty"`
	// AllowOrders permits the router to load the model and to switch the roles of
	// this service's engines, so that they match the document.
	AllowOrders bool `toml:"orders,omitempty"`
	// IdempotencyWindow is how long callers may retry a call with the same
	// idempotency key.
	IdempotencyWindow Duration `toml:"window,omitempty"`
	// RetryRatio is the retry budget as a share of first attempts; 0.1 if not set.
	RetryRatio float64 `toml:"retry,omitempty"`
}

// Engine is a backend server that runs a model.
type Engine struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Cell names a group of engines of the service that have one owner.
	Cell    string         `toml:"cell"`
	Role    string         `toml:"role"`
	Address netip.AddrPort `toml:"address"`
	Domain  string         `toml:"domain"`
	// ChecksFencing is set if the engine rejects orders with an outdated fencing
	// token.
	ChecksFencing bool `toml:"checks,omitempty"`
}

// Server is a backend server of a plain service.
type Server struct {
	Name    string         `toml:"name"`
	Service string         `toml:"service"`
	Address netip.AddrPort `toml:"address"`
	Domain  string         `toml:"domain"`
}

// Duration is a time.Duration written as "450ms" or "10m" in TOML.
type Duration time.Duration

// UnmarshalText parses text as time.ParseDuration does and returns its error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText formats d as time.Duration.String does. The error is always nil.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
