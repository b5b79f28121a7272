package plain

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/stand/serve"
)

// maxReorderWait bounds how long Reorder delays an answer if no later call comes.
const maxReorderWait = time.Second

// Fault is the set of injected faults. A POST to /fault changes the fields that its
// JSON body has and returns the result.
type Fault struct {
	// Freeze simulates a process pause: only /fault and /runs still respond.
	Freeze bool `json:"freeze"`
	// Refuse rejects all calls without running them.
	Refuse bool `json:"refuse"`
	// Delay is the time between a run and its answer, in milliseconds.
	Delay int64 `json:"late"`
	// Reorder delays each answer until a later call has been answered, so that
	// answers are sent in another order than the calls arrived.
	Reorder bool `json:"cross"`
	// Drop closes the connection after the run without an answer.
	Drop bool `json:"drop"`
	// Fail responds with status 500 after the run.
	Fail bool `json:"fail"`
	// CrashNext ends the process after the next run, before its answer. It resets
	// itself.
	CrashNext bool `json:"die"`
	// Silent mutes the connections that are open now, as a partition would. It
	// resets itself.
	Silent bool `json:"silent,omitempty"`
	// Crash ends the process immediately.
	Crash bool `json:"crash,omitempty"`
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if !serve.Decode(w, r, &f) {
		return
	}
	if f.Crash {
		s.set.Crash()
	}
	if f.Silent && s.server != nil {
		s.server.Silence(r.Context())
	}
	f.Silent, f.Crash = false, false
	s.SetFault(f)
	serve.Reply(w, f)
}

// SetFault replaces the injected faults. Silent and Crash take effect only through
// /fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze != s.fault.Freeze {
		if f.Freeze {
			s.unfrozen = make(chan struct{})
		} else {
			close(s.unfrozen)
		}
	}
	if !f.Reorder && s.heldAnswer != nil {
		close(s.heldAnswer)
		s.heldAnswer = nil
	}
	s.fault = f
}

// waitUnfrozen blocks while the server is frozen. It returns false if ctx ends first.
func (s *Server) waitUnfrozen(ctx context.Context) bool {
	s.mu.Lock()
	c := s.unfrozen
	s.mu.Unlock()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// delayAnswer delays an answer as the faults Delay and Reorder say.
func (s *Server) delayAnswer(ctx context.Context, f Fault) {
	if f.Delay > 0 {
		wait(ctx, nil, time.Duration(f.Delay)*time.Millisecond)
	}
	if !f.Reorder {
		return
	}
	s.mu.Lock()
	if s.heldAnswer != nil {
		// This answer is sent first, and the delayed one 1 ms later.
		c := s.heldAnswer
		s.heldAnswer = nil
		s.mu.Unlock()
		time.AfterFunc(time.Millisecond, func() { close(c) })
		return
	}
	c := make(chan struct{})
	s.heldAnswer = c
	s.mu.Unlock()
	wait(ctx, c, maxReorderWait)
	s.mu.Lock()
	if s.heldAnswer == c {
		s.heldAnswer = nil
	}
	s.mu.Unlock()
}

// wait returns when c is closed, d has passed or ctx ends.
func wait(ctx context.Context, c chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}
