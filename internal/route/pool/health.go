package pool

import "time"

// Outcome is the result of a request as far as it concerns the health of the
// backend server.
type Outcome uint8

// Outcomes of requests at backend servers.
const (
	// OK is a complete response without failure.
	OK Outcome = iota
	// Failed is a complete response that reports a failure.
	Failed
	// Refused is a rejection before the request ran.
	Refused
	// Broken is a connection that failed after the request was sent.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is a response that did not come in time.
	TimedOut
	// Unknown is a request that ended for a reason on the client's side.
	Unknown
)

// Parameters of the health estimate.
const (
	// failureWeight is the weight of one outcome in the moving average of the
	// failure rate: about ten requests distinguish a failing server from a
	// healthy one.
	failureWeight = 0.12
	// latencyWeight is the weight of one response in the moving average of the
	// latency.
	latencyWeight = 0.15
	// timeoutThreshold consecutive timeouts mark a server as unhealthy for
	// unhealthyPeriod.
	timeoutThreshold = 2
	unhealthyPeriod  = time.Second
)

// health is the state of one server as observed from this daemon's requests.
type health struct {
	// failureRate is the moving average of the share of failed requests.
	failureRate float64
	// latency is the moving average of the latency of complete responses.
	latency time.Duration
	// timeouts counts the timeouts since the last response.
	timeouts int
	// down is set while no connection can be opened.
	down bool
	// unhealthyUntil ends the time for which the server is avoided for another
	// reason.
	unhealthyUntil time.Time
}

// observe takes the outcome of a request and, for OK, the latency of its response.
func (h *health) observe(now time.Time, o Outcome, took time.Duration) {
	bad := 1.0
	switch o {
	case Unknown:
		return
	case OK:
		bad, h.timeouts, h.down = 0, 0, false
		if h.latency == 0 {
			h.latency = took
		}
		h.latency += time.Duration(float64(took-h.latency) * latencyWeight)
	case Failed, Refused:
		h.timeouts, h.down = 0, false
	case TimedOut:
		if h.timeouts++; h.timeouts >= timeoutThreshold {
			h.unhealthyUntil = now.Add(unhealthyPeriod)
		}
	}
	h.failureRate += (bad - h.failureRate) * failureWeight
}

// unhealthy reports whether the server gets requests only if no other is left.
func (h *health) unhealthy(now time.Time) bool { return h.down || now.Before(h.unhealthyUntil) }

// Begin counts a request at a server. The returned function must be called once,
// with the outcome and the latency.
func (t *Table) Begin(id string) func(now time.Time, o Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return func(time.Time, Outcome, time.Duration) {}
	}
	r.inFlight++
	return func(now time.Time, o Outcome, took time.Duration) {
		t.mu.Lock()
		r.inFlight--
		wasUnhealthy := r.health.unhealthy(now)
		r.health.observe(now, o, took)
		healthChanged, s := wasUnhealthy != r.health.unhealthy(now), r.Server
		if o == Broken || o == Unreachable || o == TimedOut {
			t.doubt(now, s, o != TimedOut)
		}
		t.mu.Unlock()
		if o == Broken || o == Unreachable || o == TimedOut {
			t.onSuspect(s)
		}
		if healthChanged {
			t.onChange()
		}
	}
}

// SetDown records whether connections to a server fail. It returns false when the
// server's process is no longer in the table.
func (t *Table) SetDown(s Server, down bool) bool {
	t.mu.Lock()
	r := t.servers[s.ID]
	if r == nil || r.Process() != s.Process() {
		t.mu.Unlock()
		return false
	}
	if down {
		t.doubt(time.Now(), s, true)
	}
	changed := r.health.down != down
	r.health.down = down
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
	return true
}

// MarkUnhealthy makes a server unhealthy for d. It then gets requests only if no
// other one is left.
func (t *Table) MarkUnhealthy(now time.Time, id string, d time.Duration) {
	t.mu.Lock()
	if r := t.servers[id]; r != nil {
		r.health.unhealthyUntil = now.Add(d)
	}
	t.mu.Unlock()
	t.onChange()
}

// IsUnhealthy reports whether a server is down or marked as unhealthy.
func (t *Table) IsUnhealthy(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	return r != nil && r.health.unhealthy(now)
}

// Unhealthy returns the IDs of a service's servers that are unhealthy or
// misdirected.
func (t *Table) Unhealthy(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, r := range t.servers {
		_, misdirected := t.misdirected[r.Process()]
		if r.Service == service && (misdirected || r.health.unhealthy(now)) {
			out = append(out, id)
		}
	}
	return out
}

// RecordSilence records that a request at a server got nothing for too long, while it goes
// on there. It counts as the outcome o.
func (t *Table) RecordSilence(now time.Time, s Server, o Outcome) {
	t.mu.Lock()
	r := t.servers[s.ID]
	if r == nil || r.Process() != s.Process() {
		t.mu.Unlock()
		return
	}
	wasUnhealthy := r.health.unhealthy(now)
	r.health.observe(now, o, 0)
	t.doubt(now, s, false)
	changed := wasUnhealthy != r.health.unhealthy(now)
	t.mu.Unlock()
	t.onSuspect(s)
	if changed {
		t.onChange()
	}
}

// Lost reports whether the process of an entry seems to be gone: connections to it fail,
// or another one runs at its address or under its ID. known is false if the entry was
// removed, which alone shows nothing: servers that leave go on for a while without one.
func (t *Table) Lost(s Server) (lost, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, misdirected := t.misdirected[s.Process()]
	r := t.servers[s.ID]
	switch {
	case misdirected, r != nil && r.StartedAt.After(s.StartedAt):
		return true, true
	case r == nil || r.Process() != s.Process():
		return false, false
	}
	return r.health.down, true
}
