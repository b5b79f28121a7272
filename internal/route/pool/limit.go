package pool

import (
	"slices"
	"time"
)

// LimitState tells what a response says about the limit of its server.
type LimitState uint8

// States of limits.
const (
	// LimitUnknown responses don't show whether there is a limit.
	LimitUnknown LimitState = iota
	// LimitNone responses name no limit.
	LimitNone
	// LimitNamed responses name one.
	LimitNamed
	// LimitInvalid responses have a value that is not a usable limit.
	LimitInvalid
)

// Limit is what a response says about the rate of requests that its server takes from
// all daemons together.
type Limit struct {
	State LimitState
	// Rate is the limit in requests per second, for LimitNamed.
	Rate float64
	// Text is the value, for LimitInvalid.
	Text string
	// SentAt is when the request was sent. The server decided on what it says between
	// then and the arrival of the response.
	SentAt time.Time
}

// hold keeps requests from a process whose limit leaves no room.
type hold struct {
	until, back time.Time
}

// Hold keeps this daemon's requests from a process until a time, as its limit leaves no
// room. back is when clients that are refused for that reason may expect room.
func (t *Table) Hold(p Process, until, back time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds[p] = hold{until, back}
}

// Unhold ends what Hold has set.
func (t *Table) Unhold(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.holds, p)
}

// Held returns the usable servers of a service that get no request of this daemon for
// now because of their limits, sorted by ID.
func (t *Table) Held(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.holds) == 0 {
		return nil
	}
	var out []string
	for id, r := range t.servers {
		if r.Service == service && t.usable(now, r) && now.Before(t.holds[r.Process()].until) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Listed reports whether a process has an entry.
func (t *Table) Listed(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[p.ID]
	return r != nil && r.Process() == p
}
