package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"citronrock.example/citronrock/internal/wire/peer"
)

// frameStream is what the two ends of a stream have in common.
type frameStream interface {
	Send(*peer.Frame) error
	Recv() (*peer.Frame, error)
}

// stream is one stream to a peer, opened by either side.
type stream struct {
	frames frameStream
	// opened is the client side of the stream, nil on the side that accepted it.
	opened grpc.BidiStreamingClient[peer.Frame, peer.Frame]
	conn   *conn
	// abort ends blocked calls on the stream.
	abort context.CancelFunc
	// stalled is set when the connection below may have stalled.
	stalled atomic.Bool

	mu         sync.Mutex
	identified bool
	ended      bool
}

// write sends a frame. A stream that blocks for longer than the stall timeout is
// aborted.
func (s *stream) write(l *Link, f *peer.Frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if !s.identified {
		f.From, f.Incarnation = l.self, l.incarnation
		s.identified = true
	}
	guard := time.AfterFunc(l.stallTimeout, func() {
		s.stalled.Store(true)
		s.abort()
	})
	defer guard.Stop()
	return s.frames.Send(f) == nil
}

// finish ends the sending side of a stream that this side opened. It waits for a
// frame that is being sent, since grpc-go forbids CloseSend during a Send.
func (s *stream) finish() {
	if s.opened == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		_ = s.opened.CloseSend()
	}
}

// stream returns the stream in use and opens one when there is none. It returns
// nil when the peer is unreachable.
func (s *session) stream() *stream {
	s.mu.Lock()
	st := s.current
	s.mu.Unlock()
	if st != nil {
		return st
	}
	st = s.open()
	if st != nil {
		s.adopt(st)
	}
	return st
}

// open opens a stream. It returns nil when the peer is unreachable; the frame is
// then lost, which callers allow for.
func (s *session) open() *stream {
	l := s.link
	c, err := l.acquire(s.name)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(l.outgoing(l.ctx, s.name))
	client, err := peer.NewPeerClient(c.cc).Link(ctx)
	if err != nil {
		cancel()
		l.release(c, stalled(err))
		return nil
	}
	st := &stream{frames: client, opened: client, conn: c, abort: cancel}
	ok := l.spawn(func() {
		s.read(st)
		s.discard(st)
		cancel()
		l.release(c, st.stalled.Load())
	})
	if !ok {
		cancel()
		l.release(c, false)
		return nil
	}
	return st
}

// adopt makes st the stream in use. When both sides opened one at the same time,
// both use that of the side with the lower name. The other side ends its own,
// which is read until the peer ends it in turn.
func (s *session) adopt(st *stream) {
	s.mu.Lock()
	old := s.current
	if old != nil && old.opened != nil && st.opened == nil && s.link.self < s.name {
		s.mu.Unlock()
		return
	}
	s.current = st
	s.unansweredSince = time.Time{}
	s.mu.Unlock()
	if old != nil {
		old.finish()
	}
}

// discard stops using st and ends it. Frames that were written before reach the
// peer unless the stream is aborted.
func (s *session) discard(st *stream) {
	s.mu.Lock()
	if s.current == st {
		s.current = nil
	}
	s.mu.Unlock()
	if st.stalled.Load() {
		st.abort()
		s.link.dropConn(st.conn)
	}
	st.mu.Lock()
	st.ended = true
	st.mu.Unlock()
}

// read passes received frames to the handler until the stream ends.
func (s *session) read(st *stream) {
	var incarnation uint64
	for {
		f, err := st.frames.Recv()
		if err != nil {
			return
		}
		if f.Incarnation != 0 {
			incarnation = f.Incarnation
		}
		s.recordReceived(st, f)
		if s.link.handlers.Frame != nil && !empty(f) {
			s.link.handlers.Frame(s.name, incarnation, f)
		}
	}
}
