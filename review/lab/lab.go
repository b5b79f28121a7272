// Package lab has the stand-ins for the cases in review/: the platform's store, backend
// servers, clients, and the processes of the router. They do only what the users' pages
// allow them.
package lab

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// freePort returns a port of an address that is free for TCP and UDP.
func freePort(ip netip.Addr) (uint16, error) {
	for range 100 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return 0, err
		}
		at := netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close() // it was opened to find a port
		u, err := net.ListenPacket("udp4", at.String())
		if err == nil {
			_ = u.Close() // opened for the same reason
			return at.Port(), nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if it fails, the connection is closed normally
	}
	_ = c.Close()
}
