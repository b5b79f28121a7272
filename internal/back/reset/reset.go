// Package reset tells the reader of a TCP connection of a reset that the writer got.
//
// Linux reports the error of a socket once, to whichever system call comes first. If a
// write gets it, a read that follows returns the data that had arrived and then a clean
// end, as if the peer had closed the connection: a response that ends with the connection
// would count as complete.
package reset

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection whose Read returns an error in place of io.EOF if a write found
// that the peer hadn't closed the connection in order. Its state is one error. It is safe
// for concurrent use.
type Conn struct {
	net.Conn
	// writes is held for reading by each write.
	writes sync.RWMutex
	failed atomic.Pointer[error]
}

// New returns a Conn that reads and writes on a TCP connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns a function for http.Transport that opens connections with a dialer.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(b)
	if err != nil && !allowsEnd(err) {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read implements net.Conn. At the end of what the peer sent it ends a write in flight, as
// a write that got the error of the socket may not have returned yet.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writes.TryLock() {
		// A write that waits for a peer that has stopped reading would not return.
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // it fails if the connection is closed, which ends the write as well
		c.writes.Lock()
	}
	c.writes.Unlock()
	if failed := c.failed.Load(); failed != nil {
		return n, eris.Wrap(*failed, "connection was reset, as a write found")
	}
	return n, err
}

// allowsEnd reports whether the peer may have closed the connection in order before a write
// failed: the write was ended by this side, or failed with EPIPE. A reset gives EPIPE if it
// comes after the peer's FIN, and else ECONNRESET (tcp_reset in Linux). EPIPE also follows a
// reset that a read has got, which has then returned the error.
func allowsEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE)
}
