package link

import (
	"sync"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

// pair holds the frames for one peer and the stream in use, whichever side
// opened it.
type pair struct {
	link  *Link
	name  string
	queue chan *peer.Frame

	mu      sync.Mutex
	running bool
	current *stream
	// used is when a frame with content last passed in either direction.
	used time.Time
	// unheard is when the oldest frame was sent that nothing followed from the
	// peer, owed when the oldest frame came that nothing was sent after.
	unheard, owed time.Time
}

// pair returns the pair of a peer.
func (l *Link) pair(name string) *pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pairs[name]
	if p == nil {
		p = &pair{link: l, name: name, queue: make(chan *peer.Frame, l.depth)}
		l.pairs[name] = p
	}
	return p
}

// Send implements citronrock.Peers. A frame for a full queue is dropped.
func (l *Link) Send(to string, f *peer.Frame) {
	p := l.pair(to)
	select {
	case p.queue <- f:
		p.start()
	default:
	}
}

// start runs the pump of a pair unless it runs.
func (p *pair) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		return
	}
	p.running = p.link.goes(p.pump)
	if p.running {
		p.used = time.Now()
	}
}

// goes starts f unless the Link is closed.
func (l *Link) goes(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.work.Go(f)
	return true
}

func (p *pair) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.running && p.current == nil
}

// ackDelay is how long a received frame waits for a frame to carry its
// acknowledgement before an empty one is sent. Most frames are answered within
// this time, so that few empty ones are needed.
const ackDelay = 300 * time.Millisecond

// pump sends the frames of a pair until the pair is idle.
func (p *pair) pump() {
	tick := time.NewTicker(min(ackDelay, p.link.silence/2, p.link.idle/2))
	defer tick.Stop()
	for {
		select {
		case <-p.link.ctx.Done():
			return
		case f := <-p.queue:
			p.deliver(p.batch(f))
		case now := <-tick.C:
			p.answer(now)
			p.replace(now)
			if p.rest(now) {
				return
			}
		}
	}
}

// maxBatch bounds the records in one frame.
const maxBatch = 256

// batch joins waiting frames to one.
func (p *pair) batch(f *peer.Frame) *peer.Frame {
	out := join(&peer.Frame{Version: p.link.version.Load(), Revision: p.link.revision.Load()}, f)
	for records(out) < maxBatch {
		select {
		case f := <-p.queue:
			join(out, f)
		default:
			return out
		}
	}
	return out
}

func join(out, f *peer.Frame) *peer.Frame {
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
func (p *pair) deliver(f *peer.Frame) {
	for range 2 {
		st := p.stream()
		if st == nil {
			return
		}
		p.wrote(f)
		if st.write(p.link, f) {
			return
		}
		p.forget(st)
	}
}

func (p *pair) wrote(f *peer.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owed = time.Time{}
	if empty(f) {
		return
	}
	p.used = time.Now()
	if p.unheard.IsZero() {
		p.unheard = p.used
	}
}

// heard notes a received frame. Only the stream in use counts as answering,
// since another one says nothing about the frames sent on it.
func (p *pair) heard(st *stream, f *peer.Frame) {
	p.mu.Lock()
	if p.current == st {
		p.unheard = time.Time{}
	}
	if empty(f) {
		p.mu.Unlock()
		return
	}
	p.used = time.Now()
	if p.owed.IsZero() {
		p.owed = p.used
	}
	p.mu.Unlock()
	p.start()
}

// answer sends an empty frame when the peer waits for a sign of life.
func (p *pair) answer(now time.Time) {
	p.mu.Lock()
	due := !p.owed.IsZero() && now.Sub(p.owed) >= ackDelay && p.current != nil
	p.mu.Unlock()
	if due {
		p.deliver(new(peer.Frame))
	}
}

// replace aborts a stream on which the peer left frames unanswered for too
// long, together with its connection.
func (p *pair) replace(now time.Time) {
	p.mu.Lock()
	st := p.current
	silent := !p.unheard.IsZero() && now.Sub(p.unheard) > p.link.silence
	if silent {
		p.unheard = time.Time{}
	}
	p.mu.Unlock()
	if !silent || st == nil {
		return
	}
	p.link.log.Warn("stream is silent, opening another one", "peer", p.name)
	st.stalled.Store(true)
	p.forget(st)
}

// rest ends the pump, and the stream if this side opened it, when the pair is
// idle.
func (p *pair) rest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.used) < p.link.idle || len(p.queue) > 0 {
		return false
	}
	if p.current != nil && p.current.opened != nil {
		// The peer may still be sending; its last frames are read until it
		// ends the stream in turn. Only this goroutine writes to the stream,
		// so that finish does not block.
		p.current.finish()
		p.current = nil
	}
	p.running = false
	return true
}
