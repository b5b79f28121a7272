package plain

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/event"
)

// conn counts the writes of a connection. The hooks of httptrace report buffered
// writes, which say nothing about what reached the socket.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts before it writes, since a write that fails may have sent a part.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the count. A cancelled attempt
// returns while the transport's goroutine may still be about to write.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// trace follows one attempt through the connections that the transport gives
// it. The transport takes another connection by itself only when nothing was
// written to the one before.
type trace struct {
	patience time.Duration
	expire   func()

	mu    sync.Mutex
	conn  *conn
	start int
	timer *time.Timer
	ended bool
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.got,
		GotFirstResponseByte: t.disarm,
	}
}

func (t *trace) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*conn)
	if t.conn != nil {
		t.start = t.conn.count()
	}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if info.Reused && !t.ended {
		t.timer = time.AfterFunc(t.patience, t.expire)
	}
}

func (t *trace) disarm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *trace) stop() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.disarm()
}

// fault classifies an attempt that brought no answer.
func (t *trace) fault(ctx context.Context) event.Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.conn.seal() == t.start {
		return event.FaultUnsent
	}
	return received(ctx)
}
