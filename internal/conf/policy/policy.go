// Package policy holds the document that operators publish: its types, its
// parser and its validator, which the daemon, the command line and the console
// share.
package policy

import (
	"net/netip"
	"time"
)

// Document is one version of the operators' document.
type Document struct {
	Version  uint64    `toml:"version"`
	Tenants  []Tenant  `toml:"tenant"`
	Services []Service `toml:"service"`
	Engines  []Engine  `toml:"engine,omitempty"`
	Servers  []Server  `toml:"server,omitempty"`
}

// Tenant is a user of the services with limits of its own.
type Tenant struct {
	Name string `toml:"name"`
	// Rate is in requests a second, Burst and Open in requests.
	Rate        float64 `toml:"rate"`
	Burst       int     `toml:"burst"`
	MaxInFlight int     `toml:"open"`
	// Weight is the share of this tenant among those that wait.
	Weight float64 `toml:"weight,omitempty"`
}

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Roles of engines.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// BlockTokens is the number of tokens in one piece of engine memory.
const BlockTokens = 2000

// Service is a target of requests with its promises.
type Service struct {
	Name string `toml:"name"`
	Kind string `toml:"kind"`
	// Model names the model; for services of kind model only.
	Model string `toml:"model,omitempty"`
	// LatencyTarget is the target for the first token or, for a plain service, for the
	// whole answer. Gap is the target for the time between tokens.
	LatencyTarget Duration `toml:"first"`
	GapTarget     Duration `toml:"gap,omitempty"`
	// Priority orders services; smaller is more urgent.
	Priority   uint32 `toml:"priority"`
	Idempotent bool   `toml:"idempotent"`
	// Deferrable requests may wait in a queue of at most Queue requests.
	Deferrable bool `toml:"deferrable,omitempty"`
	MaxQueue   int  `toml:"queue,omitempty"`
	// WasteWeight weighs wasted prefill against goodput, from 0 to 1.
	WasteWeight float64 `toml:"waste,omitempty"`
	// TokenBytes is the size of the KV cache of a prompt token in bytes. Without it
	// the time on the links between engines counts as zero.
	TokenBytes uint64 `toml:"cache,omitempty"`
	// AllowOrders allows the router to load the model and to change the role of this
	// service's engines, so that they match the document.
	AllowOrders bool `toml:"orders,omitempty"`
	// IdempotencyWindow is how long callers repeat a call with the same key.
	IdempotencyWindow Duration `toml:"window,omitempty"`
	// RetryRatio is the number of retries allowed as a share of first attempts.
	RetryRatio float64 `toml:"retry,omitempty"`
}

// Engine is a model engine.
type Engine struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Cell groups the engines of a service that one daemon accounts for.
	Cell    string         `toml:"cell"`
	Role    string         `toml:"role"`
	Address netip.AddrPort `toml:"address"`
	Domain  string         `toml:"domain"`
	// ChecksFencing tells that the engine refuses orders with an old fencing number.
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

// UnmarshalText parses the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
