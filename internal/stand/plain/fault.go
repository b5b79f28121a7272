package plain

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/stand/serve"
)

// longest bounds how long Cross holds an answer back without a later call.
const longest = time.Second

// Fault is the state of the fault switches, as read and written at /fault. A
// POST changes the switches that its body names.
type Fault struct {
	// Freeze stops everything except /fault and /runs.
	Freeze bool `json:"freeze"`
	// Refuse refuses all calls as not run.
	Refuse bool `json:"refuse"`
	// Delay delays answers after the run, in milliseconds.
	Delay int64 `json:"late"`
	// Reorder holds each answer back until a later call has been answered, so
	// that answers leave in another order than the calls came in.
	Reorder bool `json:"cross"`
	// Drop closes the connection after the run instead of answering.
	Drop bool `json:"drop"`
	// Fail answers with status 500 after the run.
	Fail bool `json:"fail"`
	// CrashNext ends the process after the next run, before its answer.
	CrashNext bool `json:"die"`
	// Silent makes the connections that are open now fall silent, once.
	Silent bool `json:"silent,omitempty"`
	// Crash ends the process at once.
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

// SetFault changes the fault switches. Silent and Crash work through /fault only.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze != s.fault.Freeze {
		if f.Freeze {
			s.thaw = make(chan struct{})
		} else {
			close(s.thaw)
		}
	}
	if !f.Reorder && s.held != nil {
		close(s.held)
		s.held = nil
	}
	s.fault = f
}

// gate waits while the server is frozen and returns false when ctx ends first.
func (s *Server) gate(ctx context.Context) bool {
	s.mu.Lock()
	c := s.thaw
	s.mu.Unlock()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// hold delays an answer as the faults ask for.
func (s *Server) hold(ctx context.Context, f Fault) {
	if f.Delay > 0 {
		wait(ctx, nil, time.Duration(f.Delay)*time.Millisecond)
	}
	if !f.Reorder {
		return
	}
	s.mu.Lock()
	if s.held != nil {
		// This answer goes first and lets the earlier one go after it.
		c := s.held
		s.held = nil
		s.mu.Unlock()
		time.AfterFunc(time.Millisecond, func() { close(c) })
		return
	}
	c := make(chan struct{})
	s.held = c
	s.mu.Unlock()
	wait(ctx, c, longest)
	s.mu.Lock()
	if s.held == c {
		s.held = nil
	}
	s.mu.Unlock()
}

func wait(ctx context.Context, c chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}
