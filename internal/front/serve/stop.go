package serve

import (
	"context"
	"time"
)

// Stop keeps serving for the notice period, so that the load balancer can move new
// connections elsewhere. It then closes connections that wait for another request, and
// returns when all requests are answered and no client opens connections, or ctx ends.
// Requests that are still open then are aborted.
//
// Each request on a connection that a client has established gets an answer, except one that
// reaches a kept connection later than lingerTime after its close was sent to the client, and
// one on a new connection whose handshake takes longer than handshakeTime. Without a socket
// filter, handshakes under way when the listener closes are cut, too.
func (s *Server) Stop(ctx context.Context, notice time.Duration) {
	s.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
	tick := time.NewTicker(closeInterval)
	defer tick.Stop()
	lastCall, cancel := ctx, context.CancelFunc(func() {})
	if end, ok := ctx.Deadline(); ok {
		lastCall, cancel = context.WithDeadline(ctx, end.Add(-s.handshake))
	}
	defer cancel()
	for lastCall.Err() == nil && (s.closeWaiting() > 0 || !s.quiet()) {
		<-tick.C
	}
	s.closeListener()
	for ctx.Err() == nil && s.closeWaiting() > 0 {
		<-tick.C
	}
	for end := time.Now().Add(lastAnswers); s.closeWaiting() > 0 && time.Now().Before(end); {
		<-tick.C
	}
	for end := time.Now().Add(lingerTime); s.refuseWaiting() > 0 && time.Now().Before(end); {
		<-tick.C
	}
	if open := s.InFlight(); open > 0 {
		s.log.Warn("requests aborted at the end of the grace period", "open", open)
		s.aborted.Store(true)
	}
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	s.queue.close()
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
}

// quiet returns whether no connection was accepted for quietTime.
func (s *Server) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.accepted) >= quietTime
}

// closeListener closes the listener without a reset of connections that clients have
// opened: new handshakes are ignored, and those that have begun complete and are
// accepted before.
func (s *Server) closeListener() {
	if err := ignoreHandshakes(s.listener); err != nil {
		s.log.Info("handshakes that begin as the listener closes are reset", "error", err.Error())
	} else {
		time.Sleep(s.handshake)
	}
	if err := s.listener.SetDeadline(time.Now()); err != nil {
		s.log.Warn("connections in the accept queue may be reset", "error", err.Error())
		_ = s.listener.Close() // the failure is logged above
	}
	<-s.done
	if err := s.drain(); err != nil {
		s.log.Warn("connections in the accept queue may be reset", "error", err.Error())
	}
	_ = s.listener.Close() // it accepts no more connections
}

// drain accepts the connections in the accept queue.
func (s *Server) drain() error {
	if err := s.listener.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return err
	}
	for {
		waits, err := acceptable(s.listener)
		if err != nil || !waits {
			return err
		}
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return err
		}
		if c := s.track(c); c != nil {
			s.dispatch(c)
		}
	}
}

// closeWaiting closes connections that wait for another request, and returns how many
// are left.
func (s *Server) closeWaiting() int { return s.each((*conn).closeWaiting) }

// refuseWaiting refuses the requests of connections on which none has been read
// completely, and returns how many connections are left.
func (s *Server) refuseWaiting() int { return s.each((*conn).refuseWaiting) }

// each calls f for each connection, and returns how many are open then.
func (s *Server) each(f func(*conn)) int {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		f(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
