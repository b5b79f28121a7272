package link

import (
	"sync"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// session is the exchange of frames with one peer: the queued frames and the
// stream in use, whichever side opened it.
type session struct {
	link  *Link
	name  string
	queue chan *peer.Frame

	mu      sync.Mutex
	running bool
	current *stream
	// lastUsed is when a frame with content was last sent or received.
	lastUsed time.Time
	// unansweredSince is when the oldest frame was sent after which the peer sent
	// nothing, ackDueSince when the oldest frame was received after which nothing was
	// sent.
	unansweredSince, ackDueSince time.Time
}

// session returns the session with a peer.
func (l *Link) session(name string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.sessions[name]
	if p == nil {
		p = &session{link: l, name: name, queue: make(chan *peer.Frame, l.queueSize)}
		l.sessions[name] = p
	}
	return p
}

// Send implements citronrock.Peers. A frame is dropped when the queue is full.
func (l *Link) Send(to string, f *peer.Frame) {
	p := l.session(to)
	select {
	case p.queue <- f:
		p.start()
	default:
	}
}

// start starts sendLoop unless it runs.
func (s *session) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return
	}
	s.running = s.link.spawn(s.sendLoop)
	if s.running {
		s.lastUsed = time.Now()
	}
}

// spawn runs f on a new goroutine unless the Link is closed, and reports whether
// it does.
func (l *Link) spawn(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.work.Go(f)
	return true
}

func (s *session) unused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.running && s.current == nil
}

// ackDelay is how long a received frame waits for a frame to carry its
// acknowledgement before an empty one is sent. Most frames are answered within
// this time, so that few empty ones are sent.
const ackDelay = 300 * time.Millisecond

// sendLoop sends the queued frames until the session is idle.
func (s *session) sendLoop() {
	tick := time.NewTicker(min(ackDelay, s.link.stallTimeout/2, s.link.idle/2))
	defer tick.Stop()
	for {
		select {
		case <-s.link.ctx.Done():
			return
		case f := <-s.queue:
			s.deliver(s.batch(f))
		case now := <-tick.C:
			s.ackIfDue(now)
			s.replaceStalled(now)
			if s.stopIfIdle(now) {
				return
			}
		}
	}
}

// maxBatch bounds the records in one frame.
const maxBatch = 256

// batch merges queued frames into one.
func (s *session) batch(f *peer.Frame) *peer.Frame {
	out := appendFrame(&peer.Frame{Version: s.link.version.Load(), Revision: s.link.revision.Load()}, f)
	for records(out) < maxBatch {
		select {
		case f := <-s.queue:
			appendFrame(out, f)
		default:
			return out
		}
	}
	return out
}

func appendFrame(out, f *peer.Frame) *peer.Frame {
	out.Asks = append(out.Asks, f.Asks...)
	out.Grants = append(out.Grants, f.Grants...)
	out.Dones = append(out.Dones, f.Dones...)
	out.Strikes = append(out.Strikes, f.Strikes...)
	out.Version = max(out.Version, f.Version)
	out.Revision = max(out.Revision, f.Revision)
	return out
}

func records(f *peer.Frame) int {
	return len(f.Asks) + len(f.Grants) + len(f.Dones) + len(f.Strikes)
}

func empty(f *peer.Frame) bool {
	return records(f) == 0 && f.Version == 0 && f.Revision == 0
}

// deliver writes a frame, on a new stream when the current one has ended.
func (s *session) deliver(f *peer.Frame) {
	for range 2 {
		st := s.stream()
		if st == nil {
			return
		}
		s.recordSent(f)
		if st.write(s.link, f) {
			return
		}
		s.discard(st)
	}
}

func (s *session) recordSent(f *peer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ackDueSince = time.Time{}
	if empty(f) {
		return
	}
	s.lastUsed = time.Now()
	if s.unansweredSince.IsZero() {
		s.unansweredSince = s.lastUsed
	}
}

// recordReceived records a received frame. Only one on the stream in use proves
// that the peer receives, since another stream says nothing about the frames sent
// on this one.
func (s *session) recordReceived(st *stream, f *peer.Frame) {
	s.mu.Lock()
	if s.current == st {
		s.unansweredSince = time.Time{}
	}
	if empty(f) {
		s.mu.Unlock()
		return
	}
	s.lastUsed = time.Now()
	if s.ackDueSince.IsZero() {
		s.ackDueSince = s.lastUsed
	}
	s.mu.Unlock()
	s.start()
}

// ackIfDue sends an empty frame as acknowledgement when the peer has waited for
// ackDelay.
func (s *session) ackIfDue(now time.Time) {
	s.mu.Lock()
	due := !s.ackDueSince.IsZero() && now.Sub(s.ackDueSince) >= ackDelay && s.current != nil
	s.mu.Unlock()
	if due {
		s.deliver(new(peer.Frame))
	}
}

// replaceStalled aborts a stream, together with its connection, on which the peer
// sent nothing for the stall timeout after a frame.
func (s *session) replaceStalled(now time.Time) {
	s.mu.Lock()
	st := s.current
	silent := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > s.link.stallTimeout
	if silent {
		s.unansweredSince = time.Time{}
	}
	s.mu.Unlock()
	if !silent || st == nil {
		return
	}
	s.link.log.Warn("stream stalled, opening another one", "peer", s.name)
	st.stalled.Store(true)
	s.discard(st)
}

// stopIfIdle ends sendLoop, and the stream if this side opened it, when the
// session is idle.
func (s *session) stopIfIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastUsed) < s.link.idle || len(s.queue) > 0 {
		return false
	}
	if s.current != nil && s.current.opened != nil {
		// The peer may still be sending; its last frames are read until it
		// ends the stream in turn. Only this goroutine writes to the stream,
		// so that finish does not block.
		s.current.finish()
		s.current = nil
	}
	s.running = false
	return true
}
