package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"citronrock.example/citronrock/internal/wire/peer"
)

// both is what the two ends of a stream have in common.
type both interface {
	Send(*peer.Frame) error
	Recv() (*peer.Frame, error)
}

// stream is one stream to a peer, opened by either side.
type stream struct {
	both both
	// opened is set on the side that opened the stream.
	opened grpc.BidiStreamingClient[peer.Frame, peer.Frame]
	conn   *conn
	// abort ends blocked calls on the stream.
	abort context.CancelFunc
	// stalled is set when the connection below is in doubt.
	stalled atomic.Bool

	mu    sync.Mutex
	named bool
	ended bool
}

// write sends a frame. A stream that blocks for longer than the silence allowed
// is aborted.
func (s *stream) write(l *Link, f *peer.Frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if !s.named {
		f.From, f.Incarnation = l.self, l.incarnation
		s.named = true
	}
	guard := time.AfterFunc(l.silence, func() {
		s.stalled.Store(true)
		s.abort()
	})
	defer guard.Stop()
	return s.both.Send(f) == nil
}

// finish ends the sending side of a stream that this side opened. It waits for
// a frame that is being sent, since grpc-go allows no CloseSend beside a Send.
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

// stream returns the stream in use and opens one when there is none.
func (p *pair) stream() *stream {
	p.mu.Lock()
	st := p.current
	p.mu.Unlock()
	if st != nil {
		return st
	}
	st = p.open()
	if st != nil {
		p.offer(st)
	}
	return st
}

// open opens a stream. It fails when the peer can't be reached; the frame is
// lost then, as frames may be.
func (p *pair) open() *stream {
	l := p.link
	c, err := l.take(p.name)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(l.outgoing(l.ctx, p.name))
	s, err := peer.NewPeerClient(c.cc).Link(ctx)
	if err != nil {
		cancel()
		l.free(c, stalled(err))
		return nil
	}
	st := &stream{both: s, opened: s, conn: c, abort: cancel}
	ok := l.goes(func() {
		p.read(st)
		p.forget(st)
		cancel()
		l.free(c, st.stalled.Load())
	})
	if !ok {
		cancel()
		l.free(c, false)
		return nil
	}
	return st
}

// offer makes st the stream in use. When both sides opened one at the same
// time, both use that of the side with the lower name, and the other side ends
// its own, which is read until the peer ends it in turn.
func (p *pair) offer(st *stream) {
	p.mu.Lock()
	old := p.current
	if old != nil && old.opened != nil && st.opened == nil && p.link.self < p.name {
		p.mu.Unlock()
		return
	}
	p.current = st
	p.unheard = time.Time{}
	p.mu.Unlock()
	if old != nil {
		old.finish()
	}
}

// forget stops using st and ends it. Frames that were written before reach the
// peer unless the stream is aborted.
func (p *pair) forget(st *stream) {
	p.mu.Lock()
	if p.current == st {
		p.current = nil
	}
	p.mu.Unlock()
	if st.stalled.Load() {
		st.abort()
		p.link.shun(st.conn)
	}
	st.mu.Lock()
	st.ended = true
	st.mu.Unlock()
}

// read passes received frames on until the stream ends.
func (p *pair) read(st *stream) {
	var incarnation uint64
	for {
		f, err := st.both.Recv()
		if err != nil {
			return
		}
		if f.Incarnation != 0 {
			incarnation = f.Incarnation
		}
		p.heard(st, f)
		if p.link.calls.Frame != nil && !empty(f) {
			p.link.calls.Frame(p.name, incarnation, f)
		}
	}
}
