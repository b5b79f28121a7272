package fleet

import "time"

// Outcome is what a request showed about its backend server.
type Outcome uint8

// Outcomes of requests at backend servers.
const (
	// OK is a complete answer.
	OK Outcome = iota
	// Failed is a complete answer that reports a failure.
	Failed
	// Busy is a refusal before the run.
	Busy
	// Broken is a connection that failed after the request was sent.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Silent is an answer that did not come in time.
	Silent
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
	// restFirst and restLimit bound how long a server that can't be reached is
	// left alone. A crashed server needs some seconds to come back.
	restFirst = 400 * time.Millisecond
	restLimit = 3 * time.Second
)

// health is the estimate of one server from the requests of this daemon.
type health struct {
	// fails is the share of requests that failed, weighted to the newest.
	fails float64
	// took is the mean latency of complete answers.
	took time.Duration
	// row counts failures to reach the server since the last answer.
	row   int
	until time.Time
	// tried is set while one request tests a server after its rest.
	tried bool
}

func (h *health) note(now time.Time, o Outcome, took time.Duration) {
	switch o {
	case Unknown:
		h.tried = false
		return
	case OK, Failed, Busy:
		h.row, h.until, h.tried = 0, time.Time{}, false
	case Broken, Unreachable, Silent:
		h.tried = false
		rest := min(restFirst<<min(h.row, 4), restLimit)
		h.row++
		if o != Broken || h.row > 1 {
			h.until = now.Add(rest)
		}
	}
	bad := 0.0
	if o != OK {
		bad = 1
	}
	h.fails += (bad - h.fails) * failWeight
	if o == OK && took > 0 {
		if h.took == 0 {
			h.took = took
		}
		h.took += time.Duration(float64(took-h.took) * tookWeight)
	}
}

// resting tells whether the server is left alone.
func (h *health) resting(now time.Time) bool {
	return now.Before(h.until) || h.row > 1 && h.tried
}

// Begin counts a request at a server. The returned function takes its outcome.
func (t *Table) Begin(id string) func(now time.Time, o Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return func(time.Time, Outcome, time.Duration) {}
	}
	r.open++
	r.health.tried = r.health.row > 1
	return func(now time.Time, o Outcome, took time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.open--
		r.health.note(now, o, took)
	}
}

// Resting returns the servers of a service that requests could not reach.
func (t *Table) Resting(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, r := range t.servers {
		if r.Service == service && r.health.resting(now) {
			out = append(out, id)
		}
	}
	return out
}
