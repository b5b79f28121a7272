// Package site defines the settings that the platform gives a router process: its
// own addresses and resources, its peers, and the limits that the contract sets.
package site

import (
	"net/netip"
	"time"
)

// Settings are the settings of one router process.
type Settings struct {
	Name   string
	Domain string
	// Front is the listen address for clients, Ready for the readiness checks of the
	// load balancer, Admin for status and metrics.
	Front, Ready, Admin netip.AddrPort
	// Metrics is an additional listen address for metrics and status; the zero value
	// means none.
	Metrics netip.AddrPort
	// Peer is the listen address for datagrams between daemons.
	Peer netip.AddrPort
	// Seeds are the Peer addresses of some other daemons, for joining the
	// membership. They may be stale.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// CPUShare is the processor time available to the process, in hundredths of a core.
	CPUShare uint32
	// Memory is the memory limit of the process in bytes; zero means no limit.
	Memory int64
	// Heartbeat is about the interval at which backend servers write their entries, zero if
	// it is not known.
	Heartbeat time.Duration
	Bounds    Bounds
}

// Bounds are the limits of the contract with the platform.
type Bounds struct {
	// TerminationGrace is the time between SIGTERM and SIGKILL.
	TerminationGrace time.Duration
	// RetryRatio is the retry budget of all daemons together as a share of requests,
	// and RetryBurst the number of retries allowed in addition, both in any RetryWindow.
	RetryRatio  float64
	RetryBurst  int
	RetryWindow time.Duration
	// QuotaOverage and QuotaSlack are what the requests of a tenant may use beyond its limit
	// in any QuotaWindow, over all daemons together: a share of the limit, and units.
	QuotaOverage float64
	QuotaSlack   float64
	QuotaWindow  time.Duration
}

// Defaults of the bounds, for settings without them.
const (
	DefaultTerminationGrace = 8 * time.Second
	DefaultRetryRatio       = 0.1
	DefaultRetryBurst       = 10
	DefaultRetryWindow      = 10 * time.Second
	DefaultQuotaOverage     = 0.1
	DefaultQuotaWindow      = 8 * time.Second
)
