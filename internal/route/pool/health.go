package pool

import "time"

// Outcome is what a request showed about its backend server.
type Outcome uint8

// Outcomes of requests at backend servers.
const (
	// OK is a complete answer.
	OK Outcome = iota
	// Failed is a complete answer that reports a failure.
	Failed
	// Refused is a refusal before the run.
	Refused
	// Broken is a connection that failed after the request was sent.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is an answer that did not come in time.
	TimedOut
	// Unknown is a request that ended for reasons of the client.
	Unknown
)

// Parameters of the health estimate.
const (
	// failWeight is the weight of one outcome in the failure rate: about ten
	// requests tell a failing server from a sound one.
	failWeight = 0.12
	// tookWeight is the weight of one answer in the mean latency.
	tookWeight = 0.15
	// silentRow is the number of requests without an answer in a row after which
	// a server is left alone for silentRest.
	silentRow  = 2
	silentRest = time.Second
)

// health is the estimate of one server from the requests of this daemon.
type health struct {
	// fails is the share of requests that failed, weighted to the newest.
	fails float64
	// took is the mean latency of complete answers.
	took time.Duration
	// silent counts requests without an answer since the last answer.
	silent int
	// down is set while no connection can be opened.
	down bool
	// rest is until when the server is left alone for another reason.
	rest time.Time
}

func (h *health) note(now time.Time, o Outcome, took time.Duration) {
	bad := 1.0
	switch o {
	case Unknown:
		return
	case OK:
		bad, h.silent, h.down = 0, 0, false
		if h.took == 0 {
			h.took = took
		}
		h.took += time.Duration(float64(took-h.took) * tookWeight)
	case Failed, Refused:
		h.silent, h.down = 0, false
	case TimedOut:
		if h.silent++; h.silent >= silentRow {
			h.rest = now.Add(silentRest)
		}
	}
	h.fails += (bad - h.fails) * failWeight
}

// resting tells whether the server is left alone.
func (h *health) resting(now time.Time) bool { return h.down || now.Before(h.rest) }

// Begin counts a request at a server. The returned function takes its outcome.
func (t *Table) Begin(id string) func(now time.Time, o Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return func(time.Time, Outcome, time.Duration) {}
	}
	r.open++
	return func(now time.Time, o Outcome, took time.Duration) {
		t.mu.Lock()
		r.open--
		rested := r.health.resting(now)
		r.health.note(now, o, took)
		changed, s := rested != r.health.resting(now), r.Server
		t.mu.Unlock()
		if o == Broken || o == Unreachable || o == TimedOut {
			t.suspect(s)
		}
		if changed {
			t.changed()
		}
	}
}

// SetDown records whether connections to a server can be opened. It returns
// false when the server is not known any more.
func (t *Table) SetDown(s Server, down bool) bool {
	t.mu.Lock()
	r := t.servers[s.ID]
	if r == nil || r.Process() != s.Process() {
		t.mu.Unlock()
		return false
	}
	changed := r.health.down != down
	r.health.down = down
	t.mu.Unlock()
	if changed {
		t.changed()
	}
	return true
}

// MarkUnhealthy leaves a server alone for a while, unless no other can be used.
func (t *Table) MarkUnhealthy(now time.Time, id string, d time.Duration) {
	t.mu.Lock()
	if r := t.servers[id]; r != nil {
		r.health.rest = now.Add(d)
	}
	t.mu.Unlock()
	t.changed()
}

// IsUnhealthy tells whether a server is left alone.
func (t *Table) IsUnhealthy(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	return r != nil && r.health.resting(now)
}

// Unhealthy returns the servers of a service that are left alone, or whose address
// another server has.
func (t *Table) Unhealthy(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, r := range t.servers {
		_, wrong := t.wrong[r.Process()]
		if r.Service == service && (wrong || r.health.resting(now)) {
			out = append(out, id)
		}
	}
	return out
}
