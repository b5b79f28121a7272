package plain

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/back/http1"
	"citronrock.example/citronrock/internal/back/reset"
	"citronrock.example/citronrock/internal/core/event"
)

// conn counts the writes to a connection, and the lines of the header of its current
// response. The hooks of httptrace report buffered writes, which may not have reached the
// socket.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
	header http1.HeaderLines
	// ended is closed when a read has failed or the connection is closed.
	ended chan struct{}
	end   func()
}

func newConn(c net.Conn) *conn {
	ended := make(chan struct{})
	return &conn{Conn: reset.New(c), ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// Read fails within a header of too many lines.
func (c *conn) Read(b []byte) (n int, err error) {
	defer func() {
		if err != nil {
			c.end()
		}
	}()
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, tooLong := c.header.Count(b[:n]); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}

// begin starts another request on the connection and returns the number of writes so far.
func (c *conn) begin() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = http1.HeaderLines{}
	return c.writes
}

// Write counts before it writes, since a write that fails may have sent some bytes. A failed
// write returns when the reader has come to the end: the transport drops a response that it
// has not read yet once a write fails, also a whole one of a server that has stopped reading.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// seal makes further writes fail and returns the number of writes so far. When a
// cancelled attempt returns, the transport's goroutine may still be about to write.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// attemptTrace follows one attempt over the connections that the transport uses for
// it. The transport switches to another connection by itself only when nothing was
// written to the one before.
type attemptTrace struct {
	timeout time.Duration
	expire  func()

	mu           sync.Mutex
	conn         *conn
	writesBefore int
	timer        *time.Timer
	ended        bool
}

func (t *attemptTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.stopTimer,
	}
}

func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*conn)
	if t.conn != nil {
		t.writesBefore = t.conn.begin()
	}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if info.Reused && !t.ended {
		t.timer = time.AfterFunc(t.timeout, t.expire)
	}
}

func (t *attemptTrace) stopTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *attemptTrace) stop() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.stopTimer()
}

// classify returns the fault of an attempt without a response.
func (t *attemptTrace) classify(ctx context.Context) event.Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.conn.seal() == t.writesBefore {
		return event.FaultUnsent
	}
	return faultMaybeReceived(ctx)
}
