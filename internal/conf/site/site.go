// Package site holds what the platform tells a router process about itself, its
// neighbours and the contract.
package site

import (
	"net/netip"
	"time"
)

// Settings are the settings of one router process.
type Settings struct {
	Name   string
	Domain string
	// Front is where clients connect, Ready where the balancer asks for
	// readiness, Admin where operators read status and metrics.
	Front, Ready, Admin netip.AddrPort
	// Metrics is a second address for metrics and status, invalid for none.
	Metrics netip.AddrPort
	// Peer is the address for datagrams between daemons.
	Peer netip.AddrPort
	// Seeds are peer addresses of some daemons. They may be stale.
	Seeds []netip.AddrPort
	// Store is the platform's store.
	Store netip.AddrPort
	// Power is the share of a processor in hundredths.
	Power uint32
	// Memory is the limit of the process in bytes, zero for none.
	Memory int64
	Bounds Bounds
}

// Bounds are the figures of the contract.
type Bounds struct {
	// TerminationGrace is the time between the signal to stop and the kill.
	TerminationGrace time.Duration
	// RetryRatio is the share of requests that may be sent once more over all
	// daemons, and Slack a number that may be in addition.
	RetryRatio float64
	RetryBurst int
}

// Defaults of bounds that the settings do not name.
const (
	DefaultTerminationGrace = 8 * time.Second
	DefaultRetryRatio       = 0.1
	DefaultRetryBurst       = 10
)
